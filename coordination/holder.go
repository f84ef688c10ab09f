package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
)

// rankPause is how much later each further candidate tries to take the lease.
const rankPause = 300 * time.Millisecond

// releasedRankPause is the same for a lease that was handed back: nobody has to be waited
// for, and two that try at once do no harm.
const releasedRankPause = 60 * time.Millisecond

func (n *Node) tickLease(now time.Time) {
	if !n.Known() {
		return
	}
	_, _, ordering := n.mayOrder(now)
	held := n.lease.Held(now) || ordering
	if held != n.held {
		n.held = held
		n.leaseChanged(now)
	}
	if held {
		n.lastHolder = now
	}
	if call := n.lease.Step(now, n.eager(now)); call != nil {
		n.do(CallLease{Call: *call})
	}
}

// eager reports whether this daemon should try to take the lease: nobody was
// heard to hold it for a while. The candidates try one after the other, in an
// order that all compute alike.
func (n *Node) eager(now time.Time) bool {
	if n.releasedFence > 0 && n.releasedFence >= n.holderFence {
		return now.Sub(n.releasedAt) >= time.Duration(n.Rank())*releasedRankPause
	}
	silence := now.Sub(n.lastHolder)
	quiet := n.settings.Lease.Term / 2
	if n.holderName == "" {
		// At the first start there is nobody to wait for.
		quiet = rankPause
	}
	return silence >= quiet+time.Duration(n.Rank())*rankPause
}

// Rank is this daemon's place among the live ones, in an order that all compute
// alike.
func (n *Node) Rank() int {
	if revision := n.MembersRevision(); revision != n.rankAt {
		n.rank, n.rankAt = n.newRank(), revision
	}
	return n.rank
}

func (n *Node) newRank() int {
	self := n.detector.Self()
	return member.Rank(&self, n.detector.LiveMembers(), rankSalt)
}

// rankSalt makes the order of ranks.
const rankSalt = "lease/"

func (n *Node) leaseChanged(now time.Time) {
	fence, _, may := n.mayOrder(now)
	n.decide("lease", "Changed.", "held", n.held, "fence", fence, "may_order", may, "store_away", n.storeAway())
	if !n.held {
		return
	}
	n.holderName = n.self
	n.book.Resume()
	for id := range n.reports {
		delete(n.reports, id)
	}
	// A predecessor may have used up the weight store's rate a moment ago.
	if n.lease.Succeeded() {
		n.demandDueAt = now.Add(n.demandWait())
		n.book.Inherit(now, n.loadsPerSecond())
	}
}

// StandAside has another daemon hold the lease as long as this one can't send orders to model servers.
func (n *Node) StandAside(now time.Time, aside bool) []Action {
	n.decide("lease", "Stands aside.", "aside", aside, "held", n.held)
	n.lease.StandAside(aside)
	n.tickLease(now)
	return n.take()
}

// LeaseAnswered takes in the end of a call for the lease.
func (n *Node) LeaseAnswered(now time.Time, outcome lease.Outcome, stored lease.Stored) []Action {
	handedBack := n.lease.HandedBack()
	n.lease.Answered(now, outcome, stored)
	n.readOnceMore()
	if !handedBack && n.lease.HandedBack() && n.lease.Released() {
		n.spreadReleased(now)
	}
	n.tickLease(now)
	return n.take()
}
