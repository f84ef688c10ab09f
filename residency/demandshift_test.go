package residency

import (
	"testing"
	"time"
)

// moved returns the rates after a part of them has moved by step positions.
func moved(before []float64, step int, part float64) []float64 {
	after := make([]float64, len(before))
	for i := range before {
		after[i] = (1 - part) * before[i]
		if i >= step {
			after[i] += part * before[i-step]
		}
	}
	return after
}

func scaled(before []float64, factors ...float64) []float64 {
	after := make([]float64, len(before))
	for i := range before {
		after[i] = before[i] * factors[i%len(factors)]
	}
	return after
}

func TestFittingStep(t *testing.T) {
	busy := []float64{75, 28, 21, 17, 15, 13, 12, 11, 10, 9, 8, 8, 0, 0, 0, 0}
	one := []float64{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 90, 0, 0, 0}
	cases := []struct {
		name          string
		before, after []float64
		want          int
	}{
		{"unchanged", busy, busy, 0},
		{"no demand before", make([]float64, len(busy)), busy, 0},
		{"all demand moves by one", busy, moved(busy, 1, 1), 1},
		{"all demand moves by two", busy, moved(busy, 2, 1), 2},
		{"all demand moves by four", busy, moved(busy, 4, 1), 4},
		{"half of the demand moves by two", busy, moved(busy, 2, 0.5), 2},
		{"a third of the demand moves by three, with noise", busy, scaled(moved(busy, 3, 0.35), 1.05, 0.96, 1.02), 3},
		{"all rates increase", busy, scaled(busy, 1.7), 0},
		{"all rates decrease", busy, scaled(busy, 0.5), 0},
		{"noise only", busy, scaled(busy, 1.1, 0.93, 1.04, 0.9), 0},
		{"a rare model is requested", busy, append(append([]float64{}, busy[:12]...), 0, 0, 60, 0), 0},
		{"demand moves back", moved(busy, 2, 1), busy, 0},
		{"demand of a single model moves by one", one, moved(one, 1, 1), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := fittingStep(c.before, c.after); got != c.want {
				t.Errorf("step %d, want %d", got, c.want)
			}
		})
	}
}

// TestDemandShiftIsSeenWhileDemandMoves covers demand that takes eight seconds to move by two
// positions. The step is detected before the shift is complete.
func TestDemandShiftIsSeenWhileDemandMoves(t *testing.T) {
	busy := []float64{75, 28, 21, 17, 15, 13, 12, 11, 10, 9, 8, 8, 0, 0, 0, 0}
	start := time.Unix(1000, 0)
	var d demandShift
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		part := min(1, max(0, (at.Seconds()-6)/8))
		d.observe(start.Add(at), moved(busy, 2, part))
		switch {
		case at < 6*time.Second && d.step != 0:
			t.Fatalf("a shift by %d positions is detected at %v, before any demand moved", d.step, at)
		case at > 10*time.Second && d.step != 2:
			t.Fatalf("a shift by %d positions is detected at %v", d.step, at)
		}
	}
}

// TestLateBookDoesNotPlaceForWhatItFoundThere covers a planner that takes over while there is
// demand. Replicas that its predecessor placed for a wrong forecast do not count as prior demand.
func TestLateBookDoesNotPlaceForWhatItFoundThere(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		early time.Duration
		want  bool
	}{{"first plan before the demand", time.Second, true}, {"first plan after the demand", 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			forecast := &demandForecast{}
			earlier := &plan{now: now.Add(-c.early), settings: DefaultSettings(), projections: []*projection{{}}}
			demand := map[string]Demand{"m": {Concurrent: 4, PerSecond: 5}}
			if c.early == 0 {
				earlier.demand = demand
			}
			forecast.firstPlan, forecast.predatesDemand = earlier.now, true
			earlier.priorWeight(forecast)
			later := &plan{now: now.Add(time.Second), settings: DefaultSettings(), demand: demand}
			if got := later.priorWeight(forecast) > 0; got != c.want {
				t.Errorf("initial replicas count: %v, want %v", got, c.want)
			}
		})
	}
}
