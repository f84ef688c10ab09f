package coordination

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partnerSpan is how long a daemon of a large fleet tells the same others of itself. If it drew them for each
	// message, it would hold a connection to most of the fleet.
	partnerSpan = 2 * time.Second
	// ringPartners is how many of those in the own zone follow from the names of the daemons: each daemon is next
	// after one other in as many rings, so that somebody tells it whatever chance draws.
	ringPartners = 2
)

// partners are the daemons that this one tells of itself in a large fleet, those to tell first before the others.
type partners struct {
	near, far []string
	drawnAt   time.Time
	revision  uint64
}

// sharePeers returns the daemons that one message goes to: up to a number of the own zone, and of others. One that
// watches the store tells others each time, so that all hear of it.
func (n *Node) sharePeers(now time.Time, watching bool, near, far int) []string {
	known := &n.sharing.partners
	if watching {
		known.drawnAt = time.Time{}
	}
	n.drawPartners(now)
	return slices.Concat(known.near[:min(near, len(known.near))], known.far[:min(far, len(known.far))])
}

// drawPartners draws partners if they have been the same for long, and replaces those that do not live any more.
func (n *Node) drawPartners(now time.Time) {
	known := &n.sharing.partners
	expired := now.Sub(known.drawnAt) >= partnerSpan
	if revision := n.MembersRevision(); expired || revision != known.revision {
		known.revision = revision
		near, far := n.othersByDistance()
		keptNear, keptFar := known.near, known.far
		if expired {
			known.drawnAt = now
			keptNear, keptFar = nil, nil
		}
		rings := make([]string, 0, ringPartners)
		for ring := range ringPartners {
			rings = append(rings, nextInRing(near, n.self, strconv.Itoa(ring)))
		}
		known.near = n.refill(slices.Concat(rings, keptNear), near, n.settings.MaxPeers)
		known.far = n.refill(keptFar, far, n.settings.FarPeers)
	}
}

// othersByDistance lists the live daemons of the own zone and those of others, without this one and the holder of the
// lease, whom the dispatchers tell.
func (n *Node) othersByDistance() (near, far []string) {
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

// nextInRing returns the one of some daemons that follows after self in the ring with a name; empty if there is none.
func nextInRing(names []string, self, ring string) string {
	own := xxhash.Sum64String(ring + "/" + self)
	var next string
	var nextAhead uint64
	for _, name := range names {
		// The distance wraps around the ring.
		if ahead := xxhash.Sum64String(ring+"/"+name) - own; next == "" || ahead < nextAhead {
			next, nextAhead = name, ahead
		}
	}
	return next
}

// refill returns those of some daemons that are among the candidates, each once, and others drawn by chance up to a
// number.
func (n *Node) refill(kept, candidates []string, most int) []string {
	most = min(most, len(candidates))
	refilled := make([]string, 0, most)
	for _, name := range kept {
		if len(refilled) < most && slices.Contains(candidates, name) && !slices.Contains(refilled, name) {
			refilled = append(refilled, name)
		}
	}
	for _, place := range n.random.Perm(len(candidates)) {
		if len(refilled) == most {
			break
		}
		if name := candidates[place]; !slices.Contains(refilled, name) {
			refilled = append(refilled, name)
		}
	}
	return refilled
}
