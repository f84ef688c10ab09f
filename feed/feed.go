// Package feed keeps a typed copy of a collection that lives in an external
// object store: a full list first, then changes, then a list again whenever the
// store no longer has the history. Values only move forward in revision.
package feed

import (
	"context"
	"time"

	"github.com/zeebo/errs"
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
	Name     string
	Revision uint64
	// Gone marks a removal; Value is then the zero value.
	Gone  bool
	Value T
}

// Batch is an answer of a Source.
type Batch[T any] struct {
	Items []Item[T]
	// At is the store's revision up to which the answer is complete.
	At uint64
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
	// Watch returns the changes after a revision, waiting for the first. Patience is how
	// long after the wait the answer may begin.
	Watch(ctx context.Context, since uint64, wait, patience time.Duration) (Batch[T], error)
}

// Mirror is the copy of one collection. It is not safe for concurrent use.
type Mirror[T any] struct {
	items map[string]Item[T]
	at    uint64
	// newest is the version of the newest change that was taken in.
	newest uint64
	known  bool
	// history holds the last changes, oldest first, with the version of each; it
	// is complete after the version floor.
	history []change[T]
	floor   uint64
}

// change is one change with its version: the revision of the item, or for a
// removal the revision at which it was told.
type change[T any] struct {
	item    Item[T]
	version uint64
}

// historySize bounds the changes that are kept for Since. In a fleet of 3,000 servers some
// hundred change in a second, and who lacks more than is kept has to be told everything.
const historySize = 4096

// NewMirror returns an empty mirror.
func NewMirror[T any]() *Mirror[T] { return &Mirror[T]{items: map[string]Item[T]{}} }

// At returns the revision up to which the mirror is complete.
func (m *Mirror[T]) At() uint64 { return m.at }

// Newest returns the version of the newest change that was taken in. Unlike At it
// does not move without a change.
func (m *Mirror[T]) Newest() uint64 { return m.newest }

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
func (m *Mirror[T]) Replace(batch Batch[T]) []Item[T] {
	if m.known && batch.At < m.at {
		return nil
	}
	listed := make(map[string]bool, len(batch.Items))
	first := !m.known
	changed := m.apply(batch)
	for _, item := range batch.Items {
		listed[item.Name] = true
	}
	for name, item := range m.items {
		if !listed[name] && item.Revision <= batch.At {
			delete(m.items, name)
			gone := Item[T]{Name: name, Revision: batch.At, Gone: true}
			m.note(gone, batch.At)
			changed = append(changed, gone)
		}
	}
	if first {
		// What came before the first list is not known here.
		m.history, m.floor = nil, m.newest
	}
	m.at = batch.At
	m.known = true
	return changed
}

// Apply takes in changes and returns those that were news.
func (m *Mirror[T]) Apply(batch Batch[T]) []Item[T] {
	changed := m.apply(batch)
	m.at = max(m.at, batch.At)
	return changed
}

// Since returns the changes after a version, or false if some are not kept.
func (m *Mirror[T]) Since(version uint64) ([]Item[T], bool) {
	if !m.known || version < m.floor {
		return nil, false
	}
	var items []Item[T]
	for _, change := range m.history {
		if change.version > version {
			items = append(items, change.item)
		}
	}
	return items, true
}

func (m *Mirror[T]) note(item Item[T], version uint64) {
	m.newest = max(m.newest, version)
	if len(m.history) == historySize {
		m.floor = max(m.floor, m.history[0].version)
		m.history = m.history[1:]
	}
	m.history = append(m.history, change[T]{item: item, version: version})
}

func (m *Mirror[T]) apply(batch Batch[T]) []Item[T] {
	var changed []Item[T]
	for _, item := range batch.Items {
		held, found := m.items[item.Name]
		if found && item.Revision < held.Revision || found && !item.Gone && item.Revision == held.Revision {
			continue
		}
		if item.Gone {
			if !found {
				continue
			}
			delete(m.items, item.Name)
			item.Revision = max(item.Revision, batch.At)
		} else {
			m.items[item.Name] = item
		}
		m.note(item, item.Revision)
		changed = append(changed, item)
	}
	return changed
}
