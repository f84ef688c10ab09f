package coordination

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

// Every daemon of a fleet receives every change, so one log line per change grows with the product of
// the two: 840,000 lines in 48 s with 295 daemons and 245 servers. Lines that collect the changed names
// for a while keep all of the information: 8,700 lines in the first 25 s of a comparable run.
const (
	// maxNamesPerLine bounds the names in one line.
	maxNamesPerLine = 64
	// minLineInterval is the minimum interval between two lines of one kind that are not full.
	minLineInterval = time.Second
)

// origin is the source of a change: the store, or the name of the daemon that sent it.
type origin string

// originStore is the origin of changes that this daemon read from the store itself.
const originStore origin = "store"

// changeList collects the changes of one kind for the log.
type changeList struct {
	part string
	// groups hold the names by their new state, in the order in which the states first occurred.
	groups  []nameGroup
	origins []string
	count   int
	// since is when the first of the names was added.
	since    time.Time
	loggedAt time.Time
}

type nameGroup struct {
	state string
	names []string
}

func (l *changeList) add(now time.Time, state, name string) {
	if l.count == 0 {
		l.since = now
	}
	l.count++
	for i := range l.groups {
		if l.groups[i].state == state {
			l.groups[i].names = append(l.groups[i].names, name)
			return
		}
	}
	l.groups = append(l.groups, nameGroup{state: state, names: []string{name}})
}

func (l *changeList) addOrigin(from origin) {
	if !slices.Contains(l.origins, string(from)) {
		l.origins = append(l.origins, string(from))
	}
}

// due reports whether a line must be written now.
func (l *changeList) due(now time.Time) bool {
	return l.count > 0 && now.Sub(l.loggedAt) >= minLineInterval
}

// take returns the log fields with the names so far, and empties the list.
func (l *changeList) take(now time.Time) []any {
	fields := []any{"count", l.count, "over_ms", now.Sub(l.since).Milliseconds()}
	if len(l.origins) > 0 {
		fields = append(fields, "from", strings.Join(l.origins, ","))
	}
	for _, group := range l.groups {
		fields = append(fields, group.state, strings.Join(group.names, ","))
	}
	*l = changeList{part: l.part, loggedAt: now}
	return fields
}

// logChanges writes one line with the contents of a list.
func (n *Node) logChanges(now time.Time, list *changeList) {
	n.logEntry(list.part, "Changed.", list.take(now)...)
}

// addChange adds a name to a list, and writes a line if the list is full.
func (n *Node) addChange(now time.Time, list *changeList, state, name string) {
	list.add(now, state, name)
	if list.count == maxNamesPerLine {
		n.logChanges(now, list)
	}
}

// logDueChanges writes the lines that are due.
func (n *Node) logDueChanges(now time.Time) {
	for _, list := range []*changeList{&n.memberChanges, &n.instanceChanges} {
		if list.due(now) {
			n.logChanges(now, list)
		}
	}
}

// recordInstanceChanges records the changes of instances and their origins for the log. Each name is followed
// by the place of its change.
func (n *Node) recordInstanceChanges(now time.Time, from origin, changed []feed.Item[*fleet.Instance]) {
	list := &n.instanceChanges
	for _, item := range changed {
		list.addOrigin(from)
		n.addChange(now, list, instanceState(item), item.Name+"@"+item.Place.String())
	}
	n.logDueChanges(now)
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
