package coordination

import (
	"slices"

	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/rendezvous"
)

// groupSize is the most daemons that one dispatcher chooses for. Each brings it a few
// requests and a few dozen changes of load a second.
const groupSize = 24

// Group is this daemon's place in a large fleet. The daemons of a zone form groups; one
// daemon of each, the dispatcher, chooses the instances for the requests of all. It hears
// of every change of load in its group at once, and of those of the other groups through
// their dispatchers, where a daemon alone would know what others did a second ago. In a
// small fleet, where all tell all, there are no groups.
type Group struct {
	// Dispatcher is the name and Address the peer address of the one of this group;
	// both are empty if there are no groups.
	Dispatcher string
	Address    string
	// Backup is the dispatcher of another group, which is asked while the own one does
	// not answer, and BackupAddress its peer address; empty if there is none.
	Backup        string
	BackupAddress string
	// Dispatching says that it is this daemon. Members then are the others of the group,
	// and Others the peer addresses of the other dispatchers.
	Dispatching bool
	Members     []string
	Others      []string
	// Count is how many groups there are.
	Count int
}

// Leads reports whether this daemon is the dispatcher of another one.
func (g *Group) Leads(name string) bool { return slices.Contains(g.Members, name) }

// Group returns this daemon's place. The value must not be changed.
func (n *Node) Group() *Group {
	if revision := n.MembersRevision(); n.group == nil || revision != n.groupAt {
		n.group, n.groupAt = n.newGroup(), revision
	}
	return n.group
}

func (n *Node) newGroup() *Group {
	group := &Group{}
	if len(n.others()) <= n.settings.SharePeers {
		return group
	}
	self := n.detector.Self()
	var elsewhere []string
	for zone, names := range n.byZone() {
		// The first daemons in the order are the dispatchers of the zone's groups, which
		// the daemons join by turns.
		groups := (len(names) + groupSize - 1) / groupSize
		group.Count += groups
		own := -1
		if zone == self.Zone {
			own = max(0, slices.Index(names, n.self)) % groups
			group.Dispatcher = names[own]
		}
		for place, name := range names {
			switch {
			case place < groups && place != own:
				group.Others = append(group.Others, n.addressOf(name))
				elsewhere = append(elsewhere, name)
			case place >= groups && place%groups == own && name != n.self:
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
	// By the name, so that the daemons of a group that lost its dispatcher go to several.
	if len(elsewhere) > 0 && !group.Dispatching {
		group.Backup = rendezvous.NewSet(elsewhere).Owner("backup/" + n.self)
		group.BackupAddress = n.addressOf(group.Backup)
	}
	return group
}

func (n *Node) addressOf(name string) string {
	known, _ := n.detector.Lookup(name)
	return known.PeerAddress
}

// byZone lists the daemons that are alive and not leaving, by zone, in an order that all
// compute alike.
func (n *Node) byZone() map[string][]string {
	members := slices.DeleteFunc(n.detector.LiveMembers(), func(known member.Member) bool {
		return known.State != member.Alive || known.Leaving
	})
	zones := map[string][]string{}
	for _, known := range member.Ranked(members, "dispatch/") {
		zones[known.Zone] = append(zones[known.Zone], known.Name)
	}
	return zones
}
