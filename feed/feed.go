// Package feed mirrors a collection of an external object store in memory. It reads a full list first, then
// changes, and lists again whenever the store no longer keeps the history or was restored from an earlier copy. Each
// restore begins a new era of the store's history. Values only move forward in that history, within an era and
// from one era to the next.
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
	// ErrHistoryGone means that the changes after the given revision are no longer kept, and that the collection
	// must be listed again.
	ErrHistoryGone = errs.Class("feed: history gone")
	// ErrUnavailable means that the store did not respond, or rejected the call.
	ErrUnavailable = errs.Class("feed: unavailable")
	// ErrTimeout means that the response of the store did not begin in time.
	ErrTimeout = errs.Class("feed: overdue")
)

// Item is one object of a collection.
type Item[T any] struct {
	Name string
	// Place is the position of the item's last change in the store's history.
	Place history.Place
	// Gone marks a removal; Value is then the zero value.
	Gone  bool
	Value T
}

// Batch is a response of a Source.
type Batch[T any] struct {
	Items []Item[T]
	// At is the place in the store's history up to which the response is complete.
	At history.Place
	// ListedUntil is the place at which the last page of a list was read, if that is later than At.
	ListedUntil history.Place
}

// Freshness is how recent a list must be.
type Freshness uint8

const (
	// Newest requires everything that the store has accepted so far.
	Newest Freshness = iota
	// MayLag allows a stale read: a list that is some seconds old, if that is cheaper for the store.
	MayLag
)

// Source is one collection of the store.
type Source[T any] interface {
	// ListPage returns a page of all items: the first one, or the page that follows a name.
	ListPage(ctx context.Context, after string, freshness Freshness) (Page[T], error)
	// Watch returns the changes after a place, and waits for the first of them. The response must begin within
	// timeout after the wait. A response of another era than that of since lacks what was lost in between:
	// all items must be listed again.
	Watch(ctx context.Context, since history.Place, wait, timeout time.Duration) (Batch[T], error)
}

// Mirror is a copy of one collection in memory. It is not safe for concurrent use.
type Mirror[T any] struct {
	items map[string]Item[T]
	at    history.Place
	// newest is the version of the newest change that was applied, at or before at.
	newest history.Place
	synced bool
	// history holds the last changes with their versions, oldest first. It is complete after the version floor,
	// except for items that were created and removed within a gap.
	history []change[T]
	floor   history.Place
	gaps    []gap
	// listedUntil is the place up to which the last list may lack removals that happened while it was read.
	listedUntil history.Place
}

// gap is a part of the store's history that a list skipped: items that were created and removed within it are
// unknown.
type gap struct{ after, before history.Place }

// maxGaps bounds the gaps that are kept.
const maxGaps = 64

// Changes are the changes of a collection after a place, up to that of the batch.
type Changes[T any] struct {
	Batch[T]
	After history.Place
	// HasGaps means that items which were created and removed in between may be missing.
	HasGaps bool
}

// change is one change with its version: the place of the item, or for a removal the place at which the removal
// was reported.
type change[T any] struct {
	item    Item[T]
	version history.Place
}

// maxHistory bounds the changes that are kept for Since. In a fleet of 3,000 servers some hundred items change per
// second. A peer that lacks more changes than are kept needs the full list.
const maxHistory = 4096

// NewMirror returns an empty mirror.
func NewMirror[T any]() *Mirror[T] { return &Mirror[T]{items: map[string]Item[T]{}} }

// At returns the place up to which the mirror is complete.
func (m *Mirror[T]) At() history.Place { return m.at }

// ListedUntil returns the place up to which the last list may lack removals that happened while it was read.
func (m *Mirror[T]) ListedUntil() history.Place { return m.listedUntil }

// Newest returns the version of the newest change that was applied. Unlike At it moves only with a change.
func (m *Mirror[T]) Newest() history.Place { return m.newest }

// Synced reports whether a list was applied.
func (m *Mirror[T]) Synced() bool { return m.synced }

// Get returns the value of an item that exists.
func (m *Mirror[T]) Get(name string) (T, bool) {
	item, found := m.items[name]
	return item.Value, found
}

// Items returns the existing items in no particular order.
func (m *Mirror[T]) Items() []Item[T] {
	items := make([]Item[T], 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	return items
}

// Replace applies a full list and returns the items that changed. A list that is older than the mirror is
// rejected: a replica of the store may lag.
//
// The first list of an era may lack items that the store has lost and that their writers write again. The mirror
// keeps them until RemoveEarlierEra.
func (m *Mirror[T]) Replace(batch Batch[T]) []Item[T] {
	if m.synced && batch.At.Before(m.at) {
		return nil
	}
	// The history before the first list, or before the first list of an era, is unknown here.
	firstList := !m.synced || batch.At.Era > m.at.Era
	resetHistory := firstList || m.at.Before(m.listedUntil)
	if !resetHistory && batch.At.After(m.at) {
		m.recordGap(gap{after: m.at, before: batch.At})
	}
	listed := make(map[string]bool, len(batch.Items))
	changed := m.apply(batch)
	for _, item := range batch.Items {
		listed[item.Name] = true
	}
	for name, item := range m.items {
		if !listed[name] && item.Place.Era == batch.At.Era && !item.Place.After(batch.At) {
			changed = append(changed, m.remove(name, batch.At))
		}
	}
	if firstList {
		m.newest = history.Newer(m.newest, history.At(batch.At.Era, 0))
	}
	if resetHistory {
		m.history, m.floor, m.gaps = nil, batch.At, nil
	}
	m.at = batch.At
	m.listedUntil = history.Newer(batch.ListedUntil, batch.At)
	m.synced = true
	return changed
}

// recordGap records a gap. If more than maxGaps are recorded, the oldest is removed and the history begins after
// it.
func (m *Mirror[T]) recordGap(skipped gap) {
	if len(m.gaps) == maxGaps {
		m.floor = history.Newer(m.floor, m.gaps[0].before)
		m.gaps = m.gaps[1:]
	}
	m.gaps = append(m.gaps, skipped)
}

// remove deletes an item that is known to be gone as of a place.
func (m *Mirror[T]) remove(name string, at history.Place) Item[T] {
	delete(m.items, name)
	gone := Item[T]{Name: name, Place: at, Gone: true}
	m.record(gone, at)
	return gone
}

// HasEarlierEra reports whether there are items that are known only from an earlier era.
func (m *Mirror[T]) HasEarlierEra() bool {
	for _, item := range m.items {
		if item.Place.Era < m.at.Era {
			return true
		}
	}
	return false
}

// RemoveEarlierEra removes the items that are known only from an earlier era, and returns them.
func (m *Mirror[T]) RemoveEarlierEra() []Item[T] {
	var changed []Item[T]
	for name, item := range m.items {
		if item.Place.Era < m.at.Era {
			changed = append(changed, m.remove(name, m.at))
		}
	}
	return changed
}

// Apply applies changes and returns those that were new. It rejects changes of an era of which no list was
// applied, changes of an earlier era, and items that were removed since.
func (m *Mirror[T]) Apply(batch Batch[T]) []Item[T] {
	outdated := func(item Item[T]) bool { return item.Place.Era != m.at.Era || m.removedSince(&item) }
	if m.synced && slices.ContainsFunc(batch.Items, outdated) {
		batch.Items = slices.DeleteFunc(slices.Clone(batch.Items), outdated)
	}
	changed := m.apply(batch)
	if m.synced && batch.At.Era == m.at.Era {
		m.at = history.Newer(m.at, batch.At)
	}
	return changed
}

// removedSince reports whether an item was removed after it was reported: the mirror is complete up to a later
// place and lacks it.
func (m *Mirror[T]) removedSince(item *Item[T]) bool {
	_, found := m.items[item.Name]
	return !found && !item.Place.After(m.at)
}

// Since returns the changes after a place, or after the start of the gap that contains the place. It returns false
// if some of the changes are no longer kept.
func (m *Mirror[T]) Since(place history.Place) (Changes[T], bool) {
	for _, skipped := range m.gaps {
		if place.After(skipped.after) && place.Before(skipped.before) {
			place = skipped.after
			break
		}
	}
	if !m.synced || place.Before(m.floor) {
		return Changes[T]{}, false
	}
	passedOver := slices.ContainsFunc(m.gaps, func(skipped gap) bool { return skipped.before.After(place) })
	changes := Changes[T]{After: place, Batch: Batch[T]{At: m.at}, HasGaps: passedOver}
	for _, change := range m.history {
		if change.version.After(place) {
			changes.Items = append(changes.Items, change.item)
		}
	}
	return changes, true
}

// Merge applies the changes of another mirror and returns those that were new. The changes must begin at or before
// the place up to which this mirror is complete. An item that was changed between the two places of the changes
// and is not among them as existing is removed.
func (m *Mirror[T]) Merge(changes Changes[T]) []Item[T] {
	if !m.synced || changes.At.Era != m.at.Era || changes.After.After(m.at) || !changes.At.After(m.at) {
		return nil
	}
	if changes.HasGaps {
		m.recordGap(gap{after: m.at, before: changes.At})
	}
	exists := make(map[string]bool, len(changes.Items))
	for _, item := range changes.Items {
		exists[item.Name] = !item.Gone
	}
	changed := m.Apply(changes.Batch)
	for name, item := range m.items {
		if !exists[name] && item.Place.After(changes.After) && !item.Place.After(changes.At) {
			changed = append(changed, m.remove(name, changes.At))
		}
	}
	return changed
}

func (m *Mirror[T]) record(item Item[T], version history.Place) {
	m.newest = history.Newer(m.newest, version)
	if len(m.history) == maxHistory {
		m.floor = history.Newer(m.floor, m.history[0].version)
		m.history = m.history[1:]
	}
	m.history = append(m.history, change[T]{item: item, version: version})
}

func (m *Mirror[T]) apply(batch Batch[T]) []Item[T] {
	var changed []Item[T]
	for _, item := range batch.Items {
		if m.applyItem(&item, batch.At) {
			changed = append(changed, item)
		}
	}
	return changed
}

// applyItem applies an item of a batch that is complete up to a place, and reports whether it is a change. Later
// pages of a list may be ahead of that place: a change there gets its version once the mirror is complete up to
// it.
func (m *Mirror[T]) applyItem(item *Item[T], at history.Place) bool {
	current, found := m.items[item.Name]
	ahead := item.Place.After(m.at)
	switch {
	case found && item.Place.Before(current.Place):
		return false
	case found && !item.Gone && item.Place == current.Place:
		if ahead {
			m.record(current, earlier(current.Place, at))
		}
		return false
	case item.Gone && !found:
		// Another mirror may hold the item and request the changes since.
		if ahead {
			m.record(*item, earlier(item.Place, at))
		}
		return false
	case item.Gone:
		delete(m.items, item.Name)
		if item.Place == current.Place {
			// The store reported the place of the last change before the removal.
			item.Place = history.Newer(item.Place, at)
		}
	default:
		m.items[item.Name] = *item
	}
	m.record(*item, earlier(item.Place, at))
	return true
}

func earlier(a, b history.Place) history.Place {
	if b.Before(a) {
		return b
	}
	return a
}
