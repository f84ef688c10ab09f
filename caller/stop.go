package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/outcome"
)

// ErrStopped is the cause with which a daemon that ends ends the contexts of its calls.
var ErrStopped = errs.Class("caller: daemon stopped")

// ReasonStopping is the reason of calls that the end of the daemon ended.
const ReasonStopping outcome.Reason = "stopping"

// stoppingRetryAfter is when to come back after a refusal by a daemon that stops: another one
// takes the call at once.
const stoppingRetryAfter = 10 * time.Millisecond

// RefuseStopping is the refusal of a call that has not run by a daemon that stops.
func RefuseStopping() outcome.Result {
	return outcome.Refuse(ReasonStopping, stoppingRetryAfter)
}

// lifetime is how far the end of a server has come. Both contexts end once and for all.
type lifetime struct {
	// starts ends when no call may be sent to a back end for the first time any more.
	starts     context.Context
	endStarts  context.CancelCauseFunc
	serving    context.Context
	endServing context.CancelCauseFunc
}

// lifetimeKey is where the context of a call holds the lifetime of its server.
type lifetimeKey struct{}

func (l *lifetime) begin() {
	l.serving, l.endServing = context.WithCancelCause(context.Background())
	l.starts, l.endStarts = context.WithCancelCause(l.serving)
}

// bind returns a context that also ends, with ErrStopped, when the server ends its calls. The
// function releases it.
func (l *lifetime) bind(ctx context.Context) (context.Context, func()) {
	return endWith(context.WithValue(ctx, lifetimeKey{}, l), l.serving)
}

// endWith returns a context that also ends with another one, for its cause.
func endWith(ctx, other context.Context) (context.Context, func()) {
	bound, end := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(other, func() { end(context.Cause(other)) })
	return bound, func() {
		unbind()
		end(nil)
	}
}

// WhileItMayBegin returns a context for the waits of a call that no back end was sent: it also
// ends, with ErrStopped, when calls no longer begin. The function releases it.
func WhileItMayBegin(ctx context.Context) (context.Context, func()) {
	if l, ok := ctx.Value(lifetimeKey{}).(*lifetime); ok {
		return endWith(ctx, l.starts)
	}
	return ctx, func() {}
}

// Draining reports whether a call that no back end was sent may no longer begin.
func Draining(ctx context.Context) bool {
	l, ok := ctx.Value(lifetimeKey{}).(*lifetime)
	return ok && l.starts.Err() != nil
}

// Drain refuses every call that comes from now on, as not run, and ends the waits of those that
// no back end was sent.
func (s *Server) Drain() {
	s.lifetime.endStarts(ErrStopped.New("calls no longer begin"))
}

// End ends all calls now: their contexts end with ErrStopped, and a call that is still being
// read is refused. Who has no byte of an answer gets one that says whether the call may have run;
// a stream that has begun gets an error as its last event.
func (s *Server) End() {
	s.Drain()
	s.lifetime.endServing(ErrStopped.New("the drain limit is over"))
	s.connections.endReads()
}

// Idle reports whether no call is being read, served or answered.
func (s *Server) Idle() bool { return s.Active() == 0 && s.connections.count() == 0 }

// Told returns what is told of a result, to the caller and in the log. What a call waits for takes
// the end of a context for a caller that hung up or a back end that broke; if the daemon ended it,
// neither is true. Ctx is that of the call, or of a wait.
func Told(ctx context.Context, result outcome.Result) outcome.Result {
	if l, ok := ctx.Value(lifetimeKey{}).(*lifetime); ok && l.serving.Err() != nil {
		// The end passes on to ctx from another goroutine.
		<-ctx.Done()
	}
	if result.Kind == outcome.Answered || !ErrStopped.Has(context.Cause(ctx)) {
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

// busyConnections holds the connections from the first byte of a request until its answer was
// written. Its zero value is ready for use.
type busyConnections struct {
	mutex sync.Mutex
	busy  map[net.Conn]struct{}
}

// note is the ConnState of the server.
func (b *busyConnections) note(conn net.Conn, state fasthttp.ConnState) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if state != fasthttp.StateActive {
		delete(b.busy, conn)
		return
	}
	if b.busy == nil {
		b.busy = map[net.Conn]struct{}{}
	}
	b.busy[conn] = struct{}{}
}

func (b *busyConnections) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.busy)
}

// endReads makes every read of a request that has not arrived whole fail now.
func (b *busyConnections) endReads() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for conn := range b.busy {
		_ = conn.SetReadDeadline(time.Now())
	}
}
