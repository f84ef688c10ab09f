package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// connectionPollInterval is the interval between two searches for a connection. A freed connection goes to the
// request that searches first. With an interval that grows to 80 ms, 2 or 3 of 510 requests, at a load of 0.83
// behind a burst of ten, got no connection in time; with this interval, none or one.
const connectionPollInterval = 20 * time.Millisecond

// roomPollInterval is the interval between two searches for an instance with room.
const roomPollInterval = 10 * time.Millisecond

const (
	// minCrowdedDelay is the first delay between two searches while all instances
	// are crowded.
	minCrowdedDelay = 5 * time.Millisecond
	// maxCrowdedDelay bounds that delay, which doubles with each search.
	maxCrowdedDelay = 20 * time.Millisecond
)

const (
	// minBackoffDelay is the minimum wait for the end of a backoff that an instance requested. It is added to the
	// time left.
	minBackoffDelay = time.Millisecond
	// backoffEndSpread is the window over which the requests that waited for it search again.
	backoffEndSpread = 100 * time.Millisecond
)

// maxPinnedWaitShare is MaxWaitShare for a stream that can resume at one software version only. Another daemon would
// wait for the same instances, and a client that is refused comes back to the same load in progress.
const maxPinnedWaitShare = 0.8

// maxWaitShare returns the share of its remaining time that the request may spend waiting for an instance.
func (e *exchange) maxWaitShare() float64 {
	if e.requiredOrigin.required {
		return max(maxPinnedWaitShare, e.gateway.settings.MaxWaitShare)
	}
	return e.gateway.settings.MaxWaitShare
}

// candidateWait is the wait of a request for an instance.
type candidateWait struct {
	exchange *exchange
	// nextDelay is the next delay while all instances are crowded.
	nextDelay time.Duration
	// lacksConnection is true if the last search found no free connection.
	lacksConnection bool
	// withdrawDemand withdraws the demand that was reported for this request; nil if none was reported.
	withdrawDemand func()
}

// end withdraws the demand that the wait reported, if any.
func (w *candidateWait) end() {
	if w.withdrawDemand != nil {
		w.withdrawDemand()
	}
}

// delayWhileCrowded delays the next search because all instances are crowded.
func (w *candidateWait) delayWhileCrowded(ctx context.Context) {
	w.lacksConnection = false
	w.exchange.phase = PhasePaced
	w.exchange.observeOnce(StepPaced, "")
	sleep(ctx, w.nextDelay)
	w.nextDelay = min(2*w.nextDelay, maxCrowdedDelay)
}

// yield waits for more urgent requests.
func (w *candidateWait) yield(ctx context.Context) {
	w.lacksConnection = false
	w.exchange.awaitRoom(ctx)
}

// awaitChange waits until there may be an instance that can take the request. It returns why there is none, and
// whether to search again. Models and adapters that no instance has loaded are reported to the placement.
func (w *candidateWait) awaitChange(ctx context.Context, view *fleet.View, changed <-chan struct{}) (reason Reason, again bool) {
	w.lacksConnection = false
	e := w.exchange
	if e.request.Model != "" && w.withdrawDemand == nil {
		w.withdrawDemand = w.reportDemand()
	}
	reason = e.lackReason(view)
	return reason, w.waitFor(ctx, reason, recheckInterval, changed)
}

// reportDemand reports to the placement what the request waits for. The returned function withdraws the report.
func (w *candidateWait) reportDemand() func() {
	e := w.exchange
	return e.gateway.demand.ModelMissing(e.service, e.request.Model, e.request.Adapter)
}

// awaitConnection waits for a connection. It reports whether the request may search again.
func (w *candidateWait) awaitConnection(ctx context.Context) bool {
	w.lacksConnection = true
	return w.waitFor(ctx, ReasonNoConnection, connectionPollInterval, nil)
}

// awaitCapacity waits a short time for room at an instance. It reports whether the request may search again: it waits
// no longer for room than for crowded instances.
func (w *candidateWait) awaitCapacity(ctx context.Context) bool {
	w.lacksConnection = false
	e := w.exchange
	return e.waitedShare() <= maxCrowdedWaitShare && w.waitFor(ctx, ReasonOverloaded, roomPollInterval, nil)
}

// awaitBackoffEnd waits until the first backoff ends, since all instances that could take the request have asked this
// daemon to send nothing for a while. It reports whether to search again, and returns at once if the backoff
// outlasts the request's wait.
func (w *candidateWait) awaitBackoffEnd(ctx context.Context, until time.Time) bool {
	w.lacksConnection = false
	e := w.exchange
	left := max(0, e.until(until))
	e.retryDelay = left
	return left <= e.until(e.waitUntil) && w.waitFor(ctx, ReasonResting, left+minBackoffDelay+rand.N(backoffEndSpread), nil)
}

// waitFor waits for a signal, at most for a duration and the rest of the request's wait. It reports whether to search
// again. A request that an instance accepted before does not wait.
func (w *candidateWait) waitFor(ctx context.Context, reason Reason, duration time.Duration, signal <-chan struct{}) bool {
	e := w.exchange
	left := e.until(e.waitUntil)
	if !e.onlyMisdirected() || left <= 0 {
		return false
	}
	e.leaveQueue()
	e.phase = PhaseWaiting
	e.observeOnce(StepWaiting, reason)
	timer := time.NewTimer(min(duration, left))
	defer timer.Stop()
	select {
	case <-signal:
	case <-e.gateway.lifetime.Starts.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil && e.gateway.Now().Before(e.waitUntil)
}
