package coordination

import (
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// loggedMember is the state of a daemon as last logged.
type loggedMember struct {
	state   member.State
	leaving bool
	// incarnation distinguishes two processes of the daemon, and the state before and after it
	// refuted a suspicion.
	incarnation uint64
}

// logMemberChanges queues each change in the state of another daemon for the log. Each daemon is
// named with its incarnation.
func (n *Node) logMemberChanges(now time.Time) {
	revision := n.MembersRevision()
	if revision == n.loggedRevision {
		return
	}
	n.loggedRevision = revision
	for _, other := range n.detector.Members() {
		current := loggedMember{state: other.State, leaving: other.Leaving, incarnation: other.Incarnation}
		if other.Name == n.self || n.loggedMembers[other.Name] == current {
			continue
		}
		n.loggedMembers[other.Name] = current
		n.addChange(now, &n.memberChanges, current.String(), other.Name+"@"+strconv.FormatUint(other.Incarnation, 10))
	}
}

// loadFreshness is the age from which the latest load update of a daemon counts as missing in a
// small fleet. There all daemons send updates to all others five times a second.
const loadFreshness = time.Second

// SendsLoadToAll reports whether the fleet is small enough that each daemon sends load updates to all
// others.
func (n *Node) SendsLoadToAll() bool {
	return n.detector.LiveCount()-1 <= n.settings.MaxSmallFleetPeers
}

// RecentMembers returns all known daemons. In a small fleet, daemons without a recent load update
// are marked suspect. A daemon that is cut off from all others suspects only one of them in each
// probe interval, and must not rely on the rest meanwhile.
func (n *Node) RecentMembers(now time.Time) []member.Member {
	members := n.detector.Members()
	if !n.SendsLoadToAll() {
		return members
	}
	for i := range members {
		other := &members[i]
		silent := other.Name != n.self && now.Sub(n.peers[other.Name].at) > loadFreshness
		if silent && other.State == member.Alive {
			other.State = member.Suspect
		}
	}
	return members
}

// String returns the state as written to the log.
func (m loggedMember) String() string {
	if m.leaving && m.state == member.Alive {
		return "leaving"
	}
	return m.state.String()
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
		n.enqueue(Broadcast{Addresses: addresses, Message: message})
	}
}
