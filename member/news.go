package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// retransmitFactor times log2 of the group size is how often one piece of news
// is sent before it is dropped. The SWIM paper uses a small constant; 3 lets
// news reach all of a group with high probability.
const retransmitFactor = 3

// newsQueue hands out urgent news first, and of news of the same urgency the
// least-sent.
type newsQueue[T any] struct {
	items []newsItem[T]
}

type newsItem[T any] struct {
	name   string
	value  T
	urgent bool
	sent   int
}

// add puts news about a name in the queue and replaces older news about it.
func (q *newsQueue[T]) add(name string, value T, urgent bool) {
	q.items = slices.DeleteFunc(q.items, func(item newsItem[T]) bool { return item.name == name })
	q.items = append(q.items, newsItem[T]{name: name, value: value, urgent: urgent})
}

// unsent reports whether there is urgent news that was sent fewer times than a limit.
func (q *newsQueue[T]) unsent(limit int) bool {
	return slices.ContainsFunc(q.items, func(item newsItem[T]) bool { return item.urgent && item.sent < limit })
}

// take returns up to count pieces of news and drops those sent often enough.
func (q *newsQueue[T]) take(count, groupSize int) []T {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, newsItem[T].compare)
	taken := make([]T, 0, min(count, len(q.items)))
	for i := range q.items[:cap(taken)] {
		taken = append(taken, q.items[i].value)
		q.items[i].sent++
	}
	limit := retransmitFactor * (bits.Len(uint(groupSize)) + 1)
	q.items = slices.DeleteFunc(q.items, func(item newsItem[T]) bool { return item.sent >= limit })
	return taken
}

// compare orders items as they are handed out.
func (i newsItem[T]) compare(other newsItem[T]) int {
	if i.urgent != other.urgent {
		if i.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(i.sent, other.sent)
}
