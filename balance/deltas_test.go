package balance_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/balance"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// TestLoadDeltasAndTrackerAgree applies updates of changing loads to a tracker and compares its sum
// with the loads. Messages may be lost; after the next update with all loads, a second later at
// most, the sum must be right again.
func TestLoadDeltasAndTrackerAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var deltas balance.LoadDeltas
		tracker := balance.NewTracker()
		lost := false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			loads := map[string]balance.Load{}
			for _, id := range []string{"a", "b", "c"} {
				if requests := rapid.IntRange(0, 2).Draw(t, "requests"); requests > 0 {
					loads[id] = balance.Load{Requests: requests}
				}
			}
			update, changes := deltas.Next(now, "receivers", maps.Clone(loads))
			lost = lost && changes || rapid.IntRange(0, 9).Draw(t, "lost") == 0
			if lost {
				continue
			}
			tracker.MergePeer(now, "peer", update, changes)
			if got := tracker.Group(now, []string{"peer"}); !maps.Equal(got, loads) {
				t.Fatalf("counted %v, want %v", got, loads)
			}
		}
	})
}

func TestLoadDeltasSaysLittle(t *testing.T) {
	now := time.Unix(1000, 0)
	loads := map[string]balance.Load{"a": {Requests: 1}, "b": {Requests: 2}}
	var deltas balance.LoadDeltas
	if update, changes := deltas.Next(now, "x", loads); changes || len(update) != 2 {
		t.Errorf("first %v, changes %v", update, changes)
	}
	if update, changes := deltas.Next(now, "x", loads); !changes || len(update) != 0 {
		t.Errorf("without a change %v, changes %v", update, changes)
	}
	if update, changes := deltas.Next(now, "x", map[string]balance.Load{"a": {Requests: 3}}); !changes || len(update) != 2 || update["b"] != (balance.Load{}) {
		t.Errorf("after a change %v, changes %v", update, changes)
	}
	if update, changes := deltas.Next(now, "y", loads); changes || len(update) != 2 {
		t.Errorf("to another receiver %v, changes %v", update, changes)
	}
	if deltas.FullUpdateDue(now.Add(900*time.Millisecond)) || !deltas.FullUpdateDue(now.Add(time.Second)) {
		t.Error("all loads are not due after exactly one second")
	}
}
