package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/internal/messagehead/messageheadtest"
	"github.com/wheatweir/wheatweir/upstream"
)

// atOnce is how soon a call ends whatever its server sent.
const atOnce = time.Second

const mineFields = "Content-Length: 4\r\n"

// timedCall makes a call that has much longer than atOnce.
func timedCall(t *testing.T, pool *upstream.Pool, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	began := time.Now()
	body, err := call(ctx, pool, address)
	if took := time.Since(began); took > atOnce {
		t.Errorf("the call takes %v", took)
	}
	return body, err
}

// TestMalformedHeadsAreNoAnswer guards against heads that no server sends and that are taken for answers, with a status, fields or a
// body that the server did not send, and against calls that wait for their whole time.
func TestMalformedHeadsAreNoAnswer(t *testing.T) {
	for _, c := range messageheadtest.Malformed() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			for _, ends := range []bool{false, true} {
				var whole atomic.Bool
				address := startServer(t, func(conn net.Conn, _ int) {
					if whole.Load() {
						_, _ = io.WriteString(conn, okAnswer)
						return
					}
					_, _ = io.WriteString(conn, c.Head(mineFields)+"mine")
					if ends {
						_ = conn.Close()
					}
				})
				pool := upstream.NewPool(upstream.DefaultSettings())
				defer pool.Close()
				for _, sound := range []bool{false, true, false} {
					whole.Store(sound)
					body, err := timedCall(t, pool, address)
					if sound && body != "mine" || !sound && !upstream.ErrSent.Has(err) {
						t.Errorf("sound %t: %q, %v", sound, body, err)
					}
				}
			}
		})
	}
}

// TestWellFormedHeadsAreAnswers guards against a check that refuses answers as servers send them.
func TestWellFormedHeadsAreAnswers(t *testing.T) {
	for _, c := range messageheadtest.WellFormed() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			address := startServer(t, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, c.Head(mineFields)+"mine") })
			pool := upstream.NewPool(upstream.DefaultSettings())
			defer pool.Close()
			for range 2 {
				if body, err := timedCall(t, pool, address); err != nil || body != "mine" {
					t.Errorf("%q, %v", body, err)
				}
			}
		})
	}
}

// TestHeadsThatTheLibraryDoesNotEndEndACallAtOnce guards against a call that waits for the end of a head that has ended: its lines end
// with LF, which the HTTP library takes for the end of no head.
func TestHeadsThatTheLibraryDoesNotEndEndACallAtOnce(t *testing.T) {
	c := messageheadtest.LineFeeds()
	address := startServer(t, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, c.Head(mineFields)+"mine") })
	pool := upstream.NewPool(upstream.DefaultSettings())
	defer pool.Close()
	if body, err := timedCall(t, pool, address); !upstream.ErrSent.Has(err) || messagehead.DefectOf(err) != messagehead.DefectEnd {
		t.Errorf("%q, %v", body, err)
	}
}

// TestBytesThatAreNoHeadEndACallAtOnce guards against a call that waits for the rest of what can become no head any more.
func TestBytesThatAreNoHeadEndACallAtOnce(t *testing.T) {
	for _, sent := range []string{"\x17", "{\"error\":", "HTTP/1.1 000", "HTTP/2", "HTTP/1.1 200 OK\r\nX Odd", "HTTP/1.1 200 OK\r\nX-Odd: a\x00"} {
		t.Run(fmt.Sprintf("%q", sent), func(t *testing.T) {
			t.Parallel()
			address := startServer(t, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, sent) })
			pool := upstream.NewPool(upstream.DefaultSettings())
			defer pool.Close()
			if body, err := timedCall(t, pool, address); !upstream.ErrSent.Has(err) {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}
