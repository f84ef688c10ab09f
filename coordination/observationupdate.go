package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/notice"
	"github.com/wheatweir/wheatweir/quarantine"
)

// ObservationUpdate broadcasts to all daemons what one of them has observed.
type ObservationUpdate struct {
	// Root is the daemon that made the observation, Boot identifies its process, and Sequence numbers
	// the messages of that process. Without a root the message is for its receiver only.
	Root     string `msgpack:"o,omitempty"`
	Boot     uint64 `msgpack:"b,omitempty"`
	Sequence uint64 `msgpack:"n,omitempty"`
	// Crashes are contents of requests that ran on instances that crashed.
	Crashes quarantine.Update `msgpack:"u"`
	// Notices are statements of instances about themselves.
	Notices notice.Update `msgpack:"w"`
	// Brittle lists services that declare themselves brittle, or no longer so. A brittle service fails
	// when it has to reject requests.
	Brittle brittle.Update `msgpack:"t"`
}

// observationUpdateState holds the sequence of the observation updates that this daemon sent, and the updates received
// from each daemon.
type observationUpdateState struct {
	boot     uint64
	sequence uint64
	// received holds, for each daemon, the messages that were already forwarded.
	received map[string]*seenMessages
}

func newObservationUpdateState(boot uint64) observationUpdateState {
	return observationUpdateState{boot: boot, received: map[string]*seenMessages{}}
}

// BroadcastCrashes broadcasts crashes of instances to all daemons.
func (n *Node) BroadcastCrashes(update quarantine.Update) []Action {
	n.broadcastObservation(ObservationUpdate{Crashes: update})
	return n.takeActions()
}

// BroadcastNotices broadcasts to all daemons what instances stated about themselves to this one.
func (n *Node) BroadcastNotices(update notice.Update) []Action {
	n.broadcastObservation(ObservationUpdate{Notices: update})
	return n.takeActions()
}

// BroadcastBrittle broadcasts to all daemons which services declared to this one whether they are brittle.
func (n *Node) BroadcastBrittle(update brittle.Update) []Action {
	n.broadcastObservation(ObservationUpdate{Brittle: update})
	return n.takeActions()
}

// InstanceLimited records whether an instance accepts only a few requests from all daemons together.
func (n *Node) InstanceLimited(now time.Time, instance string, limited bool) []Action {
	n.residencyTracker.SetLimited(instance, limited)
	if n.held {
		n.requestPlan(now)
	}
	return n.takeActions()
}

// InstanceCrashed records that the address of an instance refused a connection at a moment.
func (n *Node) InstanceCrashed(at, now time.Time, instance string) []Action {
	n.residencyTracker.RecordCrash(at, instance)
	if n.held {
		n.requestPlan(now)
	}
	return n.takeActions()
}

func (n *Node) broadcastObservation(update ObservationUpdate) {
	state := &n.observationUpdates
	state.sequence++
	update.Root, update.Boot, update.Sequence = n.self, state.boot, state.sequence
	n.forwardObservation(&update)
}

func (n *Node) forwardObservation(update *ObservationUpdate) {
	n.forwardToChildren(update.Root, update.Sequence, Message{From: n.self, ObservationUpdate: update})
}

// receiveObservationUpdate processes a message and forwards it the first time it is received. Forwarding it again
// could loop for ever while the daemons' trees differ. Messages of one daemon alternate between trees
// and may overtake each other.
func (n *Node) receiveObservationUpdate(update *ObservationUpdate) {
	if update.Root == n.self {
		return
	}
	if update.Root != "" {
		seen := n.observationUpdates.received[update.Root]
		if seen == nil || seen.boot != update.Boot {
			seen = &seenMessages{boot: update.Boot}
			n.observationUpdates.received[update.Root] = seen
		}
		if !seen.markSeen(update.Sequence) {
			return
		}
		n.forwardObservation(update)
	}
	if !update.Crashes.Empty() {
		n.enqueue(CrashesReceived{Update: update.Crashes})
	}
	if !update.Notices.Empty() {
		n.enqueue(NoticesReceived{Update: update.Notices})
	}
	if !update.Brittle.Empty() {
		n.enqueue(BrittleReceived{Update: update.Brittle})
	}
}

// seenWindowMessages is how many sequence numbers a message may be behind the newest one of its daemon
// and still be forwarded.
const seenWindowMessages = 64

// seenMessages records which messages of one process of a daemon were received: the newest one, and a
// bit for each of those before it.
type seenMessages struct {
	boot       uint64
	newest     uint64
	seenBefore uint64
}

// markSeen reports whether a message is received for the first time, and records it. One that is too
// far behind counts as seen.
func (s *seenMessages) markSeen(sequence uint64) bool {
	if sequence > s.newest {
		ahead := sequence - s.newest
		s.seenBefore = s.seenBefore<<ahead | uint64(1)<<(ahead-1)
		s.newest = sequence
		return true
	}
	behind := s.newest - sequence
	if behind == 0 || behind > seenWindowMessages || s.seenBefore&(1<<(behind-1)) != 0 {
		return false
	}
	s.seenBefore |= 1 << (behind - 1)
	return true
}
