package gateway

import (
	"context"
	"time"
)

// initialReachBackoff is the delay before a request tries an unreachable instance again if no other instance is left.
// It doubles with each further try, so that an instance that has ended gets few connections.
const initialReachBackoff = 200 * time.Millisecond

// recordUnreached records that an instance could not be reached. The request goes to other instances while there are
// any.
func (e *exchange) recordUnreached(id string) {
	if len(e.unreachable) == 0 {
		e.reachBackoff = max(initialReachBackoff, 2*e.reachBackoff)
		e.reachRetryAt = e.gateway.Now().Add(e.reachBackoff)
	}
	e.unreachable = append(e.unreachable, id)
}

// awaitUnreached waits until the unreachable instances may be tried again, since no other instance can take the
// request now. Nothing was sent to them, and the interruption may be over. It reports whether to search again.
func (w *candidateWait) awaitUnreached(ctx context.Context, changed <-chan struct{}) bool {
	e := w.exchange
	if len(e.unreachable) == 0 {
		return false
	}
	if left := e.until(e.reachRetryAt); left > 0 && !w.waitFor(ctx, ReasonUnreachable, left, changed) {
		return false
	}
	if !e.gateway.Now().Before(e.reachRetryAt) {
		e.unreachable = nil
	}
	return true
}
