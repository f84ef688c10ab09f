//go:build !race

package entry

import (
	"fmt"
	"testing"
	"time"
)

// TestChangesAreKnownInTimeInALargeFleetWhenAllWatchesGoDeaf is
// TestChangesAreKnownInTimeWhenAllWatchesGoDeaf with 71 daemons.
func TestChangesAreKnownInTimeInALargeFleetWhenAllWatchesGoDeaf(t *testing.T) {
	testDeafFleets(t, []deafCase{
		{"silent connections, many daemons", 71, 3 * time.Second, silence},
		{"ignored, many daemons", 71, 3 * time.Second, ignore},
	})
}

// TestCallsOfWatchesDoNotGrowWithTheFleet covers what it costs to notice that watches have gone
// deaf: the calls a second while nothing changes, and while something changes each second.
func TestCallsOfWatchesDoNotGrowWithTheFleet(t *testing.T) {
	const limit, span = 2 * time.Second, 10 * time.Second
	for _, daemons := range []int{8, 71, 300} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inDeafFleet(t, daemons, limit, func(f *deafFleet) {
				before := f.store.calls.Load()
				time.Sleep(span)
				quiet := float64(f.store.calls.Load()-before) / span.Seconds()
				before = f.store.calls.Load()
				for range int(span / time.Second) {
					time.Sleep(time.Second)
					f.store.change()
				}
				busy := float64(f.store.calls.Load()-before) / span.Seconds()
				t.Logf("calls a second: %.1f at rest, %.1f with one change a second", quiet, busy)
				if quiet > 8 || busy > 13 {
					t.Errorf("calls a second: %.1f at rest, %.1f with one change a second", quiet, busy)
				}
			})
		})
	}
}
