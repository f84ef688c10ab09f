package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/upstream"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"

// TestLeftoversSpoilNoAnswer guards against a success with an empty, short or foreign body: what a server left behind an answer is
// taken for the next one, or for a part of its head. Whole answers that come after the next request was sent are not among these:
// nothing tells them apart.
func TestLeftoversSpoilNoAnswer(t *testing.T) {
	for name, left := range map[string]string{
		"a reason":              "HTTP/1.1 200 O",
		"a status line":         "HTTP/1.1 200 OK\r\n",
		"a field name":          "HTTP/1.1 200 OK\r\nContent-Length",
		"an empty body":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Trace: ab",
		"a short body":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Trace: ab",
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Trace: ab",
		"no content":            "HTTP/1.1 204 No Content\r\nX-Trace: ab",
		"a folded field":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Trace: ab\r\n ",
		"a field, with LF":      "HTTP/1.1 200 OK\nContent-Length: 0\nX-Trace: ab",
		"an interim answer":     "HTTP/1.1 103 Early Hints\r\nX-Trace: ab",
		"a field after that":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Trace: ab",
		"an empty line":         "\r\n",
		"bytes of another kind": "\x00\x01",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startServer(t, func(conn net.Conn, number int) {
				if number == 1 {
					_, _ = io.WriteString(conn, okAnswer)
					return
				}
				_, _ = io.WriteString(conn, left+okAnswer)
			})
			checkCalls(t, address, 4, func() { time.Sleep(5 * time.Millisecond) })
		})
	}
}

// checkCalls makes calls whose answers are "mine" or errors. Settle waits until what the server sends behind a whole answer has arrived.
func checkCalls(t *testing.T, address string, calls int, settle func()) {
	t.Helper()
	settings := upstream.DefaultSettings()
	settings.IdleTimeout = 300 * time.Millisecond
	pool := upstream.NewPool(settings)
	defer pool.Close()
	for range calls {
		body, err := call(context.Background(), pool, address)
		if err == nil && body != "mine" {
			t.Errorf("a success with the body %q", body)
		}
		if err == nil {
			settle()
		}
	}
}

// TestAnswersBehindAnAnswerAreNotUsed guards against the answer of another request: it was there before the request was sent, in one
// piece with the answer before it or later.
func TestAnswersBehindAnAnswerAreNotUsed(t *testing.T) {
	for _, apart := range []time.Duration{0, time.Millisecond} {
		t.Run(fmt.Sprint(apart), func(t *testing.T) {
			sent := make(chan struct{}, 100)
			checkCalls(t, startServer(t, func(conn net.Conn, _ int) {
				defer func() { sent <- struct{}{} }()
				const other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
				if apart == 0 {
					_, _ = io.WriteString(conn, okAnswer+other)
					return
				}
				_, _ = io.WriteString(conn, okAnswer)
				time.Sleep(apart)
				_, _ = io.WriteString(conn, other)
			}), 5, func() { <-sent })
		})
	}
}

// TestAnswersFramedTwiceAreRefused guards against a body whose end depends on which of two fields is believed.
func TestAnswersFramedTwiceAreRefused(t *testing.T) {
	for name, answer := range map[string]string{
		"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nmine",
		"two lengths, the other":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nmine",
		"a length and chunks":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"chunks in an old version": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"a line that is no field":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nnothing\r\n\r\nmine",
		"a second status line":     "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK: well\r\nContent-Length: 4\r\n\r\nmine",
	} {
		pool := upstream.NewPool(upstream.DefaultSettings())
		if body, err := call(context.Background(), pool, startServer(t, respondAndClose(answer))); err == nil {
			t.Errorf("%s: a success with the body %q", name, body)
		}
		pool.Close()
	}
}

// TestAnswersCutInTheHeadAreNoSuccess guards against a success with an empty or short body of a server that stopped in the middle of
// its answer's head.
func TestAnswersCutInTheHeadAreNoSuccess(t *testing.T) {
	for name, head := range map[string]string{
		"a length":               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Trace: a\r\n\r\n",
		"an empty body":          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunks":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no framing":             "HTTP/1.1 200 OK\r\nX-Trace: a\r\n\r\n",
		"no content":             "HTTP/1.1 204 No Content\r\nX-Trace: a\r\n\r\n",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"an interim answer":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"lines that end with LF": "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"a folded field":         "HTTP/1.1 200 OK\r\nX-Trace: a\r\n b\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var place atomic.Int64
			var resets atomic.Bool
			address := startServer(t, func(conn net.Conn, _ int) {
				_, _ = io.WriteString(conn, head[:place.Load()])
				if resets.Load() {
					// The bytes arrive before the reset.
					time.Sleep(time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			settings := upstream.DefaultSettings()
			// A busy machine takes its time, and a case whose server is not reached shows nothing.
			settings.DialTimeout = time.Minute
			pool := upstream.NewPool(settings)
			defer pool.Close()
			for _, reset := range []bool{false, true} {
				resets.Store(reset)
				for place.Store(0); place.Load() < int64(len(head)); place.Add(1) {
					if body, err := call(context.Background(), pool, address); !upstream.ErrSent.Has(err) {
						t.Errorf("cut after %q, reset %t: %q, %v", head[:place.Load()], reset, body, err)
					}
				}
			}
		})
	}
}
