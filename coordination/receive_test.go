package coordination_test

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
)

// FuzzReceive has a node process messages with arbitrary content. The node uses what is valid and
// continues to work.
func FuzzReceive(f *testing.F) {
	for _, message := range []coordination.Message{
		{From: "n1"},
		{From: "n1", Load: &coordination.Load{Versions: coordination.Versions{Configuration: 9, Instances: history.At(0, 9)}, Fence: 3}},
		{From: "n1", Configuration: engineConfiguration(7), Instances: &coordination.Listing{At: history.At(0, 9), Items: []coordination.ListedInstance{{Place: history.At(0, 9)}}}},
		{From: "n1", ResidencyReports: []coordination.ResidencyReport{{Instance: "i1", Sequence: 1}}, RequestResidencyReports: true, Request: &coordination.Versions{}},
		{From: "n1", HolderUpdate: &coordination.HolderUpdate{Root: "n1", Boot: 1, Sequence: 1, Fence: 2}, StoreReader: true},
		{From: "n1", FreshnessRequest: &coordination.FreshnessRequest{}, FreshnessResponse: &coordination.FreshnessResponse{Version: 1 << 60, Age: -1}},
	} {
		encoded, err := msgpack.Marshal(&message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var message coordination.Message
		if err := msgpack.Unmarshal(content, &message); err != nil {
			return
		}
		w := newAssuredWorld(3)
		w.run(500 * time.Millisecond)
		w.perform("n0", w.nodes["n0"].Receive(w.now, message))
		w.run(300 * time.Millisecond)
		if !w.nodes["n0"].Synced() {
			t.Error("the node has lost its data")
		}
	})
}

// TestInstanceThatIsListedAgainIsHeardOf covers an entry that expires and is listed again, as after an
// outage of the store. Reports on the instance are accepted again.
func TestInstanceThatIsListedAgainIsHeardOf(t *testing.T) {
	w := newWorld(1)
	w.listAll()
	node := w.nodes["n0"]
	report := []coordination.ResidencyReport{{Instance: "i1", Sequence: 7, Residents: []fleet.Resident{{Model: "n"}}}}
	gone := feed.Batch[*fleet.Instance]{At: history.At(0, 6), Items: []feed.Item[*fleet.Instance]{{Name: "i1", Place: history.At(0, 6), Gone: true}}}
	w.perform("n0", node.InstancesChanged(w.now, gone))
	w.perform("n0", node.Receive(w.now, coordination.Message{From: "n1", ResidencyReports: report}))
	if node.HasResidencyReport("i1") {
		t.Fatal("a report on an instance that is gone is accepted")
	}
	w.perform("n0", node.InstancesChanged(w.now, listing(8, "i1")))
	w.perform("n0", node.Receive(w.now, coordination.Message{From: "n1", ResidencyReports: report}))
	if !node.HasResidencyReport("i1") {
		t.Error("a report on an instance that is listed again is ignored")
	}
}
