package notice

import (
	"cmp"
	"slices"
	"time"
)

// Update is what one daemon sends another of the notices of instances. Backoffs are not sent: each concerns only
// the daemon from which it was requested.
type Update struct {
	Items []Item `msgpack:"i"`
}

// Empty reports whether there is nothing to send.
func (u *Update) Empty() bool { return len(u.Items) == 0 }

// Item is the state of one instance in an Update.
type Item struct {
	Instance string `msgpack:"i"`
	Leaving  bool   `msgpack:"l,omitempty"`
	// Change orders the states of the limit; zero if the item contains none.
	Change    uint64  `msgpack:"c,omitempty"`
	Limited   bool    `msgpack:"n,omitempty"`
	PerSecond float64 `msgpack:"p,omitempty"`
}

// broadcastWindow is how long the state of an instance that is no longer listed is still sent to other daemons.
const broadcastWindow = 5 * time.Second

// maxUpdateItems bounds the instances of one update, to some 20 kB.
const maxUpdateItems = 512

// Snapshot returns the state of one instance for other daemons.
func (t *Tracker) Snapshot(instance string) Item {
	entry := t.records[instance]
	if entry == nil {
		return Item{Instance: instance}
	}
	return Item{
		Instance: instance, Leaving: entry.leaving, Change: entry.limit.change, Limited: entry.limit.named, PerSecond: entry.limit.perSecond,
	}
}

// Recent returns the state that other daemons may lack, newest first. It covers instances that were listed or sent
// a notice within broadcastWindow.
func (t *Tracker) Recent(now time.Time) Update {
	var update Update
	for instance, entry := range t.records {
		if (entry.leaving || entry.limit.change != 0) && now.Sub(entry.lastSeenAt) < broadcastWindow {
			update.Items = append(update.Items, t.Snapshot(instance))
		}
	}
	slices.SortFunc(update.Items, func(a, b Item) int { return -cmp.Compare(a.Change, b.Change) })
	update.Items = update.Items[:min(len(update.Items), maxUpdateItems)]
	return update
}

// Merge applies an update of another daemon, and returns what has changed.
func (t *Tracker) Merge(now time.Time, update Update) []Change {
	var changes []Change
	for i := range update.Items {
		if change := t.merge(now, &update.Items[i]); !change.Empty() {
			changes = append(changes, change)
		}
	}
	return changes
}

func (t *Tracker) merge(now time.Time, item *Item) Change {
	change := Change{Instance: item.Instance}
	if !item.Leaving && item.Change == 0 {
		return change
	}
	entry := t.records[item.Instance]
	if entry == nil {
		entry = &record{lastSeenAt: now}
		t.records[item.Instance] = entry
	}
	if item.Leaving && !entry.leaving {
		entry.leaving, change.Leaving = true, true
	}
	limited := limit{named: item.Limited, perSecond: item.PerSecond, change: item.Change, receivedAt: now}
	if limited.newerThan(&entry.limit) {
		before := entry.limit
		entry.limit = limited
		if limited.named != before.named || limited.perSecond != before.perSecond {
			limited.fill(&change)
		}
	}
	return change
}
