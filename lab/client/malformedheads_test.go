package client_test

import (
	"context"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/internal/messagehead/messageheadtest"
	"github.com/wheatweir/wheatweir/lab/client"
)

// atOnce is how soon a command ends whatever its daemon, or what stands before it, has sent.
const atOnce = time.Second

// TestCommandsTakeNoMalformedHeads guards against operators who are shown what no daemon has answered, against addresses that callers use
// although no daemon gave them, and against commands that wait.
func TestCommandsTakeNoMalformedHeads(t *testing.T) {
	for _, c := range messageheadtest.Malformed() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			address := messageheadtest.Serve(t, c, `{"columns":["odd"],"addresses":["127.0.0.1:1"],"keep_seconds":60}`)
			caller := client.New([]string{address})
			defer caller.Close()
			began := time.Now()
			if result, err := caller.Operator(ctx, address, "", "show models"); err == nil {
				t.Errorf("a command: %+v", result)
			}
			if addresses, err := caller.Addresses(ctx, "m"); err == nil {
				t.Errorf("addresses: %v", addresses)
			}
			if took := time.Since(began); took > atOnce {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// TestCommandsTakeWellFormedHeads guards against a check that refuses answers as daemons, and what stands before them, send them.
func TestCommandsTakeWellFormedHeads(t *testing.T) {
	for _, c := range append(messageheadtest.WellFormed(), messageheadtest.LineFeeds()) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			address := messageheadtest.Serve(t, c, `{"columns":["even"],"addresses":["127.0.0.1:1"],"keep_seconds":60}`)
			caller := client.New([]string{address})
			defer caller.Close()
			for range 2 {
				if result, err := caller.Operator(ctx, address, "", "show models"); err != nil || len(result.Columns) != 1 {
					t.Errorf("%+v, %v", result, err)
				}
			}
			if addresses, err := caller.Addresses(ctx, "m"); err != nil || len(addresses) != 1 {
				t.Errorf("%v, %v", addresses, err)
			}
		})
	}
}
