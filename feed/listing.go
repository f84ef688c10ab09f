package feed

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// Page is a part of a list.
type Page[T any] struct {
	Batch[T]
	// Next is where the next page begins; it is empty after the last page.
	Next string
}

// Listing assembles a list from its pages. After a failed page it resumes at that page. When many daemons list a
// large collection at once, a store that limits its rate rejects some page of each of them. No daemon would
// complete a list that it restarts from the first page.
type Listing[T any] struct {
	batch     Batch[T]
	next      string
	startedAt time.Time
	// freshness is that of the list in progress.
	freshness Freshness
}

// listingTTL is the maximum age of the first page when a list is resumed. Changes since then arrive through the
// watch that follows, so it is well below the 20 s for which stores keep their history.
const listingTTL = 10 * time.Second

// List returns the complete list, or the error of the page that failed. A list that was started with another
// freshness is restarted.
func (l *Listing[T]) List(ctx context.Context, source Source[T], freshness Freshness) (Batch[T], error) {
	if time.Since(l.startedAt) > listingTTL || l.freshness != freshness {
		*l = Listing[T]{startedAt: time.Now(), freshness: freshness}
	}
	for {
		page, err := source.ListPage(ctx, l.next, freshness)
		if err != nil {
			return Batch[T]{}, err
		}
		if l.batch.At.IsZero() {
			// Later pages may be newer; the changes that they miss arrive through the watch.
			l.batch.At = page.At
		}
		if page.At.Era != l.batch.At.Era {
			// The earlier pages were read before the store was restored, and are obsolete.
			*l = Listing[T]{}
			return Batch[T]{}, ErrHistoryGone.New("store restored from a backup between two pages of the list")
		}
		l.batch.Items = append(l.batch.Items, page.Items...)
		l.batch.ListedUntil = history.Newer(l.batch.ListedUntil, page.At)
		l.next = page.Next
		if l.next == "" {
			complete := l.batch
			*l = Listing[T]{}
			return complete, nil
		}
	}
}
