package coordination_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
)

// entry is an instance as it was written at a revision.
func entry(id string, revision uint64) feed.Item[*fleet.Instance] {
	return feed.Item[*fleet.Instance]{
		Name: id, Place: history.At(0, revision), Value: &fleet.Instance{ID: id, Service: "llm", Address: id, Slots: 8},
	}
}

func removal(id string, revision uint64) feed.Item[*fleet.Instance] {
	return feed.Item[*fleet.Instance]{Name: id, Place: history.At(0, revision), Gone: true}
}

func entries(at uint64, items ...feed.Item[*fleet.Instance]) feed.Batch[*fleet.Instance] {
	return feed.Batch[*fleet.Instance]{At: history.At(0, at), Items: items}
}

// singleWatcherWorld returns a world of three nodes of which one watches the store, and the names of
// the watcher and the others.
func singleWatcherWorld() (w *world, watcher string, others []string) {
	w = newWorld(3)
	w.setWatchers(1)
	w.run(3 * time.Second)
	watcher = w.nodeByWatching(true)
	others = slices.DeleteFunc(w.names(), func(name string) bool { return name == watcher })
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationReceived(engineConfiguration(1)))
	}
	return w, watcher, others
}

func (w *world) list(name string, batch feed.Batch[*fleet.Instance]) {
	w.perform(name, w.nodes[name].InstancesListed(w.now, batch))
}

func (w *world) change(name string, batch feed.Batch[*fleet.Instance]) {
	w.perform(name, w.nodes[name].InstancesChanged(w.now, batch))
}

func (w *world) checkInUse(t *testing.T, want ...string) {
	t.Helper()
	for _, name := range w.names() {
		if used := w.inUse(name, "a", "b", "c"); !slices.Equal(used, want) {
			t.Errorf("%s uses %v, want %v", name, used, want)
		}
	}
}

// TestRemovalBetweenFirstListsReachesAll guards against daemons that continue to use a removed server.
// It was removed from the store after their own first list and before that of the daemon that sends
// them changes.
func TestRemovalBetweenFirstListsReachesAll(t *testing.T) {
	w, watcher, others := singleWatcherWorld()
	w.list(others[0], entries(2, entry("a", 1), entry("b", 2)))
	w.list(others[1], entries(4, entry("b", 2), entry("c", 3)))
	w.run(time.Second)
	w.list(watcher, entries(5, entry("c", 3)))
	w.change(watcher, entries(6, entry("c", 6)))
	w.run(2 * time.Second)
	w.checkInUse(t, "c")
}

// TestRemovalBetweenFirstListsReachesAllInQuiet covers the same case without any later change.
func TestRemovalBetweenFirstListsReachesAllInQuiet(t *testing.T) {
	w, watcher, others := singleWatcherWorld()
	w.list(others[0], entries(3, entry("a", 1), entry("b", 2), entry("c", 3)))
	w.list(others[1], entries(5, entry("c", 3)))
	w.list(watcher, entries(5, entry("c", 3)))
	w.run(2 * time.Second)
	w.checkInUse(t, "c")
}

// TestChangeWhileAListIsReadReachesAll guards against daemons that miss a change of an instance on the
// first page of their list because a later page was newer than that change.
func TestChangeWhileAListIsReadReachesAll(t *testing.T) {
	w, watcher, others := singleWatcherWorld()
	left := entry("a", 6)
	left.Value.Leaving = true
	w.list(watcher, entries(5, entry("a", 1), entry("b", 2)))
	w.list(others[0], entries(5, entry("a", 1), entry("b", 2), entry("c", 7)))
	w.list(others[1], entries(5, entry("a", 1), entry("b", 2), entry("c", 7)))
	w.change(watcher, entries(7, left, entry("c", 7)))
	w.run(2 * time.Second)
	w.checkInUse(t, "b", "c")
}

// TestLateAnswerDoesNotBringBackWhatWasRemoved guards against daemons that use a removed server again
// because another daemon's response was in transit when they received the removal.
func TestLateAnswerDoesNotBringBackWhatWasRemoved(t *testing.T) {
	w, watcher, others := singleWatcherWorld()
	for _, name := range w.names() {
		w.list(name, entries(2, entry("b", 2)))
	}
	w.change(others[0], entries(3, entry("a", 3)))
	late := coordination.Message{From: others[0], Instances: &coordination.Listing{
		At: history.At(0, 3), Changes: true, Items: []coordination.ListedInstance{{Place: history.At(0, 3), Value: *entry("a", 3).Value}},
	}}
	w.change(watcher, entries(3, entry("a", 3)))
	w.change(watcher, entries(4, removal("a", 4)))
	w.perform(watcher, w.nodes[watcher].Receive(w.now, late))
	w.run(2 * time.Second)
	w.checkInUse(t, "b")
}

// TestRemovalInAGapOfTheHistoryReachesAll guards against daemons that continue to use a removed
// instance. It was added and removed while the daemon that sends them changes had lost the store's
// history.
func TestRemovalInAGapOfTheHistoryReachesAll(t *testing.T) {
	w, watcher, others := singleWatcherWorld()
	for _, name := range w.names() {
		w.list(name, entries(2, entry("b", 2)))
	}
	w.change(others[0], entries(3, entry("a", 3)))
	w.list(watcher, entries(5, entry("b", 2)))
	w.change(watcher, entries(6, entry("c", 6)))
	w.run(2 * time.Second)
	w.checkInUse(t, "b", "c")
}

// TestZoneTakenBackBetweenFirstListsIsUsedByAll guards against daemons that continue to send no
// requests to a zone whose evacuation was revoked. The revocation came after their own first list and
// before those of the daemons that watch the store.
func TestZoneTakenBackBetweenFirstListsIsUsedByAll(t *testing.T) {
	w, watcher, others := singleWatcherWorld()
	evacuated := feed.Item[fleet.Evacuation]{Name: "z1", Place: history.At(0, 3), Value: fleet.Evacuation{Zone: "z1"}}
	list := func(name string, at uint64, items ...feed.Item[fleet.Evacuation]) {
		w.perform(name, w.nodes[name].EvacuationsListed(w.now, feed.Batch[fleet.Evacuation]{At: history.At(0, at), Items: items}))
	}
	list(others[0], 3, evacuated)
	list(others[1], 5)
	list(watcher, 5)
	w.run(2 * time.Second)
	for _, name := range w.names() {
		if zones := w.nodes[name].EvacuatedZones(); zones != 0 {
			t.Errorf("%s counts %d zones as evacuated", name, zones)
		}
	}
}
