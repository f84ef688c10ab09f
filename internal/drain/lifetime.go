// Package drain holds what a planned stop needs to know of requests: whether they may still
// begin, whether they are still served, and which connections are busy with one.
package drain

import (
	"context"

	"github.com/zeebo/errs"
)

// ErrStopped is the cause with which a daemon that ends ends the contexts of its requests.
var ErrStopped = errs.Class("daemon stopped")

// Lifetime is how far the end of a daemon has come. Both contexts end once and for all.
type Lifetime struct {
	// Starts ends when no request may be sent to a back end for the first time any more.
	Starts context.Context
	// Serving ends when every request gets its final answer.
	Serving    context.Context
	endStarts  context.CancelCauseFunc
	endServing context.CancelCauseFunc
}

// NewLifetime returns the lifetime of a daemon that serves.
func NewLifetime() *Lifetime {
	l := &Lifetime{}
	l.Serving, l.endServing = context.WithCancelCause(context.Background())
	l.Starts, l.endStarts = context.WithCancelCause(l.Serving)
	return l
}

// Drain keeps requests from beginning.
func (l *Lifetime) Drain() { l.endStarts(ErrStopped.New("requests no longer begin")) }

// End ends all requests, also those that have begun.
func (l *Lifetime) End() { l.endServing(ErrStopped.New("the time for requests is over")) }

// Drained reports whether no request may begin any more.
func (l *Lifetime) Drained() bool { return l.Starts.Err() != nil }

// Ended reports whether no request is served any more.
func (l *Lifetime) Ended() bool { return l.Serving.Err() != nil }

// Bind returns a context that also ends when requests are no longer served. The function
// releases it.
func (l *Lifetime) Bind(ctx context.Context) (context.Context, func()) {
	return EndWith(ctx, l.Serving)
}

// EndWith returns a context that also ends with another one, for its cause. The function
// releases it.
func EndWith(ctx, other context.Context) (context.Context, func()) {
	bound, end := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(other, func() { end(context.Cause(other)) })
	return bound, func() {
		unbind()
		end(nil)
	}
}

// Stopped reports whether a request's context ended because its daemon ends.
func Stopped(ctx context.Context) bool { return ErrStopped.Has(context.Cause(ctx)) }
