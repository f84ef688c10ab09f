package objectstore_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/engine"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/internal/messagehead/messageheadtest"
	"github.com/wheatweir/wheatweir/objectstore"
	"github.com/wheatweir/wheatweir/outcome"
)

// atOnce is a fifth of the time of the calls.
const atOnce = time.Second

// answerWith starts a server that answers each request with a head and a body, and keeps its connections.
func answerWith(t *testing.T, c messageheadtest.Case, body string) string {
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
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, c.Head(fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body)))+body)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestMalformedHeadsMakeNoDecision guards against records, reports and answers to orders and requests that a native daemon reads from heads
// that no server sends, and against calls that wait for their whole time.
func TestMalformedHeadsMakeNoDecision(t *testing.T) {
	for _, c := range messageheadtest.Malformed() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			address := answerWith(t, c, `{"version":3,"through":3}`)
			store := objectstore.NewHTTPClient(address, membudget.New(0))
			defer store.Close()
			engines := engine.NewClient(5*time.Second, membudget.New(0))
			defer engines.Close()
			calls := map[string]func() bool{
				"a get": func() bool {
					_, err := store.Get(ctx, api.Key{Kind: api.KindModel, Name: "m"})
					return objectstore.ErrUnknownOutcome.Has(err)
				},
				"a put": func() bool {
					_, err := store.Put(ctx, api.Object{Key: api.Key{Kind: api.KindModel, Name: "m"}}, 3)
					return objectstore.ErrUnknownOutcome.Has(err) && !objectstore.ErrConflict.Has(err)
				},
				"changes": func() bool {
					_, err := store.Changes(ctx, 1, time.Millisecond)
					return objectstore.ErrUnknownOutcome.Has(err)
				},
				"a report": func() bool {
					_, err := engines.Report(ctx, address)
					return err != nil
				},
				"an order": func() bool { return engines.Order(ctx, address, api.Order{}) != nil },
				"a request": func() bool {
					_, result := engines.Open(ctx, address, engine.Call{Path: "/v1/completions"})
					return result.Kind == outcome.Unknown && result.Reason == outcome.ReasonMalformed
				},
			}
			for name, call := range calls {
				began := time.Now()
				if !call() {
					t.Errorf("%s: the answer is used", name)
				}
				if took := time.Since(began); took > atOnce {
					t.Errorf("%s takes %v", name, took)
				}
			}
		})
	}
}
