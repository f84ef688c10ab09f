package coordination

import "time"

// revisionIntervalPerDaemon times the number of daemons is the minimum interval between two members
// revisions that this daemon applies. Each revision makes it recompute ranks, groups, trees and
// addresses from all members, and in a large fleet members may change in every tick.
const revisionIntervalPerDaemon = 250 * time.Microsecond

// appliedRevision is the members revision from which derived state is computed.
type appliedRevision struct {
	revision uint64
	at       time.Time
}

// MembersRevision returns a number that changes whenever the known state of the daemons changes. In
// a large fleet it changes with a delay.
func (n *Node) MembersRevision() uint64 {
	if n.revisionInterval() <= TickInterval {
		return n.detector.Revision()
	}
	return n.applied.revision
}

// applyRevision applies the detector's revision, if the last one was applied long enough ago.
func (n *Node) applyRevision(now time.Time) {
	if now.Sub(n.applied.at) >= n.revisionInterval() && n.applied.revision != n.detector.Revision() {
		n.applied = appliedRevision{revision: n.detector.Revision(), at: now}
	}
}

func (n *Node) revisionInterval() time.Duration {
	return time.Duration(n.detector.LiveCount()) * revisionIntervalPerDaemon
}
