package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/control"
)

// faultyProxy is a TCP proxy whose open connections can be made silent, while new ones work. The
// kernel acknowledges all bytes at both ends, as a middlebox between two daemons may do.
type faultyProxy struct {
	listener    net.Listener
	target      string
	mutex       sync.Mutex
	connections []*proxiedConnection
	accepted    atomic.Int64
}

// proxiedConnection is one connection through the proxy. Bytes that are read while a direction is
// silent are dropped; bytes that are read while it is stalled are delayed.
type proxiedConnection struct {
	ends              [2]net.Conn
	forward, backward atomic.Bool
	stalled           atomic.Bool
}

func newFaultyProxy(t *testing.T, target string) *faultyProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultyProxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *faultyProxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		connection := &proxiedConnection{ends: [2]net.Conn{near, far}}
		p.mutex.Lock()
		p.connections = append(p.connections, connection)
		p.mutex.Unlock()
		p.accepted.Add(1)
		go connection.copyBytes(near, far, &connection.forward)
		go connection.copyBytes(far, near, &connection.backward)
	}
}

func (p *proxiedConnection) copyBytes(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		for p.stalled.Load() {
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			if !silent.Load() {
				_ = to.Close()
			}
			return
		}
		if !silent.Load() {
			_, _ = to.Write(buffer[:count])
		}
	}
}

// silence makes the present connections silent in one or both directions, for good.
func (p *faultyProxy) silence(forward, backward bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range p.connections {
		connection.forward.Store(forward)
		connection.backward.Store(backward)
	}
}

// stall delays the bytes on the connections, or lets them continue.
func (p *faultyProxy) stall(stalled bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range p.connections {
		connection.stalled.Store(stalled)
	}
}

func (p *faultyProxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range p.connections {
		_ = connection.ends[0].Close()
		_ = connection.ends[1].Close()
	}
}

// recoveryTimeout is how soon messages must arrive again after their connection has become silent.
// A silent connection counts as a connection reset, after which a daemon has 3 s to recover.
const recoveryTimeout = 2 * time.Second

// sendThrough sends messages through a proxy, one per interval, until the test ends. lastAt is the
// time at which the last one arrived, in Unix nanoseconds.
func sendThrough(t *testing.T, interval time.Duration) (proxy *faultyProxy, lastAt *atomic.Int64) {
	t.Helper()
	lastAt = &atomic.Int64{}
	target := listen(t, "key", func(control.Message) { lastAt.Store(time.Now().UnixNano()) })
	proxy = newFaultyProxy(t, target.Address())
	source := listen(t, "key", func(control.Message) {})
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			source.Send(proxy.listener.Addr().String(), control.Message{Through: 1})
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	for lastAt.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return proxy, lastAt
}

// TestSilentConnectionIsGivenUp guards against a connection between daemons that no longer delivers
// but is written to for as long as the socket takes bytes, while new connections work.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	for name, interval := range map[string]time.Duration{"in use": 20 * time.Millisecond, "rarely used": 300 * time.Millisecond} {
		for direction, silenced := range map[string][2]bool{"both ways": {true, true}, "forward": {true, false}} {
			t.Run(name+", "+direction, func(t *testing.T) {
				t.Parallel()
				proxy, lastAt := sendThrough(t, interval)
				time.Sleep(500 * time.Millisecond)
				proxy.silence(silenced[0], silenced[1])
				silencedAt := time.Now()
				time.Sleep(recoveryTimeout + interval)
				if last := time.Unix(0, lastAt.Load()); last.Before(silencedAt.Add(recoveryTimeout / 2)) {
					t.Errorf("no message %v after the connection became silent", time.Since(silencedAt))
				}
			})
		}
	}
}

// TestSilentSecondEndsNoConnection guards against connections that are closed because the other
// daemon, or the path to it, stalls for a second.
func TestSilentSecondEndsNoConnection(t *testing.T) {
	proxy, _ := sendThrough(t, 20*time.Millisecond)
	for range 2 {
		time.Sleep(400 * time.Millisecond)
		proxy.stall(true)
		time.Sleep(1100 * time.Millisecond)
		proxy.stall(false)
	}
	time.Sleep(400 * time.Millisecond)
	if count := proxy.accepted.Load(); count != 1 {
		t.Errorf("%d connections were opened, want 1", count)
	}
}

// TestConnectionAtRestIsKept guards against idle connections that are closed as unacknowledged
// although nothing was sent.
func TestConnectionAtRestIsKept(t *testing.T) {
	proxy, _ := sendThrough(t, 2500*time.Millisecond)
	time.Sleep(6 * time.Second)
	if count := proxy.accepted.Load(); count != 1 {
		t.Errorf("%d connections were opened, want 1", count)
	}
}

// TestOnlySmallAcknowledgementsAreRead guards against a daemon that claims a large acknowledgement, for which memory is taken.
func TestOnlySmallAcknowledgementsAreRead(t *testing.T) {
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer accepting.Close()
	key := []byte("key")
	go func() {
		far, err := accepting.Accept()
		if err != nil {
			return
		}
		defer far.Close()
		if opened, err := openSession(far, key, false); err == nil {
			_ = opened.writeFrame(make([]byte, acknowledgementBytes+1))
		}
	}()
	near, err := net.Dial("tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	dialer, err := openSession(near, key, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := dialer.readFrame(); !ErrProtocol.Has(err) {
		t.Errorf("error %v", err)
	}
}
