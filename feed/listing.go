package feed

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// Page is a part of a list.
type Page[T any] struct {
	Batch[T]
	// Next is where the next page begins; it is empty after the last one.
	Next string
}

// Listing puts a list together from its pages. After a page that failed it goes on at that
// page: when many daemons list a large collection at once, a store that limits its rate turns
// some page of each of them away, and none would come to the end of a list that it begins anew.
type Listing[T any] struct {
	batch Batch[T]
	next  string
	begun time.Time
	// freshness is that of the list in progress.
	freshness Freshness
}

// listingSpan is how old the first page may be when a list goes on. Changes since then come by
// the watch that follows, so it is well below the 20 s for which stores keep their history.
const listingSpan = 10 * time.Second

// List returns the whole list, or the error of the page that failed. A list that was begun with
// another freshness begins anew.
func (l *Listing[T]) List(ctx context.Context, source Source[T], freshness Freshness) (Batch[T], error) {
	if time.Since(l.begun) > listingSpan || l.freshness != freshness {
		*l = Listing[T]{begun: time.Now(), freshness: freshness}
	}
	for {
		page, err := source.ListPage(ctx, l.next, freshness)
		if err != nil {
			return Batch[T]{}, err
		}
		if l.batch.At.IsZero() {
			// Later pages may be newer; what they miss comes with the watch.
			l.batch.At = page.At
		}
		if page.At.Era != l.batch.At.Era {
			// The pages before are of a store that is no more.
			*l = Listing[T]{}
			return Batch[T]{}, ErrHistoryGone.New("the store came back from a copy between two pages")
		}
		l.batch.Items = append(l.batch.Items, page.Items...)
		l.batch.Until = history.Newer(l.batch.Until, page.At)
		l.next = page.Next
		if l.next == "" {
			whole := l.batch
			*l = Listing[T]{}
			return whole, nil
		}
	}
}
