package headguard_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wheatweir/wheatweir/internal/headguard"
)

func TestAmbiguous(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	verdicts := make(chan bool, 8)
	server := &http.Server{ConnContext: headguard.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		verdicts <- headguard.Ambiguous(request)
	})}
	go func() { _ = server.Serve(headguard.Listener{Listener: listener}) }()
	defer server.Close()
	const chunks = "\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	cases := []struct {
		name string
		raw  string
		want []bool
	}{
		{"a length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", []bool{false}},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked" + chunks, []bool{false}},
		{"both", "POST / HTTP/1.1\r\nHost: h\r\nContent-length: 5\r\nTransfer-Encoding: chunked" + chunks, []bool{true}},
		{"the field's name in the body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n13\r\n\r\nContent-Length: 5\r\n0\r\n\r\n", []bool{false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for range 2 {
				_, _ = io.Copy(conn, strings.NewReader(c.raw))
				for _, want := range c.want {
					if got := <-verdicts; got != want {
						t.Errorf("ambiguous: %v, want %v", got, want)
					}
				}
				_, _ = conn.Read(make([]byte, 4096))
			}
		})
	}
}
