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

// End gives every request its final answer now: a refusal if it has not run, a failure if it may have run, and an
// aborted connection only if a part of an answer has been sent.
func (g *Gateway) End() { g.lifetime.End() }

// startBlocked reports whether the request may no longer start.
func (e *exchange) startBlocked() bool { return !e.mayHaveRun && e.gateway.lifetime.Drained() }

// clientLeft reports whether a request's context ended because its client disconnected.
func clientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}
