package coordination_test

import (
	"slices"
	"testing"
	"time"
)

// TestWordOfAnInstanceThatLeavesStands guards against an entry that revokes an instance's announcement
// that it leaves. The entry goes on to show the instance as ready: it is written again by the same
// process, gone for a while, and listed again.
func TestWordOfAnInstanceThatLeavesStands(t *testing.T) {
	w := eraWorld(1, "i1", "i2")
	node := w.nodes["n0"]
	check := func(when string) {
		t.Helper()
		if used := w.inUse("n0", "i1", "i2"); !slices.Equal(used, []string{"i2"}) {
			t.Errorf("%s: %v in use", when, used)
		}
	}
	w.perform("n0", node.InstanceLeaving(w.now, "i1"))
	check("right after the announcement")
	w.perform("n0", node.InstancesChanged(w.now, listed(1, 96, "i1")))
	check("entry written again")
	w.perform("n0", node.InstancesListed(w.now, listed(1, 97, "i2")))
	w.run(5 * time.Second)
	w.perform("n0", node.InstancesListed(w.now, listed(1, 98, "i1", "i2")))
	check("entry listed again")
	w.run(2 * time.Minute)
	check("two minutes later")
}

// TestHolderLeavesAnInstanceAlone covers an instance that requests a backoff from the lease holder.
// Until the backoff ends, the holder neither polls its report nor sends it orders.
func TestHolderLeavesAnInstanceAlone(t *testing.T) {
	w := eraWorld(1, "i1", "i2")
	w.run(3 * time.Second)
	w.perform("n0", w.nodes["n0"].BackOffInstance("i1", w.now.Add(4*time.Second)))
	before, ordersBefore := w.reportRequests["i1"], len(w.orders)
	w.run(4*time.Second - 100*time.Millisecond)
	if polls := w.reportRequests["i1"] - before; polls > 0 {
		t.Errorf("polled %d times", polls)
	}
	for _, order := range w.orders[ordersBefore:] {
		if order.order.Instance == "i1" {
			t.Errorf("order sent: %+v", order)
		}
	}
	if w.reportRequests["i2"] == 0 {
		t.Error("the other instance is not polled either")
	}
	w.run(2 * time.Second)
	if w.reportRequests["i1"] == before {
		t.Error("not polled again after its backoff")
	}
}
