package admit

import (
	"context"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/outcome"
)

// Gate is a Queue for use from many goroutines.
type Gate struct {
	mutex sync.Mutex
	queue *Queue
}

// NewGate returns a gate that lets limit requests run at once.
func NewGate(settings Settings, limit int) *Gate {
	return &Gate{queue: NewQueue(settings, limit)}
}

// Enter waits until the request may start. It returns false and the refusal if
// it may not; otherwise the caller must call Exit once.
func (g *Gate) Enter(ctx context.Context, ticket *Ticket) (outcome.Result, bool) {
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
	left := g.queue.Leave(ticket)
	retryAfter := g.queue.expectedWait(g.queue.Waiting() + 1)
	g.mutex.Unlock()
	if !left {
		// The end of the wait was decided in the meantime.
		return <-ticket.verdict
	}
	return Verdict{Refusal: outcome.Refuse(reason, retryAfter)}
}

// Exit notes that an admitted request has ended.
func (g *Gate) Exit(held time.Duration) {
	g.mutex.Lock()
	started, expired := g.queue.End(time.Now(), held)
	g.mutex.Unlock()
	g.tell(started, expired)
}

// SetLimit changes how many requests may run at once.
func (g *Gate) SetLimit(limit int) {
	g.mutex.Lock()
	started, expired := g.queue.SetLimit(time.Now(), limit)
	g.mutex.Unlock()
	g.tell(started, expired)
}

func (g *Gate) tell(started, expired []*Ticket) {
	for _, ticket := range started {
		ticket.verdict <- Verdict{Admitted: true}
	}
	for _, ticket := range expired {
		ticket.verdict <- Verdict{Refusal: outcome.Refuse(outcome.ReasonDeadline, minimumRetryAfter)}
	}
}

// Requests returns the number of requests in progress and waiting.
func (g *Gate) Requests() (running, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}
