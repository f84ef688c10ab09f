package residency_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/residency"
)

const (
	busyModels, idleModels, rareModels = 18, 27, 81
	contendedInstances                 = 90
)

// contendedSimulation has room for 180 replicas of 126 models. 18 models are requested and refused,
// 27 are idle, and 81 are requested occasionally. The remaining room is used by second replicas of
// the busy and the rarely requested models.
func contendedSimulation() *parkingSimulation {
	models := busyModels + idleModels + rareModels
	places := make([][]int, contendedInstances)
	for i := range 2 * contendedInstances {
		model := i
		if i >= models {
			model = i - models
			if model >= busyModels {
				model += idleModels
			}
		}
		places[i%contendedInstances] = append(places[i%contendedInstances], model)
	}
	return newParkingSimulation(models, places...)
}

func (f *parkingSimulation) requestContended() {
	for i := range busyModels {
		f.requestRate[modelName(i)] = 19
	}
	for i := range rareModels {
		f.requestRate[modelName(busyModels+idleModels+i)] = 0.2
	}
}

func (f *parkingSimulation) busyReplicas() int {
	total := 0
	for i := range busyModels {
		total += f.ready(modelName(i))
	}
	return total
}

// TestIdleModelsMakeRoomForRefusedOnes guards against refused requests while replicas are idle.
// With parking, the busy models have more replicas within seconds than without, and no requested
// model is without one.
func TestIdleModelsMakeRoomForRefusedOnes(t *testing.T) {
	const duration = 15 * time.Second
	replicas := map[time.Duration]int{}
	for _, clientTimeout := range []time.Duration{0, parkClientTimeout} {
		f := contendedSimulation()
		f.service.ClientTimeout = clientTimeout
		f.run(2*time.Second, nil)
		f.requestContended()
		f.run(duration, func() {
			for name := range f.requestRate {
				if f.ready(name) == 0 {
					t.Fatalf("client timeout %v: %s has no replica after %v", clientTimeout, name, f.now.Sub(time.Unix(1000, 0)))
				}
			}
		})
		replicas[clientTimeout] = f.busyReplicas()
		t.Logf("client timeout %v: %d replicas of the busy models, %d models parked, %d orders", clientTimeout, replicas[clientTimeout], f.tracker.ParkedCount(), len(f.orders))
	}
	if more := replicas[parkClientTimeout] - replicas[0]; more < 10 {
		t.Errorf("parking gives the busy models %d more replicas, want at least 10", more)
	}
}

// TestNothingIsParkedTooSoon guards against models that lose their last replica before there was
// any demand, or before they have been idle for 3 s.
func TestNothingIsParkedTooSoon(t *testing.T) {
	f := contendedSimulation()
	f.run(10*time.Second, nil)
	if len(f.orders) > 0 || f.tracker.ParkedCount() > 0 {
		t.Fatalf("orders %v before any demand", f.orders)
	}
	f.requestContended()
	idle := modelName(busyModels + 5)
	start := f.now
	f.run(4*time.Second, func() {
		if f.now.Sub(start) < 3*time.Second && f.ready(modelName(busyModels+10)) == 0 {
			t.Fatalf("parked after %v", f.now.Sub(start))
		}
		if f.now.Sub(start) < 2*time.Second {
			f.requestRate[idle] = 1
		} else {
			delete(f.requestRate, idle)
		}
		if f.ready(idle) == 0 {
			t.Fatalf("%s parked %v after the last request", idle, f.now.Sub(start)-2*time.Second)
		}
	})
}

// TestIdleTimesStartAgainAfterAPause guards against a daemon that resumes planning and counts
// models as idle that were requested while it did not plan.
func TestIdleTimesStartAgainAfterAPause(t *testing.T) {
	f := contendedSimulation()
	f.service.Engine.LoadsPerSecond = 0
	f.requestContended()
	f.run(5*time.Second, nil)
	f.plansFrom = f.now.Add(10 * time.Second)
	f.run(10*time.Second, nil)
	f.service.Engine.LoadsPerSecond = 16
	f.run(2500*time.Millisecond, nil)
	for _, order := range f.orders {
		if strings.HasPrefix(order.Reason, "parked") {
			t.Fatalf("order %+v", order)
		}
	}
}

// TestExpectedModelsAreNotParked guards against models that lose their last replica just before
// demand moves to them.
func TestExpectedModelsAreNotParked(t *testing.T) {
	f := contendedSimulation()
	f.requestContended()
	f.run(15*time.Second, func() {
		for next := range 2 {
			if name := modelName(busyModels + next); f.ready(name) == 0 {
				t.Fatalf("%s is parked although demand is forecast for it", name)
			}
		}
	})
	if f.tracker.ParkedCount() == 0 {
		t.Error("no model was parked")
	}
}

// TestSeveralModelsGrowInOnePlan guards against a scale-up of only one model in each plan.
func TestSeveralModelsGrowInOnePlan(t *testing.T) {
	f := contendedSimulation()
	f.service.ClientTimeout = 0
	f.requestContended()
	f.run(15*time.Second, nil)
	f.service.ClientTimeout = parkClientTimeout
	grown, maxGrown := map[time.Time]map[string]bool{}, 0
	f.beforeSend = func(order residency.Order) {
		if order.ReservedFor == "" {
			return
		}
		if grown[f.now] == nil {
			grown[f.now] = map[string]bool{}
		}
		grown[f.now][order.ReservedFor] = true
		maxGrown = max(maxGrown, len(grown[f.now]))
	}
	f.run(5*time.Second, nil)
	if maxGrown < 5 {
		t.Errorf("at most %d models are scaled up in one plan, want at least 5", maxGrown)
	}
}

// TestVictimHasACopyAtHand guards against parking a model that can only be loaded from the weight
// store while another idle model has a local copy. Of the models with a local copy, the one that
// has been idle longest is parked first.
func TestVictimHasACopyAtHand(t *testing.T) {
	f := newParkingSimulation(10, []int{0, 3}, []int{1, 4}, []int{2, 5}, []int{8, 6}, []int{9, 7})
	for i := 1; i < 10; i++ {
		f.requestRate[modelName(i)] = 0.5
	}
	delete(f.instances[1].copies, modelName(4))
	for _, longestOutage := range []int{4, 7, 6, 5} {
		delete(f.requestRate, modelName(longestOutage))
		f.run(time.Second, nil)
	}
	f.run(30*time.Second, nil)
	f.requestRate[modelName(0)] = 30
	var victims []string
	f.beforeSend = func(order residency.Order) {
		if !order.Load {
			victims = append(victims, order.Model)
		}
	}
	f.run(30*time.Second, nil)
	if want := []string{modelName(7), modelName(6), modelName(5), modelName(4)}; !slices.Equal(victims, want) {
		t.Errorf("victims %v, want %v", victims, want)
	}
}

// TestRuleDecidesWhetherModelsAreParked guards against parking where a load takes too long for
// waiting clients.
func TestRuleDecidesWhetherModelsAreParked(t *testing.T) {
	for _, c := range []struct {
		loadTime time.Duration
		parks    bool
	}{{1200 * time.Millisecond, true}, {1350 * time.Millisecond, true}, {1351 * time.Millisecond, false}, {8600 * time.Millisecond, false}, {0, false}} {
		f := contendedSimulation()
		for i := range f.service.Engine.Models {
			f.service.Engine.Models[i].LoadTime = c.loadTime
		}
		f.requestContended()
		f.run(10*time.Second, nil)
		if parks := f.tracker.ParkedCount() > 0; parks != c.parks {
			t.Errorf("a load takes %v: %d models are parked", c.loadTime, f.tracker.ParkedCount())
		}
	}
}

// TestOrdersAreTheSameWhereTheRuleIsNotMet guards against different orders for deployments whose
// models are not parkable, whatever refused requests their daemons report.
func TestOrdersAreTheSameWhereTheRuleIsNotMet(t *testing.T) {
	simulate := func(clientTimeout time.Duration, refused bool) []residency.Order {
		f := contendedSimulation()
		f.service.ClientTimeout = clientTimeout
		f.run(time.Second, nil)
		f.requestContended()
		f.run(10*time.Second, func() {
			if !refused {
				for name, demand := range f.demand {
					demand.RefusedPerSecond = 0
					f.demand[name] = demand
				}
			}
		})
		return f.orders
	}
	want := simulate(0, false)
	if len(want) == 0 {
		t.Fatal("no orders")
	}
	for _, clientTimeout := range []time.Duration{0, maxReturnTime - 1} {
		if got := simulate(clientTimeout, true); !slices.Equal(got, want) {
			t.Errorf("client timeout %v: orders differ", clientTimeout)
		}
	}
}
