package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/retry"
)

const (
	testSlack = 60
	// settleTime is how long a process must be in touch with most seeds.
	settleTime = 10 * time.Second
)

// TestOnlySeedHasItsFloorAtOnce guards against a single process that gets no part of the slack until it has looked for others.
func TestOnlySeedHasItsFloorAtOnce(t *testing.T) {
	var size retry.FleetSize
	size.OnlySeed()
	if floor := size.Floor(at(0), testSlack); floor != testSlack/2 {
		t.Errorf("floor %v, want %v", floor, testSlack/2)
	}
	size.Observe(at(1), 3, 1, 1)
	if floor := size.Floor(at(1), testSlack); floor != testSlack/6 {
		t.Errorf("floor %v among 3, want %v", floor, testSlack/6)
	}
}

func TestFloorOfAProcess(t *testing.T) {
	var size retry.FleetSize
	size.Observe(at(0), 1, 1, 3)
	if floor := size.Floor(at(60), testSlack); floor != 1 {
		t.Errorf("floor %v of a process that knows nobody", floor)
	}
	size.Observe(at(60), 6, 2, 3)
	if floor := size.Floor(at(61), testSlack); floor != 1 {
		t.Errorf("floor %v while the fleet forms", floor)
	}
	if floor := size.Floor(at(70), testSlack); floor != 5 {
		t.Errorf("floor %v among 6, want 5", floor)
	}
	size.Observe(at(80), 2, 0, 3)
	if floor := size.Floor(at(90), testSlack); floor != 5 {
		t.Errorf("floor %v in a partition, want 5 as before", floor)
	}
	if floor := size.Floor(at(90), 1); floor != 1 {
		t.Errorf("floor %v with hardly any slack", floor)
	}
}

// TestFloorsInPartitionsKeepTheSlack guards against processes that start again within a network partition and divide the slack by
// the few that they find, in several groups at once.
func TestFloorsInPartitionsKeepTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(3, 30).Draw(t, "processes")
		sizes := make([]retry.FleetSize, processes)
		now, pause := start, 2*settleTime
		observe := func(groups []int) {
			for number := range sizes {
				known, liveSeeds := 0, 0
				for other, group := range groups {
					if group != groups[number] {
						continue
					}
					known++
					if other < 3 {
						liveSeeds++
					}
				}
				sizes[number].Observe(now, known, liveSeeds, 3)
			}
			now = now.Add(pause)
		}
		if rapid.Bool().Draw(t, "cut while the fleet forms") {
			pause = time.Second
		}
		observe(make([]int, processes))
		pause = 2 * settleTime
		groups := make([]int, processes)
		for number := range groups {
			groups[number] = rapid.IntRange(0, 5).Draw(t, "group")
			if rapid.Bool().Draw(t, "starts again") {
				sizes[number] = retry.FleetSize{}
			}
		}
		observe(groups)
		sum := 0.0
		for number := range sizes {
			sum += sizes[number].Floor(now, testSlack)
		}
		if most := testSlack/2 + max(testSlack/2, float64(processes)); sum > most {
			t.Fatalf("floors of %d processes add up to %v, %v allowed", processes, sum, most)
		}
	})
}
