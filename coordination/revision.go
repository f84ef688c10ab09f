package coordination

import "time"

// revisionCost times the number of daemons is the least time between two revisions of the members that this daemon
// follows. Ranks, groups, trees and addresses are worked out anew from all members for each of them, and members of a
// large fleet may change in every tick.
const revisionCost = 250 * time.Microsecond

// followedRevision is the revision of the members that what follows from them is worked out for.
type followedRevision struct {
	revision uint64
	at       time.Time
}

// MembersRevision changes whenever what is known of the daemons changes; in a large fleet some changes later.
func (n *Node) MembersRevision() uint64 {
	if n.revisionPause() <= TickEvery {
		return n.detector.Revision()
	}
	return n.followed.revision
}

// followRevision takes in that the members have changed, if the last time is long enough ago.
func (n *Node) followRevision(now time.Time) {
	if now.Sub(n.followed.at) >= n.revisionPause() && n.followed.revision != n.detector.Revision() {
		n.followed = followedRevision{revision: n.detector.Revision(), at: now}
	}
}

func (n *Node) revisionPause() time.Duration {
	return time.Duration(n.detector.LiveCount()) * revisionCost
}
