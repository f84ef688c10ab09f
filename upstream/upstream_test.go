package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/upstream"
)

// startServer starts a TCP server and returns its address. After each complete request
// it calls answer with the raw connection and the number of the request on it.
func startServer(t *testing.T, answer func(conn net.Conn, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					answer(conn, number)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func respondAndClose(text string) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

func call(ctx context.Context, pool *upstream.Pool, address string) (string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/")
	request.SetBodyString("body")
	response, err := pool.Do(ctx, address, request, upstream.Options{})
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1000)
	return string(body), err
}

func TestFaults(t *testing.T) {
	unusedAddress, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		address string
		notSent bool
		sent    bool
		want    string
	}{
		{"connection refused", unusedAddress, true, false, ""},
		{"connection closed before the first byte", startServer(t, respondAndClose("")), false, true, ""},
		{"truncated status line", startServer(t, respondAndClose("HTTP/1.1 2")), false, true, ""},
		{"not HTTP", startServer(t, respondAndClose("hello\r\n\r\n")), false, true, ""},
		{"complete response", startServer(t, respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), false, false, "ok"},
		{"truncated body", startServer(t, respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")), false, true, ""},
		{"complete chunked body", startServer(t, respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")), false, false, "ok"},
		{"chunked body without the final chunk", startServer(t, respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")), false, true, ""},
		{"body without framing", startServer(t, respondAndClose("HTTP/1.1 200 OK\r\n\r\nok")), false, true, ""},
		{"body too large", startServer(t, respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"+string(make([]byte, 2000)))), false, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := upstream.NewPool(upstream.DefaultSettings())
			defer pool.Close()
			body, err := call(context.Background(), pool, c.address)
			if upstream.ErrNotSent.Has(err) != c.notSent || upstream.ErrSent.Has(err) != c.sent || body != c.want {
				t.Fatalf("body %q error %v", body, err)
			}
		})
	}
}

// TestNothingIsSentTwice guards against an automatic retry when the server closes
// a reused connection: common HTTP clients send the request again, which could
// execute a booking twice.
func TestNothingIsSentTwice(t *testing.T) {
	requests := make(chan int, 10)
	address := startServer(t, func(conn net.Conn, number int) {
		requests <- number
		if number == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_ = conn.Close()
	})
	pool := upstream.NewPool(upstream.DefaultSettings())
	defer pool.Close()
	if _, err := call(context.Background(), pool, address); err != nil {
		t.Fatal(err)
	}
	_, err := call(context.Background(), pool, address)
	if !upstream.ErrSent.Has(err) {
		t.Fatalf("error %v is not of class ErrSent", err)
	}
	if first, second := <-requests, <-requests; first != 1 || second != 2 || len(requests) != 0 {
		t.Fatalf("received requests %d and %d, and %d more", first, second, len(requests))
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	clientClosed := make(chan bool)
	address := startServer(t, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, err := conn.Read(make([]byte, 1))
		clientClosed <- err != nil
	})
	pool := upstream.NewPool(upstream.DefaultSettings())
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := call(ctx, pool, address); err == nil {
		t.Fatal("a cancelled call succeeded")
	}
	if !<-clientClosed {
		t.Fatal("the client did not close the connection")
	}
}

// TestBodiesShareTheMemoryBudget guards against bodies that are within their own limits and that exhaust the memory together.
func TestBodiesShareTheMemoryBudget(t *testing.T) {
	const body, bodies = 64 << 10, 8
	settings := upstream.DefaultSettings()
	settings.Memory = membudget.New(2 * body)
	pool := upstream.NewPool(settings)
	defer pool.Close()
	// The bodies lack their last byte until all of them have arrived that far.
	var arrived sync.WaitGroup
	arrived.Add(bodies)
	release := make(chan struct{})
	address := startServer(t, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body-1)))
		arrived.Done()
		<-release
		_, _ = io.WriteString(conn, "x")
	})
	var group sync.WaitGroup
	var failed atomic.Int64
	for range bodies {
		group.Go(func() {
			request := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(request)
			request.SetRequestURI("http://" + address + "/")
			response, err := pool.Do(context.Background(), address, request, upstream.Options{})
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := response.ReadAll(2 * body); err != nil {
				failed.Add(1)
				if !upstream.ErrSent.Has(err) || !membudget.ErrExhausted.Has(err) {
					t.Error(err)
				}
			}
		})
	}
	arrived.Wait()
	time.Sleep(100 * time.Millisecond)
	close(release)
	group.Wait()
	if usage := settings.Memory.Usage(membudget.AnswerBody); usage.Bytes != 0 || usage.Peak > 2*body || failed.Load() == 0 || failed.Load() == bodies {
		t.Errorf("%+v; %d of %d failed", usage, failed.Load(), bodies)
	}
}

// TestHeadsWithoutEndAreNotRead guards against a head that is gathered for as long as bytes come.
func TestHeadsWithoutEndAreNotRead(t *testing.T) {
	for _, part := range []string{"\x17", "HTTP/1.1 200 OK\r\nX-Long: x", "HTTP/1.1 200 OK\r\na: b\r\n", "HTTP/1.1 102 Processing\r\n\r\n"} {
		sent := make(chan int, 1)
		address := startServer(t, func(conn net.Conn, _ int) {
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			total, _ := io.WriteString(conn, part)
			repeated := strings.Repeat(part[max(0, len(part)-8):], 4<<10)
			if strings.HasPrefix(part, "HTTP/1.1 102") {
				repeated = strings.Repeat(part, 1<<10)
			}
			for {
				count, err := io.WriteString(conn, repeated)
				total += count
				if err != nil {
					sent <- total
					return
				}
			}
		})
		pool := upstream.NewPool(upstream.DefaultSettings())
		if _, err := call(context.Background(), pool, address); !upstream.ErrSent.Has(err) {
			t.Errorf("%.20q: error %v", part, err)
		}
		pool.Close()
		// The sockets' buffers take some megabytes.
		if total := <-sent; total > 32<<20 {
			t.Errorf("%.20q: %d bytes were sent", part, total)
		}
	}
}
