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

func TestConfigurationOnlyMovesForward(t *testing.T) {
	w := newWorld(1)
	node := w.nodes["n0"]
	node.InstancesListed(w.now, listing(5, "i1"))
	for _, version := range []uint64{4, 9, 7, 1} {
		node.ConfigurationReceived(engineConfiguration(version))
	}
	view, changed := node.TakeView()
	if !changed || view.Version() != 9 {
		t.Fatalf("version %d", view.Version())
	}
	if _, again := node.TakeView(); again {
		t.Error("TakeView reported a change, but nothing has changed")
	}
}

func TestNothingIsServedBeforeBothAreKnown(t *testing.T) {
	w := newWorld(1)
	node := w.nodes["n0"]
	node.ConfigurationReceived(engineConfiguration(1))
	if view, _ := node.TakeView(); view.Configuration() != nil {
		t.Fatal("the view has a configuration before the instances were listed")
	}
	node.InstancesListed(w.now, listing(5))
	if view, _ := node.TakeView(); view.Configuration() == nil {
		t.Fatal("the view has no configuration, although configuration and instances are there")
	}
}

// TestNodeCatchesUpByItsPeers covers a node whose watch on the store receives nothing, one that
// does not watch, and one that the store rejects. All receive what other nodes have, including
// removals of instances.
func TestNodeCatchesUpByItsPeers(t *testing.T) {
	cases := []struct {
		name      string
		watching  bool
		available bool
		// listsStore is set if the node lists the store again instead of receiving an update.
		listsStore bool
	}{
		{"watch receives nothing", true, true, true},
		{"not watching", false, true, false},
		{"rejected by the store", true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3)
			w.setWatchers(1)
			w.listAll()
			w.run(3 * time.Second)
			behind := w.nodeByWatching(c.watching)
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(behind, w.nodes[behind].SourceAvailable(source, c.available))
			}
			for _, name := range w.names() {
				if name != behind {
					w.perform(name, w.nodes[name].ConfigurationReceived(engineConfiguration(2)))
					gone := listing(9, "i3")
					gone.Items = append(gone.Items, feed.Item[*fleet.Instance]{Name: "i1", Place: history.At(0, 9), Gone: true})
					w.perform(name, w.nodes[name].InstancesChanged(w.now, gone))
				}
			}
			w.nodes[behind].TakeView()
			w.run(time.Second)
			view, changed := w.nodes[behind].TakeView()
			if c.listsStore {
				if w.refresh[behind] == 0 || changed && view.Version() == 2 {
					t.Fatalf("%d list calls, view changed %v", w.refresh[behind], changed)
				}
				return
			}
			if !changed || view.Version() != 2 || view.Instance("i3") == nil || view.Instance("i1") != nil || view.Instance("i2") == nil {
				t.Fatalf("the node did not catch up from its peers")
			}
		})
	}
}

// TestSomebodyAlwaysWatches covers a watching node that fails, and one that the store rejects.
// Others must watch within a second.
func TestSomebodyAlwaysWatches(t *testing.T) {
	for name, inject := range map[string]func(w *world, watcher string){
		"dies": func(w *world, watcher string) { w.dead[watcher] = true },
		"is turned away": func(w *world, watcher string) {
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(watcher, w.nodes[watcher].SourceAvailable(source, false))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5)
			w.setWatchers(1)
			w.listAll()
			w.run(3 * time.Second)
			if w.watching() != 1 {
				t.Fatalf("%d nodes watch the store", w.watching())
			}
			inject(w, w.nodeByWatching(true))
			w.run(time.Second)
			others := w.watching()
			if name == "is turned away" {
				others--
			}
			if others < 1 {
				t.Fatal("no other node watches the store")
			}
		})
	}
}

// TestNoNodeWatchesBeforeItKnowsTheOthers covers the start of many daemons at the same moment. Each
// ranks itself first until it has received messages of the others.
func TestNoNodeWatchesBeforeItKnowsTheOthers(t *testing.T) {
	w := newWorld(12)
	w.listAll()
	maxWatching := 0
	for range 40 {
		w.run(50 * time.Millisecond)
		maxWatching = max(maxWatching, w.watching())
	}
	if limit := coordination.DefaultSettings(term).Watchers; maxWatching > limit || w.watching() != limit {
		t.Errorf("up to %d nodes watched, %d do after two seconds; want %d", maxWatching, w.watching(), limit)
	}
	alone := newWorld(1)
	alone.listAll()
	alone.run(2 * time.Second)
	if alone.watching() != 1 {
		t.Error("a node without others does not watch the store")
	}
}

// TestReportBeatsAnOldList checks that the report of an instance takes precedence over the list,
// and that all nodes receive it.
func TestReportBeatsAnOldList(t *testing.T) {
	w := newWorld(2)
	w.listAll()
	w.run(2 * time.Second)
	holder := w.holders()[0]
	report := fleet.Report{Residents: []fleet.Resident{{Model: "m"}, {Model: "n"}}, Sequence: 6}
	w.perform(holder, w.nodes[holder].ReportAnswered(w.now, w.now, "i1", report, true))
	for _, name := range w.names() {
		view, _ := w.nodes[name].TakeView()
		if view == nil || view.Instance("i1").Resident("n") == nil {
			t.Errorf("%s lacks the residents of i1", name)
		}
	}
}

// TestNodeThatStartsLateHearsWhatServersHold covers a daemon that was down when the lease holder
// sent the residency report that lists an adapter. The list of instances does not contain it.
func TestNodeThatStartsLateHearsWhatServersHold(t *testing.T) {
	w := newWorld(3)
	w.dead["n2"] = true
	w.listAll()
	w.run(5 * time.Second)
	w.dead["n2"] = false
	w.run(800 * time.Millisecond)
	view, _ := w.nodes["n2"].TakeView()
	if view == nil || view.Instance("i1").Resident("m") == nil || len(w.holders()) != 1 {
		t.Fatalf("view %v, holders %v", view, w.holders())
	}
	if !w.nodes["n2"].HasResidencyReport("i1") {
		t.Fatal("the report of i1 is missing")
	}
}

// TestChangesOfBeliefAreTold checks for the log entries about another daemon, the lease, the
// configuration and an instance.
func TestChangesOfBeliefAreTold(t *testing.T) {
	w := newWorld(3)
	w.listAll()
	w.run(4 * time.Second)
	w.dead["n1"] = true
	w.run(20 * time.Second)
	for _, want := range []string{"n0 daemons count 2 over_ms 0 alive n1@1,n2@1", "n0 daemons count 1 over_ms 0 suspect n1@1", "n0 daemons count 1 over_ms 0 dead n1@1",
		"lease held true", "n0 configuration version 1", "n0 instances count 2 over_ms 0 from store present i1@5,i2@5", "orders instance i"} {
		found := false
		for _, line := range w.decisions {
			found = found || strings.Contains(line, want)
		}
		if !found {
			t.Errorf("no log line contains %q", want)
		}
	}
}

// TestNewsOfAFleetTakesFewLines starts a fleet in which all nodes discover all instances and
// each other, as with hundreds of machines. One log line contains many names, and none is left out.
func TestNewsOfAFleetTakesFewLines(t *testing.T) {
	const instances, nodes = 300, 60
	w := newWorld(nodes)
	var ids []string
	for i := range instances {
		ids = append(ids, fmt.Sprintf("i%d", i))
	}
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, ids...)))
	}
	w.run(10 * time.Second)
	lines, named := map[string]int{}, map[string]int{}
	for _, line := range w.decisions {
		columns := strings.Fields(line)
		part := columns[1]
		lines[part]++
		if part == "instances" || part == "daemons" {
			named[part] += strings.Count(line, "@")
		}
	}
	// Each node logs one line, and five of up to 64 names.
	if maxLines := nodes * 6; lines["instances"] > maxLines || named["instances"] != nodes*instances {
		t.Errorf("%d lines name instances %d times, want at most %d and %d", lines["instances"], named["instances"], maxLines, nodes*instances)
	}
	// Nodes discover each other over a few seconds, with one line each second.
	if maxLines := nodes * 8; lines["daemons"] > maxLines || named["daemons"] < nodes*(nodes-1) {
		t.Errorf("%d lines name daemons %d times, want at most %d and at least %d", lines["daemons"], named["daemons"], maxLines, nodes*(nodes-1))
	}
}

// TestLogTellsFromWhomAnInstanceIsKnown has a node that watches the store read an instance, and the
// other node receive it from that node.
func TestLogTellsFromWhomAnInstanceIsKnown(t *testing.T) {
	w := newWorld(2)
	w.setWatchers(1)
	w.run(2 * time.Second)
	reader, receiver := w.nodeByWatching(true), w.nodeByWatching(false)
	w.perform(reader, w.nodes[reader].ConfigurationReceived(engineConfiguration(1)))
	w.perform(reader, w.nodes[reader].InstancesListed(w.now, listing(5, "i1")))
	w.run(3 * time.Second)
	for _, want := range []string{reader + " instances count 1 over_ms 0 from store present i1@5", receiver + " instances count 1 over_ms 0 from " + reader + " present i1@5"} {
		if !slices.ContainsFunc(w.decisions, func(line string) bool { return strings.HasPrefix(line, want) }) {
			t.Errorf("no log line contains %q", want)
		}
	}
}
