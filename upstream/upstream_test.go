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

// server answers each connection by a function that gets the raw connection
// after a whole request was read from it.
func server(t *testing.T, answer func(conn net.Conn, number int)) string {
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

func write(text string) func(net.Conn, int) {
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
	closed, err := loopback.Address()
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
		{"nobody listens", closed, true, false, ""},
		{"closed before the first byte", server(t, write("")), false, true, ""},
		{"broken head", server(t, write("HTTP/1.1 2")), false, true, ""},
		{"not HTTP", server(t, write("hello\r\n\r\n")), false, true, ""},
		{"whole answer", server(t, write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), false, false, "ok"},
		{"short answer", server(t, write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")), false, true, ""},
		{"whole chunks", server(t, write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")), false, false, "ok"},
		{"chunks without their end", server(t, write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")), false, true, ""},
		{"a body that ends with the connection", server(t, write("HTTP/1.1 200 OK\r\n\r\nok")), false, true, ""},
		{"too large", server(t, write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"+string(make([]byte, 2000)))), false, true, ""},
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

// TestNothingIsSentTwice covers a kept connection that the other side closes:
// ready-made clients send the request again, which could run a booking twice.
func TestNothingIsSentTwice(t *testing.T) {
	requests := make(chan int, 10)
	address := server(t, func(conn net.Conn, number int) {
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
		t.Fatalf("error %v does not say that the request was sent", err)
	}
	if first, second := <-requests, <-requests; first != 1 || second != 2 || len(requests) != 0 {
		t.Fatalf("requests %d, %d and %d more", first, second, len(requests))
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan bool)
	address := server(t, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, err := conn.Read(make([]byte, 1))
		gone <- err != nil
	})
	pool := upstream.NewPool(upstream.DefaultSettings())
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := call(ctx, pool, address); err == nil {
		t.Fatal("a cancelled call succeeded")
	}
	if !<-gone {
		t.Fatal("the connection is still open")
	}
}
