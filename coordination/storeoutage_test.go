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
