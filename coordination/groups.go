package coordination

import (
	"slices"

	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/rendezvous"
)

// maxGroupSize is the maximum number of daemons for which one dispatcher chooses instances. Each
// sends it a few requests and a few dozen load changes a second.
const maxGroupSize = 24

// Group is this daemon's group in a large fleet. The daemons of a zone form groups. One daemon of
// each, the dispatcher, chooses the instances for the requests of all. It receives every load
// change in its group at once, and those of the other groups through their dispatchers. A daemon
// without a dispatcher would only have the load of others as of a second ago. In a small fleet,
// where each daemon sends its load to all others, there are no groups.
type Group struct {
	// Dispatcher is the name of this group's dispatcher and Address its peer address; both are
	// empty if there are no groups.
	Dispatcher string
	Address    string
	// Backup is the dispatcher of another group, used while the own one does not answer, and
	// BackupAddress is its peer address; both are empty if there is none.
	Backup        string
	BackupAddress string
	// Dispatching is set if this daemon is the dispatcher. Members are then the other daemons of
	// the group, and Others the peer addresses of the other dispatchers.
	Dispatching bool
	Members     []string
	Others      []string
	// Count is the number of groups in the fleet.
	Count int
}

// HasMember reports whether this daemon is the dispatcher of the named one.
func (g *Group) HasMember(name string) bool { return slices.Contains(g.Members, name) }

// Group returns this daemon's group. The caller must not change it.
func (n *Node) Group() *Group {
	if revision := n.MembersRevision(); n.group == nil || revision != n.groupRevision {
		n.group, n.groupRevision = n.computeGroup(), revision
	}
	return n.group
}

func (n *Node) computeGroup() *Group {
	group := &Group{}
	if len(n.liveOthers()) <= n.settings.MaxSmallFleetPeers {
		return group
	}
	self := n.detector.Self()
	var otherDispatchers []string
	for zone, names := range n.availableByZone() {
		// The first daemons in the order are the dispatchers of the zone's groups. The others are
		// assigned to the groups in rotation.
		groups := (len(names) + maxGroupSize - 1) / maxGroupSize
		group.Count += groups
		ownGroup := -1
		if zone == self.Zone {
			ownGroup = max(0, slices.Index(names, n.self)) % groups
			group.Dispatcher = names[ownGroup]
		}
		for position, name := range names {
			switch {
			case position < groups && position != ownGroup:
				group.Others = append(group.Others, n.addressOf(name))
				otherDispatchers = append(otherDispatchers, name)
			case position >= groups && position%groups == ownGroup && name != n.self:
				group.Members = append(group.Members, name)
			}
		}
	}
	group.Dispatching = group.Dispatcher == n.self
	if group.Dispatcher != "" {
		group.Address = n.addressOf(group.Dispatcher)
	}
	if !group.Dispatching {
		group.Members, group.Others = nil, nil
	}
	// The backup is chosen by the daemon's name, so that the daemons of a group that lost its
	// dispatcher are distributed over several.
	if len(otherDispatchers) > 0 && !group.Dispatching {
		group.Backup = rendezvous.NewSet(otherDispatchers).Owner("backup/" + n.self)
		group.BackupAddress = n.addressOf(group.Backup)
	}
	return group
}

func (n *Node) addressOf(name string) string {
	other, _ := n.detector.Lookup(name)
	return other.PeerAddress
}

// availableByZone lists the daemons that are alive and not leaving by zone, in an order that all
// daemons compute alike.
func (n *Node) availableByZone() map[string][]string {
	members := slices.DeleteFunc(n.detector.LiveMembers(), func(other member.Member) bool {
		return other.State != member.Alive || other.Leaving
	})
	zones := map[string][]string{}
	for _, other := range member.Ranked(members, "dispatch/") {
		zones[other.Zone] = append(zones[other.Zone], other.Name)
	}
	return zones
}
