package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/residency"
)

// maxReturnTime is how long a request may wait for a parked model: two loads from the weight store
// and half a second.
const maxReturnTime = 2*storeLoadTime + 500*time.Millisecond

// parkedSimulation has four full instances whose hot model has replaced idle ones. Model 0 is hot,
// 1 and 2 have few requests, and the others are idle.
func parkedSimulation(t *testing.T) *parkingSimulation {
	t.Helper()
	f := newParkingSimulation(8, []int{0, 3}, []int{1, 4}, []int{2, 5}, []int{6, 7})
	f.requestRate[modelName(0)] = 30
	f.requestRate[modelName(1)], f.requestRate[modelName(2)] = 0.5, 0.5
	f.run(10*time.Second, nil)
	if f.tracker.ParkedCount() < 2 {
		t.Fatalf("%d models are parked after %v", f.tracker.ParkedCount(), f.orders)
	}
	return f
}

// parked returns a model without a replica.
func (f *parkingSimulation) parked(t *testing.T) string {
	t.Helper()
	for i := range f.service.Engine.Models {
		if name := f.service.Engine.Models[i].Name; f.ready(name) == 0 && f.requestRate[name] == 0 {
			return name
		}
	}
	t.Fatal("no model is parked")
	return ""
}

func (f *parkingSimulation) removeCopies(model string) {
	for _, s := range f.instances {
		delete(s.copies, model)
		s.nextReport = f.now
	}
}

// TestParkedModelReturnsInTime guards against clients that disconnect because their model was
// parked.
func TestParkedModelReturnsInTime(t *testing.T) {
	for _, copies := range []bool{true, false} {
		t.Run(fmt.Sprint("copies ", copies), func(t *testing.T) {
			f := parkedSimulation(t)
			model := f.parked(t)
			if !copies {
				f.removeCopies(model)
			}
			elapsed, found := f.timeToServe(model, time.Minute)
			t.Logf("served after %v", elapsed)
			if !found || elapsed > maxReturnTime {
				t.Errorf("served after %v (%t), at most %v", elapsed, found, maxReturnTime)
			}
			for _, order := range f.orders {
				if order.Load && order.Model == model && !copies && !order.FromStore {
					t.Errorf("order %+v", order)
				}
			}
		})
	}
}

// TestParkedModelReturnsAfterATakeover guards against a swap that remains incomplete because the
// lease holder is lost between the unload and the load. Without a local copy, the load also waits
// for the window of the weight store's rate limit, which counts as used up at the takeover.
func TestParkedModelReturnsAfterATakeover(t *testing.T) {
	const gap = 2 * time.Second
	for _, copies := range []bool{true, false} {
		t.Run(fmt.Sprint("copies ", copies), func(t *testing.T) {
			f := parkedSimulation(t)
			model := f.parked(t)
			bound := gap + maxReturnTime
			if !copies {
				f.removeCopies(model)
				bound += residency.DefaultSettings().Window
			}
			lost := time.Duration(-1)
			start := f.now
			f.beforeSend = func(order residency.Order) {
				if order.ReservedFor == model && lost < 0 {
					lost = f.now.Sub(start)
					f.takeOver(gap)
				}
			}
			elapsed, found := f.timeToServe(model, time.Minute)
			t.Logf("lease holder lost after %v, served after %v", lost, elapsed)
			if lost < 0 || !found || elapsed > bound {
				t.Errorf("lease holder lost after %v, served after %v (%t), at most %v", lost, elapsed, found, bound)
			}
		})
	}
}

// TestParkedModelReturnsPastAServerThatHangs guards against waiting for a swap that never ends
// because its unload or its load hangs. The model is loaded on another instance once the swap is
// overdue.
func TestParkedModelReturnsPastAServerThatHangs(t *testing.T) {
	for _, load := range []bool{false, true} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			f := parkedSimulation(t)
			model := f.parked(t)
			f.beforeSend = func(order residency.Order) {
				forModel := order.ReservedFor == model || order.Load && order.Model == model
				if forModel && order.Load == load && len(f.hanging) == 0 {
					f.hanging[order.Instance] = true
				}
			}
			elapsed, found := f.timeToServe(model, time.Minute)
			t.Logf("served after %v", elapsed)
			if len(f.hanging) != 1 || !found || elapsed > 2*maxReturnTime {
				t.Errorf("%d instances hang, served after %v (%t), at most %v", len(f.hanging), elapsed, found, 2*maxReturnTime)
			}
		})
	}
}

// TestReturnDoesNotWaitForTheGrowthOfOthers guards against a scale-up that uses up the rate limit
// of the weight store when a parked model without a local copy is requested.
func TestReturnDoesNotWaitForTheGrowthOfOthers(t *testing.T) {
	f := contendedSimulation()
	f.service.Engine.LoadsPerSecond = 2
	f.run(2*time.Second, nil)
	f.requestContended()
	f.run(20*time.Second, nil)
	model := f.parked(t)
	f.removeCopies(model)
	for i := range busyModels {
		f.requestRate[modelName(i)] = 60
	}
	f.run(time.Second, nil)
	elapsed, found := f.timeToServe(model, time.Minute)
	t.Logf("served after %v", elapsed)
	if !found || elapsed > maxReturnTime {
		t.Errorf("served after %v (%t), at most %v", elapsed, found, maxReturnTime)
	}
}

// TestReturnPrefersAServerWithACopy guards against a load from the weight store while an instance
// with a local copy can free memory as soon. It also guards against evicting a replica in use while
// an idle one can be evicted.
func TestReturnPrefersAServerWithACopy(t *testing.T) {
	for _, c := range []struct {
		name            string
		copies          []int
		instance, model string
	}{
		{"a copy beside an idle model", []int{2}, "s02", modelName(6)},
		{"a copy beside models in use", []int{0}, "s01", modelName(5)},
		{"copies beside both", []int{0, 2}, "s02", modelName(6)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newParkingSimulation(9, []int{0, 1}, []int{0, 5}, []int{0, 6}, []int{0, 2})
			f.requestRate[modelName(0)], f.requestRate[modelName(1)], f.requestRate[modelName(2)] = 15, 0.5, 0.5
			f.service.Engine.LoadsPerSecond = 0
			f.run(6*time.Second, nil)
			f.service.Engine.LoadsPerSecond = 16
			for _, number := range c.copies {
				f.instances[number].copies[modelName(8)] = true
				f.instances[number].nextReport = f.now
			}
			before := len(f.orders)
			f.timeToServe(modelName(8), 5*time.Second)
			if first := f.orders[before]; first.Load || first.Instance != c.instance || first.Model != c.model {
				t.Errorf("order %+v, want %s unloaded at %s", first, c.model, c.instance)
			}
		})
	}
}

// TestNewSenderEvictsNothingForParkedModels guards against a new lease holder that takes parked
// models for lost ones and evicts replicas of busy models for them.
func TestNewSenderEvictsNothingForParkedModels(t *testing.T) {
	f := parkedSimulation(t)
	parked := f.parked(t)
	f.takeOver(time.Second)
	before := len(f.orders)
	f.run(10*time.Second, nil)
	for _, order := range f.orders[before:] {
		if order.ReservedFor == parked || order.Model == parked {
			t.Errorf("order %+v", order)
		}
	}
}

// TestParkedModelReturnsIntoFreeMemory guards against models that remain parked while memory is
// free, and against evictions for them.
func TestParkedModelReturnsIntoFreeMemory(t *testing.T) {
	f := parkedSimulation(t)
	parked, before := f.parked(t), len(f.orders)
	// Models 1 and 2 follow the only requested one.
	if parked < modelName(3) {
		t.Fatalf("%s is parked", parked)
	}
	for i := range f.service.Engine.Models {
		delete(f.requestRate, modelName(i))
	}
	f.requestRate[modelName(0)] = 2
	// One replica on each new instance may be of the hot model.
	f.instances = append(f.instances, newParkingSimulation(0, make([][]int, 12)...).instances[4:]...)
	f.registerInstances()
	f.run(20*time.Second, nil)
	if f.ready(parked) == 0 || f.tracker.ParkedCount() > 0 {
		t.Errorf("%d models are parked although memory is free", f.tracker.ParkedCount())
	}
	for _, order := range f.orders[before:] {
		if !order.Load {
			t.Errorf("order %+v", order)
		}
	}
}
