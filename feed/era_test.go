package feed_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

func itemOf(era, revision uint64, name, value string) feed.Item[string] {
	return feed.Item[string]{Name: name, Place: history.At(era, revision), Value: value}
}

func batchOf(era, at uint64, items ...feed.Item[string]) feed.Batch[string] {
	return feed.Batch[string]{At: history.At(era, at), Items: items}
}

// values returns the items of a mirror as name=value, sorted.
func values(mirror *feed.Mirror[string]) []string {
	var current []string
	for _, item := range mirror.Items() {
		current = append(current, item.Name+"="+item.Value)
	}
	slices.Sort(current)
	return current
}

// TestMirrorAcrossEras covers a store that is restored from an earlier copy.
func TestMirrorAcrossEras(t *testing.T) {
	mirror := feed.NewMirror[string]()
	mirror.Replace(batchOf(1, 95, itemOf(1, 90, "a", "ready"), itemOf(1, 93, "b", "ready")))
	if changed := mirror.Apply(batchOf(2, 81, itemOf(2, 81, "a", "leaving"))); len(changed) != 0 {
		t.Fatalf("changes of an era without a list are applied: %v", changed)
	}
	mirror.Replace(batchOf(2, 80, itemOf(2, 70, "a", "old")))
	if got := values(mirror); !slices.Equal(got, []string{"a=old", "b=ready"}) || mirror.At() != history.At(2, 80) {
		t.Fatalf("after the first list of an era: %v at %v", got, mirror.At())
	}
	if _, kept := mirror.Since(history.At(1, 93)); kept {
		t.Error("changes since a place of the previous era are returned")
	}
	mirror.Apply(batchOf(2, 81, itemOf(2, 81, "a", "leaving")))
	mirror.Replace(batchOf(1, 99, itemOf(1, 99, "a", "ready")))
	mirror.Apply(batchOf(1, 99, itemOf(1, 99, "a", "ready")))
	if got := values(mirror); !slices.Equal(got, []string{"a=leaving", "b=ready"}) {
		t.Fatalf("list or changes of the previous era are applied: %v", got)
	}
	if !mirror.HasEarlierEra() {
		t.Error("the item that is known only from the previous era is not reported by HasEarlier")
	}
	if gone := mirror.RemoveEarlierEra(); len(gone) != 1 || gone[0].Name != "b" || !gone[0].Gone || mirror.HasEarlierEra() {
		t.Errorf("dropped %v", gone)
	}
	if _, kept := mirror.Since(history.At(2, 79)); kept {
		t.Error("changes since a place before the first list of the era are returned")
	}
	changes, kept := mirror.Since(history.At(2, 80))
	if !kept || len(changes.Items) != 2 {
		t.Errorf("%v since the first list of the era, kept %v", changes, kept)
	}
}

// TestItemThatIsWrittenAgainStays covers an item that the earlier copy lacks and that is written again after the
// restore.
func TestItemThatIsWrittenAgainStays(t *testing.T) {
	mirror := feed.NewMirror[string]()
	mirror.Replace(batchOf(1, 95, itemOf(1, 93, "b", "ready")))
	mirror.Replace(batchOf(2, 80))
	mirror.Apply(batchOf(2, 81, itemOf(2, 81, "b", "ready")))
	if gone := mirror.RemoveEarlierEra(); len(gone) != 0 || len(mirror.Items()) != 1 {
		t.Errorf("dropped %v", gone)
	}
}

// TestListAcrossARestoreBeginsAnew covers a store that is restored from an earlier copy between two pages.
func TestListAcrossARestoreBeginsAnew(t *testing.T) {
	source := &erasSource{eras: []uint64{1, 2, 2, 2}}
	var listing feed.Listing[string]
	if _, err := listing.List(context.Background(), source, feed.Newest); !feed.ErrHistoryGone.Has(err) {
		t.Fatalf("a list with pages of two eras: %v", err)
	}
	listed, err := listing.List(context.Background(), source, feed.Newest)
	if err != nil || len(listed.Items) != 2 || listed.At.Era != 2 {
		t.Errorf("%d items at %v, %v", len(listed.Items), listed.At, err)
	}
}

// erasSource has two pages of one item each, and returns each page in the next of its eras.
type erasSource struct {
	feed.Source[string]
	eras []uint64
}

func (s *erasSource) ListPage(_ context.Context, after string, _ feed.Freshness) (feed.Page[string], error) {
	era := s.eras[0]
	s.eras = s.eras[1:]
	page := feed.Page[string]{Batch: batchOf(era, 50, itemOf(era, 40, fmt.Sprint("after-", after), "x"))}
	if after == "" {
		page.Next = "first"
	}
	return page, nil
}

// restorableStore is the oracle: a store with a history that may be restored to any earlier state of its era.
type restorableStore struct {
	at    history.Place
	items map[string]feed.Item[string]
	// states are the earlier states of this era, by revision.
	states []savedState
}

type savedState struct {
	revision uint64
	items    map[string]feed.Item[string]
}

func (s *restorableStore) write(name, value string) feed.Item[string] {
	s.states = append(s.states, savedState{s.at.Revision, copyOf(s.items)})
	s.at.Revision++
	item := feed.Item[string]{Name: name, Place: s.at, Value: value, Gone: value == ""}
	if item.Gone {
		delete(s.items, name)
	} else {
		s.items[name] = item
	}
	return item
}

func (s *restorableStore) restore(t *rapid.T) {
	if len(s.states) == 0 {
		return
	}
	number := rapid.IntRange(0, len(s.states)-1).Draw(t, "state")
	state := s.states[number]
	s.states = s.states[:number]
	s.at = history.At(s.at.Era+1, state.revision)
	s.items = map[string]feed.Item[string]{}
	for name, item := range state.items {
		// The store returns the items of the earlier copy with its new era.
		item.Place.Era = s.at.Era
		s.items[name] = item
	}
}

func copyOf(items map[string]feed.Item[string]) map[string]feed.Item[string] {
	copied := map[string]feed.Item[string]{}
	for name, item := range items {
		copied[name] = item
	}
	return copied
}

func (s *restorableStore) list() feed.Batch[string] {
	batch := feed.Batch[string]{At: s.at}
	for _, item := range s.items {
		item.Place.Era = s.at.Era
		batch.Items = append(batch.Items, item)
	}
	return batch
}

// TestMirrorsAgreeAfterRestores has mirrors apply lists and changes late and reordered, while the store is
// restored from earlier copies. In the end, after one list, each mirror equals the store. The place of a mirror never
// goes back.
func TestMirrorsAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{at: history.At(1, 0), items: map[string]feed.Item[string]{}}
		mirrors := []*feed.Mirror[string]{feed.NewMirror[string](), feed.NewMirror[string]()}
		var changes, lists []feed.Batch[string]
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			mirror := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")]
			before := mirror.At()
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1, 2:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				value := rapid.SampledFrom([]string{"", "ready", "leaving"}).Draw(t, "value")
				changed := store.write(name, value)
				changes = append(changes, feed.Batch[string]{At: store.at, Items: []feed.Item[string]{changed}})
			case 3:
				store.restore(t)
			case 4:
				lists = append(lists, store.list())
			case 5:
				mirror.Replace(store.list())
			case 6:
				if len(changes) > 0 && mirror.Synced() {
					mirror.Apply(rapid.SampledFrom(changes).Draw(t, "late changes"))
				}
			case 7:
				if len(lists) > 0 {
					mirror.Replace(rapid.SampledFrom(lists).Draw(t, "late list"))
				}
			case 8:
				mirror.RemoveEarlierEra()
			}
			if mirror.At().Before(before) {
				t.Fatalf("went back from %v to %v", before, mirror.At())
			}
		}
		for number, mirror := range mirrors {
			store.write("last", "ready")
			mirror.Replace(store.list())
			mirror.RemoveEarlierEra()
			want := feed.NewMirror[string]()
			want.Replace(store.list())
			if got := values(mirror); !slices.Equal(got, values(want)) || mirror.Newest().After(store.at) {
				t.Fatalf("mirror %d holds %v at %v, the store %v at %v", number, got, mirror.Newest(), values(want), store.at)
			}
		}
	})
}
