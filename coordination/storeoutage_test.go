package coordination_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

// TestDaemonThatIsCutOffReceivesNoInstances guards against a daemon that reaches neither the store nor any other daemon and takes
// this for an outage of the store at all of them: it would count as one that hears of new servers.
func TestDaemonThatIsCutOffReceivesNoInstances(t *testing.T) {
	for _, count := range []int{3, 9} {
		w := newWorld(count)
		w.listAll()
		w.run(5 * time.Second)
		const isolated = "n1"
		w.cut = func(from, to string) bool { return (from == isolated) != (to == isolated) }
		w.storeCut[isolated] = true
		for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
			w.perform(isolated, w.nodes[isolated].SourceAvailable(source, false))
		}
		cut := w.now
		w.run(5 * time.Second)
		for w.now.Sub(cut) < 90*time.Second {
			w.run(50 * time.Millisecond)
			if w.nodes[isolated].ReceivesInstanceChanges(w.now) {
				t.Errorf("%d daemons: receives the changes of instances %v after it was cut off", count, w.now.Sub(cut))
				break
			}
		}
	}
}

// TestCutOffGroupTakesNothingForAnOutage guards against daemons that are cut off together, from the store and from the others, and
// take this for an outage of the store at all daemons: they would count as hearing of new servers, and their holder of the lease
// would go on beside that of the others.
func TestCutOffGroupTakesNothingForAnOutage(t *testing.T) {
	for _, c := range []struct{ count, cut int }{{3, 2}, {9, 2}, {9, 4}, {9, 6}, {71, 8}} {
		w := newWorld(c.count)
		w.listAll()
		w.run(8 * time.Second)
		holder := w.holders()[0]
		group := map[string]bool{holder: true}
		for _, name := range w.names() {
			if len(group) < c.cut {
				group[name] = true
			}
		}
		w.cut = func(from, to string) bool { return group[from] != group[to] }
		for name := range group {
			w.storeCut[name] = true
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(name, w.nodes[name].SourceAvailable(source, false))
			}
		}
		cut := w.now
		w.run(5 * time.Second)
		for w.now.Sub(cut) < 60*time.Second && !t.Failed() {
			w.run(100 * time.Millisecond)
			for name := range group {
				if w.nodes[name].ReceivesInstanceChanges(w.now) {
					t.Errorf("%d of %d: %s receives the changes of instances %v after the cut", c.cut, c.count, name, w.now.Sub(cut))
				}
			}
			if holders := w.holders(); len(holders) > 1 {
				t.Errorf("%d of %d: %v hold the lease %v after the cut", c.cut, c.count, holders, w.now.Sub(cut))
			}
		}
	}
}

// TestOutageForAllIsTakenForOne guards against a holder that gives no orders while the store answers nobody, though all daemons say
// so, or one of them has stopped as planned.
func TestOutageForAllIsTakenForOne(t *testing.T) {
	w := newWorld(9)
	w.listAll()
	w.run(8 * time.Second)
	holder := w.holders()[0]
	var stopped string
	for _, name := range w.names() {
		if name != holder {
			stopped = name
		}
	}
	w.perform(stopped, w.nodes[stopped].Leave())
	w.run(2 * time.Second)
	w.dead[stopped] = true
	w.run(15 * time.Second)
	for _, name := range w.names() {
		w.storeCut[name] = true
		for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
			w.perform(name, w.nodes[name].SourceAvailable(source, false))
		}
	}
	w.run(10 * time.Second)
	if holders := w.holders(); len(holders) != 1 || holders[0] != holder {
		t.Errorf("%v hold the lease in an outage, %s did before", holders, holder)
	}
}
