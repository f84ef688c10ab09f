package member

import "math/bits"

// retransmitFactor times log2 of the group size is how often one piece of news
// is sent before it is dropped. The SWIM paper uses a small constant; 3 lets
// news reach all of a group with high probability.
const retransmitFactor = 3

// newsQueue hands out the least-sent news first.
type newsQueue[T any] struct {
	items []newsItem[T]
}

type newsItem[T any] struct {
	name  string
	value T
	sent  int
}

// add puts news about a name in the queue and replaces older news about it.
func (q *newsQueue[T]) add(name string, value T) {
	for i := range q.items {
		if q.items[i].name == name {
			q.items = append(q.items[:i], q.items[i+1:]...)
			break
		}
	}
	q.items = append(q.items, newsItem[T]{name: name, value: value})
}

// take returns up to count pieces of news and drops those sent often enough.
func (q *newsQueue[T]) take(count, groupSize int) []T {
	if len(q.items) == 0 {
		return nil
	}
	limit := retransmitFactor * (bits.Len(uint(groupSize)) + 1)
	count = min(count, len(q.items))
	taken := make([]T, 0, count)
	for range count {
		least := 0
		for i := range q.items {
			if q.items[i].sent < q.items[least].sent {
				least = i
			}
		}
		item := q.items[least]
		taken = append(taken, item.value)
		item.sent++
		q.items = append(q.items[:least], q.items[least+1:]...)
		if item.sent < limit {
			q.items = append(q.items, item)
		}
	}
	return taken
}
