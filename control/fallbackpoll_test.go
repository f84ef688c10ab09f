package control_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/replica"
)

// peerFixture drives one node beside another daemon, which is the only one in the zone
// of the only engine and therefore acts for it.
type peerFixture struct {
	*nodeFixture
	sequence uint64
}

func newPeerFixture() *peerFixture {
	b := &peerFixture{nodeFixture: newNodeFixture()}
	b.receive(control.Message{})
	machine := api.Machine{Name: "e", Role: api.RoleEngine, Zone: "far", State: api.MachineLive, MemoryBytes: 100}
	model := api.Model{Name: "m", Serving: "v1", Versions: []api.Version{{Name: "v1", Bytes: 10}}, MinReplicas: 1}
	record := api.Placement{BackEnd: "e", Entries: []api.PlacementEntry{{Artifact: api.Artifact{Model: "m", Version: "v1"}, Phase: api.PhaseHeld}}}
	b.node.ChangesAnswered(b.now, control.ChangesAnswer{Delta: replica.Delta{Through: 3, Objects: []api.Object{
		{Key: api.Key{Kind: api.KindMachine, Name: "e"}, Version: 1, Value: api.Encode(machine)},
		{Key: api.Key{Kind: api.KindModel, Name: "m"}, Version: 2, Value: api.Encode(model)},
		{Key: api.Key{Kind: api.KindPlacement, Name: "e"}, Version: 3, Value: api.Encode(record)},
	}}})
	b.receive(control.Message{Reports: []api.Report{b.report()}})
	return b
}

// report returns the engine's next report.
func (b *peerFixture) report() api.Report {
	b.sequence++
	return api.Report{BackEnd: "e", Boot: "b", Sequence: b.sequence, Slots: 4, Residents: []api.Artifact{{Model: "m", Version: "v1"}}}
}

// load returns the engine's next load update.
func (b *peerFixture) load() control.LoadReport {
	b.sequence++
	return control.LoadReport{BackEnd: "e", BootHash: uint32(xxhash.Sum64String("b")), Sequence: b.sequence, Running: 1}
}

// receive delivers a message of the other daemon to the node; its probe lists the engine
// as up.
func (b *peerFixture) receive(message control.Message, members ...member.Member) {
	message.Probe = &member.Message{Kind: member.Ping, Members: members}
	b.send(message)
}

func (b *peerFixture) send(message control.Message) []control.Action {
	message.From = "other"
	message.Probe.Sender = member.Member{Name: "o", Zone: "far", PeerAddress: "other", Incarnation: 1}
	message.Probe.BackEnds = []member.BackEnd{{Name: "e", Boot: "b", Change: 1, State: member.BackEndUp}}
	return b.node.Receive(b.now, message)
}

// receiveThird delivers the state of a third daemon to the node.
func (b *peerFixture) receiveThird(state member.State) {
	third := member.Member{Name: "t", Zone: "third", PeerAddress: "third", Incarnation: 1, State: state}
	b.receive(control.Message{}, third)
}

// run advances the time, with requests for the model or without, and returns the polls.
func (b *peerFixture) run(span time.Duration, inUse bool) []control.Poll {
	var polls []control.Poll
	for end := b.now.Add(span); b.now.Before(end); {
		if inUse {
			b.node.RequestReceived(b.now, "m")
		}
		for _, action := range tick[control.Action](b.nodeFixture, 100*time.Millisecond) {
			switch action := action.(type) {
			case control.Poll:
				polls = append(polls, action)
			case control.SendPeer:
				b.acknowledge(action)
			}
		}
	}
	return polls
}

// acknowledge answers the node's probes of the other daemon, which stays alive.
func (b *peerFixture) acknowledge(sent control.SendPeer) {
	if probe := sent.Message.Probe; sent.Address == "other" && probe != nil && probe.Kind == member.Ping {
		b.send(control.Message{Probe: &member.Message{Kind: member.Ack, Sequence: probe.Sequence}})
	}
}

func (b *peerFixture) candidates() int { return len(b.node.Table(b.now).Models["m"].Candidates) }

// pollAge is the age of the last report from which on the node polls an engine itself.
var pollAge = control.DefaultSettings().NewsAge

// TestEngineIsAskedOnlyInDoubt guards against polls while no daemon is suspected, which
// would multiply the control traffic: a node then relies on the daemon that acts for the
// engine, however old the last report is. Once a daemon is suspected, the node polls the
// engine itself, and must stop routing to it when it reports that it is leaving.
func TestEngineIsAskedOnlyInDoubt(t *testing.T) {
	b := newPeerFixture()
	if polls := b.run(20*time.Second, true); len(polls) != 0 {
		t.Fatalf("%d polls of the engine while no daemon is suspected", len(polls))
	}
	b.receiveThird(member.Suspect)
	if polls := b.run(200*time.Millisecond, true); len(polls) != 1 || polls[0].BackEnd != "e" {
		t.Fatalf("polls %v after a daemon became suspected, want one of engine e", polls)
	}
	if b.candidates() != 1 {
		t.Fatal("the engine is no candidate while a daemon is suspected")
	}
	report := b.report()
	report.Leaving = true
	b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Report: report})
	if b.candidates() != 0 {
		t.Fatal("the engine reported that it is leaving and is still a candidate")
	}
}

// TestEngineIsAskedAfterALoss covers a death that is reported without a suspicion before
// it. The node must poll the engine then too, and stop once the duties of the lost
// daemon have surely been taken over.
func TestEngineIsAskedAfterALoss(t *testing.T) {
	b := newPeerFixture()
	b.run(pollAge, true)
	b.receiveThird(member.Alive)
	b.run(200*time.Millisecond, true)
	b.receiveThird(member.Dead)
	polls := b.run(200*time.Millisecond, true)
	if len(polls) != 1 {
		t.Fatalf("%d polls after the loss of a daemon, want 1", len(polls))
	}
	b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Report: b.report()})
	again := b.run(20*time.Second, true)
	if len(again) != 1 {
		t.Fatalf("%d polls while the last one is unanswered, want 1", len(again))
	}
	b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Report: b.report()})
	if late := b.run(20*time.Second, true); len(late) != 0 {
		t.Fatalf("%d polls after the takeover window", len(late))
	}
}

// TestNewsKeepsAnEngineFromBeingAsked covers the three updates about an engine that
// postpone a poll: a full report, a load update, and the answer to an own poll.
func TestNewsKeepsAnEngineFromBeingAsked(t *testing.T) {
	b := newPeerFixture()
	b.receiveThird(member.Suspect)
	for round, deliver := range []func(){
		func() { b.receive(control.Message{Reports: []api.Report{b.report()}}) },
		func() { b.receive(control.Message{Loads: []control.LoadReport{b.load()}}) },
		func() { b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Report: b.report()}) },
	} {
		if polls := b.run(pollAge*3/4, true); len(polls) != 0 {
			t.Fatalf("update %d: %d polls before the last report is old", round, len(polls))
		}
		deliver()
	}
	if polls := b.run(pollAge*3/4, true); len(polls) != 0 {
		t.Fatalf("%d polls soon after the answer to a poll", len(polls))
	}
}

// TestEngineNotInUseIsNotAsked covers a daemon whose callers do not use the model: it
// must not poll the engine.
func TestEngineNotInUseIsNotAsked(t *testing.T) {
	b := newPeerFixture()
	b.receiveThird(member.Suspect)
	if polls := b.run(2*pollAge, false); len(polls) != 0 {
		t.Fatalf("%d polls of an engine whose model has no requests", len(polls))
	}
}

// TestFailedPollsOfOthersAreNoVerdict covers a daemon that cannot reach an engine that
// another one acts for. It polls again and must not mark the engine down.
func TestFailedPollsOfOthersAreNoVerdict(t *testing.T) {
	b := newPeerFixture()
	polled := 0
	for range 10 {
		b.receiveThird(member.Suspect)
		for range b.run(time.Second, true) {
			polled++
			b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Err: control.CallUnknown})
		}
	}
	if polled <= control.DefaultSettings().PollFailures || b.candidates() != 1 {
		t.Fatalf("engine polled %d times, %d candidates", polled, b.candidates())
	}
}

// newLocalFixture returns a fixture whose node acts for the engine, which is in the
// node's own zone.
func newLocalFixture() *peerFixture {
	b := &peerFixture{nodeFixture: newNodeFixture()}
	b.receive(control.Message{})
	tick[control.Write](b.nodeFixture, time.Second)
	b.addModelAndEngine()
	b.sequence = 1
	return b
}

// sent returns the messages that the node sends while the time advances by span.
func (b *peerFixture) sent(span time.Duration) []control.Message {
	var messages []control.Message
	for _, action := range tick[control.SendPeer](b.nodeFixture, span) {
		b.acknowledge(action)
		messages = append(messages, action.Message)
	}
	return messages
}

// countPollRequests counts the messages among actions that request a poll of the engine.
func countPollRequests(actions []control.Action) int {
	count := 0
	for _, action := range actions {
		if sent, ok := action.(control.SendPeer); ok && slices.Equal(sent.Message.PollRequests, []string{"e"}) {
			count++
		}
	}
	return count
}

// TestOthersAreAskedWhenAnEngineGivesNoAnswer covers a daemon that acts for an engine
// and cannot reach it: it requests polls from others, until it marks the engine down.
func TestOthersAreAskedWhenAnEngineGivesNoAnswer(t *testing.T) {
	b := newLocalFixture()
	failed := control.PollAnswer{BackEnd: "e", Err: control.CallUnknown}
	for failure := 1; failure < control.DefaultSettings().PollFailures; failure++ {
		if count := countPollRequests(b.node.PollAnswered(b.now, failed)); count != 1 {
			t.Fatalf("failed poll %d: %d poll requests to the one other daemon, want 1", failure, count)
		}
	}
	if count := countPollRequests(b.node.PollAnswered(b.now, failed)); count != 0 {
		t.Fatalf("%d poll requests for an engine that is marked down", count)
	}
}

// TestLeavingIsPassedOnFromAnotherDaemon covers the report of a daemon that polled on
// request. If it shows that the engine is leaving, the node that acts for the engine
// must publish that.
func TestLeavingIsPassedOnFromAnotherDaemon(t *testing.T) {
	b := newLocalFixture()
	b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Err: control.CallUnknown})
	report := b.report()
	report.Leaving = true
	b.receive(control.Message{Reports: []api.Report{report}})
	for _, message := range b.sent(3 * time.Second) {
		if message.Probe == nil {
			continue
		}
		for _, entry := range message.Probe.BackEnds {
			if entry.Name == "e" && entry.State == member.BackEndLeaving {
				return
			}
		}
	}
	t.Fatal("the other daemon received no update that the engine is leaving")
}

// TestDaemonPollsForAnother covers the daemon that receives a poll request. A second
// request shortly after is answered with the result of the first poll.
func TestDaemonPollsForAnother(t *testing.T) {
	b := newPeerFixture()
	request := func() []control.Action {
		return b.send(control.Message{PollRequests: []string{"e"}, Probe: &member.Message{Kind: member.Ping}})
	}
	answers := func(actions []control.Action) (reports, polls int) {
		for _, action := range actions {
			switch action := action.(type) {
			case control.Poll:
				polls++
			case control.SendPeer:
				if action.Address == "other" {
					reports += len(action.Message.Reports)
				}
			}
		}
		return reports, polls
	}
	if reports, polls := answers(request()); reports != 0 || polls != 1 {
		t.Fatalf("%d reports and %d polls at the first request", reports, polls)
	}
	if reports, polls := answers(request()); reports != 0 || polls != 0 {
		t.Fatalf("%d reports and %d polls while the poll is in flight", reports, polls)
	}
	done := b.node.PollAnswered(b.now, control.PollAnswer{BackEnd: "e", Report: b.report()})
	if reports, _ := answers(done); reports != 1 {
		t.Fatalf("%d reports for one daemon that requested a poll twice", reports)
	}
	if reports, polls := answers(request()); reports != 1 || polls != 0 {
		t.Fatalf("%d reports and %d polls right after the first poll", reports, polls)
	}
}
