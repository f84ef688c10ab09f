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
	revision := n.detector.Revision()
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
