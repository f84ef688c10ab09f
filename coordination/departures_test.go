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
