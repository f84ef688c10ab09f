package coordination_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

// settledWorld is a world after startup, with the counts of refreshes reset.
func settledWorld(t *testing.T, count int) *world {
	t.Helper()
	w := newWorld(count)
	w.listAll()
	w.run(4 * time.Second)
	clear(w.refresh)
	return w
}

func (w *world) reportOverdue(name string) {
	w.perform(name, w.nodes[name].SourceOverdue(coordination.SourceConfiguration))
}

// TestOthersLookAtTheStore covers a node that gets no answer from the store. The nodes that watch the
// store and some others refresh, but not all nodes, and not a second time at once.
func TestOthersLookAtTheStore(t *testing.T) {
	settings := coordination.DefaultSettings(term)
	for _, count := range []int{1, 3, 8, 40} {
		w := settledWorld(t, count)
		requester := w.nodeByWatching(true)
		w.reportOverdue(requester)
		w.reportOverdue(requester)
		refreshed := 0
		for name, times := range w.refresh {
			refreshed++
			if times != 1 || name == requester {
				t.Errorf("%d nodes: %s refreshed %d times", count, name, times)
			}
		}
		minRefreshed, maxRefreshed := min(count-1, settings.Watchers-1+settings.StoreCheckPeers), min(count-1, settings.Watchers+settings.StoreCheckPeers)
		if count == 40 {
			// A node that both requests picked at random refreshed once, like the others.
			maxRefreshed += settings.StoreCheckPeers
		}
		if refreshed < minRefreshed || refreshed > maxRefreshed {
			t.Errorf("%d nodes: %d refreshed, want %d to %d", count, refreshed, minRefreshed, maxRefreshed)
		}
		for _, name := range w.names() {
			if name != requester && w.nodes[name].Watching(w.now) && w.refresh[name] == 0 {
				t.Errorf("%d nodes: %s watches the store and did not refresh", count, name)
			}
		}
	}
}

// TestNodeIsToldWhatOthersFoundAtTheStore covers the response. It is sent once the refresh has returned
// a newer version, and at once by a node that has one already.
func TestNodeIsToldWhatOthersFoundAtTheStore(t *testing.T) {
	w := settledWorld(t, 3)
	w.reportOverdue("n0")
	w.perform("n1", w.nodes["n1"].ConfigurationReceived(engineConfiguration(2)))
	w.perform("n1", w.nodes["n1"].Tick(w.now))
	if view, _ := w.nodes["n0"].TakeView(); view.Configuration().Version != 2 {
		t.Errorf("version %d after another node has refreshed, want 2", view.Configuration().Version)
	}
	if w.configurations != 1 {
		t.Errorf("%d messages with a configuration, want 1", w.configurations)
	}
	clear(w.refresh)
	w.reportOverdue("n2")
	if view, _ := w.nodes["n2"].TakeView(); view.Configuration().Version != 2 {
		t.Errorf("version %d from a node with a newer version, want 2", view.Configuration().Version)
	}
	if len(w.refresh) != 0 {
		t.Errorf("nodes with a newer version refreshed from the store: %v", w.refresh)
	}
}
