package feed_test

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
)

// referenceStore is the oracle: all changes ever made, by revision.
type referenceStore struct{ changes []feed.Item[string] }

func (s *referenceStore) write(name, value string) {
	revision := uint64(len(s.changes) + 1)
	s.changes = append(s.changes, feed.Item[string]{Name: name, Place: history.At(0, revision), Value: value, Gone: value == ""})
}

func (s *referenceStore) at() history.Place { return history.At(0, uint64(len(s.changes))) }

// itemsAt returns the items up to a place.
func (s *referenceStore) itemsAt(place history.Place) map[string]feed.Item[string] {
	items := map[string]feed.Item[string]{}
	for _, change := range s.changes[:place.Revision] {
		items[change.Name] = change
		if change.Gone {
			delete(items, change.Name)
		}
	}
	return items
}

// pageNames are the names of the items on each page of a list.
var pageNames = [][]string{{"a", "b"}, {"c", "d"}, {"e"}}

// list reads all pages, and calls between after each of them.
func (s *referenceStore) list(between func()) feed.Batch[string] {
	batch := feed.Batch[string]{At: s.at()}
	for _, page := range pageNames {
		items := s.itemsAt(s.at())
		for _, name := range page {
			if item, found := items[name]; found {
				batch.Items = append(batch.Items, item)
			}
		}
		batch.ListedUntil = s.at()
		between()
	}
	return batch
}

// exchangingMirror receives changes from the store, and from other mirrors in messages that may be late or lost.
type exchangingMirror struct {
	*feed.Mirror[string]
	// watchedAt is the place from which it watches the store.
	watchedAt history.Place
}

// update is a message from one mirror to another: changes, or the full list.
type update struct {
	changes feed.Changes[string]
	kept    bool
}

func (e *exchangingMirror) updateSince(place history.Place) update {
	changes, kept := e.Since(place)
	if !kept {
		changes.Batch = feed.Batch[string]{At: e.At(), ListedUntil: e.ListedUntil(), Items: e.Items()}
	}
	return update{changes, kept}
}

func (e *exchangingMirror) receive(received update) {
	if received.kept {
		e.Merge(received.changes)
	} else {
		e.Replace(received.changes.Batch)
	}
}

// check returns an item that differs from the store's state at the place up to which the mirror is complete. An
// item that has changed since may have its later state.
func (e *exchangingMirror) check(store *referenceStore) (name string, wrong bool) {
	places := map[string]history.Place{}
	for _, item := range e.Items() {
		places[item.Name] = item.Place
	}
	newest := map[string]history.Place{}
	for _, change := range store.changes {
		newest[change.Name] = change.Place
	}
	complete := store.itemsAt(e.At())
	for name := range newest {
		item, exists := complete[name]
		place, found := places[name]
		if changedSince := newest[name].After(e.At()); !changedSince && (found != exists || place != item.Place) {
			return name, true
		}
	}
	return "", false
}

// TestMirrorsThatTellEachOtherKnowAllUpToTheirPlace guards against changes and removals that a mirror misses, or
// reverts, after an update of another mirror. It covers lists of several pages during changes, lost history and
// late messages.
func TestMirrorsThatTellEachOtherKnowAllUpToTheirPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &referenceStore{}
		write := func() {
			name := rapid.SampledFrom(slices.Concat(pageNames...)).Draw(t, "name")
			store.write(name, rapid.SampledFrom([]string{"", "ready", "leaving"}).Draw(t, "value"))
		}
		mirrors := make([]*exchangingMirror, 3)
		for i := range mirrors {
			mirrors[i] = &exchangingMirror{Mirror: feed.NewMirror[string]()}
		}
		inFlight := map[int]update{}
		receivers := map[int]*exchangingMirror{}
		for step := range rapid.IntRange(10, 120).Draw(t, "steps") {
			mirror := rapid.SampledFrom(mirrors).Draw(t, "mirror")
			other := rapid.SampledFrom(mirrors).Draw(t, "other")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				write()
			case 3:
				batch := store.list(func() {
					if rapid.Bool().Draw(t, "changes between pages") {
						write()
					}
				})
				mirror.Replace(batch)
				mirror.watchedAt = batch.At
			case 4:
				if mirror.Synced() && !mirror.watchedAt.IsZero() {
					from := mirror.watchedAt.Revision
					last := rapid.Uint64Range(from, store.at().Revision).Draw(t, "answered up to")
					mirror.watchedAt = history.At(0, last)
					mirror.Apply(feed.Batch[string]{At: mirror.watchedAt, Items: slices.Clone(store.changes[from:last])})
				}
			case 5, 6:
				if other.Synced() && other.Newest().After(mirror.At()) {
					inFlight[step], receivers[step] = other.updateSince(mirror.At()), mirror
				}
			case 7:
				if len(inFlight) > 0 {
					number := rapid.SampledFrom(slices.Sorted(maps.Keys(inFlight))).Draw(t, "message")
					receivers[number].receive(inFlight[number])
					delete(inFlight, number)
				}
			}
			for number, mirror := range mirrors {
				if name, wrong := mirror.check(store); wrong {
					t.Fatalf("mirror %d is complete up to %v, but item %s is wrong: %v", number, mirror.At(), name, mirror.Items())
				}
			}
		}
	})
}
