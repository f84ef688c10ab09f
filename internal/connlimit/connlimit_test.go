package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/membudget"
)

// server is an HTTP server on a listener with limits. A request to /wait ends when release is closed.
type server struct {
	*connlimit.Listener
	release chan struct{}
	served  atomic.Int64
}

func start(t *testing.T, options connlimit.Options) *server {
	t.Helper()
	if options.Limits == nil {
		options.Limits = func() connlimit.Limits { return connlimit.Limits{HeadBytes: 64 << 10, IdleTimeout: time.Minute} }
	}
	options.Refusals = true
	listener, err := connlimit.Listen("127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: listener, release: make(chan struct{})}
	handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		s.served.Add(1)
		if request.URL.Path == "/wait" {
			<-s.release
		}
	})
	library := &http.Server{Handler: handler, ConnState: connlimit.NoteState}
	go func() { _ = library.Serve(listener) }()
	t.Cleanup(func() { _ = library.Close() })
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// ask sends a request and returns the status of the answer; zero if there is none.
func ask(conn net.Conn, path string) int {
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return statusOf(conn)
}

func statusOf(conn net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}

// TestUnusedConnectionsGiveWay guards against clients that hold all connections and keep others out.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	const most = 8
	s := start(t, connlimit.Options{Most: most})
	kept := s.dial(t)
	if status := ask(kept, "/"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for range 3 * most {
		s.dial(t)
	}
	// Those that have had no request served give way first, once they are not young any more; until then they keep half of the places.
	time.Sleep(1100 * time.Millisecond)
	for number := range 3 * most {
		if status := ask(s.dial(t), "/"); status != http.StatusOK {
			t.Errorf("client %d beside a crowd: %d", number, status)
		}
	}
	if counts := s.Counts(); counts.Open > most+1 || counts.GaveWay < 4*most {
		t.Errorf("%+v", counts)
	}
}

// TestRequestsInServiceDoNotGiveWay guards against requests that are cut off for new connections. Those are told so.
func TestRequestsInServiceDoNotGiveWay(t *testing.T) {
	const most = 8
	s := start(t, connlimit.Options{Most: most})
	var serving []net.Conn
	for range most {
		conn := s.dial(t)
		_, _ = io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		serving = append(serving, conn)
	}
	eventually(t, "all are in service", func() bool { return s.served.Load() == most })
	if status := statusOf(s.dial(t)); status != http.StatusServiceUnavailable {
		t.Errorf("a client too many: %d", status)
	}
	close(s.release)
	for _, conn := range serving {
		if status := statusOf(conn); status != http.StatusOK {
			t.Errorf("in service: %d", status)
		}
	}
	if counts := s.Counts(); counts.Refused != 1 || counts.GaveWay != 0 {
		t.Errorf("%+v", counts)
	}
}

// TestTheLargestHeadGivesWay guards against heads that are within their limit and that use up memory together, and against small
// requests that are refused for them.
func TestTheLargestHeadGivesWay(t *testing.T) {
	const memory = 2 << 20
	budget := membudget.New(0)
	budget.Separate(membudget.RequestHead, memory)
	s := start(t, connlimit.Options{Most: 1000, Memory: budget})
	var heads []net.Conn
	for range 20 {
		conn := s.dial(t)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 60<<10))
		heads = append(heads, conn)
	}
	eventually(t, "heads give way or find no room", func() bool {
		counts := s.Counts()
		return counts.GaveWay+counts.HeadsWithoutRoom >= 10
	})
	if usage := budget.Usage(membudget.RequestHead); usage.Peak > memory {
		t.Errorf("%+v", usage)
	}
	if status := ask(s.dial(t), "/"); status != http.StatusOK {
		t.Errorf("a small request: %d", status)
	}
	for _, conn := range heads {
		_ = conn.Close()
	}
	eventually(t, "all memory is given back", func() bool { return budget.Usage(membudget.RequestHead).Bytes == 0 })
}

// TestCountsReturnToNone guards against connections that are counted after their end, in any way to end.
func TestCountsReturnToNone(t *testing.T) {
	const most = 16
	limits := connlimit.Limits{HeadBytes: 1 << 10, HeadTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	s := start(t, connlimit.Options{Most: most, Limits: func() connlimit.Limits { return limits }})
	for number := range 10 * most {
		conn := s.dial(t)
		switch number % 5 {
		case 0:
			ask(conn, "/")
		case 1:
			_, _ = io.WriteString(conn, "GET / HT")
		case 2:
			_, _ = io.WriteString(conn, "GET /"+strings.Repeat("x", 8<<10))
		case 3:
			_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
		}
		if number%3 == 0 {
			_ = conn.Close()
		}
	}
	eventually(t, "no connection is open", func() bool { return s.Counts().Open == 0 })
	// The limit is whole again.
	for range most {
		if status := ask(s.dial(t), "/"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
}

// TestReportsDoNotGrowWithTheCrowd guards against log lines that clients multiply.
func TestReportsDoNotGrowWithTheCrowd(t *testing.T) {
	var observer connlimit.Observer
	now := time.Unix(0, 0)
	reports, ended := 0, 0
	for step := range 1000 {
		refused := int64(min(step, 600) * 50)
		for _, report := range observer.Observe(now, map[connlimit.Name]connlimit.Counts{connlimit.Front: {Refused: refused}, connlimit.Peers: {}}) {
			reports++
			if report.Ended {
				ended++
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
	if reports < 25 || reports > 35 || ended != 1 {
		t.Errorf("%d reports in 30 s of refusals, %d of the end", reports, ended)
	}
}

// TestSharesLeaveDescriptors guards against listeners that together may take all descriptors of any machine.
func TestSharesLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{256, 1024, 3075, 4100, 10250} {
		machine := connlimit.Machine{Descriptors: descriptors}
		sum := 0
		for _, name := range []connlimit.Name{connlimit.Front, connlimit.Directory, connlimit.Ready, connlimit.Metrics, connlimit.Peers} {
			sum += machine.Connections(name) * 5 / 4
		}
		if sum > descriptors*3/4 {
			t.Errorf("%d of %d descriptors", sum, descriptors)
		}
	}
}
