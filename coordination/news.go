package coordination

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

// A fleet tells its news to each of its daemons, so a line of the log for each piece of news
// grows as their product: 840,000 lines in 48 s with 295 daemons before 245 servers. Lines that
// name what is new, gathered for a while, keep all of it: 8,700 in the first 25 s of such a day.
const (
	// namesPerLine bounds the names in one line.
	namesPerLine = 64
	// newsPause is the least time between two lines of one sort that are not full.
	newsPause = time.Second
)

// origin is where a daemon learned something: the store, or the daemon of that name.
type origin string

// originStore is the origin of what this daemon read from the store itself.
const originStore origin = "store"

// newsList gathers news of one sort for the log.
type newsList struct {
	part string
	// groups are the names by what became of them, in the order in which they first came up.
	groups  []newsGroup
	origins []string
	count   int
	// since is when the first of the names was learned.
	since    time.Time
	loggedAt time.Time
}

type newsGroup struct {
	state string
	names []string
}

func (l *newsList) add(now time.Time, state, name string) {
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
	l.groups = append(l.groups, newsGroup{state: state, names: []string{name}})
}

func (l *newsList) addOrigin(from origin) {
	if !slices.Contains(l.origins, string(from)) {
		l.origins = append(l.origins, string(from))
	}
}

// due reports whether a line has to be written now.
func (l *newsList) due(now time.Time) bool {
	return l.count > 0 && now.Sub(l.loggedAt) >= newsPause
}

// take returns the fields of a line with the names so far, and empties the list.
func (l *newsList) take(now time.Time) []any {
	fields := []any{"count", l.count, "over_ms", now.Sub(l.since).Milliseconds()}
	if len(l.origins) > 0 {
		fields = append(fields, "from", strings.Join(l.origins, ","))
	}
	for _, group := range l.groups {
		fields = append(fields, group.state, strings.Join(group.names, ","))
	}
	*l = newsList{part: l.part, loggedAt: now}
	return fields
}

// logNews writes a line for a list.
func (n *Node) logNews(now time.Time, list *newsList) {
	n.decide(list.part, "Changed.", list.take(now)...)
}

// addNews adds a name to a list and writes a line if it is full.
func (n *Node) addNews(now time.Time, list *newsList, state, name string) {
	list.add(now, state, name)
	if list.count == namesPerLine {
		n.logNews(now, list)
	}
}

// logDueNews writes the lines that are due.
func (n *Node) logDueNews(now time.Time) {
	for _, list := range []*newsList{&n.memberNews, &n.instanceNews} {
		if list.due(now) {
			n.logNews(now, list)
		}
	}
}

// noteInstances notes what became of instances and from where this daemon knows it, for the log.
// Each is named with the place of its change.
func (n *Node) noteInstances(now time.Time, from origin, changed []feed.Item[*fleet.Instance]) {
	list := &n.instanceNews
	for _, item := range changed {
		list.addOrigin(from)
		n.addNews(now, list, instanceState(item), item.Name+"@"+item.Place.String())
	}
	n.logDueNews(now)
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
