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

// pagedSource is a Source of three pages with one item each. It rejects calls by their number, and counts the
// requests for each page.
type pagedSource struct {
	rejected  map[int]bool
	calls     int
	requests  map[string]int
	freshness []feed.Freshness
}

func (p *pagedSource) ListPage(_ context.Context, after string, freshness feed.Freshness) (feed.Page[int], error) {
	p.calls++
	p.requests[after]++
	p.freshness = append(p.freshness, freshness)
	if p.rejected[p.calls] {
		return feed.Page[int]{}, feed.ErrUnavailable.New("over the rate")
	}
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	item := feed.Item[int]{Name: fmt.Sprint("after-", after), Place: history.At(0, uint64(p.calls))}
	return feed.Page[int]{Batch: feed.Batch[int]{Items: []feed.Item[int]{item}, At: history.At(0, uint64(100+p.calls))}, Next: next}, nil
}

func (p *pagedSource) Watch(context.Context, history.Place, time.Duration, time.Duration) (feed.Batch[int], error) {
	return feed.Batch[int]{}, nil
}

// TestListGoesOnAtThePageThatFailed has the second and the third page rejected once each.
func TestListGoesOnAtThePageThatFailed(t *testing.T) {
	source := &pagedSource{rejected: map[int]bool{2: true, 4: true}, requests: map[string]int{}}
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
	if source.requests[""] != 1 || source.requests["a"] != 2 || source.requests["b"] != 2 {
		t.Errorf("requests %v", source.requests)
	}
	if again, err := listing.List(context.Background(), source, feed.Newest); err != nil || len(again.Items) != 3 || source.requests[""] != 2 {
		t.Errorf("the next list has %d items, error %v, requests %v", len(again.Items), err, source.requests)
	}
}

// TestOldListBeginsAnew covers a page that fails for so long that the store may no longer keep the changes since
// the first page.
func TestOldListBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &pagedSource{rejected: map[int]bool{2: true}, requests: map[string]int{}}
		var listing feed.Listing[int]
		if _, err := listing.List(context.Background(), source, feed.Newest); err == nil {
			t.Fatal("no error")
		}
		time.Sleep(11 * time.Second)
		listed, err := listing.List(context.Background(), source, feed.Newest)
		if err != nil || len(listed.Items) != 3 || source.requests[""] != 2 || listed.At.Revision != 103 {
			t.Errorf("%d items at %v, error %v, requests %v", len(listed.Items), listed.At, err, source.requests)
		}
	})
}

// TestListOfOneFreshness has a stale list fail at its second page. A list with freshness Newest must not reuse its
// pages.
func TestListOfOneFreshness(t *testing.T) {
	source := &pagedSource{rejected: map[int]bool{2: true}, requests: map[string]int{}}
	var listing feed.Listing[int]
	if _, err := listing.List(context.Background(), source, feed.MayLag); err == nil {
		t.Fatal("no error")
	}
	listed, err := listing.List(context.Background(), source, feed.Newest)
	want := []feed.Freshness{feed.MayLag, feed.MayLag, feed.Newest, feed.Newest, feed.Newest}
	if err != nil || len(listed.Items) != 3 || !slices.Equal(source.freshness, want) {
		t.Errorf("%d items, error %v, requested with %v", len(listed.Items), err, source.freshness)
	}
}
