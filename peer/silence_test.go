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
type severable struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	paths    []*severedPath
	accepted atomic.Int64
}

// severedPath is one connection through the path. What is read while a direction is silent is dropped, or held up.
type severedPath struct {
	ends              [2]net.Conn
	forward, backward atomic.Bool
	held              atomic.Bool
}

func sever(t *testing.T, target string) *severable {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &severable{listener: listener, target: target}
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *severable) accept() {
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
		path := &severedPath{ends: [2]net.Conn{near, far}}
		s.mutex.Lock()
		s.paths = append(s.paths, path)
		s.mutex.Unlock()
		s.accepted.Add(1)
		go path.carry(near, far, &path.forward)
		go path.carry(far, near, &path.backward)
	}
}

func (p *severedPath) carry(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		for p.held.Load() {
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
func (s *severable) silence(forward, backward bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, path := range s.paths {
		path.forward.Store(forward)
		path.backward.Store(backward)
	}
}

// hold holds up what the connections carry, or lets it go on.
func (s *severable) hold(held bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, path := range s.paths {
		path.held.Store(held)
	}
}

func (s *severable) close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, path := range s.paths {
		_ = path.ends[0].Close()
		_ = path.ends[1].Close()
	}
}

// silenceBound is how soon messages must arrive again after their connection has fallen silent: the rules count it as a reset of
// the connections, after which a daemon has 3 s.
const silenceBound = 2 * time.Second

// tellThrough sends numbered messages through a path every 20 ms until the test ends, and returns when the last one arrived.
func tellThrough(t *testing.T, each time.Duration) (path *severable, lastAt *atomic.Int64) {
	t.Helper()
	lastAt = &atomic.Int64{}
	target := listen(t, "key", func(control.Message) { lastAt.Store(time.Now().UnixNano()) })
	path = sever(t, target.Address())
	source := listen(t, "key", func(control.Message) {})
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			source.Send(path.listener.Addr().String(), control.Message{Through: 1})
			select {
			case <-stop:
				return
			case <-time.After(each):
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
	return path, lastAt
}

// TestSilentConnectionIsGivenUp guards against a connection between daemons that has fallen silent for good and is written to
// for as long as the socket takes bytes, while new connections work.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	for name, each := range map[string]time.Duration{"in use": 20 * time.Millisecond, "seldom used": 300 * time.Millisecond} {
		for direction, way := range map[string][2]bool{"both ways": {true, true}, "forward": {true, false}} {
			t.Run(name+", "+direction, func(t *testing.T) {
				t.Parallel()
				path, lastAt := tellThrough(t, each)
				time.Sleep(500 * time.Millisecond)
				path.silence(way[0], way[1])
				severed := time.Now()
				time.Sleep(silenceBound + each)
				if last := time.Unix(0, lastAt.Load()); last.Before(severed.Add(silenceBound / 2)) {
					t.Errorf("no message %v after the connection fell silent", time.Since(severed))
				}
			})
		}
	}
}

// TestSilentSecondEndsNoConnection guards against connections that are given up because the other daemon, or the path to it,
// rests for a second.
func TestSilentSecondEndsNoConnection(t *testing.T) {
	path, _ := tellThrough(t, 20*time.Millisecond)
	for range 2 {
		time.Sleep(400 * time.Millisecond)
		path.hold(true)
		time.Sleep(1100 * time.Millisecond)
		path.hold(false)
	}
	time.Sleep(400 * time.Millisecond)
	if count := path.accepted.Load(); count != 1 {
		t.Errorf("%d connections", count)
	}
}

// TestConnectionAtRestIsKept guards against connections that are given up although nothing was sent.
func TestConnectionAtRestIsKept(t *testing.T) {
	path, _ := tellThrough(t, 2500*time.Millisecond)
	time.Sleep(6 * time.Second)
	if count := path.accepted.Load(); count != 1 {
		t.Errorf("%d connections", count)
	}
}
