package coordination_test

import (
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
)

// TestIdleModelIsParkedForRefusedRequests guards against placement that does not receive the rate of
// refused requests, or how long clients wait. A parked model is unloaded while it is idle, to free
// capacity for another one. The requests in progress alone are too few to park a model.
func TestIdleModelIsParkedForRefusedRequests(t *testing.T) {
	cases := []struct {
		name    string
		latency time.Duration
		refused float32
		parks   bool
	}{
		{"refused", 800 * time.Millisecond, 20, true},
		{"served", 800 * time.Millisecond, 0, false},
		{"refused, with clients that leave too soon", 600 * time.Millisecond, 20, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1)
			w.reports = map[string]fleet.Report{"i1": reportHolding("m", "n"), "i2": reportHolding("o", "p")}
			w.perform("n0", w.nodes["n0"].ConfigurationReceived(parkingConfiguration(c.latency)))
			batch := listing(5, "i1", "i2")
			for _, item := range batch.Items {
				item.Value.Residents = w.reports[item.Name].Residents
			}
			w.perform("n0", w.nodes["n0"].InstancesListed(w.now, batch))
			models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 6, PerSecond: 20, Refused: c.refused}}
			maxParked := 0
			for end := w.now.Add(10 * time.Second); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
				w.perform("n0", w.nodes["n0"].UpdateOwnLoad(w.now, map[string]balance.Load{}, models, coordination.UrgencyNone))
				w.perform("n0", w.nodes["n0"].Tick(w.now))
				maxParked = max(maxParked, w.nodes["n0"].ParkedModels())
			}
			ordered := 0
			for _, sent := range w.orders {
				if sent.order.Model == "p" && strings.HasPrefix(sent.order.Reason, "parked") {
					ordered++
				}
			}
			if parks := ordered > 0 && maxParked == 1; parks != c.parks {
				t.Errorf("%d orders, %d models parked; all orders: %v", ordered, maxParked, w.orders)
			}
		})
	}
}

// reportHolding is the report of an instance that serves some models and has copies of all models.
func reportHolding(models ...string) fleet.Report {
	report := fleet.Report{Sequence: 4, AtHand: []string{"m", "n", "o", "p"}}
	for _, model := range models {
		report.Residents = append(report.Residents, fleet.Resident{Model: model})
	}
	return report
}

// parkingConfiguration has four models that take a second to load, and a stream route with a target
// latency.
func parkingConfiguration(latency time.Duration) *fleet.Configuration {
	engine := &fleet.Engine{Slots: 8, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 1}
	for _, name := range []string{"m", "n", "o", "p"} {
		engine.Models = append(engine.Models, fleet.Model{Name: name, WeightsMB: 50, LoadTime: time.Second})
	}
	route := fleet.Route{Kind: fleet.KindStream, Timeout: time.Minute, TargetLatency: latency, Targets: []fleet.Target{{Service: "llm", Weight: 1}}}
	return &fleet.Configuration{Version: 1, Routes: []fleet.Route{route}, Services: []fleet.Service{{Name: "llm", Engine: engine}}}
}
