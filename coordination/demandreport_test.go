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

// settlingTime is how long after a common start the average of the demand no longer depends on the
// start.
const settlingTime = 8 * time.Second

// largeCount is the number of daemons of a large fleet.
func largeCount() int {
	if largeFleets {
		return 600
	}
	return 60
}

// newWorldWithDemand returns a fleet in five zones in which each daemon has two requests for the
// model m in progress.
func newWorldWithDemand(count int) *world {
	w := newWorld(count)
	w.recreateAll(func(i int, self *member.Member, settings *coordination.Settings) {
		self.Zone, settings.Lease.TakeoverOrderDelay = zoneOfNode(i), 0
	})
	w.listInstances(20)
	w.runWithDemand(settlingTime)
	return w
}

// runWithDemand runs the fleet for a duration, with this demand at each daemon.
func (w *world) runWithDemand(duration time.Duration) {
	models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 2}}
	loads := map[string]balance.Load{"i-00000000": {Requests: 2}}
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(coordination.TickInterval) {
		for _, name := range w.names() {
			if !w.dead[name] {
				w.perform(name, w.nodes[name].UpdateOwnLoad(w.now, loads, models, coordination.UrgencyNone))
				w.perform(name, w.nodes[name].Tick(w.now))
			}
		}
	}
}

// receivedShare returns the share of the demand of all daemons that the lease holder has received.
func (w *world) receivedShare(t *testing.T) float64 {
	t.Helper()
	holders := w.holders()
	if len(holders) != 1 {
		t.Fatalf("%d holders", len(holders))
	}
	return w.nodes[holders[0]].Demand("llm", "m") / float64(2*(len(w.nodes)-len(w.dead)))
}

// TestHolderHearsTheDemandOfALargeFleet guards against a lease holder that expires a daemon's
// demand before the next report of it. Daemons reported to the holder directly, at intervals that
// grew with their number, and the holder of 600 daemons had only part of their demand.
func TestHolderHearsTheDemandOfALargeFleet(t *testing.T) {
	for _, count := range []int{30, largeCount()} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := newWorldWithDemand(count)
			for range 4 {
				w.runWithDemand(500 * time.Millisecond)
				if share := w.receivedShare(t); math.Abs(share-1) > 0.05 {
					t.Errorf("the holder has received %.2f of the demand", share)
				}
			}
		})
	}
}

// TestNewHolderHearsTheDemandSoon guards against a fleet without orders while a new lease holder
// collects the demand. This took 7.2 s with 600 daemons when all of them reported directly.
func TestNewHolderHearsTheDemandSoon(t *testing.T) {
	const within = 2 * time.Second
	w := newWorldWithDemand(largeCount())
	w.dead[w.holders()[0]] = true
	for len(w.holders()) == 0 {
		w.runWithDemand(coordination.TickInterval)
	}
	w.runWithDemand(within)
	if share := w.receivedShare(t); math.Abs(share-1) > 0.05 {
		t.Errorf("the new holder has received %.2f of the demand %v after it took the lease", share, within)
	}
	if w.nodes[w.holders()[0]].CollectsDemand() {
		t.Errorf("the new holder still waits %v after it took the lease", within)
	}
}
