package control

import (
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// leaveState is how far the news of this daemon's planned stop has come.
type leaveState struct {
	leaving bool
	// told holds the members that have acknowledged a message sent after the
	// stop began; such a message carries the news.
	told map[string]bool
	// next is when those that have not are told again.
	next time.Time
	// knownSince is when all live members were first known to know.
	knownSince time.Time
}

// leaveRepeat is the time between two rounds of telling.
const leaveRepeat = time.Second

// Leave begins a planned stop: every live member is told, so that none names
// this daemon to callers any more.
func (n *Node) Leave() []Action {
	if !n.leave.leaving {
		n.leave = leaveState{leaving: true, told: map[string]bool{}}
		n.detector.Leave()
	}
	return n.take()
}

// tickLeave tells the live members that have not acknowledged yet.
func (n *Node) tickLeave(now time.Time) {
	if !n.leave.leaving {
		return
	}
	missing := false
	due := !now.Before(n.leave.next)
	for _, name := range n.detector.Live() {
		if name == n.detector.Self().Name || n.leave.told[name] {
			continue
		}
		missing = true
		if due {
			n.sendProbe(n.detector.Tell(name))
		}
	}
	if due {
		n.leave.next = now.Add(leaveRepeat)
	}
	switch {
	case missing:
		n.leave.knownSince = time.Time{}
	case n.leave.knownSince.IsZero():
		n.leave.knownSince = now
	}
}

// noteLeaveAck notes that a member has answered since the stop began.
func (n *Node) noteLeaveAck(message *member.Message) {
	if n.leave.leaving && message.Kind == member.Ack && message.KnowsLeaving {
		n.leave.told[message.Sender.Name] = true
	}
}

// LeaveKnownFor returns how long all live members have known that this daemon
// is leaving; zero if some do not.
func (n *Node) LeaveKnownFor(now time.Time) time.Duration {
	if n.leave.knownSince.IsZero() {
		return 0
	}
	return now.Sub(n.leave.knownSince)
}
