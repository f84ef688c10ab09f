package control

import (
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// leaveState is the progress of announcing this daemon's planned stop to the members.
type leaveState struct {
	leaving bool
	// acknowledged holds the members that have acknowledged a message sent after the
	// stop began; such a message contains the leaving state.
	acknowledged map[string]bool
	// next is when the announcement is sent again to the members that have not
	// acknowledged it.
	next time.Time
	// acknowledgedSince is since when all live members have acknowledged the stop.
	acknowledgedSince time.Time
}

// leaveResendInterval is the interval between two rounds of announcements.
const leaveResendInterval = time.Second

// Leave begins a planned stop. It is announced to every live member, so that none
// returns this daemon's address to callers any more.
func (n *Node) Leave() []Action {
	if !n.leave.leaving {
		n.leave = leaveState{leaving: true, acknowledged: map[string]bool{}}
		n.detector.Leave()
	}
	return n.takeActions()
}

// tickLeave sends the announcement to the live members that have not acknowledged it.
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
			n.sendProbe(n.detector.PingFor(name))
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

// recordLeaveAck records that a member has acknowledged the leaving state.
func (n *Node) recordLeaveAck(message *member.Message) {
	if n.leave.leaving && message.Kind == member.Ack && message.LeavingKnown {
		n.leave.acknowledged[message.Sender.Name] = true
	}
}

// LeaveAcknowledgedFor returns for how long all live members have acknowledged that this daemon
// is leaving; zero if some have not.
func (n *Node) LeaveAcknowledgedFor(now time.Time) time.Duration {
	if n.leave.acknowledgedSince.IsZero() {
		return 0
	}
	return now.Sub(n.leave.acknowledgedSince)
}
