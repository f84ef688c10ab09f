package residency_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// requestTally counts the served and the lost requests of a deployment.
type requestTally struct {
	served, lost float64
	// longestOutage is the longest time for which a requested model had no replica. outages is the
	// number of such times.
	longestOutage time.Duration
	outages       int
	since         map[string]time.Time
}

// add counts the requests of one step.
func (t *requestTally) add(f *parkingSimulation) {
	for name, rate := range f.requestRate {
		ready := f.ready(name)
		carried := min(rate, float64(ready)*parkReplicaCapacity/parkRequestSeconds)
		t.served += carried * parkStep.Seconds()
		t.lost += (rate - carried) * parkStep.Seconds()
		if ready > 0 {
			delete(t.since, name)
			continue
		}
		if _, found := t.since[name]; !found {
			t.since[name] = f.now
			t.outages++
		}
		t.longestOutage = max(t.longestOutage, f.now.Sub(t.since[name]))
	}
	for name := range t.since {
		if f.requestRate[name] == 0 {
			delete(t.since, name)
		}
	}
}

// simulateMovingDemand moves the demand of the busy models along the list every 10 s, while other
// models are requested occasionally at random.
func simulateMovingDemand(seed uint64, clientTimeout time.Duration) *requestTally {
	const (
		seconds, moveIntervalSeconds, moveBy = 40, 10, 2
		rareShare                            = 0.1
	)
	f, random := contendedSimulation(), rand.New(rand.NewPCG(seed, 1))
	f.service.ClientTimeout = clientTimeout
	f.run(2*time.Second, nil)
	tally := &requestTally{since: map[string]time.Time{}}
	for second := range seconds {
		clear(f.requestRate)
		for i := range rareModels {
			if random.Float64() < rareShare {
				f.requestRate[modelName(busyModels+idleModels+i)] = 1
			}
		}
		for i := range busyModels {
			f.requestRate[modelName(i+moveBy*(second/moveIntervalSeconds))] = 19
		}
		f.run(time.Second, func() { tally.add(f) })
	}
	return tally
}

// TestParkingUnderAMovingDemand guards against parking that loses more requests than it serves when
// idle models are requested repeatedly, and against clients that wait too long for a parked model.
func TestParkingUnderAMovingDemand(t *testing.T) {
	for seed := range uint64(4) {
		without, with := simulateMovingDemand(seed, 0), simulateMovingDemand(seed, parkClientTimeout)
		t.Logf("seed %d: lost %.0f without parking, %.0f with it; %d outages of a model, the longest %v", seed, without.lost, with.lost, with.outages, with.longestOutage)
		if with.lost > without.lost/2 {
			t.Errorf("seed %d: %.0f requests lost with parking, %.0f without", seed, with.lost, without.lost)
		}
		if with.longestOutage > maxReturnTime {
			t.Errorf("seed %d: a model had no replica for %v", seed, with.longestOutage)
		}
	}
}
