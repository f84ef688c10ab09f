package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
)

// rankDelay is how much later each further candidate tries to take the lease.
const rankDelay = 300 * time.Millisecond

// releasedRankDelay replaces rankDelay after a release of the lease. It is shorter, since no former
// holder has to be waited for and two concurrent attempts do no harm.
const releasedRankDelay = 60 * time.Millisecond

func (n *Node) tickLease(now time.Time) {
	if !n.Synced() {
		return
	}
	_, _, ordersAllowed := n.mayOrder(now)
	held := n.lease.Held(now) || ordersAllowed
	if held != n.held {
		n.held = held
		n.leaseChanged(now)
	}
	if held {
		n.holderSeenAt = now
	}
	if call := n.lease.Step(now, n.shouldAcquireLease(now)); call != nil {
		n.enqueue(CallLease{Call: *call})
	}
}

// shouldAcquireLease reports whether this daemon should try to take the lease, because no holder
// has been observed for a while. The candidates try one after the other by rank, which all daemons
// compute alike.
func (n *Node) shouldAcquireLease(now time.Time) bool {
	if n.releasedFence > 0 && n.releasedFence >= n.holderFence {
		return now.Sub(n.releasedAt) >= time.Duration(n.Rank())*releasedRankDelay
	}
	silence := now.Sub(n.holderSeenAt)
	minSilence := n.settings.Lease.Term / 2
	if n.holderName == "" {
		// At the first start there is no former holder to wait for.
		minSilence = rankDelay
	}
	return silence >= minSilence+time.Duration(n.Rank())*rankDelay
}

// Rank returns this daemon's rank among the live ones. All daemons compute the same order.
func (n *Node) Rank() int {
	if revision := n.MembersRevision(); revision != n.rankRevision {
		n.rank, n.rankRevision = n.computeRank(), revision
	}
	return n.rank
}

func (n *Node) computeRank() int {
	self := n.detector.Self()
	return member.Rank(&self, n.detector.LiveMembers(), rankSalt)
}

// rankSalt is hashed into the order of ranks.
const rankSalt = "lease/"

func (n *Node) leaseChanged(now time.Time) {
	fence, _, may := n.mayOrder(now)
	n.logEntry("lease", "Changed.", "held", n.held, "fence", fence, "may_order", may, "store_away", n.StoreUnavailable())
	if !n.held {
		return
	}
	n.holderName = n.self
	n.residencyTracker.DiscardUnanswered()
	for id := range n.reports {
		delete(n.reports, id)
	}
	// The former holder may have used up the weight store's rate just before.
	if n.lease.HadPredecessor() {
		n.demandWaitUntil = now.Add(n.demandCollectionDelay())
		n.residencyTracker.AssumeStoreRateUsed(now, n.loadsPerSecond())
	}
}

// Yield leaves the lease to another daemon as long as aside is set, because this daemon can't
// send orders to instances.
func (n *Node) Yield(now time.Time, aside bool) []Action {
	n.logEntry("lease", "Stands aside.", "aside", aside, "held", n.held)
	n.lease.Yield(aside)
	n.tickLease(now)
	return n.takeActions()
}

// LeaseAnswered processes the outcome of a call for the lease.
func (n *Node) LeaseAnswered(now time.Time, outcome lease.Outcome, stored lease.Stored) []Action {
	handedBack := n.lease.HandedBack()
	n.lease.CallFinished(now, outcome, stored)
	n.repeatFirstRead()
	if !handedBack && n.lease.HandedBack() && n.lease.Released() {
		n.sendRelease(now)
	}
	n.tickLease(now)
	return n.takeActions()
}
