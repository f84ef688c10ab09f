package messageheadtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server that answers each request with a head and a JSON body, and keeps its connections. It returns its address.
func Serve(t *testing.T, c Case, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answer := c.Head(fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))) + body
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, answer)
		}
	}()
	return listener.Addr().String()
}

// answerAll answers each request on a connection alike.
func answerAll(conn net.Conn, answer string) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
	}
}
