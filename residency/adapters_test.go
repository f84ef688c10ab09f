package residency_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// twoInstanceDeployment has two instances that hold the same two models, with the given number of
// adapter slots.
func twoInstanceDeployment(adapters, slots int) *promptDeployment {
	c := newPromptDeployment(
		&fakeInstance{id: "s0", models: map[string][]string{"m": nil, "other": nil}},
		&fakeInstance{id: "s1", models: map[string][]string{"m": nil, "other": nil}},
	)
	c.engine = &fleet.Engine{
		Slots: 32, WeightsMB: 300, AdapterSlots: slots, LoadsPerSecond: 1,
		Models: []fleet.Model{{Name: "m", WeightsMB: 100, Adapters: adapters, AdapterMB: 1}, {Name: "other", WeightsMB: 100, Adapters: 1, AdapterMB: 1}},
	}
	return c
}

// adapterReplicas counts the instances that hold each adapter of a model.
func (c *promptDeployment) adapterReplicas(model string) map[string]int {
	counts := map[string]int{}
	for _, s := range c.instances {
		for _, adapter := range s.models[model] {
			counts[adapter]++
		}
	}
	return counts
}

func TestAdaptersOfModelsThatAreAskedForHaveTwoHomes(t *testing.T) {
	requested := map[string]residency.Demand{"m": {Concurrent: 4, PerSecond: 2}}
	cases := []struct {
		name            string
		adapters, slots int
		demand          map[string]residency.Demand
		twice           bool
	}{
		{"requested", 3, 6, requested, true},
		{"not requested", 3, 6, nil, false},
		{"too few slots for two replicas of each", 5, 6, requested, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deployment := twoInstanceDeployment(c.adapters, c.slots)
			deployment.run(5*time.Second, c.demand)
			counts := deployment.adapterReplicas("m")
			if len(counts) != c.adapters || deployment.adapterReplicas("other")["a1"] == 0 {
				t.Fatalf("adapter replicas %v, of the other model %v", counts, deployment.adapterReplicas("other"))
			}
			twice := true
			for _, count := range counts {
				twice = twice && count == 2
			}
			if twice != c.twice {
				t.Errorf("adapter replicas %v", counts)
			}
			for _, s := range deployment.instances {
				if held := len(s.models["m"]) + len(s.models["other"]); held > c.slots {
					t.Errorf("%s holds %d adapters", s.id, held)
				}
			}
		})
	}
}

// TestAnAdapterWithAnotherHomeGivesWay fills all adapter slots. A requested adapter replaces one
// that the other instance holds too, and never the only replica of an adapter.
func TestAnAdapterWithAnotherHomeGivesWay(t *testing.T) {
	deployment := twoInstanceDeployment(5, 3)
	deployment.instances[0].models["m"] = []string{"a1", "a2", "a3"}
	deployment.instances[1].models["m"] = []string{"a1", "a4"}
	deployment.instances[1].models["other"] = []string{"a1"}
	deployment.run(2*time.Second, map[string]residency.Demand{"m": {Concurrent: 4, PerSecond: 2, Adapters: map[string]int{"a5": 1}}})
	counts := deployment.adapterReplicas("m")
	for _, adapter := range []string{"a1", "a2", "a3", "a4", "a5"} {
		if counts[adapter] == 0 {
			t.Errorf("%s has no replica: %v", adapter, counts)
		}
	}
	if deployment.adapterReplicas("other")["a1"] == 0 {
		t.Error("the only replica of another model's adapter was unloaded")
	}
}
