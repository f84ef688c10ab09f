package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/notice"
	"github.com/wheatweir/wheatweir/quarantine"
)

// Bulletin broadcasts to all daemons what one of them has observed.
type Bulletin struct {
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

// bulletinState holds the sequence of the bulletins sent and the bulletins received from each daemon.
type bulletinState struct {
	boot     uint64
	sequence uint64
	// received holds, for each daemon, the messages that were already forwarded.
	received map[string]*seenMessages
}

func newBulletinState(boot uint64) bulletinState {
	return bulletinState{boot: boot, received: map[string]*seenMessages{}}
}

// TellCrashes broadcasts crashes of instances to all daemons.
func (n *Node) TellCrashes(update quarantine.Update) []Action {
	n.broadcastBulletin(Bulletin{Crashes: update})
	return n.take()
}

// TellNotices broadcasts to all daemons what instances stated about themselves to this one.
func (n *Node) TellNotices(update notice.Update) []Action {
	n.broadcastBulletin(Bulletin{Notices: update})
	return n.take()
}

// TellBrittle broadcasts to all daemons which services declared to this one whether they are brittle.
func (n *Node) TellBrittle(update brittle.Update) []Action {
	n.broadcastBulletin(Bulletin{Brittle: update})
	return n.take()
}

// InstanceLimited records whether an instance accepts only a few requests from all daemons together.
func (n *Node) InstanceLimited(now time.Time, instance string, limited bool) []Action {
	n.book.SetLimited(instance, limited)
	if n.held {
		n.planSoon(now)
	}
	return n.take()
}

// InstanceCrashed records that the address of an instance refused a connection at a moment.
func (n *Node) InstanceCrashed(at, now time.Time, instance string) []Action {
	n.book.Crashed(at, instance)
	if n.held {
		n.planSoon(now)
	}
	return n.take()
}

func (n *Node) broadcastBulletin(bulletin Bulletin) {
	state := &n.bulletins
	state.sequence++
	bulletin.Root, bulletin.Boot, bulletin.Sequence = n.self, state.boot, state.sequence
	n.forwardBulletin(&bulletin)
}

func (n *Node) forwardBulletin(bulletin *Bulletin) {
	n.passBelow(bulletin.Root, bulletin.Sequence, Message{From: n.self, Bulletin: bulletin})
}

// takeBulletin processes a message and forwards it the first time it is received. Forwarding it again
// could loop for ever while the daemons' trees differ. Messages of one daemon alternate between trees
// and may overtake each other.
func (n *Node) takeBulletin(bulletin *Bulletin) {
	if bulletin.Root == n.self {
		return
	}
	if bulletin.Root != "" {
		seen := n.bulletins.received[bulletin.Root]
		if seen == nil || seen.boot != bulletin.Boot {
			seen = &seenMessages{boot: bulletin.Boot}
			n.bulletins.received[bulletin.Root] = seen
		}
		if !seen.markSeen(bulletin.Sequence) {
			return
		}
		n.forwardBulletin(bulletin)
	}
	if !bulletin.Crashes.Empty() {
		n.do(LearnCrashes{Update: bulletin.Crashes})
	}
	if !bulletin.Notices.Empty() {
		n.do(LearnNotices{Update: bulletin.Notices})
	}
	if !bulletin.Brittle.Empty() {
		n.do(LearnBrittle{Update: bulletin.Brittle})
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
