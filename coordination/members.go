package coordination

import "github.com/wheatweir/wheatweir/member"

// memberBelief is what was last told of a daemon.
type memberBelief struct {
	state   member.State
	leaving bool
}

// noteMembers tells of each change in what is believed of the other daemons.
func (n *Node) noteMembers() {
	revision := n.detector.Revision()
	if revision == n.membersAt {
		return
	}
	n.membersAt = revision
	for _, other := range n.detector.Members() {
		belief := memberBelief{state: other.State, leaving: other.Leaving}
		if other.Name == n.self || n.members[other.Name] == belief && n.seen[other.Name] {
			continue
		}
		n.members[other.Name], n.seen[other.Name] = belief, true
		n.decide("daemons", "Changed.", "daemon", other.Name, "state", other.State.String(), "leaving", other.Leaving,
			"incarnation", other.Incarnation)
	}
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
