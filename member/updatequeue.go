package member

import "math/bits"

// retransmitFactor times log2 of the group size is how often one update is sent before it is
// dropped. The SWIM paper uses a small constant; with 3, an update reaches the whole group with
// high probability.
const retransmitFactor = 3

// updateQueue holds the updates to piggyback on messages. Urgent updates go first, and at the same
// urgency those that were not sent yet go before those that were. The cost of each operation does
// not depend on the queue's length: when a whole large group starts at once, every member is an
// update.
type updateQueue[T any] struct {
	byName map[string]*queuedUpdate[T]
	urgent updateLane[T]
	normal updateLane[T]
}

type queuedUpdate[T any] struct {
	name   string
	value  T
	urgent bool
	sent   int
	// replaced items stay in their queue until they are popped.
	replaced bool
}

// updateLane holds the updates of one urgency.
type updateLane[T any] struct {
	fresh, repeated fifo[*queuedUpdate[T]]
}

// takeFrom moves items of a queue to taken until that holds count items, and skips replaced ones.
func takeFrom[T any](queue *fifo[*queuedUpdate[T]], taken []*queuedUpdate[T], count int) []*queuedUpdate[T] {
	for len(taken) < count {
		item, found := queue.pop()
		if !found {
			break
		}
		if !item.replaced {
			taken = append(taken, item)
		}
	}
	return taken
}

// add queues an update about a name and replaces an older one about it.
func (q *updateQueue[T]) add(name string, value T, urgent bool) {
	if q.byName == nil {
		q.byName = map[string]*queuedUpdate[T]{}
	}
	if known := q.byName[name]; known != nil {
		known.replaced = true
	}
	item := &queuedUpdate[T]{name: name, value: value, urgent: urgent}
	q.byName[name] = item
	q.lane(item).fresh.push(item)
}

func (q *updateQueue[T]) lane(item *queuedUpdate[T]) *updateLane[T] {
	if item.urgent {
		return &q.urgent
	}
	return &q.normal
}

// urgentPending reports whether an urgent update was sent fewer than limit times.
func (q *updateQueue[T]) urgentPending(limit int) bool {
	due := func(item *queuedUpdate[T]) bool { return !item.replaced && item.sent < limit }
	return q.urgent.fresh.contains(due) || q.urgent.repeated.contains(due)
}

// take returns up to count updates and drops those that were sent often enough.
func (q *updateQueue[T]) take(count, groupSize int) []T {
	if len(q.byName) == 0 {
		return nil
	}
	var taken []*queuedUpdate[T]
	for _, lane := range []*updateLane[T]{&q.urgent, &q.normal} {
		taken = takeFrom(&lane.fresh, taken, count)
		taken = takeFrom(&lane.repeated, taken, count)
	}
	limit := retransmitFactor * (bits.Len(uint(groupSize)) + 1)
	values := make([]T, 0, len(taken))
	for _, item := range taken {
		values = append(values, item.value)
		if item.sent++; item.sent < limit {
			q.lane(item).repeated.push(item)
		} else {
			delete(q.byName, item.name)
		}
	}
	return values
}

// dropNormal drops the updates that are not urgent.
func (q *updateQueue[T]) dropNormal() {
	for name, item := range q.byName {
		if !item.urgent {
			delete(q.byName, name)
		}
	}
	q.normal = updateLane[T]{}
}

type fifo[T any] struct {
	items []T
	first int
}

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

func (f *fifo[T]) contains(wanted func(T) bool) bool {
	for _, item := range f.items[f.first:] {
		if wanted(item) {
			return true
		}
	}
	return false
}

// pop removes the oldest item. The remaining items are copied to a new slice once they are no more
// than those removed.
func (f *fifo[T]) pop() (oldest T, found bool) {
	if f.first == len(f.items) {
		return oldest, false
	}
	oldest = f.items[f.first]
	f.first++
	if 2*f.first >= len(f.items) {
		f.items = append(f.items[:0:0], f.items[f.first:]...)
		f.first = 0
	}
	return oldest, true
}
