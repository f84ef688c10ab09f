package objectstore_test

import (
	"context"
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

// TestMalformedHeadsMakeNoDecision guards against records, reports and answers to orders and requests that a native daemon reads from heads
// that no server sends, and against calls that wait for their whole time.
func TestMalformedHeadsMakeNoDecision(t *testing.T) {
	for _, c := range messageheadtest.Malformed() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			address := messageheadtest.Serve(t, c, `{"version":3,"through":3}`)
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
