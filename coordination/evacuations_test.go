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

// evacuationBound is the time within which an evacuation must be in force at all daemons.
const evacuationBound = 5 * time.Second

// evacuated is a full list of evacuated zones.
func evacuated(era, at uint64, zones ...string) feed.Batch[fleet.Evacuation] {
	batch := feed.Batch[fleet.Evacuation]{At: history.At(era, at)}
	for _, zone := range zones {
		batch.Items = append(batch.Items, feed.Item[fleet.Evacuation]{Name: zone, Place: history.At(era, at), Value: fleet.Evacuation{Zone: zone}})
	}
	return batch
}

// evacuationLifted is a change that revokes an evacuation.
func evacuationLifted(era, at uint64, zone string) feed.Batch[fleet.Evacuation] {
	return feed.Batch[fleet.Evacuation]{At: history.At(era, at), Items: []feed.Item[fleet.Evacuation]{{Name: zone, Place: history.At(era, at), Gone: true}}}
}

// zonedWorld is a fleet in which zones may be evacuated. Each of two zones, a and b, contains one
// instance named like the zone.
func zonedWorld(count int) *world {
	w := newWorld(count)
	w.recreateAll(func(_ int, _ *member.Member, settings *coordination.Settings) {
		settings.Lease.TakeoverOrderDelay, settings.FollowsEvacuations = 0, true
	})
	w.restore(1)
	for _, name := range w.names() {
		w.loadZones(name)
		w.perform(name, w.nodes[name].EvacuationsListed(w.now, evacuated(1, 95)))
	}
	w.run(3 * time.Second)
	return w
}

// loadZones gives a node the configuration and the instances.
func (w *world) loadZones(name string) {
	configuration := engineConfiguration(1)
	configuration.Services[0].ColdSpan, configuration.Services[0].ColdPerSecond = 3*time.Second, 8
	w.perform(name, w.nodes[name].ConfigurationReceived(configuration))
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

// TestEvacuationReachesAllDaemons has the store send evacuations to the daemons that watch it. It
// guards against daemons that continue to use the instances of an evacuated zone, or never use those of
// a zone again whose evacuation was revoked.
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
				return node.EvacuationsChanged(w.now, evacuationLifted(1, 98, "a"))
			})
			w.run(evacuationBound / 2)
			w.wantInUse(t, "one evacuation revoked", "a")
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
	if w.nodes["n4"].Synced() {
		t.Error("the daemon reports that it is ready before it has any data")
	}
	for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances, coordination.SourceEvacuations} {
		w.perform("n4", w.nodes["n4"].SourceAvailable(source, false))
	}
	w.run(2 * time.Second)
	w.wantInUse(t, "after the start", "b")
}

// TestDaemonServesNobodyBeforeItKnowsTheEvacuations guards against a daemon that receives configuration
// and instances first and meanwhile sends requests to an evacuated zone.
func TestDaemonServesNobodyBeforeItKnowsTheEvacuations(t *testing.T) {
	w := newWorld(1)
	w.recreateAll(func(_ int, _ *member.Member, settings *coordination.Settings) { settings.FollowsEvacuations = true })
	w.loadZones("n0")
	if view, _ := w.nodes["n0"].TakeView(); view.Configuration() != nil {
		t.Error("a configuration is in force before the evacuations are known")
	}
	w.perform("n0", w.nodes["n0"].EvacuationsListed(w.now, evacuated(1, 95, "b")))
	if view, _ := w.nodes["n0"].TakeView(); view.Configuration() == nil {
		t.Error("no configuration is in force although the evacuations are known")
	}
	w.wantInUse(t, "listed", "a")
}

// TestEvacuationOutlastsARestore covers a store that is restored from an earlier copy, which is older than an
// evacuation.
func TestEvacuationOutlastsARestore(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		t.Run(fmt.Sprint("written again: ", rewritten), func(t *testing.T) {
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
			if rewritten {
				w.fromStore(func(node *coordination.Node) []coordination.Action {
					return node.EvacuationsChanged(w.now, evacuated(2, 81, "a"))
				})
			}
			w.run(3 * time.Second)
			if rewritten {
				w.wantInUse(t, "written again", "b")
			} else {
				w.wantInUse(t, "not written again", "a", "b")
			}
		})
	}
}

// TestHolderLeavesAnEvacuatedZoneAlone guards against polls and orders that reach instances of an
// evacuated zone, and against a model without a replica elsewhere.
func TestHolderLeavesAnEvacuatedZoneAlone(t *testing.T) {
	w := zonedWorld(1)
	w.perform("n0", w.nodes["n0"].EvacuationsChanged(w.now, evacuated(1, 96, "a")))
	before, ordersBefore := w.reportRequests["a"], len(w.orders)
	w.run(5 * time.Second)
	if polls := w.reportRequests["a"] - before; polls > 0 {
		t.Errorf("polled %d times", polls)
	}
	for _, order := range w.orders[ordersBefore:] {
		if order.order.Instance == "a" {
			t.Errorf("order sent: %+v", order)
		}
	}
	w.perform("n0", w.nodes["n0"].EvacuationsChanged(w.now, evacuationLifted(1, 97, "a")))
	w.run(2 * time.Second)
	if w.reportRequests["a"] == before {
		t.Error("not polled again after the evacuation")
	}
}

// TestColdInstanceIsKnownWhicheverComesFirst guards against a cold instance that gets requests at the
// usual rate. That happens if the configuration that limits its load arrives after its entry, as in
// three of ten runs of a test with five daemons.
func TestColdInstanceIsKnownWhicheverComesFirst(t *testing.T) {
	cold := listed(1, 96, "a")
	cold.Items[0].Value.ColdLeft = 2 * time.Second
	configuration := engineConfiguration(2)
	configuration.Services[0].ColdPerSecond = 8
	want := coordination.InstanceCold{Instance: "a", PerSecond: 8, Remaining: 2 * time.Second}
	for _, configurationFirst := range []bool{true, false} {
		w := eraWorld(1, "a")
		node := w.nodes["n0"]
		var actions []coordination.Action
		if configurationFirst {
			actions = append(node.ConfigurationReceived(configuration), node.InstancesChanged(w.now, cold)...)
		} else {
			actions = append(node.InstancesChanged(w.now, cold), node.ConfigurationReceived(configuration)...)
		}
		if !slices.Contains(actions, coordination.Action(want)) {
			t.Errorf("configuration first %v: no action limits the requests to the cold instance", configurationFirst)
		}
	}
}

// TestZoneThatWasTakenBackCountsAsCold guards against requests at the usual rate to instances that were
// emptied during an evacuation.
func TestZoneThatWasTakenBackCountsAsCold(t *testing.T) {
	w := zonedWorld(1)
	w.perform("n0", w.nodes["n0"].EvacuationsChanged(w.now, evacuated(1, 96, "a")))
	var cold []coordination.InstanceCold
	for _, action := range w.nodes["n0"].EvacuationsChanged(w.now, evacuationLifted(1, 97, "a")) {
		if reported, ok := action.(coordination.InstanceCold); ok {
			cold = append(cold, reported)
		}
	}
	if want := []coordination.InstanceCold{{Instance: "a", PerSecond: 8, Remaining: 3 * time.Second}}; !slices.Equal(cold, want) {
		t.Errorf("cold instances %+v, want %+v", cold, want)
	}
}
