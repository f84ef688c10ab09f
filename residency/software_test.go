package residency_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// TestStreamsGetTheirModelAtTheirSoftware guards against streams that wait indefinitely for an
// instance of the software version that began them, because all replicas of their model are on
// instances of other versions.
func TestStreamsGetTheirModelAtTheirSoftware(t *testing.T) {
	hot := residency.Demand{Concurrent: 50, PerSecond: 30}
	cases := []struct {
		name    string
		waiting map[string]int
		v1, v2  bool
	}{
		{"no stream waits", nil, true, false},
		{"streams of the other version wait", map[string]int{"v2": 2}, true, true},
		{"streams of its version wait", map[string]int{"v1": 2}, true, false},
		{"streams of a version that no instance runs wait", map[string]int{"v3": 2}, true, false},
	}
	for _, c := range cases {
		deployment := newPromptDeployment(
			&fakeInstance{id: "s0", software: "v1", models: map[string][]string{"hot": nil, "rare": nil}},
			&fakeInstance{id: "s1", software: "v1", models: map[string][]string{}},
			&fakeInstance{id: "s2", software: "v2", models: map[string][]string{"hot": nil, "idle": nil}},
			&fakeInstance{id: "s3", software: "v2", models: map[string][]string{"hot": nil, "idle": nil}},
		)
		deployment.engine = &fleet.Engine{
			Slots: 32, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 1,
			Models: []fleet.Model{{Name: "idle", WeightsMB: 100}, {Name: "rare", WeightsMB: 100}, {Name: "hot", WeightsMB: 100}},
		}
		rare := residency.Demand{Concurrent: 0.1, PerSecond: 0.1, Software: c.waiting}
		deployment.run(5*time.Second, map[string]residency.Demand{"hot": hot, "rare": rare})
		at := map[string]bool{}
		for _, instance := range deployment.instances {
			if _, holds := instance.models["rare"]; holds {
				at[instance.software] = true
			}
		}
		if at["v1"] != c.v1 || at["v2"] != c.v2 {
			t.Errorf("%s: on v1 %v, on v2 %v", c.name, at["v1"], at["v2"])
		}
		if deployment.replicas("hot") == 0 || deployment.replicas("idle") == 0 {
			t.Errorf("%s: another model lost its last replica", c.name)
		}
	}
}

// TestFirstReplicaGoesToTheSoftwareThatStreamsWaitFor guards against a load from the weight store that
// the streams which wait for an unreachable model cannot use: it went to an empty instance of another
// version, and the rate limit of the store delayed the load at theirs by seconds.
func TestFirstReplicaGoesToTheSoftwareThatStreamsWaitFor(t *testing.T) {
	cases := []struct {
		name    string
		waiting map[string]int
		target  string
	}{
		{"no stream waits", nil, "s2"},
		{"streams of the full version wait", map[string]int{"v1": 1}, "s0"},
		{"streams of the other version wait", map[string]int{"v2": 1}, "s2"},
		{"streams of a version that no instance runs wait", map[string]int{"v3": 1}, "s2"},
	}
	for _, c := range cases {
		deployment := newPromptDeployment(
			&fakeInstance{id: "s0", software: "v1", models: map[string][]string{"hot": nil}},
			&fakeInstance{id: "s1", software: "v2", models: map[string][]string{"hot": nil}},
			&fakeInstance{id: "s2", software: "v2", models: map[string][]string{}},
		)
		deployment.engine = &fleet.Engine{
			Slots: 32, WeightsMB: 100, LoadsPerSecond: 0.2,
			Models: []fleet.Model{{Name: "hot", WeightsMB: 100, LoadTime: 9 * time.Second}, {Name: "rare", WeightsMB: 100, LoadTime: 9 * time.Second}},
		}
		rare := residency.Demand{Concurrent: 1, PerSecond: 0.1, Waiting: 1, Software: c.waiting}
		deployment.run(3*time.Second, map[string]residency.Demand{"hot": {Concurrent: 2, PerSecond: 2}, "rare": rare})
		if targets := loadTargets(deployment.orders, "rare"); len(targets) != 1 || targets[0] != c.target {
			t.Errorf("%s: loaded on %v, want %s", c.name, targets, c.target)
		}
	}
}

// TestStreamsOfACrashedServerGetTheirModelAtOnce guards against streams that wait for their model until
// the instance list reflects the crash of the last instance of their version with it, while other models
// take the memory of the instances that are back. Nothing is evicted for them as long as the instance may come back.
func TestStreamsOfACrashedServerGetTheirModelAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		waiting map[string]int
		crashed bool
		// silent is how long the instance has left report requests unanswered.
		silent time.Duration
		// back is set if an empty instance of the version appears.
		back    bool
		targets []string
		evicts  bool
	}{
		{"an empty instance of the version", map[string]int{"v1": 1}, true, 0, true, []string{"s3"}, false},
		{"the instance lives", map[string]int{"v1": 1}, false, 0, true, nil, false},
		{"no stream waits", nil, true, 0, true, nil, false},
		{"no free memory at the version", map[string]int{"v1": 1}, true, 0, false, nil, false},
		{"no free memory at the version, two seconds", map[string]int{"v1": 1}, true, 2 * time.Second, false, nil, false},
		{"no free memory at the version, three seconds", map[string]int{"v1": 1}, true, 3 * time.Second, false, nil, true},
	}
	for _, c := range cases {
		instances := []*fakeInstance{
			{id: "s0", software: "v1", models: map[string][]string{"rare": nil}},
			{id: "s1", software: "v1", models: map[string][]string{"hot": nil}},
			{id: "s2", software: "v2", models: map[string][]string{"hot": nil}},
		}
		if c.back {
			instances = append(instances, &fakeInstance{id: "s3", software: "v1", models: map[string][]string{}})
		}
		deployment := newPromptDeployment(instances...)
		deployment.engine = &fleet.Engine{
			Slots: 32, WeightsMB: 100, LoadsPerSecond: 10,
			Models: []fleet.Model{{Name: "rare", WeightsMB: 100, LoadTime: 9 * time.Second}, {Name: "hot", WeightsMB: 100, LoadTime: 9 * time.Second}},
		}
		for _, s := range deployment.instances {
			deployment.tracker.Report(deployment.now, deployment.now, s.id, s.report())
		}
		deployment.now = deployment.now.Add(10 * time.Millisecond)
		if c.crashed {
			deployment.tracker.RecordCrash(deployment.now, "s0")
		}
		if c.silent > 0 {
			deployment.tracker.RecordUnanswered(deployment.now, "s0")
			deployment.now = deployment.now.Add(c.silent)
		}
		demand := map[string]residency.Demand{"hot": {Concurrent: 0.06, PerSecond: 0.06}, "rare": {Concurrent: 0.06, PerSecond: 0.06, Software: c.waiting}}
		orders := deployment.tracker.Plan(deployment.now, serviceFor(deployment.engine), demand)
		if targets := loadTargets(orders, "rare"); !slices.Equal(targets, c.targets) {
			t.Errorf("%s: loaded on %v, want %v", c.name, targets, c.targets)
		}
		if evicts := slices.ContainsFunc(orders, func(o residency.Order) bool { return !o.Load && o.Instance == "s1" }); evicts != c.evicts {
			t.Errorf("%s: evicts %v", c.name, evicts)
		}
	}
}

// TestStreamsGetTheirAdapterAtTheirSoftware guards against streams that wait indefinitely for an adapter that only
// instances of other versions hold, and against unloading an adapter that streams of the version need.
func TestStreamsGetTheirAdapterAtTheirSoftware(t *testing.T) {
	cases := []struct {
		name   string
		needed map[string]map[string]int
		// at is the adapter on the instance of v1 afterwards.
		at string
	}{
		{"no stream waits", nil, "a2"},
		{"streams of its version need the other adapter", map[string]map[string]int{"v1": {"a1": 1}}, "a1"},
		{"streams of the other version need it", map[string]map[string]int{"v2": {"a1": 1}}, "a2"},
		{"streams of its version need both", map[string]map[string]int{"v1": {"a1": 1, "a2": 1}}, "a2"},
	}
	for _, c := range cases {
		deployment := newPromptDeployment(
			&fakeInstance{id: "s0", software: "v1", models: map[string][]string{"big": {"a2"}}},
			&fakeInstance{id: "s1", software: "v2", models: map[string][]string{"big": {"a1"}}},
			&fakeInstance{id: "s2", software: "v2", models: map[string][]string{"big": {"a2"}}},
		)
		deployment.engine = &fleet.Engine{Slots: 32, WeightsMB: 100, AdapterSlots: 1, LoadsPerSecond: 1, Models: []fleet.Model{{Name: "big", WeightsMB: 90, Adapters: 2, AdapterMB: 2}}}
		software := map[string]int{}
		for version, adapters := range c.needed {
			software[version] = len(adapters)
		}
		demand := residency.Demand{Concurrent: 1, PerSecond: 1, Software: software, SoftwareAdapters: c.needed}
		deployment.run(3*time.Second, map[string]residency.Demand{"big": demand})
		if held := deployment.instances[0].models["big"]; len(held) != 1 || held[0] != c.at {
			t.Errorf("%s: v1 holds %v, want %s", c.name, held, c.at)
		}
	}
}

// TestFirstAdapterReplicaGoesToTheSoftwareThatNeedsIt guards against an adapter that no instance holds and that is loaded at
// another version than the one whose streams wait for it.
func TestFirstAdapterReplicaGoesToTheSoftwareThatNeedsIt(t *testing.T) {
	deployment := newPromptDeployment(
		&fakeInstance{id: "s0", software: "v1", models: map[string][]string{"big": {"a2"}}},
		&fakeInstance{id: "s1", software: "v2", models: map[string][]string{"big": nil}},
	)
	deployment.engine = &fleet.Engine{Slots: 32, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 1, Models: []fleet.Model{{Name: "big", WeightsMB: 90, Adapters: 2, AdapterMB: 2}}}
	demand := residency.Demand{
		Concurrent: 1, PerSecond: 1, Waiting: 1, Adapters: map[string]int{"a1": 1},
		Software: map[string]int{"v1": 1}, SoftwareAdapters: map[string]map[string]int{"v1": {"a1": 1}},
	}
	deployment.run(200*time.Millisecond, map[string]residency.Demand{"big": demand})
	var targets []string
	for _, order := range deployment.orders {
		if order.Load && order.Adapter == "a1" && order.Reason != "second home" {
			targets = append(targets, order.Instance)
		}
	}
	if !slices.Equal(targets, []string{"s0"}) {
		t.Errorf("a1 is loaded on %v, want s0 only", targets)
	}
}
