package gateway

import (
	"context"
	"errors"
	"time"
)

// StoppingRetryAfter is when to come back after a refusal of a daemon that stops: another one
// takes the request at once.
const StoppingRetryAfter = 10 * time.Millisecond

// Drain keeps requests from beginning: each one that no instance may have run is refused
// instead of being sent, those that wait at once. Their clients can be served by another
// daemon, while here they might be cut off by the end of the grace.
func (g *Gateway) Drain() { g.lifetime.Drain() }

// End gives every request its final answer now: a refusal if it has not run, a failure if it may
// have run, and a broken connection only if a part of an answer is out.
func (g *Gateway) End() { g.lifetime.End() }

// drained reports whether the request may no longer begin.
func (e *exchange) drained() bool { return !e.mayHaveRun && e.gateway.lifetime.Drained() }

// clientLeft reports whether a request's context ended because its client left.
func clientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}
