package engine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/api"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
)

var (
	now = time.Unix(1000, 0)
	v1  = api.Artifact{Model: "m", Version: "v1"}
)

func loaded(t *testing.T) *engine.Core {
	t.Helper()
	core := engine.NewCore(engine.DefaultSettings("e"), "boot")
	if err := core.Order(now, api.Order{Kind: api.OrderLoad, Artifact: v1, Bytes: 10 << 30, Fence: 5, Boot: "boot"}); err != nil {
		t.Fatal(err)
	}
	return core
}

func TestOrders(t *testing.T) {
	cases := []struct {
		name  string
		order api.Order
		ok    bool
	}{
		{"the same order again", api.Order{Kind: api.OrderLoad, Artifact: v1, Bytes: 10 << 30, Fence: 5, Boot: "boot"}, true},
		{"an old fence", api.Order{Kind: api.OrderUnload, Artifact: v1, Fence: 4, Boot: "boot"}, false},
		{"another boot", api.Order{Kind: api.OrderUnload, Artifact: v1, Fence: 6, Boot: "earlier"}, false},
		{"an adapter before its weights serve", api.Order{Kind: api.OrderLoad, Artifact: api.Artifact{Model: "m", Version: "v1", Adapter: "a"}, Bytes: 1, Fence: 5, Boot: "boot"}, false},
		{"more than memory holds", api.Order{Kind: api.OrderLoad, Artifact: api.Artifact{Model: "n", Version: "v1"}, Bytes: 75 << 30, Fence: 5, Boot: "boot"}, false},
		{"an unload of nothing raises the fence", api.Order{Kind: api.OrderUnload, Artifact: api.Artifact{Model: "n", Version: "v1"}, Fence: 9, Boot: "boot"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core := loaded(t)
			if err := core.Order(now, c.order); (err == nil) != c.ok {
				t.Fatalf("error %v", err)
			}
			if got := core.Report(now).Fence; c.ok && got != c.order.Fence {
				t.Fatalf("fence %d", got)
			}
		})
	}
}

func TestPriorityAndBatch(t *testing.T) {
	settings := engine.DefaultSettings("e")
	settings.Slots = 1
	core := engine.NewCore(settings, "boot")
	if err := core.Order(now, api.Order{Kind: api.OrderLoad, Artifact: v1, Bytes: 1, Boot: "boot"}); err != nil {
		t.Fatal(err)
	}
	later := now.Add(time.Second)
	for i, priority := range []api.Priority{api.PriorityFree, api.PriorityFree, api.PriorityCritical} {
		if err := core.Submit(later, engine.Request{ID: fmt.Sprint(i), Artifact: v1, Priority: priority, OutputTokens: 2}); err != nil {
			t.Fatal(err)
		}
	}
	order := ""
	for _, event := range core.Advance(later.Add(time.Minute)) {
		order += fmt.Sprintf("%s.%d ", event.ID, event.Index)
	}
	// The first request is in the batch before the critical one comes.
	if order != "0.0 0.1 2.0 2.1 1.0 1.1 " {
		t.Fatalf("tokens came as %s", order)
	}
}

func TestUnloadWaitsForRequests(t *testing.T) {
	core := loaded(t)
	later := now.Add(time.Second)
	if err := core.Submit(later, engine.Request{ID: "r", Artifact: v1, OutputTokens: 3}); err != nil {
		t.Fatal(err)
	}
	if err := core.Order(later, api.Order{Kind: api.OrderUnload, Artifact: v1, Fence: 6, Boot: "boot"}); err != nil {
		t.Fatal(err)
	}
	if core.Used() == 0 || core.Serves(later, v1) {
		t.Fatal("memory was freed under a request, or new work is taken")
	}
	if events := core.Advance(later.Add(time.Minute)); len(events) != 3 || !events[2].Last {
		t.Fatalf("events %v", events)
	}
	if core.Used() != 0 {
		t.Fatal("memory is still occupied")
	}
}

// TestEveryRequestEndsOnce submits random requests, cancels some, and checks
// that each other one gets all its tokens in order, once.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := engine.NewCore(engine.DefaultSettings("e"), "boot")
		if err := core.Order(now, api.Order{Kind: api.OrderLoad, Artifact: v1, Bytes: 1, Boot: "boot"}); err != nil {
			t.Fatal(err)
		}
		at := now.Add(time.Second)
		want, got := map[string]int{}, map[string]int{}
		take := func() {
			for _, event := range core.Advance(at) {
				if event.Index != got[event.ID] {
					t.Fatalf("%s: token %d after %d", event.ID, event.Index, got[event.ID])
				}
				got[event.ID]++
				if event.Last != (got[event.ID] == want[event.ID]) {
					t.Fatalf("%s: last is %v at %d of %d", event.ID, event.Last, got[event.ID], want[event.ID])
				}
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			id := fmt.Sprint(i)
			tokens := rapid.IntRange(1, 30).Draw(t, "tokens")
			if core.Submit(at, engine.Request{ID: id, Artifact: v1, OutputTokens: tokens}) == nil {
				want[id] = tokens
			}
			at = at.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			take()
			if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				core.Cancel(id)
				delete(want, id)
				delete(got, id)
			}
		}
		at = at.Add(time.Hour)
		take()
		for id, tokens := range want {
			if got[id] != tokens {
				t.Fatalf("%s got %d of %d tokens", id, got[id], tokens)
			}
		}
	})
}
