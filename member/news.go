package member

import "math/bits"

// retransmitFactor times log2 of the group size is how often one piece of news
// is sent before it is dropped. The SWIM paper uses a small constant; 3 lets
// news reach all of a group with high probability.
const retransmitFactor = 3

// newsQueue hands out urgent news first, and of news of the same urgency what was not
// sent yet before what was. Each step takes the same time however much waits: after a
// common start every member of a large group is news.
type newsQueue[T any] struct {
	byName map[string]*newsItem[T]
	urgent newsLane[T]
	usual  newsLane[T]
}

type newsItem[T any] struct {
	name   string
	value  T
	urgent bool
	sent   int
	// replaced items stay in their queue until they come up.
	replaced bool
}

// newsLane holds the news of one urgency.
type newsLane[T any] struct {
	fresh, repeated fifo[*newsItem[T]]
}

// takeFrom moves items of a queue to those taken until there are so many, without those that were replaced.
func takeFrom[T any](queue *fifo[*newsItem[T]], taken []*newsItem[T], count int) []*newsItem[T] {
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
func (q *newsQueue[T]) add(name string, value T, urgent bool) {
	if q.byName == nil {
		q.byName = map[string]*newsItem[T]{}
	}
	if known := q.byName[name]; known != nil {
		known.replaced = true
	}
	item := &newsItem[T]{name: name, value: value, urgent: urgent}
	q.byName[name] = item
	q.lane(item).fresh.push(item)
}

func (q *newsQueue[T]) lane(item *newsItem[T]) *newsLane[T] {
	if item.urgent {
		return &q.urgent
	}
	return &q.usual
}

// unsent reports whether there is urgent news that was sent fewer times than a limit.
func (q *newsQueue[T]) unsent(limit int) bool {
	due := func(item *newsItem[T]) bool { return !item.replaced && item.sent < limit }
	return q.urgent.fresh.contains(due) || q.urgent.repeated.contains(due)
}

// take returns up to count pieces of news and drops those sent often enough.
func (q *newsQueue[T]) take(count, groupSize int) []T {
	if len(q.byName) == 0 {
		return nil
	}
	var taken []*newsItem[T]
	for _, lane := range []*newsLane[T]{&q.urgent, &q.usual} {
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
func (q *newsQueue[T]) dropUsual() {
	for name, item := range q.byName {
		if !item.urgent {
			delete(q.byName, name)
		}
	}
	q.usual = newsLane[T]{}
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
