package coordination_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/member"
)

// settled is how long after a common start the average of the demand holds nothing of that time any more.
const settled = 8 * time.Second

// largeCount is the number of daemons of a large fleet.
func largeCount() int {
	if largeFleets {
		return 600
	}
	return 60
}

// demandingWorld is a fleet in five zones in which each daemon has two requests for the model m in progress.
func demandingWorld(count int) *world {
	w := newWorld(count)
	w.rebuild(func(i int, self *member.Member, settings *coordination.Settings) {
		self.Zone, settings.Lease.OrderPause = zoneOfNode(i), 0
	})
	w.learnServers(20)
	w.runDemanding(settled)
	return w
}

// runDemanding runs the fleet for a while.
func (w *world) runDemanding(span time.Duration) {
	models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 2}}
	loads := map[string]balance.Load{"i-00000000": {Requests: 2}}
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(coordination.TickEvery) {
		for _, name := range w.names() {
			if !w.dead[name] {
				w.perform(name, w.nodes[name].ObserveOwn(w.now, loads, models, coordination.UrgencyNone))
				w.perform(name, w.nodes[name].Tick(w.now))
			}
		}
	}
}

// heardPart is the part of the demand of all daemons that the holder has heard.
func (w *world) heardPart(t *testing.T) float64 {
	t.Helper()
	holders := w.holders()
	if len(holders) != 1 {
		t.Fatalf("%d holders", len(holders))
	}
	return w.nodes[holders[0]].Demand("llm", "m") / float64(2*(len(w.nodes)-len(w.dead)))
}

// TestHolderHearsTheDemandOfALargeFleet guards against a holder that forgets what a daemon told before it hears from
// it again: daemons told the holder themselves, all the less often the more there were, and the holder of 600 knew of
// a part of their demand.
func TestHolderHearsTheDemandOfALargeFleet(t *testing.T) {
	for _, count := range []int{30, largeCount()} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := demandingWorld(count)
			for range 4 {
				w.runDemanding(500 * time.Millisecond)
				if part := w.heardPart(t); math.Abs(part-1) > 0.05 {
					t.Errorf("the holder has heard %.2f of the demand", part)
				}
			}
		})
	}
}

// TestNewHolderHearsTheDemandSoon guards against a fleet without orders while a new holder waits for the demand:
// 7.2 s with 600 daemons when all of them told it themselves.
func TestNewHolderHearsTheDemandSoon(t *testing.T) {
	const within = 2 * time.Second
	w := demandingWorld(largeCount())
	w.dead[w.holders()[0]] = true
	for len(w.holders()) == 0 {
		w.runDemanding(coordination.TickEvery)
	}
	w.runDemanding(within)
	if part := w.heardPart(t); math.Abs(part-1) > 0.05 {
		t.Errorf("the new holder has heard %.2f of the demand %v after it took the lease", part, within)
	}
	if w.nodes[w.holders()[0]].AwaitsDemand() {
		t.Errorf("the new holder still waits %v after it took the lease", within)
	}
}
