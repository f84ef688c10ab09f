package admit

import (
	"context"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/outcome"
)

// Gate is a Queue that is safe for concurrent use and blocks callers while they wait.
type Gate struct {
	mutex sync.Mutex
	queue *Queue
}

// NewGate returns a gate that admits up to limit concurrent requests.
func NewGate(settings Settings, limit int) *Gate {
	return &Gate{queue: NewQueue(settings, limit)}
}

// Acquire waits until the request is admitted. It returns true if so, and the
// caller must then call Release once. Otherwise it returns false and the refusal.
func (g *Gate) Acquire(ctx context.Context, ticket *Ticket) (outcome.Result, bool) {
	ticket.verdict = make(chan Verdict, 1)
	g.mutex.Lock()
	verdict := g.queue.Arrive(time.Now(), ticket)
	g.mutex.Unlock()
	if verdict.Queued {
		verdict = g.wait(ctx, ticket)
	}
	return verdict.Refusal, verdict.Admitted
}

func (g *Gate) wait(ctx context.Context, ticket *Ticket) Verdict {
	var deadline <-chan time.Time
	if !ticket.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(ticket.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	reason := outcome.ReasonDeadline
	select {
	case verdict := <-ticket.verdict:
		return verdict
	case <-deadline:
	case <-ctx.Done():
		reason = outcome.ReasonCallerGone
	}
	g.mutex.Lock()
	removed := g.queue.Leave(ticket)
	retryAfter := g.queue.expectedWait(g.queue.Waiting() + 1)
	g.mutex.Unlock()
	if !removed {
		// Another goroutine has admitted or refused the ticket meanwhile.
		return <-ticket.verdict
	}
	return Verdict{Refusal: outcome.Refuse(reason, retryAfter)}
}

// Release releases the slot of an admitted request, which held it for the given time.
func (g *Gate) Release(held time.Duration) {
	g.mutex.Lock()
	started, expired := g.queue.Finish(time.Now(), held)
	g.mutex.Unlock()
	g.deliver(started, expired)
}

// SetLimit changes the maximum number of concurrent requests.
func (g *Gate) SetLimit(limit int) {
	g.mutex.Lock()
	started, expired := g.queue.SetLimit(time.Now(), limit)
	g.mutex.Unlock()
	g.deliver(started, expired)
}

func (g *Gate) deliver(started, expired []*Ticket) {
	for _, ticket := range started {
		ticket.verdict <- Verdict{Admitted: true}
	}
	for _, ticket := range expired {
		ticket.verdict <- Verdict{Refusal: outcome.Refuse(outcome.ReasonDeadline, minRetryAfter)}
	}
}

// Requests returns the numbers of running and waiting requests.
func (g *Gate) Requests() (running, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}
