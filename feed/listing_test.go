package feed_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
)

// pages is a Source of three pages with one item each. It turns calls away by their number, and
// counts how often it is asked for each page.
type pages struct {
	turnedAway map[int]bool
	calls      int
	asked      map[string]int
	freshness  []feed.Freshness
}

func (p *pages) ListPage(_ context.Context, after string, freshness feed.Freshness) (feed.Page[int], error) {
	p.calls++
	p.asked[after]++
	p.freshness = append(p.freshness, freshness)
	if p.turnedAway[p.calls] {
		return feed.Page[int]{}, feed.ErrUnavailable.New("over the rate")
	}
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	item := feed.Item[int]{Name: fmt.Sprint("after-", after), Place: history.At(0, uint64(p.calls))}
	return feed.Page[int]{Batch: feed.Batch[int]{Items: []feed.Item[int]{item}, At: history.At(0, uint64(100+p.calls))}, Next: next}, nil
}

func (p *pages) Watch(context.Context, history.Place, time.Duration, time.Duration) (feed.Batch[int], error) {
	return feed.Batch[int]{}, nil
}

// TestListGoesOnAtThePageThatFailed has the second and the third page turned away once each.
func TestListGoesOnAtThePageThatFailed(t *testing.T) {
	source := &pages{turnedAway: map[int]bool{2: true, 4: true}, asked: map[string]int{}}
	var listing feed.Listing[int]
	for attempt := range 2 {
		if _, err := listing.List(context.Background(), source, feed.Newest); !feed.ErrUnavailable.Has(err) {
			t.Fatalf("attempt %d: error %v", attempt, err)
		}
	}
	listed, err := listing.List(context.Background(), source, feed.Newest)
	if err != nil || len(listed.Items) != 3 || listed.At.Revision != 101 {
		t.Fatalf("%d items at %v, error %v", len(listed.Items), listed.At, err)
	}
	if source.asked[""] != 1 || source.asked["a"] != 2 || source.asked["b"] != 2 {
		t.Errorf("asked %v", source.asked)
	}
	if again, err := listing.List(context.Background(), source, feed.Newest); err != nil || len(again.Items) != 3 || source.asked[""] != 2 {
		t.Errorf("the next list has %d items, error %v, asked %v", len(again.Items), err, source.asked)
	}
}

// TestOldListBeginsAnew covers a page that fails for so long that the changes since the first one
// may be forgotten.
func TestOldListBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &pages{turnedAway: map[int]bool{2: true}, asked: map[string]int{}}
		var listing feed.Listing[int]
		if _, err := listing.List(context.Background(), source, feed.Newest); err == nil {
			t.Fatal("no error")
		}
		time.Sleep(11 * time.Second)
		listed, err := listing.List(context.Background(), source, feed.Newest)
		if err != nil || len(listed.Items) != 3 || source.asked[""] != 2 || listed.At.Revision != 103 {
			t.Errorf("%d items at %v, error %v, asked %v", len(listed.Items), listed.At, err, source.asked)
		}
	})
}

// TestListOfOneFreshness has a list that may lag fail at its second page: one that has to be new
// takes none of its pages.
func TestListOfOneFreshness(t *testing.T) {
	source := &pages{turnedAway: map[int]bool{2: true}, asked: map[string]int{}}
	var listing feed.Listing[int]
	if _, err := listing.List(context.Background(), source, feed.MayLag); err == nil {
		t.Fatal("no error")
	}
	listed, err := listing.List(context.Background(), source, feed.Newest)
	want := []feed.Freshness{feed.MayLag, feed.MayLag, feed.Newest, feed.Newest, feed.Newest}
	if err != nil || len(listed.Items) != 3 || !slices.Equal(source.freshness, want) {
		t.Errorf("%d items, error %v, asked with %v", len(listed.Items), err, source.freshness)
	}
}
