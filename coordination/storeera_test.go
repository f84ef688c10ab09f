package coordination_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
)

// listed is a list of an era. An entry that ends in "-" is of an instance that is leaving.
func listed(era, at uint64, entries ...string) feed.Batch[*fleet.Instance] {
	batch := feed.Batch[*fleet.Instance]{At: history.At(era, at)}
	for _, entry := range entries {
		id, leaving := strings.CutSuffix(entry, "-")
		batch.Items = append(batch.Items, feed.Item[*fleet.Instance]{
			Name: id, Place: history.At(era, at), Value: &fleet.Instance{ID: id, Service: "llm", Address: id, Slots: 8, Leaving: leaving},
		})
	}
	return batch
}

// inUse returns the instances that a node would send requests to.
func (w *world) inUse(name string, ids ...string) []string {
	view, _ := w.nodes[name].TakeView()
	var used []string
	for _, id := range ids {
		if instance := view.Instance(id); instance != nil && !instance.Leaving {
			used = append(used, id)
		}
	}
	return used
}

// eraWorld is a fleet of which every node has the same list.
func eraWorld(count int, entries ...string) *world {
	w := newWorld(count)
	w.restore(1)
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationReceived(engineConfiguration(1)))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listed(1, 95, entries...)))
	}
	w.run(2 * time.Second)
	return w
}

// restore begins an era of the store. The lease record is kept.
func (w *world) restore(era uint64) {
	w.era, w.stored.At.Era = era, era
}

// fromStore has each node that watches the store process an update of it.
func (w *world) fromStore(take func(node *coordination.Node) []coordination.Action) {
	for _, name := range w.names() {
		if w.nodes[name].Watching(w.now) {
			w.perform(name, take(w.nodes[name]))
		}
	}
}

// TestInstancesThatACopyLacksStayForAWhile covers a store that is restored from an earlier copy, which is older
// than one of two instances. The daemons that watch the store update the others.
func TestInstancesThatACopyLacksStayForAWhile(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		t.Run(fmt.Sprint("written again: ", rewritten), func(t *testing.T) {
			w := eraWorld(9, "i1", "i2")
			w.restore(2)
			w.fromStore(func(node *coordination.Node) []coordination.Action {
				return node.InstancesListed(w.now, listed(2, 80, "i1"))
			})
			w.run(time.Second)
			for _, name := range w.names() {
				if at := w.nodes[name].InstancesAt(); at != history.At(2, 80) {
					t.Errorf("%s has the instances at %v", name, at)
				}
				if used := w.inUse(name, "i1", "i2"); len(used) != 2 {
					t.Errorf("%s uses %v a second after the restore", name, used)
				}
			}
			if rewritten {
				w.fromStore(func(node *coordination.Node) []coordination.Action {
					return node.InstancesChanged(w.now, listed(2, 81, "i2"))
				})
			}
			w.run(3 * time.Second)
			want := []string{"i1"}
			if rewritten {
				want = []string{"i1", "i2"}
			}
			for _, name := range w.names() {
				if used := w.inUse(name, "i1", "i2"); !slices.Equal(used, want) {
					t.Errorf("%s uses %v, want %v", name, used, want)
				}
			}
		})
	}
}

// TestEraIsToldOnce covers the log after a restore of the store: each daemon writes exactly one line
// about it.
func TestEraIsToldOnce(t *testing.T) {
	w := eraWorld(9, "i1")
	watcher := w.nodeByWatching(true)
	w.restore(2)
	w.perform(watcher, w.nodes[watcher].EraLearned(w.now, 2))
	w.perform(watcher, w.nodes[watcher].InstancesListed(w.now, listed(2, 80, "i1")))
	w.run(3 * time.Second)
	lines := map[string]int{}
	for _, line := range w.decisions {
		if name, rest, _ := strings.Cut(line, " "); strings.HasPrefix(rest, "store ") {
			lines[name]++
		}
	}
	for _, name := range w.names() {
		if lines[name] != 1 {
			t.Errorf("%s logs %d times that the store was restored", name, lines[name])
		}
	}
}

// TestDeparturesSurviveARestore covers instances that were leaving or gone before the store was
// restored from an earlier copy that shows them as ready. An instance that announced that it leaves stays out of
// use, even if its entry is written again. One that was gone is used again once its server has written
// its entry, or the entry has remained for a while.
func TestDeparturesSurviveARestore(t *testing.T) {
	const gone, leaving = "i1", "i2"
	restored := func(t *testing.T) *world {
		t.Helper()
		w := eraWorld(9, "i0", gone, leaving)
		w.fromStore(func(node *coordination.Node) []coordination.Action {
			return node.InstancesListed(w.now, listed(1, 99, "i0", leaving+"-"))
		})
		w.run(time.Second)
		w.restore(2)
		w.fromStore(func(node *coordination.Node) []coordination.Action {
			return node.InstancesListed(w.now, listed(2, 80, "i0", gone, leaving))
		})
		w.run(time.Second)
		return w
	}
	written := func(w *world) {
		w.fromStore(func(node *coordination.Node) []coordination.Action {
			return node.InstancesChanged(w.now, listed(2, 82, gone, leaving))
		})
	}
	cases := []struct {
		name     string
		after    func(w *world)
		duration time.Duration
		want     []string
	}{
		{"a second later", func(*world) {}, 0, []string{"i0"}},
		{"written again", written, time.Second, []string{"i0", gone}},
		{"stays listed", func(*world) {}, 12 * time.Second, []string{"i0", gone}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := restored(t)
			c.after(w)
			w.run(c.duration)
			for _, name := range w.names() {
				if used := w.inUse(name, "i0", gone, leaving); !slices.Equal(used, c.want) {
					t.Errorf("%s uses %v, want %v", name, used, c.want)
				}
			}
		})
	}
}
