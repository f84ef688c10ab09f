// Package admit implements admission control: a request is admitted, queued or
// refused.
//
// Queue holds the state for one model and does no I/O; Gate makes it safe for
// concurrent use. A request that is not expected to meet its deadline is refused
// immediately, with a time to retry after. Waiting requests are ordered by their
// arrival time plus a handicap for their priority. A free request thus waits
// behind later urgent ones, but only for a bounded time.
package admit

import (
	"container/heap"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/outcome"
)

// Settings of a queue.
type Settings struct {
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// Handicap is added to the arrival time of a request for each step of
	// priority. A free request is served before a critical one that arrived
	// more than twice this time later.
	Handicap time.Duration
}

// DefaultSettings returns the default settings, which an operator can override.
func DefaultSettings() Settings {
	return Settings{MaxWaiting: 1000, Handicap: 5 * time.Second}
}

// Ticket is one request in the queue.
type Ticket struct {
	Priority api.Priority
	// Deadline is the time by which the answer must begin; zero means no deadline.
	Deadline time.Time

	// effectiveArrival is the arrival time plus the handicap for the priority.
	effectiveArrival time.Time
	// heapIndex is the index of the ticket in the heap of waiting tickets.
	heapIndex int
	// verdict receives the result of the wait in a Gate.
	verdict chan Verdict
}

// Verdict is an admission decision.
type Verdict struct {
	Admitted bool
	// Queued means that the ticket waits. A later call of Finish, SetLimit or Expire returns it
	// when its wait has ended.
	Queued bool
	// Refusal is set if the request is neither admitted nor queued.
	Refusal outcome.Result
}

// Queue is the state for one model. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	limit    int
	running  int
	waiting  ticketHeap
	// serviceTime is the moving average of the time that a request holds its slot.
	serviceTime time.Duration
}

// NewQueue returns a queue that admits up to limit concurrent requests.
func NewQueue(settings Settings, limit int) *Queue {
	return &Queue{settings: settings, limit: limit}
}

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// SetLimit changes the maximum number of running requests. It returns the waiting
// tickets that start and those whose deadline has passed.
func (q *Queue) SetLimit(now time.Time, limit int) (started, expired []*Ticket) {
	q.limit = limit
	return q.startWaiting(now)
}

// Arrive admits, queues or refuses a new request.
func (q *Queue) Arrive(now time.Time, ticket *Ticket) Verdict {
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return Verdict{Admitted: true}
	}
	wait := q.expectedWait(len(q.waiting) + 1)
	if len(q.waiting) >= q.settings.MaxWaiting {
		return Verdict{Refusal: outcome.Refuse(outcome.ReasonQueueFull, wait)}
	}
	if !ticket.Deadline.IsZero() && now.Add(wait).After(ticket.Deadline) {
		return Verdict{Refusal: outcome.Refuse(outcome.ReasonDeadline, wait)}
	}
	ticket.effectiveArrival = now.Add(time.Duration(ticket.Priority) * q.settings.Handicap)
	heap.Push(&q.waiting, ticket)
	return Verdict{Queued: true}
}

// minRetryAfter is the minimum retry-after time of a refusal.
const minRetryAfter = 100 * time.Millisecond

// expectedWait estimates the wait of the request at a position in the queue; positions start at 1.
func (q *Queue) expectedWait(position int) time.Duration {
	if q.limit == 0 {
		return time.Second
	}
	wait := q.serviceTime * time.Duration(position) / time.Duration(q.limit)
	return max(wait, minRetryAfter)
}

// Leave removes a waiting ticket, for example because its caller disconnected. It
// returns false if the ticket does not wait.
func (q *Queue) Leave(ticket *Ticket) bool {
	if ticket.heapIndex >= len(q.waiting) || q.waiting[ticket.heapIndex] != ticket {
		return false
	}
	heap.Remove(&q.waiting, ticket.heapIndex)
	return true
}

// serviceTimeDivisor is the inverse of a new sample's weight in the moving average.
const serviceTimeDivisor = 8

// Finish records that an admitted request has ended after it held its slot for the
// given time. It returns the waiting tickets that start and those whose deadline
// has passed.
func (q *Queue) Finish(now time.Time, held time.Duration) (started, expired []*Ticket) {
	q.running--
	if q.serviceTime == 0 {
		q.serviceTime = held
	}
	q.serviceTime += (held - q.serviceTime) / serviceTimeDivisor
	return q.startWaiting(now)
}

func (q *Queue) startWaiting(now time.Time) (started, expired []*Ticket) {
	for q.running < q.limit && len(q.waiting) > 0 {
		ticket := heap.Pop(&q.waiting).(*Ticket)
		if !ticket.Deadline.IsZero() && !now.Before(ticket.Deadline) {
			expired = append(expired, ticket)
			continue
		}
		q.running++
		started = append(started, ticket)
	}
	return started, expired
}

// Expire removes and returns the waiting tickets whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for i := 0; i < len(q.waiting); {
		ticket := q.waiting[i]
		if ticket.Deadline.IsZero() || now.Before(ticket.Deadline) {
			i++
			continue
		}
		heap.Remove(&q.waiting, i)
		expired = append(expired, ticket)
		i = 0
	}
	return expired
}

// ticketHeap orders tickets by their effective arrival time.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].effectiveArrival.Before(h[j].effectiveArrival) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(item any) {
	ticket := item.(*Ticket)
	ticket.heapIndex = len(*h)
	*h = append(*h, ticket)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
