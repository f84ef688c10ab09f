package entry_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// relay is a TCP proxy in front of a server. Like a sidecar or network address translation, it still accepts
// connections after the server has ended, and closes them at once.
type relay struct {
	listener net.Listener
	mutex    sync.Mutex
	target   string
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(incoming)
	}
}

func (r *relay) forward(incoming net.Conn) {
	defer incoming.Close()
	r.mutex.Lock()
	target := r.target
	r.mutex.Unlock()
	outgoing, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer outgoing.Close()
	go func() {
		_, _ = io.Copy(outgoing, incoming)
		_ = outgoing.Close()
	}()
	_, _ = io.Copy(incoming, outgoing)
}

// entryExpiry is how long the store still lists a server after it has crashed.
const entryExpiry = 3600 * time.Millisecond

// startBehindRelays starts daemons, and servers that crash on deadlyBody, each behind a relay.
func startBehindRelays(t *testing.T, daemons, servers int) *deployment {
	t.Helper()
	f := start(t, daemons)
	for number := range servers {
		r := newRelay(t)
		server, err := standin.Open(f.store, standin.Options{
			ID: fmt.Sprint("relayed", number), Service: "web", Zone: "z", Advertised: r.listener.Addr().String(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		r.mutex.Lock()
		r.target = server.Address()
		r.mutex.Unlock()
		server.CrashOn(deadlyBody)
		f.servers = append(f.servers, server)
	}
	for _, server := range f.servers {
		if server.Advertised == "" {
			server.Close()
		}
	}
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == daemons })
	}
	return f
}

// expireCrashed deletes the store entries of crashed servers after entryExpiry, until the test ends.
func (f *deployment) expireCrashed(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for _, server := range f.servers {
				if server.TakeCrash() {
					time.AfterFunc(entryExpiry, func() { f.store.Delete("servers", server.ID) })
				}
			}
		}
	}()
}

// TestDeadlyRequestBehindRelaysIsStopped repeats the deadly request to servers whose addresses accept connections after
// a crash. It guards against further copies being sent before the crashes are confirmed by the removal of the entries.
func TestDeadlyRequestBehindRelaysIsStopped(t *testing.T) {
	f := startBehindRelays(t, 3, 14)
	f.expireCrashed(t)
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for try := range 60 {
		group.Go(func() { f.send(try%len(f.all), "/plain/x", deadlyBody) })
		time.Sleep(2 * betweenTries)
	}
	group.Wait()
	f.waitUntilHeld(t)
	if crashed := f.crashes(); crashed > crashLimit {
		t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
	}
	for i := range f.all {
		if answer := f.send(i, "/plain/x", "another prompt"); answer.Status != 200 {
			t.Errorf("another request at daemon %d got %d", i, answer.Status)
		}
	}
}

// waitUntilHeld sends the deadly request until it is rejected with a RetryAfter of more than a minute.
func (f *deployment) waitUntilHeld(t *testing.T) {
	t.Helper()
	eventually(t, "the content is held", func() bool { return f.send(0, "/plain/x", deadlyBody).RetryAfter > time.Minute })
}

// TestSuspectIsKnownAfterAllDaemonsWereKilled kills all daemons soon after two servers have crashed under one content.
// It guards against losing the evidence with the daemons, which lets the content crash further servers.
func TestSuspectIsKnownAfterAllDaemonsWereKilled(t *testing.T) {
	f := startWithFragileServers(t, 2)
	time.Sleep(time.Second)
	for f.crashes() < crashLimit-1 {
		f.send(f.crashes()%len(f.all), "/plain/x", deadlyBody)
	}
	time.Sleep(2 * betweenTries)
	for _, daemon := range f.daemons {
		daemon.Kill()
	}
	for i := range f.daemons {
		f.daemons[i] = f.startDaemon(t, f.all[i])
	}
	for i := range f.all {
		eventually(t, "the daemon serves again", func() bool { return f.send(i, "/plain/x", "another prompt").Status == 200 })
	}
	for try := range 8 {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	if crashed := f.crashes(); crashed != crashLimit {
		t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
	}
}
