package notice

import (
	"cmp"
	"slices"
	"time"
)

// Update is what one daemon tells another of what instances have said. Rests are not told: each is for
// the daemon that was asked for it.
type Update struct {
	Items []Item `msgpack:"i"`
}

// Empty reports whether there is nothing to tell.
func (u *Update) Empty() bool { return len(u.Items) == 0 }

// Item is what is told of one instance.
type Item struct {
	Instance string `msgpack:"i"`
	Leaving  bool   `msgpack:"l,omitempty"`
	// Change orders what daemons know of the limit; zero if nothing is told of it.
	Change    uint64  `msgpack:"c,omitempty"`
	Limited   bool    `msgpack:"n,omitempty"`
	PerSecond float64 `msgpack:"p,omitempty"`
}

// toldSpan is for how long others are told of an instance that is no longer listed.
const toldSpan = 5 * time.Second

// mostTold bounds the instances of one update, to some 20 kB.
const mostTold = 512

// Evidence returns what is known of one instance, for others.
func (b *Book) Evidence(instance string) Item {
	known := b.records[instance]
	if known == nil {
		return Item{Instance: instance}
	}
	return Item{
		Instance: instance, Leaving: known.leaving, Change: known.limit.change, Limited: known.limit.named, PerSecond: known.limit.perSecond,
	}
}

// Newest returns what others may lack: of instances that were listed or said something a moment ago, the
// newest first.
func (b *Book) Newest(now time.Time) Update {
	var update Update
	for instance, known := range b.records {
		if (known.leaving || known.limit.change != 0) && now.Sub(known.keptSince) < toldSpan {
			update.Items = append(update.Items, b.Evidence(instance))
		}
	}
	slices.SortFunc(update.Items, func(a, b Item) int { return -cmp.Compare(a.Change, b.Change) })
	update.Items = update.Items[:min(len(update.Items), mostTold)]
	return update
}

// Learn takes in what another daemon told, and returns what is new here.
func (b *Book) Learn(now time.Time, update Update) []Change {
	var changes []Change
	for i := range update.Items {
		if change := b.learn(now, &update.Items[i]); !change.Empty() {
			changes = append(changes, change)
		}
	}
	return changes
}

func (b *Book) learn(now time.Time, told *Item) Change {
	change := Change{Instance: told.Instance}
	if !told.Leaving && told.Change == 0 {
		return change
	}
	known := b.records[told.Instance]
	if known == nil {
		known = &record{keptSince: now}
		b.records[told.Instance] = known
	}
	if told.Leaving && !known.leaving {
		known.leaving, change.Leaving = true, true
	}
	limited := limit{named: told.Limited, perSecond: told.PerSecond, change: told.Change, learnedAt: now}
	if limited.later(&known.limit) {
		before := known.limit
		known.limit = limited
		if limited.named != before.named || limited.perSecond != before.perSecond {
			limited.report(&change)
		}
	}
	return change
}
