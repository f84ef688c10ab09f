package residency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/residency"
)

// TestParkingKeepsEveryLimit guards against parking that overcommits memory, exceeds the rate limit
// of the weight store or evicts the last replica of a model that was requested within 3 s, while
// answers are lost and orders arrive late.
func TestParkingKeepsEveryLimit(t *testing.T) {
	parked := 0
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		for i := range e.Models {
			e.Models[i].LoadTime = time.Second
		}
		planned := &residency.Service{Name: service, Engine: e, ClientTimeout: 3 * time.Second}
		tracker := residency.NewTracker(residency.DefaultSettings())
		instances := []*fakeInstance{
			{id: "s1", models: map[string][]string{"big": nil, "mid": nil}}, {id: "s2", models: map[string][]string{"other": nil, "small": nil}},
			{id: "s3", models: map[string][]string{"tiny": nil, "other": nil}},
		}
		putAll(tracker, fleetInstances(instances))
		now := time.Unix(1000, 0)
		var loads []time.Time
		demand, requestedAt := map[string]residency.Demand{}, map[string]time.Time{}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(20, 600).Draw(t, "pause")) * time.Millisecond)
			stepInstances(t, tracker, instances, now)
			if rapid.IntRange(0, 7).Draw(t, "moves") == 0 {
				model := rapid.SampledFrom([]string{"big", "mid", "small", "tiny", "other"}).Draw(t, "model")
				rate := rapid.SampledFrom([]float64{0, 0, 0.5, 40}).Draw(t, "rate")
				demand[model] = residency.Demand{Concurrent: rate, PerSecond: rate, RefusedPerSecond: rate / 2}
			}
			for model := range demand {
				if demand[model].PerSecond > 0 {
					requestedAt[model] = now
				}
			}
			again := tracker.DueResends(now)
			for i, order := range append(again, tracker.Plan(now, planned, demand)...) {
				// A resent order was decided earlier.
				if i >= len(again) && takesLast(instances, order) {
					parked++
					if at, found := requestedAt[order.Model]; found && now.Sub(at) < 3*time.Second {
						t.Fatalf("%s loses its last replica %v after a request", order.Model, now.Sub(at))
					}
				}
				tracker.RecordSending(now, order)
				if order.FromStore {
					loads = append(loads, now)
				}
				tracker.RecordAnswer(now, order, deliver(t, find(instances, order.Instance), order))
				find(instances, order.Instance).check(t, e)
			}
			checkRate(t, loads, e.LoadsPerSecond, now)
		}
	})
	if parked == 0 {
		t.Error("no model was parked")
	}
}

// stepInstances lets instances complete their orders, delivers late orders and takes reports.
func stepInstances(t *rapid.T, tracker *residency.Tracker, instances []*fakeInstance, now time.Time) {
	for _, s := range instances {
		if rapid.IntRange(0, 2).Draw(t, "finish") == 0 {
			s.finish()
		}
		if len(s.late) > 0 && rapid.Bool().Draw(t, "late") {
			s.accept(s.late[0])
			s.late = s.late[1:]
		}
		if rapid.Bool().Draw(t, "report") {
			tracker.Report(now, now, s.id, s.report())
		}
	}
}

// takesLast reports whether an order unloads a model from the only instance that holds it.
func takesLast(instances []*fakeInstance, order residency.Order) bool {
	if order.Load || order.Adapter != "" {
		return false
	}
	holders := 0
	for _, s := range instances {
		_, held := s.models[order.Model]
		leaves := s.busy != nil && !s.busy.Load && s.busy.Model == order.Model
		if held && !leaves {
			holders++
		}
	}
	return holders == 1
}

// TestStoreRateHoldsWhileModelsAreParked guards against more loads starting from the weight store
// than its rate limit allows, while demand moves between models that compete for memory.
func TestStoreRateHoldsWhileModelsAreParked(t *testing.T) {
	const slow = 200 * time.Millisecond
	for name, faults := range map[string]faults{
		"no faults":                 {maxDelay: slow},
		"answers are lost":          {maxDelay: slow, answerLost: 0.4, late: 0.3},
		"instances restart":         {maxDelay: slow, restarts: 0.3, partitions: 0.3},
		"another daemon takes over": {maxDelay: slow, takeovers: 0.1, answerLost: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newStoreSimulation(seed, faults)
				w.compete(2)
				w.run(storeRunTime)
				if count, since := w.peak(false); count > w.allowed() {
					t.Errorf("seed %d: %d loads started within %v from %v on, %d allowed", seed, count, storeWindow, since.Sub(time.Unix(1000, 0)), w.allowed())
				}
				if name == "no faults" && w.parked == 0 {
					t.Errorf("seed %d: no model was parked", seed)
				}
			}
		})
	}
}

// compete gives each instance room for only a few models and changes the requested models
// regularly.
func (w *storeSimulation) compete(room int) {
	w.engine.WeightsMB = float64(room)
	for i := range w.engine.Models {
		w.engine.Models[i].LoadTime = time.Second
	}
	w.clientTimeout = maxReturnTime
	w.moveDemand()
}

// moveDemand requests other models, and again after an interval.
func (w *storeSimulation) moveDemand() {
	w.demand = map[string]residency.Demand{}
	for range 20 {
		model := w.engine.Models[w.random.IntN(len(w.engine.Models))].Name
		w.demand[model] = residency.Demand{Concurrent: 20, PerSecond: 20, RefusedPerSecond: 10}
	}
	w.schedule(5*time.Second, w.moveDemand)
}
