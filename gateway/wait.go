package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// connectionPause is the pause between two looks for a connection. One that comes free is taken
// by whoever looks first: with a pause that grows to 80 ms, 2 or 3 of 510 requests of a load of
// 0.83 behind a burst of ten found none in time, with this one none or one.
const connectionPause = 20 * time.Millisecond

// roomPause is the pause between two looks for room.
const roomPause = 10 * time.Millisecond

const (
	// crowdedPause is the pause between two looks for an instance with fewer
	// prompts to read.
	crowdedPause = 5 * time.Millisecond
	// longestCrowdedPause bounds that pause, which grows while a request waits.
	longestCrowdedPause = 20 * time.Millisecond
)

const (
	// restPause is the least pause of a request that waits for the end of a rest.
	restPause = time.Millisecond
	// restSpread is the time over which requests that have waited for it come back.
	restSpread = 100 * time.Millisecond
)

// candidateWait is the wait of a request for an instance.
type candidateWait struct {
	exchange *exchange
	// paced is the next pause while all instances have much to do.
	paced time.Duration
	// lacksConnection says that the last look found no free connection.
	lacksConnection bool
	// served ends what the placement was told of this request; nil if it was told nothing.
	served func()
}

func (w *candidateWait) end() {
	if w.served != nil {
		w.served()
	}
}

// pace waits a little while all instances have much to do.
func (w *candidateWait) pace(ctx context.Context) {
	w.lacksConnection = false
	w.exchange.phase = PhasePaced
	w.exchange.observeOnce(StepPaced, "")
	sleep(ctx, w.paced)
	w.paced = min(2*w.paced, longestCrowdedPause)
}

// yield waits for more urgent requests.
func (w *candidateWait) yield(ctx context.Context) {
	w.lacksConnection = false
	w.exchange.awaitRoom(ctx)
}

// forChange waits until there may be an instance that can take the request. It returns why there
// is none, and whether it makes sense to look again. The placement hears of models and adapters
// that no instance has.
func (w *candidateWait) forChange(ctx context.Context, view *fleet.View, changed <-chan struct{}) (reason Reason, again bool) {
	w.lacksConnection = false
	e := w.exchange
	if e.request.Model != "" && w.served == nil {
		w.served = w.lacking()
	}
	reason = e.lack(view)
	return reason, w.pause(ctx, reason, lookPause, changed)
}

// lacking tells the placement what the request waits for. The function tells it that the wait is over.
func (w *candidateWait) lacking() func() {
	e := w.exchange
	served := e.gateway.demand.Lacking(e.service, e.request.Model, e.request.Adapter)
	if !e.origin.pinned {
		return served
	}
	servedThere := e.gateway.demand.LackingSoftware(e.service, e.request.Model, e.origin.software)
	return func() {
		served()
		servedThere()
	}
}

// forConnection waits for a connection. It reports whether the request may still wait.
func (w *candidateWait) forConnection(ctx context.Context) bool {
	w.lacksConnection = true
	return w.pause(ctx, ReasonNoConnection, connectionPause, nil)
}

// forRoom waits a little for room at an instance. It reports whether the request may still wait: no longer than for
// instances that have much to do.
func (w *candidateWait) forRoom(ctx context.Context) bool {
	w.lacksConnection = false
	e := w.exchange
	return e.waited() <= crowdedWait && w.pause(ctx, ReasonOverloaded, roomPause, nil)
}

// forRest waits until a rest ends that all instances want which could take the request. It reports whether the
// request may wait so long; if not, that is known at once.
func (w *candidateWait) forRest(ctx context.Context, until time.Time) bool {
	w.lacksConnection = false
	e := w.exchange
	left := max(0, e.until(until))
	e.comeBack = left
	return left <= e.until(e.waitUntil) && w.pause(ctx, ReasonResting, left+restPause+rand.N(restSpread), nil)
}

// pause waits for a signal, for a while at most. It reports whether the request may still wait.
func (w *candidateWait) pause(ctx context.Context, reason Reason, span time.Duration, signal <-chan struct{}) bool {
	e := w.exchange
	left := e.until(e.waitUntil)
	if len(e.sentTo) > 0 || left <= 0 {
		return false
	}
	e.leaveLine()
	e.phase = PhaseWaiting
	e.observeOnce(StepWaiting, reason)
	timer := time.NewTimer(min(span, left))
	defer timer.Stop()
	select {
	case <-signal:
	case <-e.gateway.lifetime.Starts.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil && e.gateway.Now().Before(e.waitUntil)
}
