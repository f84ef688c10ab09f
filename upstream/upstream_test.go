package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wheatweir/wheatweir/internal/loopback"
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
