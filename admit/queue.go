// Package admit decides whether a request may start now, waits, or is refused.
//
// Queue holds the state for one model and does no I/O; Gate makes it usable
// from many goroutines. A request that cannot make its deadline is refused at
// once with the time to come back. Waiting requests are served by the time
// they came plus a handicap for their priority, so a free request waits behind
// newer urgent ones, but only for so long.
package admit

import (
	"container/heap"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/outcome"
)

// Settings of a queue.
type Settings struct {
	// MaxWaiting bounds the requests that wait.
	MaxWaiting int
	// Handicap is how much later than its arrival a request counts for each
	// step of priority. A free request overtakes a critical one that came
	// twice this time after it.
	Handicap time.Duration
}

// DefaultSettings returns the settings used unless an operator changes them.
func DefaultSettings() Settings {
	return Settings{MaxWaiting: 1000, Handicap: 5 * time.Second}
}

// Ticket is one request in the queue.
type Ticket struct {
	Priority api.Priority
	// Deadline is when the answer must have begun; zero means none.
	Deadline time.Time

	rank     time.Time
	position int
	// verdict receives the end of the wait in a Gate.
	verdict chan Verdict
}

// Verdict is the answer to a request to start.
type Verdict struct {
	Admitted bool
	// Queued says that the ticket waits; a later call tells how it ends.
	Queued bool
	// Refusal is set if neither holds.
	Refusal outcome.Result
}

// Queue is the state for one model. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	limit    int
	running  int
	waiting  ticketHeap
	// serviceTime is the average time that a request holds its place.
	serviceTime time.Duration
}

// NewQueue returns a queue that lets limit requests run at once.
func NewQueue(settings Settings, limit int) *Queue {
	return &Queue{settings: settings, limit: limit}
}

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// SetLimit changes how many requests may run and returns those that start.
func (q *Queue) SetLimit(now time.Time, limit int) (started, expired []*Ticket) {
	q.limit = limit
	return q.startWaiting(now)
}

// Arrive decides about a new request.
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
	ticket.rank = now.Add(time.Duration(ticket.Priority) * q.settings.Handicap)
	heap.Push(&q.waiting, ticket)
	return Verdict{Queued: true}
}

// minimumRetryAfter is the least time that a refused caller is told to wait.
const minimumRetryAfter = 100 * time.Millisecond

// expectedWait estimates when the request at a position of the queue starts.
func (q *Queue) expectedWait(position int) time.Duration {
	if q.limit == 0 {
		return time.Second
	}
	wait := q.serviceTime * time.Duration(position) / time.Duration(q.limit)
	return max(wait, minimumRetryAfter)
}

// Leave takes a waiting ticket out, such as when its caller hung up.
func (q *Queue) Leave(ticket *Ticket) bool {
	if ticket.position >= len(q.waiting) || q.waiting[ticket.position] != ticket {
		return false
	}
	heap.Remove(&q.waiting, ticket.position)
	return true
}

// serviceTimeShare is the weight of a new sample in the average.
const serviceTimeShare = 8

// End notes that an admitted request has ended after holding its place for a
// time, and returns those that start and those that can no longer make it.
func (q *Queue) End(now time.Time, held time.Duration) (started, expired []*Ticket) {
	q.running--
	if q.serviceTime == 0 {
		q.serviceTime = held
	}
	q.serviceTime += (held - q.serviceTime) / serviceTimeShare
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

// Expire takes out the tickets whose deadline has passed.
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

// ticketHeap orders tickets by rank.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].rank.Before(h[j].rank) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(item any) {
	ticket := item.(*Ticket)
	ticket.position = len(*h)
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
