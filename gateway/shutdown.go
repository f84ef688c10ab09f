package gateway

import (
	"context"
	"errors"
	"time"
)

// StoppingRetryAfter is the retry delay given to clients that are refused by a stopping daemon. It is short since
// another daemon accepts the request at once.
const StoppingRetryAfter = 10 * time.Millisecond

// Drain stops the start of requests: each one that cannot have run at an instance is refused instead of being sent, and
// waiting ones are refused at once. Their clients can be served by another daemon, while here the end of the grace
// period might cut them off.
func (g *Gateway) Drain() { g.lifetime.Drain() }

// EndsAt says when End will be called. From now on requests whose answers usually need longer than that do not start: their clients can
// be served whole by another daemon.
func (g *Gateway) EndsAt(end time.Time) { g.endsAt.Store(&end) }

// End gives every request its final answer now: a refusal if it has not run, a failure if it may have run, and an
// aborted connection only if a part of an answer has been sent.
func (g *Gateway) End() { g.lifetime.End() }

// startBlocked reports whether the request may no longer start.
func (e *exchange) startBlocked() bool {
	return !e.mayHaveRun && (e.gateway.lifetime.Drained() || e.endsTooSoon())
}

// endsTooSoon reports whether this daemon stops before an answer on the request's route usually is whole.
func (e *exchange) endsTooSoon() bool {
	end := e.gateway.endsAt.Load()
	return end != nil && e.gateway.answerTimes.usual(e.route.Name) > e.until(*end)
}

// clientLeft reports whether a request's context ended because its client disconnected.
func clientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}
