package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/control"
)

// severable is a path whose open connections can fall silent, while new ones work. Its ends are acknowledged by the
// kernel all the time, as they are by whatever stands between two daemons.
type faultyProxy struct {
	listener    net.Listener
	target      string
	mutex       sync.Mutex
	connections []*proxiedConnection
	accepted    atomic.Int64
}

// severedPath is one connection through the path. What is read while a direction is silent is dropped, or held up.
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
	s := &faultyProxy{listener: listener, target: target}
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *faultyProxy) accept() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		proxy := &proxiedConnection{ends: [2]net.Conn{near, far}}
		s.mutex.Lock()
		s.connections = append(s.connections, proxy)
		s.mutex.Unlock()
		s.accepted.Add(1)
		go proxy.copyBytes(near, far, &proxy.forward)
		go proxy.copyBytes(far, near, &proxy.backward)
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

// silence makes the connections of now silent in one or both directions, for good.
func (s *faultyProxy) silence(forward, backward bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, proxy := range s.connections {
		proxy.forward.Store(forward)
		proxy.backward.Store(backward)
	}
}

// hold holds up what the connections carry, or lets it go on.
func (s *faultyProxy) stall(stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, proxy := range s.connections {
		proxy.stalled.Store(stalled)
	}
}

func (s *faultyProxy) close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, proxy := range s.connections {
		_ = proxy.ends[0].Close()
		_ = proxy.ends[1].Close()
	}
}

// silenceBound is how soon messages must arrive again after their connection has fallen silent: the rules count it as a reset of
// the connections, after which a daemon has 3 s.
const recoveryTimeout = 2 * time.Second

// tellThrough sends numbered messages through a path every 20 ms until the test ends, and returns when the last one arrived.
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

// TestSilentConnectionIsGivenUp guards against a connection between daemons that has fallen silent for good and is written to
// for as long as the socket takes bytes, while new connections work.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	for name, interval := range map[string]time.Duration{"in use": 20 * time.Millisecond, "seldom used": 300 * time.Millisecond} {
		for direction, silenced := range map[string][2]bool{"both ways": {true, true}, "forward": {true, false}} {
			t.Run(name+", "+direction, func(t *testing.T) {
				t.Parallel()
				proxy, lastAt := sendThrough(t, interval)
				time.Sleep(500 * time.Millisecond)
				proxy.silence(silenced[0], silenced[1])
				silencedAt := time.Now()
				time.Sleep(recoveryTimeout + interval)
				if last := time.Unix(0, lastAt.Load()); last.Before(silencedAt.Add(recoveryTimeout / 2)) {
					t.Errorf("no message %v after the connection fell silent", time.Since(silencedAt))
				}
			})
		}
	}
}

// TestSilentSecondEndsNoConnection guards against connections that are given up because the other daemon, or the path to it,
// rests for a second.
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
		t.Errorf("%d connections", count)
	}
}

// TestConnectionAtRestIsKept guards against connections that are given up although nothing was sent.
func TestConnectionAtRestIsKept(t *testing.T) {
	proxy, _ := sendThrough(t, 2500*time.Millisecond)
	time.Sleep(6 * time.Second)
	if count := proxy.accepted.Load(); count != 1 {
		t.Errorf("%d connections", count)
	}
}
