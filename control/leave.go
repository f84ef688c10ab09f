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
	acknowledged map[string]bool
	// next is when those that have not are told again.
	next time.Time
	// acknowledgedSince is when all live members were first known to know.
	acknowledgedSince time.Time
}

// leaveResendInterval is the time between two rounds of telling.
const leaveResendInterval = time.Second

// Leave begins a planned stop: every live member is told, so that none names
// this daemon to callers any more.
func (n *Node) Leave() []Action {
	if !n.leave.leaving {
		n.leave = leaveState{leaving: true, acknowledged: map[string]bool{}}
		n.detector.Leave()
	}
	return n.takeActions()
}

// tickLeave tells the live members that have not acknowledged yet.
func (n *Node) tickLeave(now time.Time) {
	if !n.leave.leaving {
		return
	}
	missing := false
	due := !now.Before(n.leave.next)
	for _, name := range n.detector.Live() {
		if name == n.detector.Self().Name || n.leave.acknowledged[name] {
			continue
		}
		missing = true
		if due {
			n.sendProbe(n.detector.Tell(name))
		}
	}
	if due {
		n.leave.next = now.Add(leaveResendInterval)
	}
	switch {
	case missing:
		n.leave.acknowledgedSince = time.Time{}
	case n.leave.acknowledgedSince.IsZero():
		n.leave.acknowledgedSince = now
	}
}

// recordLeaveAck notes that a member has answered since the stop began.
func (n *Node) recordLeaveAck(message *member.Message) {
	if n.leave.leaving && message.Kind == member.Ack && message.KnowsLeaving {
		n.leave.acknowledged[message.Sender.Name] = true
	}
}

// LeaveKnownFor returns how long all live members have known that this daemon
// is leaving; zero if some do not.
func (n *Node) LeaveKnownFor(now time.Time) time.Duration {
	if n.leave.acknowledgedSince.IsZero() {
		return 0
	}
	return now.Sub(n.leave.acknowledgedSince)
}
