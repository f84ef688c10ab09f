package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/member"
)

// evacuationBound is the time within which an evacuation has to be in force at all daemons.
const evacuationBound = 5 * time.Second

// evacuated is a full list of evacuated zones.
func evacuated(era, at uint64, zones ...string) feed.Batch[fleet.Evacuation] {
	batch := feed.Batch[fleet.Evacuation]{At: history.At(era, at)}
	for _, zone := range zones {
		batch.Items = append(batch.Items, feed.Item[fleet.Evacuation]{Name: zone, Place: history.At(era, at), Value: fleet.Evacuation{Zone: zone}})
	}
	return batch
}

// takenBack is a change that takes an evacuation back.
func takenBack(era, at uint64, zone string) feed.Batch[fleet.Evacuation] {
	return feed.Batch[fleet.Evacuation]{At: history.At(era, at), Items: []feed.Item[fleet.Evacuation]{{Name: zone, Place: history.At(era, at), Gone: true}}}
}

// zonedWorld is a fleet in which zones may be evacuated. There is an instance in each of two zones, a and b, named
// like it.
func zonedWorld(count int) *world {
	w := newWorld(count)
	w.rebuild(func(_ int, _ *member.Member, settings *coordination.Settings) {
		settings.Lease.OrderPause, settings.FollowsEvacuations = 0, true
	})
	w.restore(1)
	for _, name := range w.names() {
		w.learnZones(name)
		w.perform(name, w.nodes[name].EvacuationsListed(w.now, evacuated(1, 95)))
	}
	w.run(3 * time.Second)
	return w
}

// learnZones gives a node the configuration and the instances.
func (w *world) learnZones(name string) {
	configuration := engineConfiguration(1)
	configuration.Services[0].ColdSpan, configuration.Services[0].ColdPerSecond = 3*time.Second, 8
	w.perform(name, w.nodes[name].ConfigurationLearned(configuration))
	instances := listed(1, 95, "a", "b")
	for _, item := range instances.Items {
		item.Value.Zone = item.Name
	}
	w.perform(name, w.nodes[name].InstancesListed(w.now, instances))
}

// wantInUse checks which instances all nodes use.
func (w *world) wantInUse(t *testing.T, when string, want ...string) {
	t.Helper()
	for _, name := range w.names() {
		if used := w.inUse(name, "a", "b"); !slices.Equal(used, want) {
			t.Errorf("%s: %s uses %v, want %v", when, name, used, want)
		}
	}
}

// TestEvacuationReachesAllDaemons has the store tell the daemons that watch it of evacuations. It guards against
// daemons that go on to use the instances of an evacuated zone, or of a zone that was taken back no longer.
func TestEvacuationReachesAllDaemons(t *testing.T) {
	for _, count := range []int{3, 69, 295} {
		if count > 100 && !largeFleets {
			continue
		}
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := zonedWorld(count)
			w.wantInUse(t, "before", "a", "b")
			w.fromStore(func(node *coordination.Node) []coordination.Action {
				return node.EvacuationsChanged(w.now, evacuated(1, 96, "a"))
			})
			w.run(evacuationBound / 2)
			w.wantInUse(t, "evacuated", "b")
			w.fromStore(func(node *coordination.Node) []coordination.Action {
				return node.EvacuationsChanged(w.now, evacuated(1, 97, "b", "nowhere"))
			})
			w.run(evacuationBound / 2)
			w.wantInUse(t, "both zones, and one that does not exist")
			w.fromStore(func(node *coordination.Node) []coordination.Action {
				return node.EvacuationsChanged(w.now, takenBack(1, 98, "a"))
			})
			w.run(evacuationBound / 2)
			w.wantInUse(t, "one taken back", "a")
		})
	}
}

// TestDaemonThatStartsInAnOutageHearsOfEvacuations starts a daemon that the store does not answer.
func TestDaemonThatStartsInAnOutageHearsOfEvacuations(t *testing.T) {
	w := zonedWorld(5)
	w.fromStore(func(node *coordination.Node) []coordination.Action {
		return node.EvacuationsChanged(w.now, evacuated(1, 96, "a"))
	})
	w.run(time.Second)
	self := member.Member{Name: "n4", Zone: w.zones["n4"], PeerAddress: "n4", CallerAddress: "n4", Incarnation: 2}
	settings := coordination.DefaultSettings(term)
	settings.FollowsEvacuations = true
	w.nodes["n4"] = coordination.New(w.now, self, settings, []string{"n0"}, rand.New(rand.NewPCG(4, 8)))
	if w.nodes["n4"].Known() {
		t.Error("takes itself for informed before it knows anything")
	}
	for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances, coordination.SourceEvacuations} {
		w.perform("n4", w.nodes["n4"].SourceAvailable(source, false))
	}
	w.run(2 * time.Second)
	w.wantInUse(t, "after the start", "b")
}

// TestDaemonServesNobodyBeforeItKnowsTheEvacuations guards against a daemon that knows configuration and instances
// first and sends requests to an evacuated zone meanwhile.
func TestDaemonServesNobodyBeforeItKnowsTheEvacuations(t *testing.T) {
	w := newWorld(1)
	w.rebuild(func(_ int, _ *member.Member, settings *coordination.Settings) { settings.FollowsEvacuations = true })
	w.learnZones("n0")
	if view, _ := w.nodes["n0"].TakeView(); view.Configuration() != nil {
		t.Error("a configuration is in force")
	}
	w.perform("n0", w.nodes["n0"].EvacuationsListed(w.now, evacuated(1, 95, "b")))
	if view, _ := w.nodes["n0"].TakeView(); view.Configuration() == nil {
		t.Error("no configuration is in force")
	}
	w.wantInUse(t, "listed", "a")
}

// TestEvacuationOutlastsARestore has the store come back from a copy that is older than an evacuation.
func TestEvacuationOutlastsARestore(t *testing.T) {
	for _, again := range []bool{true, false} {
		t.Run(fmt.Sprint("written again: ", again), func(t *testing.T) {
			w := zonedWorld(9)
			w.fromStore(func(node *coordination.Node) []coordination.Action {
				return node.EvacuationsChanged(w.now, evacuated(1, 96, "a"))
			})
			w.run(time.Second)
			w.restore(2)
			w.fromStore(func(node *coordination.Node) []coordination.Action {
				return node.EvacuationsListed(w.now, evacuated(2, 80))
			})
			w.run(time.Second)
			w.wantInUse(t, "after the restore", "b")
			if again {
				w.fromStore(func(node *coordination.Node) []coordination.Action {
					return node.EvacuationsChanged(w.now, evacuated(2, 81, "a"))
				})
			}
			w.run(3 * time.Second)
			if again {
				w.wantInUse(t, "written again", "b")
			} else {
				w.wantInUse(t, "not written again", "a", "b")
			}
		})
	}
}

// TestHolderLeavesAnEvacuatedZoneAlone guards against reports and orders that reach servers of an evacuated zone, and
// against a model without a replica elsewhere.
func TestHolderLeavesAnEvacuatedZoneAlone(t *testing.T) {
	w := zonedWorld(1)
	w.perform("n0", w.nodes["n0"].EvacuationsChanged(w.now, evacuated(1, 96, "a")))
	before, sent := w.reportsAsked["a"], len(w.orders)
	w.run(5 * time.Second)
	if asked := w.reportsAsked["a"] - before; asked > 0 {
		t.Errorf("asked for %d reports", asked)
	}
	for _, order := range w.orders[sent:] {
		if order.order.Instance == "a" {
			t.Errorf("sent %+v", order)
		}
	}
	w.perform("n0", w.nodes["n0"].EvacuationsChanged(w.now, takenBack(1, 97, "a")))
	w.run(2 * time.Second)
	if w.reportsAsked["a"] == before {
		t.Error("not asked again after the evacuation")
	}
}

// TestColdInstanceIsKnownWhicheverComesFirst guards against a cold instance that gets requests at the usual rate because
// the configuration that says how much it bears came after its entry: three of ten runs of a test with five daemons.
func TestColdInstanceIsKnownWhicheverComesFirst(t *testing.T) {
	cold := listed(1, 96, "a")
	cold.Items[0].Value.ColdLeft = 2 * time.Second
	bears := engineConfiguration(2)
	bears.Services[0].ColdPerSecond = 8
	want := coordination.LearnCold{Instance: "a", PerSecond: 8, Left: 2 * time.Second}
	for _, configurationFirst := range []bool{true, false} {
		w := eraWorld(1, "a")
		node := w.nodes["n0"]
		var actions []coordination.Action
		if configurationFirst {
			actions = append(node.ConfigurationLearned(bears), node.InstancesChanged(w.now, cold)...)
		} else {
			actions = append(node.InstancesChanged(w.now, cold), node.ConfigurationLearned(bears)...)
		}
		if !slices.Contains(actions, coordination.Action(want)) {
			t.Errorf("configuration first %v: not learned", configurationFirst)
		}
	}
}

// TestZoneThatWasTakenBackCountsAsCold guards against requests at the usual rate to servers that were emptied.
func TestZoneThatWasTakenBackCountsAsCold(t *testing.T) {
	w := zonedWorld(1)
	w.perform("n0", w.nodes["n0"].EvacuationsChanged(w.now, evacuated(1, 96, "a")))
	var cold []coordination.LearnCold
	for _, action := range w.nodes["n0"].EvacuationsChanged(w.now, takenBack(1, 97, "a")) {
		if learned, ok := action.(coordination.LearnCold); ok {
			cold = append(cold, learned)
		}
	}
	if want := []coordination.LearnCold{{Instance: "a", PerSecond: 8, Left: 3 * time.Second}}; !slices.Equal(cold, want) {
		t.Errorf("learned %+v, want %+v", cold, want)
	}
}
