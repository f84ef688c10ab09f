package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// These tests run one after the other: each measures what one process holds.

const (
	// smallMemoryMB is the memory of a machine that a small crowd can fill, smallDescriptors what its process may open, of which
	// a crowd must leave ownDescriptors.
	smallMemoryMB    = 64
	smallDescriptors = 256
	ownDescriptors   = 32
	// headCrowd is how many clients send heads, connectionCrowd how many only connect.
	headCrowd       = 300
	connectionCrowd = 400
	// insideHead is the size of a head that is within all limits but for its end.
	insideHead = 60 << 10
)

// unfinishedHeads are beginnings of requests, and what follows them again and again.
func unfinishedHeads(path string) map[string][2][]byte {
	line := []byte("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\n")
	return map[string][2][]byte{
		"one long field":             {append(append([]byte{}, line...), append([]byte("X-Long: "), bytes.Repeat([]byte("x"), insideHead)...)...), nil},
		"many fields":                {append(append([]byte{}, line...), manyFields(insideHead)...), nil},
		"one field without end":      {append(append([]byte{}, line...), "X-Long: "...), bytes.Repeat([]byte("x"), 16<<10)},
		"fields without end":         {line, manyFields(16 << 10)},
		"request line without end":   {[]byte("POST /"), bytes.Repeat([]byte("x"), 16<<10)},
		"empty lines without end":    {nil, bytes.Repeat([]byte("\r\n"), 8<<10)},
		"whole heads without bodies": {append(append(append([]byte{}, line...), manyFields(insideHead)...), "Content-Length: 1000\r\n\r\n"...), nil},
	}
}

// listeners are the addresses of a daemon that speak HTTP, with a path that each knows.
func (d *entryDaemon) listeners() map[string][2]string {
	return map[string][2]string{
		"front": {d.front, "/calm/x"}, "ready": {d.ready, "/ready"}, "directory": {d.directory, "/resolve"}, "metrics": {d.metrics, "/metrics"},
	}
}

func (d *entryDaemon) addresses() []string {
	return []string{d.front, d.ready, d.directory, d.metrics, d.peers}
}

// TestCrowdsOfHeadsTakeNoMemory guards against clients whose heads have no end, or are whole and inside the limits, and that use up the
// memory of the process together.
func TestCrowdsOfHeadsTakeNoMemory(t *testing.T) {
	binary := buildBinary(t)
	for _, listener := range []string{"front", "ready", "directory", "metrics"} {
		for name := range unfinishedHeads("") {
			t.Run(listener+"/"+name, func(t *testing.T) {
				d := startEntryDaemonOn(t, binary, entryMachine{memoryMB: smallMemoryMB})
				target := d.listeners()[listener]
				sent := unfinishedHeads(target[1])[name]
				d.checkCrowd(t, &crowd{address: target[0], size: headCrowd, misbehaviour: misbehaviour{opening: sent[0], more: sent[1]}}, resources{memoryMB: smallMemoryMB})
			})
		}
	}
}

// TestCrowdsOfRequestsTakeNoMemory guards against clients that send whole heads and more than is read of what follows them: bodies that are
// too large, requests behind others, the largest heads again and again; and against those that do not read what they are answered.
func TestCrowdsOfRequestsTakeNoMemory(t *testing.T) {
	const (
		crowdSize  = 200
		answerSize = 512 << 10
	)
	binary := buildBinary(t)
	request := func(path, fields string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\nX-Model: m\r\nX-Token-Count: 10,10\r\n" + fields + "\r\n"
	}
	piece := bytes.Repeat([]byte("x"), 64<<10)
	heavy := []byte(request("/calm/x", string(manyFields(insideHead))+"Content-Length: 0\r\n"))
	small := request("/safe/x", "Content-Length: 0\r\n")
	for name, c := range map[string]struct {
		listener string
		does     misbehaviour
	}{
		"bodies over the limit":       {"front", misbehaviour{opening: []byte(request("/calm/x", "Content-Length: 1000000000\r\n")), more: piece}},
		"chunks over the limit":       {"front", misbehaviour{opening: []byte(request("/calm/x", "Transfer-Encoding: chunked\r\n") + "40000000\r\n"), more: piece}},
		"largest heads":               {"front", misbehaviour{opening: heavy, more: heavy}},
		"requests behind one":         {"front", misbehaviour{opening: bytes.Repeat([]byte(small), 1200)}},
		"answers that nobody reads":   {"front", misbehaviour{opening: bytes.Repeat([]byte(request("/unsafe/x", "Content-Length: 0\r\n")), 20), deaf: true}},
		"metrics that nobody reads":   {"metrics", misbehaviour{opening: bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 200), deaf: true}},
		"questions with endless body": {"directory", misbehaviour{opening: []byte("POST /resolve HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n"), more: piece}},
	} {
		t.Run(name, func(t *testing.T) {
			d := startEntryDaemonOn(t, binary, entryMachine{memoryMB: smallMemoryMB})
			if name == "answers that nobody reads" {
				d.serve(t, "faulty-1", func(writer http.ResponseWriter, request *http.Request) {
					writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
					writer.Header().Set("X-Server-Signature", "s")
					_, _ = writer.Write(make([]byte, answerSize))
				})
			}
			d.checkCrowd(t, &crowd{address: d.listeners()[c.listener][0], size: crowdSize, misbehaviour: c.does}, resources{memoryMB: smallMemoryMB})
		})
	}
}

// TestCrowdsOfRequestsLeaveDescriptors guards against clients that have had an answer, or send a body slowly, and then keep their
// connections.
func TestCrowdsOfRequestsLeaveDescriptors(t *testing.T) {
	binary := buildBinary(t)
	head := "POST /none/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\n"
	for name, does := range map[string]misbehaviour{
		"idle after an answer": {opening: []byte(head + "Content-Length: 0\r\n\r\n")},
		"stalled body":         {opening: []byte(head + "Content-Length: 1000\r\n\r\n")},
		"slow body":            {opening: []byte(head + "Content-Length: 1000000\r\n\r\n"), more: []byte("x")},
		"slow head":            {opening: []byte(head), more: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			d := startEntryDaemonOn(t, binary, entryMachine{memoryMB: entryMemoryMB, descriptors: smallDescriptors})
			clients := &crowd{address: d.front, size: connectionCrowd, misbehaviour: does}
			d.checkCrowd(t, clients, resources{memoryMB: entryMemoryMB, descriptors: smallDescriptors - ownDescriptors})
		})
	}
}

// TestCrowdsOfConnectionsLeaveDescriptors guards against clients that only connect, and take the descriptors that the daemon needs for
// the store, servers, other daemons and its other addresses.
func TestCrowdsOfConnectionsLeaveDescriptors(t *testing.T) {
	binary := buildBinary(t)
	for _, listener := range []string{"front", "ready", "directory", "metrics", "peers"} {
		t.Run(listener, func(t *testing.T) {
			d := startEntryDaemonOn(t, binary, entryMachine{memoryMB: entryMemoryMB, descriptors: smallDescriptors})
			address := d.peers
			if target, found := d.listeners()[listener]; found {
				address = target[0]
			}
			most := resources{memoryMB: entryMemoryMB, descriptors: smallDescriptors - ownDescriptors}
			d.checkCrowd(t, &crowd{address: address, size: connectionCrowd}, most)
		})
	}
}

// TestDaemonsStopBesideACrowd guards against clients that hold up a planned stop.
func TestDaemonsStopBesideACrowd(t *testing.T) {
	d := startEntryDaemonOn(t, buildBinary(t), entryMachine{memoryMB: entryMemoryMB, descriptors: smallDescriptors})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	clients := &crowd{address: d.front, size: connectionCrowd, misbehaviour: misbehaviour{opening: []byte("POST /calm/x HTTP/1.1\r\n")}}
	clients.start(ctx, &group)
	clients.waitPlaced(t)
	if err := d.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(crowdTimeout); ; time.Sleep(50 * time.Millisecond) {
		if _, running := residentMB(d.process.Pid); !running {
			return
		}
		if time.Now().After(until) {
			t.Fatal("the process does not end")
		}
	}
}

// checkCrowd checks that the daemon lives beside a crowd, within its bounds, that ordinary clients of each address get answers while the
// crowd stays and afterwards, and that a new configuration comes into force.
func (d *entryDaemon) checkCrowd(t *testing.T, clients *crowd, most resources) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var watching, group sync.WaitGroup
	watched, stopWatching := context.WithCancel(context.Background())
	watcher := watchResources(watched, &watching, d.process.Pid, d.addresses()...)
	defer func() {
		cancel()
		group.Wait()
		stopWatching()
		watching.Wait()
		watcher.check(t, most)
	}()
	clients.start(ctx, &group)
	clients.waitPlaced(t)
	d.checkOrdinary(t, "beside the crowd", 2)
	cancel()
	group.Wait()
	d.checkOrdinary(t, "after the crowd", 3)
}

// ordinaryTimeout is how long an ordinary client waits for one answer before it tries again.
const ordinaryTimeout = 5 * time.Second

// checkOrdinary checks that an ordinary client gets an answer at each address, and that a new configuration comes into force.
func (d *entryDaemon) checkOrdinary(t *testing.T, when string, version uint64) {
	t.Helper()
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	d.configureAgain(version)
	waitUntil(t, d.process.Pid, "a request is answered "+when, func() bool {
		sent := standin.ClientRequest{ID: fmt.Sprint("ordinary-", version), Host: "h.example", Path: "/calm/x", Model: "m", PromptTokens: 10, OutputTokens: 10, Patience: ordinaryTimeout}
		answer, err := (&standin.Client{HTTP: client}).Do(context.Background(), d.front, sent)
		return err == nil && answer.Status == http.StatusOK && answer.Complete
	})
	for name, target := range map[string]string{"ready": d.ready + "/ready", "directory": d.directory + "/resolve?region=r&zone=z", "metrics": d.metrics + "/metrics"} {
		waitUntil(t, d.process.Pid, name+" is answered "+when, func() bool {
			response, err := client.Get("http://" + target)
			if err != nil {
				return false
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return err == nil && response.StatusCode == http.StatusOK
		})
	}
	waitUntil(t, d.process.Pid, "the new configuration is in force "+when, func() bool {
		sent := standin.ClientRequest{ID: fmt.Sprint("new-", version), Host: "h.example", Path: fmt.Sprintf("/new-%d/x", version), Model: "m", PromptTokens: 10, OutputTokens: 10, Patience: ordinaryTimeout}
		answer, err := (&standin.Client{HTTP: client}).Do(context.Background(), d.front, sent)
		return err == nil && answer.Status == http.StatusOK && answer.Complete
	})
}

// configureAgain puts a configuration with one route more.
func (d *entryDaemon) configureAgain(version uint64) {
	next := *d.configuration
	next.Version = version
	next.Routes = append([]fleet.Route{}, d.configuration.Routes...)
	added := next.Routes[0]
	added.Name, added.PathPrefix = fmt.Sprint("new-", version), fmt.Sprintf("/new-%d/", version)
	next.Routes = append(next.Routes, added)
	d.store.Configure(&next)
}
