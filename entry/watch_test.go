package entry

import (
	"testing"
	"time"
)

// TestFirstWatchersHearOfChangesSooner covers what a change costs: each daemon that
// watches makes a call for the next ones, and only the first has to be quick.
func TestFirstWatchersHearOfChangesSooner(t *testing.T) {
	for rank, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second, 3 * time.Second} {
		if got := gatherPause(time.Second, rank); got != want {
			t.Errorf("rank %d gathers for %v, want %v", rank, got, want)
		}
	}
}

// TestWatchesEndInTime covers watches that all go deaf at once: some daemons end
// theirs within the limit, and not all at the same moment.
func TestWatchesEndInTime(t *testing.T) {
	const limit = 3 * time.Second
	for rank := range 10 {
		for _, random := range []float64{0, 0.5, 0.999} {
			wait := watchWait(limit, rank, random)
			if rank < shortWatchers && wait >= limit*9/10 {
				t.Errorf("rank %d waits %v", rank, wait)
			}
			if wait < limit/4 || wait > 2*limit {
				t.Errorf("rank %d waits %v", rank, wait)
			}
		}
	}
	if watchWait(limit, 0, 0.1) == watchWait(limit, 0, 0.9) {
		t.Error("all wait equally long")
	}
}
