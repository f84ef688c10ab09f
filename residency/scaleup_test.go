package residency_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// fullDeployment has two instances without free memory. Each holds the hot model and one without
// requests. A fourth model has no replica, and only a replica of the hot one can be evicted for it.
func fullDeployment(loadsPerSecond float64) *promptDeployment {
	c := newPromptDeployment(
		&fakeInstance{id: "s0", models: map[string][]string{"hot": nil, "idle": nil}},
		&fakeInstance{id: "s1", models: map[string][]string{"hot": nil, "rare": nil}},
	)
	c.engine = &fleet.Engine{
		Slots: 32, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: loadsPerSecond,
		Models: []fleet.Model{{Name: "idle", WeightsMB: 100}, {Name: "lost", WeightsMB: 100}, {Name: "rare", WeightsMB: 100}, {Name: "hot", WeightsMB: 100}},
	}
	return c
}

// TestHotModelKeepsItsReplicas covers when a replica of the hot model is evicted for the model
// without a replica.
func TestHotModelKeepsItsReplicas(t *testing.T) {
	hot := residency.Demand{Concurrent: 50, PerSecond: 30}
	cases := []struct {
		name     string
		demand   map[string]residency.Demand
		duration time.Duration
		moves    bool
	}{
		{"no requests", nil, 2 * time.Second, true},
		{"no request for the unreachable model", map[string]residency.Demand{"hot": hot}, 20 * time.Second, false},
		{"one request waits briefly", map[string]residency.Demand{"hot": hot, "lost": {Waiting: 1}}, time.Second, false},
		{"one request keeps waiting", map[string]residency.Demand{"hot": hot, "lost": {Waiting: 1}}, 2 * time.Minute, true},
		{"many requests wait", map[string]residency.Demand{"hot": hot, "lost": {Waiting: 200}}, time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deployment := fullDeployment(1)
			deployment.run(c.duration, c.demand)
			if moved := deployment.replicas("hot") == 1; moved != c.moves {
				t.Errorf("the hot model has %d replicas, the unreachable one %d", deployment.replicas("hot"), deployment.replicas("lost"))
			}
			if deployment.replicas("hot") == 0 {
				t.Error("the hot model lost its last replica")
			}
		})
	}
}

// TestAReplicaOnItsWayDoesNotStandForOneThatServes guards against counting a replica that is still
// loading as a ready one. The ready replicas carry all requests meanwhile, so none of them may be
// evicted.
func TestAReplicaOnItsWayDoesNotStandForOneThatServes(t *testing.T) {
	deployment := fullDeployment(1)
	empty := &fakeInstance{id: "s2", models: map[string][]string{}, busy: &residency.Order{Load: true, Model: "hot"}}
	deployment.instances = append(deployment.instances, empty)
	putAll(deployment.tracker, fleetInstances(deployment.instances))
	for _, s := range deployment.instances {
		deployment.tracker.Report(deployment.now, deployment.now, s.id, s.report())
	}
	demand := map[string]residency.Demand{"hot": {Concurrent: 50, PerSecond: 30}, "lost": {Waiting: 2}}
	for _, order := range deployment.tracker.Plan(deployment.now, serviceFor(deployment.engine), demand) {
		if !order.Load && order.Model == "hot" {
			t.Fatalf("order %+v", order)
		}
	}
}

// TestRoomKeepsItsLoad lets the rate limit of the weight store allow one load. The model for which
// memory was freed gets that load, even while its instance still frees the memory.
func TestRoomKeepsItsLoad(t *testing.T) {
	deployment := fullDeployment(0.2)
	empty := &fakeInstance{id: "s2", models: map[string][]string{}}
	for _, s := range deployment.instances {
		deployment.tracker.Report(deployment.now, deployment.now, s.id, s.report())
	}
	evictions := deployment.tracker.Plan(deployment.now, serviceFor(deployment.engine), nil)
	if len(evictions) != 1 || evictions[0].ReservedFor != "lost" {
		t.Fatalf("orders %+v", evictions)
	}
	deployment.tracker.RecordSending(deployment.now, evictions[0])
	deployment.tracker.RecordAnswer(deployment.now, evictions[0], residency.AnswerAccepted)
	putAll(deployment.tracker, fleetInstances(append(deployment.instances, empty))[2:])
	deployment.tracker.Report(deployment.now, deployment.now, empty.id, empty.report())
	for _, order := range deployment.tracker.Plan(deployment.now, serviceFor(deployment.engine), map[string]residency.Demand{"hot": {Concurrent: 50, PerSecond: 30}}) {
		if order.Load {
			t.Errorf("order %+v uses the load that the reserved memory needs", order)
		}
	}
}

// TestRoomOnAServerThatDiedIsMadeElsewhere covers an instance that stops answering after memory was
// freed on it. The waiting requests get memory for their model on another instance well before the
// first one counts as unresponsive.
func TestRoomOnAServerThatDiedIsMadeElsewhere(t *testing.T) {
	deployment := fullDeployment(1)
	for _, s := range deployment.instances {
		deployment.tracker.Report(deployment.now, deployment.now, s.id, s.report())
	}
	demand := map[string]residency.Demand{"lost": {Waiting: 5}}
	evictions := deployment.tracker.Plan(deployment.now, serviceFor(deployment.engine), demand)
	if len(evictions) != 1 || evictions[0].ReservedFor != "lost" {
		t.Fatalf("orders %+v", evictions)
	}
	deployment.tracker.RecordSending(deployment.now, evictions[0])
	deployment.tracker.RecordAnswer(deployment.now, evictions[0], residency.AnswerAccepted)
	find(deployment.instances, evictions[0].Instance).unresponsive = true
	empty := &fakeInstance{id: "s2", models: map[string][]string{}}
	deployment.instances = append(deployment.instances, empty)
	putAll(deployment.tracker, fleetInstances(deployment.instances))
	deployment.run(1500*time.Millisecond, demand)
	if _, loaded := empty.models["lost"]; !loaded {
		t.Errorf("the empty instance holds %v", empty.models)
	}
}

// TestModelWhoseFirstReplicaIsOrderedNeedsNoRoom covers three instances with much free memory that
// all hold the same model, and a second model with a small forecast demand but no replica. It
// guards against a plan that orders the first replica of the second model and also evicts a replica
// although memory is free: the requests for the evicted model are refused.
func TestModelWhoseFirstReplicaIsOrderedNeedsNoRoom(t *testing.T) {
	for _, concurrent := range []float64{0, 0.2, 0.4, 0.6, 0.8, 1, 2} {
		var instances []*fakeInstance
		for _, id := range []string{"s0", "s1", "s2"} {
			instances = append(instances, &fakeInstance{id: id, models: map[string][]string{"held": nil}})
		}
		c := newPromptDeployment(instances...)
		c.engine = &fleet.Engine{Slots: 8, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 5, Models: []fleet.Model{
			{Name: "held", WeightsMB: 60}, {Name: "next", WeightsMB: 60},
		}}
		putAll(c.tracker, fleetInstances(c.instances))
		for _, s := range c.instances {
			c.tracker.Report(c.now, c.now, s.id, s.report())
		}
		demand := map[string]residency.Demand{"held": {Concurrent: concurrent, PerSecond: 20}, "next": {Concurrent: concurrent / 2}}
		loads := 0
		for _, order := range c.tracker.Plan(c.now, serviceFor(c.engine), demand) {
			if !order.Load {
				t.Errorf("%v requests: order %+v", concurrent, order)
			} else if order.Model == "next" {
				loads++
			}
		}
		if loads == 0 {
			t.Errorf("%v requests: the next model stays unreachable", concurrent)
		}
	}
}
