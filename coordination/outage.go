package coordination

import "time"

const (
	// testimonyAge is how old what another daemon says of the store may be.
	testimonyAge = time.Second
	// outageOrderSpan is how long an order of an outage may take to leave.
	outageOrderSpan = 300 * time.Millisecond
)

// mayOrder reports whether orders may be sent now, under which fencing token and
// until when. Usually that is the lease's to say. While the store answers none of the
// live daemons, none of them can take the lease over, so its last holder goes on;
// should a daemon that is cut off from all of them take it over, servers that check
// tokens turn the old holder away.
func (n *Node) mayOrder(now time.Time) (fence uint64, until time.Time, ok bool) {
	if fence, ok := n.lease.MayOrder(now); ok {
		return fence, n.lease.ValidUntil(), true
	}
	fence, retained := n.lease.Retained()
	if !retained || n.lease.Held(now) || !n.settings.ChecksFence || !n.storeAwayForAll(now) {
		return 0, time.Time{}, false
	}
	return fence, now.Add(outageOrderSpan), true
}

// hearsAge is how old the word of a daemon that watches the store may be.
const hearsAge = 1500 * time.Millisecond

// HearsOfInstances reports whether this daemon hears of new instances soon after others do: it watches the store, or hears
// a daemon that does, or the store answers nobody.
func (n *Node) HearsOfInstances(now time.Time) bool {
	watches := n.Watching(now) && !n.sources[SourceInstances].unavailable
	return watches || now.Sub(n.watcherAt) <= hearsAge || n.storeAwayForAll(now)
}

// storeAway reports whether the store answers this daemon nothing.
func (n *Node) storeAway() bool {
	return n.sources[SourceConfiguration].unavailable && n.sources[SourceInstances].unavailable
}

// storeAwayForAll reports whether every live daemon says so.
func (n *Node) storeAwayForAll(now time.Time) bool {
	if !n.storeAway() {
		return false
	}
	for _, name := range n.detector.Live() {
		if name == n.self {
			continue
		}
		heard, found := n.peers[name]
		if !found || now.Sub(heard.at) > testimonyAge || !heard.load.StoreAway {
			return false
		}
	}
	return true
}
