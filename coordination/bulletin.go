package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/notice"
	"github.com/wheatweir/wheatweir/quarantine"
)

// Bulletin tells all daemons what one of them has found out.
type Bulletin struct {
	// Root is the daemon that found out, Boot its life and Sequence the number of the message in
	// that life. Without a root the message is for its receiver only.
	Root     string `msgpack:"o,omitempty"`
	Boot     uint64 `msgpack:"b,omitempty"`
	Sequence uint64 `msgpack:"n,omitempty"`
	// Crashes are contents of requests that ran on servers that crashed.
	Crashes quarantine.Update `msgpack:"u"`
	// Notices are what instances said of themselves.
	Notices notice.Update `msgpack:"w"`
	// Brittle are services that have said that they are brittle, or no longer.
	Brittle brittle.Update `msgpack:"t"`
}

// bulletinState is what was told to all and heard of others.
type bulletinState struct {
	boot     uint64
	sequence uint64
	// heard are the messages of each daemon that were passed on.
	heard map[string]*seenMessages
}

func newBulletinState(boot uint64) bulletinState {
	return bulletinState{boot: boot, heard: map[string]*seenMessages{}}
}

// TellCrashes tells all daemons of servers that crashed.
func (n *Node) TellCrashes(update quarantine.Update) []Action {
	n.tellAll(Bulletin{Crashes: update})
	return n.take()
}

// TellNotices tells all daemons what instances said of themselves to this one.
func (n *Node) TellNotices(update notice.Update) []Action {
	n.tellAll(Bulletin{Notices: update})
	return n.take()
}

// TellBrittle tells all daemons what services said of being brittle to this one.
func (n *Node) TellBrittle(update brittle.Update) []Action {
	n.tellAll(Bulletin{Brittle: update})
	return n.take()
}

// InstanceLimited takes in whether an instance takes no more than a few requests from all daemons.
func (n *Node) InstanceLimited(now time.Time, instance string, limited bool) []Action {
	n.book.SetLimited(instance, limited)
	if n.held {
		n.planSoon(now)
	}
	return n.take()
}

// InstanceCrashed takes in that the address of an instance refused a connection at a moment.
func (n *Node) InstanceCrashed(at, now time.Time, instance string) []Action {
	n.book.Crashed(at, instance)
	if n.held {
		n.planSoon(now)
	}
	return n.take()
}

func (n *Node) tellAll(bulletin Bulletin) {
	state := &n.bulletins
	state.sequence++
	bulletin.Root, bulletin.Boot, bulletin.Sequence = n.self, state.boot, state.sequence
	n.passBulletin(&bulletin)
}

func (n *Node) passBulletin(bulletin *Bulletin) {
	n.passBelow(bulletin.Root, bulletin.Sequence, Message{From: n.self, Bulletin: bulletin})
}

// takeBulletin takes in a message and passes it on, if it came for the first time: trees that differ
// for a moment then can't send it round for ever. Messages of one daemon take different trees by
// turns and may overtake each other.
func (n *Node) takeBulletin(told *Bulletin) {
	if told.Root == n.self {
		return
	}
	if told.Root != "" {
		seen := n.bulletins.heard[told.Root]
		if seen == nil || seen.boot != told.Boot {
			seen = &seenMessages{boot: told.Boot}
			n.bulletins.heard[told.Root] = seen
		}
		if !seen.first(told.Sequence) {
			return
		}
		n.passBulletin(told)
	}
	if !told.Crashes.Empty() {
		n.do(LearnCrashes{Update: told.Crashes})
	}
	if !told.Notices.Empty() {
		n.do(LearnNotices{Update: told.Notices})
	}
	if !told.Brittle.Empty() {
		n.do(LearnBrittle{Update: told.Brittle})
	}
}

// seenWindow is how far a message may be behind the newest one of its daemon and still be passed on.
const seenWindow = 64

// seenMessages are the messages of one life of a daemon that came: the newest, and a bit for each of
// the last ones before it.
type seenMessages struct {
	boot   uint64
	newest uint64
	before uint64
}

// first reports whether a message comes for the first time. One that is too far behind counts as seen.
func (s *seenMessages) first(sequence uint64) bool {
	if sequence > s.newest {
		ahead := sequence - s.newest
		s.before = s.before<<ahead | uint64(1)<<(ahead-1)
		s.newest = sequence
		return true
	}
	behind := s.newest - sequence
	if behind == 0 || behind > seenWindow || s.before&(1<<(behind-1)) != 0 {
		return false
	}
	s.before |= 1 << (behind - 1)
	return true
}
