package coordination

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// gossipPeersTTL is how long a daemon of a large fleet sends its state to the same others. If it
	// picked others for each message, it would hold a connection to most of the fleet.
	gossipPeersTTL = 2 * time.Second
	// ringPeers is how many peers in the own zone are determined by the names of the daemons. Each
	// daemon is the successor of one other in as many rings, so every daemon receives updates whatever
	// the random choice is.
	ringPeers = 2
)

// gossipPeers are the gossip peers of a daemon in a large fleet, by zone, in the order in which they are
// sent to.
type gossipPeers struct {
	near, far  []string
	selectedAt time.Time
	revision   uint64
}

// gossipReceivers returns the receivers of one message: up to a number of daemons of the own zone, and of
// others. A daemon that watches the store picks other receivers each time, so that its updates reach
// all.
func (n *Node) gossipReceivers(now time.Time, watching bool, near, far int) []string {
	peers := &n.loadUpdates.gossipPeers
	if watching {
		peers.selectedAt = time.Time{}
	}
	n.selectGossipPeers(now)
	return slices.Concat(peers.near[:min(near, len(peers.near))], peers.far[:min(far, len(peers.far))])
}

// selectGossipPeers picks new gossip peers if they have been the same for long, and replaces those that
// are no longer alive.
func (n *Node) selectGossipPeers(now time.Time) {
	peers := &n.loadUpdates.gossipPeers
	expired := now.Sub(peers.selectedAt) >= gossipPeersTTL
	if revision := n.MembersRevision(); expired || revision != peers.revision {
		peers.revision = revision
		near, far := n.liveByZone()
		keptNear, keptFar := peers.near, peers.far
		if expired {
			peers.selectedAt = now
			keptNear, keptFar = nil, nil
		}
		rings := make([]string, 0, ringPeers)
		for ring := range ringPeers {
			rings = append(rings, nextInRing(near, n.self, strconv.Itoa(ring)))
		}
		peers.near = n.refill(slices.Concat(rings, keptNear), near, n.settings.MaxZonePeers)
		peers.far = n.refill(keptFar, far, n.settings.MaxOtherZonePeers)
	}
}

// liveByZone lists the live daemons of the own zone and those of others. It omits this daemon and the
// lease holder, which receives updates from the dispatchers.
func (n *Node) liveByZone() (near, far []string) {
	zone := n.detector.Self().Zone
	for _, name := range n.detector.Live() {
		if name == n.self || name == n.holderName {
			continue
		}
		if other, _ := n.detector.Lookup(name); other.Zone == zone {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return near, far
}

// nextInRing returns the successor of self among some daemons in the named ring; empty if there is
// none.
func nextInRing(names []string, self, ring string) string {
	own := xxhash.Sum64String(ring + "/" + self)
	var next string
	var nextAhead uint64
	for _, name := range names {
		// The unsigned difference wraps around the ring.
		if ahead := xxhash.Sum64String(ring+"/"+name) - own; next == "" || ahead < nextAhead {
			next, nextAhead = name, ahead
		}
	}
	return next
}

// refill returns those of some daemons that are among the candidates, each once, and adds candidates
// picked at random up to a limit.
func (n *Node) refill(kept, candidates []string, limit int) []string {
	limit = min(limit, len(candidates))
	refilled := make([]string, 0, limit)
	for _, name := range kept {
		if len(refilled) < limit && slices.Contains(candidates, name) && !slices.Contains(refilled, name) {
			refilled = append(refilled, name)
		}
	}
	for _, place := range n.random.Perm(len(candidates)) {
		if len(refilled) == limit {
			break
		}
		if name := candidates[place]; !slices.Contains(refilled, name) {
			refilled = append(refilled, name)
		}
	}
	return refilled
}
