package caller

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/outcome"
)

// ReasonStopping is the reason of calls that the end of the daemon ended.
const ReasonStopping outcome.Reason = "stopping"

// stoppingRetryAfter is when to come back after a refusal by a daemon that stops: another one
// takes the call at once.
const stoppingRetryAfter = 10 * time.Millisecond

// RefuseStopping is the refusal of a call that has not run by a daemon that stops.
func RefuseStopping() outcome.Result {
	return outcome.Refuse(ReasonStopping, stoppingRetryAfter)
}

// lifetimeKey is where the context of a call holds the lifetime of its server.
type lifetimeKey struct{}

// bind returns a context that also ends when the server ends its calls. The function releases it.
func (s *Server) bind(ctx context.Context) (context.Context, func()) {
	return s.lifetime.Bind(context.WithValue(ctx, lifetimeKey{}, s.lifetime))
}

// WhileItMayBegin returns a context for the waits of a call that no back end was sent: it also
// ends, with drain.ErrStopped, when calls no longer begin. The function releases it.
func WhileItMayBegin(ctx context.Context) (context.Context, func()) {
	if l, ok := ctx.Value(lifetimeKey{}).(*drain.Lifetime); ok {
		return drain.EndWith(ctx, l.Starts)
	}
	return ctx, func() {}
}

// Draining reports whether a call that no back end was sent may no longer begin.
func Draining(ctx context.Context) bool {
	l, ok := ctx.Value(lifetimeKey{}).(*drain.Lifetime)
	return ok && l.Drained()
}

// Drain refuses every call that comes from now on, as not run, and ends the waits of those that
// no back end was sent.
func (s *Server) Drain() { s.lifetime.Drain() }

// End ends all calls now: their contexts end with drain.ErrStopped, and a call that is still being
// read is refused. Who has no byte of an answer gets one that says whether the call may have run;
// a stream that has begun gets an error as its last event.
func (s *Server) End() {
	s.Drain()
	s.lifetime.End()
	s.connections.EndReads()
}

// Idle reports whether no call is being read, served or answered.
func (s *Server) Idle() bool { return s.Active() == 0 && s.connections.Count() == 0 }

// Told returns what is told of a result, to the caller and in the log. What a call waits for takes
// the end of a context for a caller that hung up or a back end that broke; if the daemon ended it,
// neither is true. Ctx is that of the call, or of a wait.
func Told(ctx context.Context, result outcome.Result) outcome.Result {
	if l, ok := ctx.Value(lifetimeKey{}).(*drain.Lifetime); ok && l.Ended() {
		// The end passes on to ctx from another goroutine.
		<-ctx.Done()
	}
	if result.Kind == outcome.Answered || !drain.Stopped(ctx) {
		return result
	}
	switch result.Reason {
	case outcome.ReasonCallerGone, outcome.ReasonBroken, outcome.ReasonConnect, outcome.ReasonKeyUnavailable:
		result.Reason = ReasonStopping
	}
	if result.Kind == outcome.NotRun {
		result.RetryAfter = stoppingRetryAfter
	}
	return result
}
