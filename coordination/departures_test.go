package coordination_test

import (
	"slices"
	"testing"
	"time"
)

// TestWordOfAnInstanceThatLeavesStands has an instance say in its answers that it leaves, while its entry goes on
// to show it as ready: written anew by the same life, gone for a while, and listed again. It guards against an
// entry that takes back what the instance has said.
func TestWordOfAnInstanceThatLeavesStands(t *testing.T) {
	w := eraWorld(1, "i1", "i2")
	node := w.nodes["n0"]
	check := func(when string) {
		t.Helper()
		if used := w.inUse("n0", "i1", "i2"); !slices.Equal(used, []string{"i2"}) {
			t.Errorf("%s: %v in use", when, used)
		}
	}
	w.perform("n0", node.InstanceLeaves(w.now, "i1"))
	check("as soon as it has said so")
	w.perform("n0", node.InstancesChanged(w.now, listed(1, 96, "i1")))
	check("its entry is written anew")
	w.perform("n0", node.InstancesListed(w.now, listed(1, 97, "i2")))
	w.run(5 * time.Second)
	w.perform("n0", node.InstancesListed(w.now, listed(1, 98, "i1", "i2")))
	check("its entry has come back")
	w.run(2 * time.Minute)
	check("two minutes later")
}

// TestHolderLeavesAnInstanceAlone has an instance ask the holder of the lease for rest: it is asked for no report, and
// gets no order, until the rest has ended.
func TestHolderLeavesAnInstanceAlone(t *testing.T) {
	w := eraWorld(1, "i1", "i2")
	w.run(3 * time.Second)
	w.perform("n0", w.nodes["n0"].InstanceRests("i1", w.now.Add(4*time.Second)))
	before, sent := w.reportsAsked["i1"], len(w.orders)
	w.run(4*time.Second - 100*time.Millisecond)
	if asked := w.reportsAsked["i1"] - before; asked > 0 {
		t.Errorf("asked for %d reports", asked)
	}
	for _, order := range w.orders[sent:] {
		if order.order.Instance == "i1" {
			t.Errorf("sent %+v", order)
		}
	}
	if w.reportsAsked["i2"] == 0 {
		t.Error("no other instance is asked either")
	}
	w.run(2 * time.Second)
	if w.reportsAsked["i1"] == before {
		t.Error("not asked again after its rest")
	}
}
