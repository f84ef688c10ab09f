package member

import "math/bits"

// retransmitFactor times log2 of the group size is how often one piece of news
// is sent before it is dropped. The SWIM paper uses a small constant; 3 lets
// news reach all of a group with high probability.
const retransmitFactor = 3

// newsQueue hands out urgent news first, and of news of the same urgency what was not
// sent yet before what was. Each step takes the same time however much waits: after a
// common start every member of a large group is news.
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
	// replaced items stay in their queue until they come up.
	replaced bool
}

// newsLane holds the news of one urgency.
type updateLane[T any] struct {
	fresh, repeated fifo[*queuedUpdate[T]]
}

// takeFrom moves items of a queue to those taken until there are so many, without those that were replaced.
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

// add puts news about a name in the queue and replaces older news about it.
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

// unsent reports whether there is urgent news that was sent fewer times than a limit.
func (q *updateQueue[T]) urgentPending(limit int) bool {
	due := func(item *queuedUpdate[T]) bool { return !item.replaced && item.sent < limit }
	return q.urgent.fresh.contains(due) || q.urgent.repeated.contains(due)
}

// take returns up to count pieces of news and drops those sent often enough.
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

// dropUsual drops the news that is not urgent.
func (q *updateQueue[T]) dropNormal() {
	for name, item := range q.byName {
		if !item.urgent {
			delete(q.byName, name)
		}
	}
	q.normal = updateLane[T]{}
}

// fifo is a queue.
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

// pop removes the oldest item. The items behind it move up once they are fewer than those that were removed.
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
