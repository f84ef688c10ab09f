package residency_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// adaptersOnTwo is two servers with one model each of two, and places for adapters.
func adaptersOnTwo(adapters, places int) *calm {
	c := newCalm(
		&modelServer{id: "s0", models: map[string][]string{"m": nil, "other": nil}},
		&modelServer{id: "s1", models: map[string][]string{"m": nil, "other": nil}},
	)
	c.engine = &fleet.Engine{
		Slots: 32, WeightsMB: 300, AdapterSlots: places, LoadsPerSecond: 1,
		Models: []fleet.Model{{Name: "m", WeightsMB: 100, Adapters: adapters, AdapterMB: 1}, {Name: "other", WeightsMB: 100, Adapters: 1, AdapterMB: 1}},
	}
	return c
}

// homesOf counts the servers that hold each adapter of a model.
func (c *calm) homesOf(model string) map[string]int {
	homes := map[string]int{}
	for _, s := range c.servers {
		for _, adapter := range s.models[model] {
			homes[adapter]++
		}
	}
	return homes
}

func TestAdaptersOfModelsThatAreAskedForHaveTwoHomes(t *testing.T) {
	asked := map[string]residency.Demand{"m": {Concurrent: 4, PerSecond: 2}}
	cases := []struct {
		name             string
		adapters, places int
		demand           map[string]residency.Demand
		twice            bool
	}{
		{"asked for", 3, 6, asked, true},
		{"not asked for", 3, 6, nil, false},
		{"no places for all of them twice", 5, 6, asked, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			two := adaptersOnTwo(c.adapters, c.places)
			two.run(5*time.Second, c.demand)
			homes := two.homesOf("m")
			if len(homes) != c.adapters || two.homesOf("other")["a1"] == 0 {
				t.Fatalf("homes %v, of the other model %v", homes, two.homesOf("other"))
			}
			twice := true
			for _, count := range homes {
				twice = twice && count == 2
			}
			if twice != c.twice {
				t.Errorf("homes %v", homes)
			}
			for _, s := range two.servers {
				if held := len(s.models["m"]) + len(s.models["other"]); held > c.places {
					t.Errorf("%s holds %d adapters", s.id, held)
				}
			}
		})
	}
}

// TestAnAdapterWithAnotherHomeGivesWay fills all places: the adapter that is waited for takes
// the place of one that another server has too, never of the only one.
func TestAnAdapterWithAnotherHomeGivesWay(t *testing.T) {
	two := adaptersOnTwo(5, 3)
	two.servers[0].models["m"] = []string{"a1", "a2", "a3"}
	two.servers[1].models["m"] = []string{"a1", "a4"}
	two.servers[1].models["other"] = []string{"a1"}
	two.run(2*time.Second, map[string]residency.Demand{"m": {Concurrent: 4, PerSecond: 2, Adapters: map[string]int{"a5": 1}}})
	homes := two.homesOf("m")
	for _, adapter := range []string{"a1", "a2", "a3", "a4", "a5"} {
		if homes[adapter] == 0 {
			t.Errorf("%s has no home: %v", adapter, homes)
		}
	}
	if two.homesOf("other")["a1"] == 0 {
		t.Error("the only home of another model's adapter was taken")
	}
}
