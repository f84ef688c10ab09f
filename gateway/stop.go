package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// ErrStopped is the cause with which a daemon that ends ends the contexts of its requests.
var ErrStopped = errs.Class("gateway: daemon stopped")

// StoppingRetryAfter is when to come back after a refusal of a daemon that stops: another one
// takes the request at once.
const StoppingRetryAfter = 10 * time.Millisecond

// lifetime is how far the end of a daemon has come. Both contexts end once and for all.
type lifetime struct {
	// starts ends when no request may be sent to an instance for the first time any more.
	starts     context.Context
	endStarts  context.CancelCauseFunc
	serving    context.Context
	endServing context.CancelCauseFunc
}

func newLifetime() lifetime {
	var l lifetime
	l.serving, l.endServing = context.WithCancelCause(context.Background())
	l.starts, l.endStarts = context.WithCancelCause(l.serving)
	return l
}

// bind returns a context that also ends, with ErrStopped, when the daemon serves no longer. The
// function releases it.
func (l *lifetime) bind(ctx context.Context) (context.Context, func()) {
	bound, end := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(l.serving, func() { end(context.Cause(l.serving)) })
	return bound, func() {
		unbind()
		end(nil)
	}
}

// Drain keeps requests from beginning: each one that no instance may have run is refused
// instead of being sent, those that wait at once. Their clients can be served by another
// daemon, while here they might be cut off by the end of the grace.
func (g *Gateway) Drain() {
	g.lifetime.endStarts(ErrStopped.New("requests no longer begin"))
}

// End gives every request its final answer now: a refusal if it has not run, a failure if it may
// have run, and a broken connection only if a part of an answer is out.
func (g *Gateway) End() {
	g.lifetime.endServing(ErrStopped.New("the grace is over"))
}

// drained reports whether the request may no longer begin.
func (e *exchange) drained() bool {
	return !e.mayHaveRun && e.gateway.lifetime.starts.Err() != nil
}

// clientLeft reports whether a request's context ended because its client left.
func clientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

// stopped reports whether a request's context ended because this daemon ends.
func stopped(ctx context.Context) bool { return ErrStopped.Has(context.Cause(ctx)) }
