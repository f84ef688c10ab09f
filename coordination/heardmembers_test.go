package coordination_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// aliveCount counts the daemons that a node considers alive, including itself.
func (w *world) aliveCount(name string) int {
	count := 0
	for _, known := range w.nodes[name].RecentMembers(w.now) {
		if known.State == member.Alive {
			count++
		}
	}
	return count
}

// TestDaemonThatIsCutOffHearsNobodySoon silences all other daemons at once. In a small fleet a daemon
// must stop relying on all of them after little more than a second, while suspicion detects them one at
// a time.
func TestDaemonThatIsCutOffHearsNobodySoon(t *testing.T) {
	w := newWorld(9)
	w.listAll()
	w.run(5 * time.Second)
	if aliveCount := w.aliveCount("n0"); aliveCount != 9 {
		t.Fatalf("%d of 9 daemons count as alive", aliveCount)
	}
	for _, name := range w.names()[1:] {
		w.dead[name] = true
	}
	w.run(1300 * time.Millisecond)
	if aliveCount := w.aliveCount("n0"); aliveCount != 1 {
		t.Errorf("%d daemons count as alive, want 1 since the eight others are silent", aliveCount)
	}
	alive := 0
	for _, known := range w.nodes["n0"].Members() {
		if known.State == member.Alive {
			alive++
		}
	}
	if alive < 3 {
		t.Errorf("only %d daemons are not suspected yet: the test is inconclusive", alive)
	}
}
