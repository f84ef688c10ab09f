package coordination

import (
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// memberBelief is what was last logged of a daemon.
type memberBelief struct {
	state   member.State
	leaving bool
	// incarnation tells two lives of it apart, and a suspicion that it refuted.
	incarnation uint64
}

// noteMembers notes each change in what is believed of the other daemons, for the log. Each is
// named with its incarnation.
func (n *Node) noteMembers(now time.Time) {
	revision := n.MembersRevision()
	if revision == n.membersAt {
		return
	}
	n.membersAt = revision
	for _, other := range n.detector.Members() {
		belief := memberBelief{state: other.State, leaving: other.Leaving, incarnation: other.Incarnation}
		if other.Name == n.self || n.members[other.Name] == belief {
			continue
		}
		n.members[other.Name] = belief
		n.addNews(now, &n.memberNews, belief.String(), other.Name+"@"+strconv.FormatUint(other.Incarnation, 10))
	}
}

// heardSpan is how old the last word of a daemon may be in a small fleet, where all tell all five
// times a second, before it counts as not heard.
const heardSpan = time.Second

// TellsAll reports whether all daemons tell all others, as in a small fleet.
func (n *Node) TellsAll() bool { return n.detector.LiveCount()-1 <= n.settings.SharePeers }

// HeardMembers returns all known daemons; in a small fleet those that were not heard lately are
// suspect. A daemon that is cut off from all others suspects one of them in each probe interval
// only, and must not count on the rest meanwhile.
func (n *Node) HeardMembers(now time.Time) []member.Member {
	members := n.detector.Members()
	if !n.TellsAll() {
		return members
	}
	for i := range members {
		known := &members[i]
		silent := known.Name != n.self && now.Sub(n.peers[known.Name].at) > heardSpan
		if silent && known.State == member.Alive {
			known.State = member.Suspect
		}
	}
	return members
}

// String returns the name used in logs.
func (b memberBelief) String() string {
	if b.leaving && b.state == member.Alive {
		return "leaving"
	}
	return b.state.String()
}

// sendAll sends a message to several daemons.
func (n *Node) sendAll(names []string, message Message) {
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		if other, found := n.detector.Lookup(name); found && name != n.self {
			addresses = append(addresses, other.PeerAddress)
		}
	}
	if len(addresses) > 0 {
		n.do(Broadcast{Addresses: addresses, Message: message})
	}
}
