package control_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/replica"
)

// nodeFixture drives one node that receives no message of another daemon.
type nodeFixture struct {
	node *control.Node
	now  time.Time
}

func newNodeFixture() *nodeFixture {
	now := time.Unix(1000, 0)
	self := member.Member{Name: "d", Zone: "z", PeerAddress: "peer", Incarnation: 1}
	return &nodeFixture{node: control.New(self, control.DefaultSettings(), rand.New(rand.NewPCG(1, 1))), now: now}
}

// tick advances the time by span and returns the node's actions of one type.
func tick[T control.Action](a *nodeFixture, span time.Duration) []T {
	var found []T
	for end := a.now.Add(span); a.now.Before(end); a.now = a.now.Add(100 * time.Millisecond) {
		for _, action := range a.node.Tick(a.now) {
			if wanted, ok := action.(T); ok {
				found = append(found, wanted)
			}
		}
	}
	return found
}

// addModelAndEngine delivers a model, an engine and the engine's report to the node.
func (a *nodeFixture) addModelAndEngine() {
	machine := api.Machine{Name: "e", Role: api.RoleEngine, Zone: "z", State: api.MachineLive, MemoryBytes: 100, ChecksFence: true}
	model := api.Model{Name: "m", Serving: "v1", Versions: []api.Version{{Name: "v1", Bytes: 10}}, MinReplicas: 1}
	a.node.ChangesAnswered(a.now, control.ChangesAnswer{Delta: replica.Delta{Through: 2, Objects: []api.Object{
		{Key: api.Key{Kind: api.KindMachine, Name: "e"}, Version: 1, Value: api.Encode(machine)},
		{Key: api.Key{Kind: api.KindModel, Name: "m"}, Version: 2, Value: api.Encode(model)},
	}}})
	a.node.PollAnswered(a.now, control.PollAnswer{BackEnd: "e", Report: api.Report{BackEnd: "e", Boot: "b", Sequence: 1, Slots: 4}})
}

func TestAmbiguousWriteIsReadBackBeforeTheNext(t *testing.T) {
	a := newNodeFixture()
	tick[control.Write](a, time.Second)
	a.addModelAndEngine()
	writes := tick[control.Write](a, 3*time.Second)
	if len(writes) != 1 {
		t.Fatalf("%d writes before the first was answered, want 1", len(writes))
	}
	key := writes[0].Object.Key
	a.node.WriteAnswered(a.now, control.WriteAnswer{Key: key, Err: control.CallUnknown})
	reads := tick[control.Read](a, 3*time.Second)
	if len(reads) != 1 || reads[0].Key != key {
		t.Fatalf("reads %v after an ambiguous write, want one of its object", reads)
	}
	if again := tick[control.Write](a, 3*time.Second); len(again) != 0 {
		t.Fatal("a second write started before the first was read back")
	}
	stored := writes[0].Object
	stored.Version = 3
	a.node.ReadAnswered(a.now, control.ReadAnswer{Key: key, Object: stored})
	if again := tick[control.Write](a, 3*time.Second); len(again) != 0 {
		t.Fatal("the write was repeated although the read showed it as stored")
	}
}

func TestPausedNodeCatchesUpBeforeItServes(t *testing.T) {
	a := newNodeFixture()
	tick[control.Write](a, time.Second)
	a.addModelAndEngine()
	tick[control.Write](a, 10*time.Second)
	if !a.node.CaughtUp(a.now) {
		t.Fatal("a node without other daemons never caught up")
	}
	a.now = a.now.Add(30 * time.Second)
	if a.node.CaughtUp(a.now) {
		t.Fatal("a node that did not run for 30 s reports that it is caught up")
	}
	tick[control.Write](a, 200*time.Millisecond)
	if a.node.CaughtUp(a.now) {
		t.Fatal("a node that was paused did not join again")
	}
}

// TestNodeServesOnceItHasNewsOfTheEngines covers a daemon that has its catalog and has
// waited long enough, but has no state of the engine yet. If it served, it would refuse
// every request. An engine that never answers delays it for a limited time only.
func TestNodeServesOnceItHasNewsOfTheEngines(t *testing.T) {
	a := newNodeFixture()
	machine := api.Machine{Name: "e", Role: api.RoleEngine, Zone: "z", State: api.MachineLive, MemoryBytes: 100}
	tick[control.Write](a, time.Second)
	a.node.ChangesAnswered(a.now, control.ChangesAnswer{Delta: replica.Delta{Through: 2, Objects: []api.Object{
		{Key: api.Key{Kind: api.KindMachine, Name: "e"}, Version: 1, Value: api.Encode(machine)},
	}}})
	tick[control.Write](a, 8*time.Second)
	if a.node.CaughtUp(a.now) {
		t.Fatal("a node without the engine's state reports that it is caught up")
	}
	informed := newNodeFixture()
	tick[control.Write](informed, time.Second)
	informed.addModelAndEngine()
	tick[control.Write](informed, 8*time.Second)
	if !informed.node.CaughtUp(informed.now) {
		t.Fatal("a node with the engine's state is not caught up")
	}
	tick[control.Write](a, 5*time.Second)
	if !a.node.CaughtUp(a.now) {
		t.Fatal("an engine without a state keeps the node from catching up beyond the limit")
	}
}

func TestLeavingBackEndIsNoCandidate(t *testing.T) {
	a := newNodeFixture()
	tick[control.Write](a, time.Second)
	a.addModelAndEngine()
	writes := tick[control.Write](a, 2*time.Second)
	stored := writes[0].Object
	stored.Version = 3
	a.node.WriteAnswered(a.now, control.WriteAnswer{Key: stored.Key, Object: stored})
	if got := len(a.node.Table(a.now).Models["m"].Candidates); got != 1 {
		t.Fatalf("%d candidates, want 1", got)
	}
	a.node.PollAnswered(a.now, control.PollAnswer{BackEnd: "e", Report: api.Report{BackEnd: "e", Boot: "b", Sequence: 2, Slots: 4, Leaving: true}})
	if got := len(a.node.Table(a.now).Models["m"].Candidates); got != 0 {
		t.Fatalf("%d candidates although the back end is leaving", got)
	}
}
