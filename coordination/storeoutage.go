package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/member"
)

const (
	// storeAwayReportTTL is how long another daemon's report on the store counts.
	storeAwayReportTTL = time.Second
	// outageOrderTTL is how long an order may take to be sent during an outage of the store.
	outageOrderTTL = 300 * time.Millisecond
)

// mayOrder reports whether orders may be sent now, under which fencing token and until when. Usually
// the lease decides that. While the store answers none of the live daemons, none of them can take over
// the lease, so its last holder continues. A daemon that is cut off from all of them may still take
// over the lease. Servers that check tokens then reject the orders of the old holder.
func (n *Node) mayOrder(now time.Time) (fence uint64, until time.Time, ok bool) {
	if fence, ok := n.lease.MayOrder(now); ok {
		return fence, n.lease.ValidUntil(), true
	}
	fence, retained := n.lease.LastFence()
	if !retained || n.lease.Held(now) || !n.settings.ChecksFence || !n.storeUnavailableForAll(now) {
		return 0, time.Time{}, false
	}
	return fence, now.Add(outageOrderTTL), true
}

// watcherReportTTL is how long an update from a daemon that watches the store counts.
const watcherReportTTL = 1500 * time.Millisecond

// ReceivesInstanceChanges reports whether this daemon receives new instances soon after others do. That holds
// if it watches the store, if it receives updates from a daemon that does, or if the store answers
// nobody.
func (n *Node) ReceivesInstanceChanges(now time.Time) bool {
	watches := n.Watching(now) && !n.sources[SourceInstances].unavailable
	heard := !n.watcherSeenAt.Equal(n.started.Add(n.settings.WatchDelay))
	return watches || heard && now.Sub(n.watcherSeenAt) <= watcherReportTTL || n.storeUnavailableForAll(now)
}

// StoreUnavailable reports whether the store answers none of this daemon's reads.
func (n *Node) StoreUnavailable() bool {
	return n.sources[SourceConfiguration].unavailable && n.sources[SourceInstances].unavailable
}

// storeUnavailableForAll reports whether the store answers neither this daemon nor, by their reports, any
// other daemon. One that has fallen silent objects for as long as it is remembered: this daemon may be cut off from it, alone or
// together with others, and the store may answer it.
func (n *Node) storeUnavailableForAll(now time.Time) bool {
	if !n.StoreUnavailable() {
		return false
	}
	for _, other := range n.detector.Members() {
		stopped := other.State == member.Dead && other.Leaving
		if other.Name == n.self || stopped {
			continue
		}
		peer, found := n.peers[other.Name]
		if !found || now.Sub(peer.at) > storeAwayReportTTL || !peer.load.StoreUnavailable {
			return false
		}
	}
	return true
}
