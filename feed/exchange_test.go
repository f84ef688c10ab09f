package feed_test

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
)

// writtenStore is the oracle: all changes ever made, by revision.
type writtenStore struct{ changes []feed.Item[string] }

func (s *writtenStore) write(name, value string) {
	revision := uint64(len(s.changes) + 1)
	s.changes = append(s.changes, feed.Item[string]{Name: name, Place: history.At(0, revision), Value: value, Gone: value == ""})
}

func (s *writtenStore) at() history.Place { return history.At(0, uint64(len(s.changes))) }

// itemsAt are the items up to a place.
func (s *writtenStore) itemsAt(place history.Place) map[string]feed.Item[string] {
	items := map[string]feed.Item[string]{}
	for _, change := range s.changes[:place.Revision] {
		items[change.Name] = change
		if change.Gone {
			delete(items, change.Name)
		}
	}
	return items
}

// pagesOf are names on different pages of a list.
var pagesOf = [][]string{{"a", "b"}, {"c", "d"}, {"e"}}

// list reads all pages, with changes between them.
func (s *writtenStore) list(between func()) feed.Batch[string] {
	batch := feed.Batch[string]{At: s.at()}
	for _, page := range pagesOf {
		items := s.itemsAt(s.at())
		for _, name := range page {
			if item, found := items[name]; found {
				batch.Items = append(batch.Items, item)
			}
		}
		batch.Until = s.at()
		between()
	}
	return batch
}

// exchanging is a mirror that is told of changes by the store, and by others in messages that may be late or lost.
type exchanging struct {
	*feed.Mirror[string]
	// watchedAt is the place from which it watches the store.
	watchedAt history.Place
}

// answer is what one mirror tells another: changes, or everything.
type answer struct {
	changes feed.Changes[string]
	kept    bool
}

func (e *exchanging) answerSince(place history.Place) answer {
	changes, kept := e.Since(place)
	if !kept {
		changes.Batch = feed.Batch[string]{At: e.At(), Until: e.Until(), Items: e.Items()}
	}
	return answer{changes, kept}
}

func (e *exchanging) takeIn(told answer) {
	if told.kept {
		e.Merge(told.changes)
	} else {
		e.Replace(told.changes.Batch)
	}
}

// check reports an item that is not as the store had it at the place up to which the mirror says that it is complete.
// One that was changed again since may be known as it is now.
func (e *exchanging) check(store *writtenStore) (name string, wrong bool) {
	held := map[string]history.Place{}
	for _, item := range e.Items() {
		held[item.Name] = item.Place
	}
	newest := map[string]history.Place{}
	for _, change := range store.changes {
		newest[change.Name] = change.Place
	}
	complete := store.itemsAt(e.At())
	for name := range newest {
		item, exists := complete[name]
		place, found := held[name]
		if changedSince := newest[name].After(e.At()); !changedSince && (found != exists || place != item.Place) {
			return name, true
		}
	}
	return "", false
}

// TestMirrorsThatTellEachOtherKnowAllUpToTheirPlace guards against changes and removals that a mirror never hears of, or
// takes back, as another one tells it: with lists of several pages during changes, lost history and late messages.
func TestMirrorsThatTellEachOtherKnowAllUpToTheirPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &writtenStore{}
		write := func() {
			name := rapid.SampledFrom(slices.Concat(pagesOf...)).Draw(t, "name")
			store.write(name, rapid.SampledFrom([]string{"", "ready", "leaving"}).Draw(t, "value"))
		}
		mirrors := make([]*exchanging, 3)
		for i := range mirrors {
			mirrors[i] = &exchanging{Mirror: feed.NewMirror[string]()}
		}
		under := map[int]answer{}
		to := map[int]*exchanging{}
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
				if mirror.Known() && !mirror.watchedAt.IsZero() {
					from := mirror.watchedAt.Revision
					through := rapid.Uint64Range(from, store.at().Revision).Draw(t, "answered up to")
					mirror.watchedAt = history.At(0, through)
					mirror.Apply(feed.Batch[string]{At: mirror.watchedAt, Items: slices.Clone(store.changes[from:through])})
				}
			case 5, 6:
				if other.Known() && other.Newest().After(mirror.At()) {
					under[step], to[step] = other.answerSince(mirror.At()), mirror
				}
			case 7:
				if len(under) > 0 {
					number := rapid.SampledFrom(slices.Sorted(maps.Keys(under))).Draw(t, "message")
					to[number].takeIn(under[number])
					delete(under, number)
				}
			}
			for number, mirror := range mirrors {
				if name, wrong := mirror.check(store); wrong {
					t.Fatalf("mirror %d is complete up to %v, but not as to %s: %v", number, mirror.At(), name, mirror.Items())
				}
			}
		}
	})
}
