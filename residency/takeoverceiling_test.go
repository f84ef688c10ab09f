package residency_test

import (
	"fmt"
	"testing"
	"time"
)

// allowedAtInstances is the number of loads that may start at all instances within one window: the rate limit with the
// overshoot and slack of the weight store.
func (w *storeSimulation) allowedAtInstances() int {
	const overshoot, slack = 1.1, 3
	return int(w.engine.LoadsPerSecond*storeWindow.Seconds()*overshoot) + slack
}

// TestStoreRateHoldsWithOrdersOfAnEarlierHolder guards against a lease holder that takes it for granted that no order of
// the holder before it may still be executed.
func TestStoreRateHoldsWithOrdersOfAnEarlierHolder(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 118} {
		w := newStoreSimulation(seed, faults{maxDelay: 5 * time.Millisecond, late: 0.35, takeovers: 0.1})
		w.engine.LoadsPerSecond = 8
		for i := range 72 {
			w.tracker.UpsertInstance(w.instance(w.start(fmt.Sprint("more", i), &[]string{})))
		}
		w.run(storeRunTime)
		if count, since := w.peak(true); count > w.allowedAtInstances() {
			t.Errorf("seed %d: %d loads started within %v from %v on, %d allowed", seed, count, storeWindow, since.Sub(time.Unix(1000, 0)), w.allowedAtInstances())
		}
	}
}
