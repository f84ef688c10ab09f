package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestManyUploadsTakeNoMemory guards against bodies of requests that are each as large as is allowed and that exhaust the memory of
// the daemon together, with all that it has taken. What finds no room is refused as not run, while its client still sends.
func TestManyUploadsTakeNoMemory(t *testing.T) {
	const (
		uploads   = 120
		bodyBytes = 4 << 20
		// lastSent is kept back, so that all bodies are held at the same time.
		lastSent = 1
	)
	d := startEntryDaemon(t, buildBinary(t))
	var refused, unanswered atomic.Int64
	d.checkCalm(t, func(ctx context.Context) {
		var group sync.WaitGroup
		for number := range uploads {
			group.Go(func() {
				conn, err := net.Dial("tcp", d.front)
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
				defer stop()
				_, _ = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: u-%d\r\nContent-Length: %d\r\n\r\n", number, bodyBytes)
				_, _ = conn.Write(make([]byte, bodyBytes-lastSent))
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					unanswered.Add(1)
					return
				}
				_, err = io.Copy(io.Discard, answer.Body)
				if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
					t.Errorf("status %d, %v, %v", answer.StatusCode, answer.Header, err)
				}
				refused.Add(1)
			})
		}
		group.Wait()
	})
	if refused.Load() == 0 || unanswered.Load() == 0 {
		t.Errorf("%d uploads were refused, %d held", refused.Load(), unanswered.Load())
	}
	if used := d.metric(t, `wheatweir_memory_reserved_peak_bytes{kind="request_body"}`); used == 0 {
		t.Error("the metric does not tell of the bodies")
	}
}
