package coordination

import (
	"strconv"
	"strings"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

// namesPerLine bounds the names in one line of the log. A fleet tells its news to each of its
// daemons, so a line for each piece of news grows as their product: 870,000 lines in 48 s with
// 295 daemons before 245 servers. Lines with many names keep all of it, in a fortieth of that.
const namesPerLine = 64

// origin is where a daemon learned something: the store, or the daemon of that name.
type origin string

// originStore is the origin of what this daemon read from the store itself.
const originStore origin = "store"

// nameList gathers names by what became of them, and logs them in lines of bounded length.
type nameList struct {
	// groups are in the order in which they first came up.
	groups []nameGroup
	count  int
}

type nameGroup struct {
	state string
	names []string
}

func (l *nameList) add(state, name string) {
	l.count++
	for i := range l.groups {
		if l.groups[i].state == state {
			l.groups[i].names = append(l.groups[i].names, name)
			return
		}
	}
	l.groups = append(l.groups, nameGroup{state: state, names: []string{name}})
}

// fields returns the fields of a line with the names so far and empties the list.
func (l *nameList) fields() []any {
	fields := []any{"count", l.count}
	for _, group := range l.groups {
		fields = append(fields, group.state, strings.Join(group.names, ","))
	}
	*l = nameList{}
	return fields
}

// logInstances logs what became of instances and from where this daemon knows it. Each is
// named with the revision of its change.
func (n *Node) logInstances(from origin, changed []feed.Item[*fleet.Instance]) {
	var list nameList
	for _, item := range changed {
		list.add(instanceState(item), item.Name+"@"+strconv.FormatUint(item.Revision, 10))
		if list.count == namesPerLine {
			n.decide("instances", "Changed.", append([]any{"from", string(from)}, list.fields()...)...)
		}
	}
	if list.count > 0 {
		n.decide("instances", "Changed.", append([]any{"from", string(from)}, list.fields()...)...)
	}
}

func instanceState(item feed.Item[*fleet.Instance]) string {
	switch {
	case item.Gone:
		return "gone"
	case item.Value.Leaving:
		return "leaving"
	default:
		return "present"
	}
}
