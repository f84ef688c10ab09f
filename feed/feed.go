// Package feed keeps a typed copy of a collection that lives in an external
// object store: a full list first, then changes, then a list again whenever the
// store no longer has the history, or has come back from an earlier copy. Values only move forward in the
// store's history, within an era and from one to the next.
package feed

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/history"
)

// Classes of errors of a Source.
var (
	// ErrHistoryGone means that changes after the given revision are no longer
	// kept, and that the collection must be listed again.
	ErrHistoryGone = errs.Class("feed: history gone")
	// ErrUnavailable means that the store did not answer, or turned the call away.
	ErrUnavailable = errs.Class("feed: unavailable")
	// ErrOverdue means that its answer did not begin in time.
	ErrOverdue = errs.Class("feed: overdue")
)

// Item is one object of a collection.
type Item[T any] struct {
	Name string
	// Place is that of the item's last change.
	Place history.Place
	// Gone marks a removal; Value is then the zero value.
	Gone  bool
	Value T
}

// Batch is an answer of a Source.
type Batch[T any] struct {
	Items []Item[T]
	// At is the place in the store's history up to which the answer is complete.
	At history.Place
	// Until is the place at which the last page of a list was read, if that is later.
	Until history.Place
}

// Freshness is how new a list has to be.
type Freshness uint8

const (
	// Newest asks for everything that the store has taken so far.
	Newest Freshness = iota
	// MayLag allows a stale read: a list of some seconds ago, if that is cheaper for the store.
	MayLag
)

// Source is one collection of the store.
type Source[T any] interface {
	// ListPage returns a page of all items: the first one, or what comes after a name.
	ListPage(ctx context.Context, after string, freshness Freshness) (Page[T], error)
	// Watch returns the changes after a place, waiting for the first. Patience is how
	// long after the wait the answer may begin. An answer of another era than that of the place
	// says nothing of what was lost in between: everything has to be listed anew.
	Watch(ctx context.Context, since history.Place, wait, patience time.Duration) (Batch[T], error)
}

// Mirror is the copy of one collection. It is not safe for concurrent use.
type Mirror[T any] struct {
	items map[string]Item[T]
	at    history.Place
	// newest is the version of the newest change that was taken in, at or before at.
	newest history.Place
	known  bool
	// history holds the last changes, oldest first, with the version of each; it
	// is complete after the version floor, but for what came and went within a gap.
	history []change[T]
	floor   history.Place
	gaps    []gap
	// until is up to where the last list may lack what was removed while it was read.
	until history.Place
}

// gap is a part of the store's history that a list passed over: what came and went within it is not known.
type gap struct{ after, before history.Place }

// mostGaps bounds the gaps that are kept.
const mostGaps = 64

// Changes are what has changed of a collection after a place, up to that of the batch.
type Changes[T any] struct {
	Batch[T]
	After history.Place
	// PassedOver says that some of what came and went in between is not among them.
	PassedOver bool
}

// change is one change with its version: the place of the item, or for a
// removal the place at which it was told.
type change[T any] struct {
	item    Item[T]
	version history.Place
}

// historySize bounds the changes that are kept for Since. In a fleet of 3,000 servers some
// hundred change in a second, and who lacks more than is kept has to be told everything.
const historySize = 4096

// NewMirror returns an empty mirror.
func NewMirror[T any]() *Mirror[T] { return &Mirror[T]{items: map[string]Item[T]{}} }

// At returns the place up to which the mirror is complete.
func (m *Mirror[T]) At() history.Place { return m.at }

// Until returns the place up to which the last list may lack what was removed while it was read.
func (m *Mirror[T]) Until() history.Place { return m.until }

// Newest returns the version of the newest change that was taken in. Unlike At it
// does not move without a change.
func (m *Mirror[T]) Newest() history.Place { return m.newest }

// Known reports whether a list was taken in.
func (m *Mirror[T]) Known() bool { return m.known }

// Get returns the value of a live item.
func (m *Mirror[T]) Get(name string) (T, bool) {
	item, found := m.items[name]
	return item.Value, found
}

// Items returns the live items in no particular order.
func (m *Mirror[T]) Items() []Item[T] {
	items := make([]Item[T], 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	return items
}

// Replace takes in a full list. A list that is older than the mirror is turned
// away: a replica of the store may lag. It returns the items that changed.
//
// The first list of an era may lack items that the store has lost and gets again from those who wrote
// them. They stay until DropEarlier.
func (m *Mirror[T]) Replace(batch Batch[T]) []Item[T] {
	if m.known && batch.At.Before(m.at) {
		return nil
	}
	// What came before the first list, or the first one of an era, is not known here.
	begins := !m.known || batch.At.Era > m.at.Era
	beginsHistory := begins || m.at.Before(m.until)
	if !beginsHistory && batch.At.After(m.at) {
		m.passOver(gap{after: m.at, before: batch.At})
	}
	listed := make(map[string]bool, len(batch.Items))
	changed := m.apply(batch)
	for _, item := range batch.Items {
		listed[item.Name] = true
	}
	for name, item := range m.items {
		if !listed[name] && item.Place.Era == batch.At.Era && !item.Place.After(batch.At) {
			changed = append(changed, m.drop(name, batch.At))
		}
	}
	if begins {
		m.newest = history.Newer(m.newest, history.At(batch.At.Era, 0))
	}
	if beginsHistory {
		m.history, m.floor, m.gaps = nil, batch.At, nil
	}
	m.at = batch.At
	m.until = history.Newer(batch.Until, batch.At)
	m.known = true
	return changed
}

// passOver notes a gap. Beyond those that are kept, the history begins after the oldest one.
func (m *Mirror[T]) passOver(passed gap) {
	if len(m.gaps) == mostGaps {
		m.floor = history.Newer(m.floor, m.gaps[0].before)
		m.gaps = m.gaps[1:]
	}
	m.gaps = append(m.gaps, passed)
}

// drop removes an item of which it was told at a place that it is gone.
func (m *Mirror[T]) drop(name string, at history.Place) Item[T] {
	delete(m.items, name)
	gone := Item[T]{Name: name, Place: at, Gone: true}
	m.note(gone, at)
	return gone
}

// HasEarlier reports whether there are items that only an earlier era told of.
func (m *Mirror[T]) HasEarlier() bool {
	for _, item := range m.items {
		if item.Place.Era < m.at.Era {
			return true
		}
	}
	return false
}

// DropEarlier removes the items that only an earlier era told of, and returns them.
func (m *Mirror[T]) DropEarlier() []Item[T] {
	var changed []Item[T]
	for name, item := range m.items {
		if item.Place.Era < m.at.Era {
			changed = append(changed, m.drop(name, m.at))
		}
	}
	return changed
}

// Apply takes in changes and returns those that were news. Changes of an era of which no list was
// taken in are turned away, as are those of an earlier one, and items that are gone since.
func (m *Mirror[T]) Apply(batch Batch[T]) []Item[T] {
	outdated := func(item Item[T]) bool { return item.Place.Era != m.at.Era || m.goneSince(&item) }
	if m.known && slices.ContainsFunc(batch.Items, outdated) {
		batch.Items = slices.DeleteFunc(slices.Clone(batch.Items), outdated)
	}
	changed := m.apply(batch)
	if m.known && batch.At.Era == m.at.Era {
		m.at = history.Newer(m.at, batch.At)
	}
	return changed
}

// goneSince reports whether an item was removed since it was told: the mirror is complete up to a later place and lacks it.
func (m *Mirror[T]) goneSince(item *Item[T]) bool {
	_, held := m.items[item.Name]
	return !held && !item.Place.After(m.at)
}

// Since returns what has changed after a place, or after an earlier one if that lies in a gap; or false if some of the
// changes are not kept.
func (m *Mirror[T]) Since(place history.Place) (Changes[T], bool) {
	for _, passed := range m.gaps {
		if place.After(passed.after) && place.Before(passed.before) {
			place = passed.after
			break
		}
	}
	if !m.known || place.Before(m.floor) {
		return Changes[T]{}, false
	}
	passedOver := slices.ContainsFunc(m.gaps, func(passed gap) bool { return passed.before.After(place) })
	changes := Changes[T]{After: place, Batch: Batch[T]{At: m.at}, PassedOver: passedOver}
	for _, change := range m.history {
		if change.version.After(place) {
			changes.Items = append(changes.Items, change.item)
		}
	}
	return changes, true
}

// Merge takes in the changes of another mirror that began at or before the place up to which this one is complete, and
// returns those that were news. What was changed between the two places and does not exist by them is gone.
func (m *Mirror[T]) Merge(changes Changes[T]) []Item[T] {
	if !m.known || changes.At.Era != m.at.Era || changes.After.After(m.at) || !changes.At.After(m.at) {
		return nil
	}
	if changes.PassedOver {
		m.passOver(gap{after: m.at, before: changes.At})
	}
	exists := make(map[string]bool, len(changes.Items))
	for _, item := range changes.Items {
		exists[item.Name] = !item.Gone
	}
	changed := m.Apply(changes.Batch)
	for name, item := range m.items {
		if !exists[name] && item.Place.After(changes.After) && !item.Place.After(changes.At) {
			changed = append(changed, m.drop(name, changes.At))
		}
	}
	return changed
}

func (m *Mirror[T]) note(item Item[T], version history.Place) {
	m.newest = history.Newer(m.newest, version)
	if len(m.history) == historySize {
		m.floor = history.Newer(m.floor, m.history[0].version)
		m.history = m.history[1:]
	}
	m.history = append(m.history, change[T]{item: item, version: version})
}

func (m *Mirror[T]) apply(batch Batch[T]) []Item[T] {
	var changed []Item[T]
	for _, item := range batch.Items {
		if m.take(&item, batch.At) {
			changed = append(changed, item)
		}
	}
	return changed
}

// take takes in an item of a batch that is complete up to a place, and reports whether it is a change. The later pages
// of a list may be ahead of that place: a change there gets its version once the mirror is complete up to it.
func (m *Mirror[T]) take(item *Item[T], at history.Place) bool {
	held, found := m.items[item.Name]
	ahead := item.Place.After(m.at)
	switch {
	case found && item.Place.Before(held.Place):
		return false
	case found && !item.Gone && item.Place == held.Place:
		if ahead {
			m.note(held, earlier(held.Place, at))
		}
		return false
	case item.Gone && !found:
		// Another mirror may hold it and ask for the changes since.
		if ahead {
			m.note(*item, earlier(item.Place, at))
		}
		return false
	case item.Gone:
		delete(m.items, item.Name)
		if item.Place == held.Place {
			// The store named the place of the last change before the removal.
			item.Place = history.Newer(item.Place, at)
		}
	default:
		m.items[item.Name] = *item
	}
	m.note(*item, earlier(item.Place, at))
	return true
}

func earlier(a, b history.Place) history.Place {
	if b.Before(a) {
		return b
	}
	return a
}
