package gateway

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// candidateWait is the wait of a request for an instance.
type candidateWait struct {
	exchange *exchange
	// paced is the next pause while all instances have much to do.
	paced time.Duration
	// unwant ends what the placement was told of this request; nil if it was told nothing.
	unwant func()
	// place is the place in the queue for a connection; nil if there is none.
	place *place
}

func (w *candidateWait) end() {
	w.leaveQueue()
	if w.unwant != nil {
		w.unwant()
	}
}

// pace waits a little while all instances have much to do.
func (w *candidateWait) pace(ctx context.Context) {
	w.leaveQueue()
	w.exchange.phase = PhasePaced
	w.exchange.observeOnce(StepPaced, "")
	sleep(ctx, w.paced)
	w.paced = min(2*w.paced, longestCrowdedPause)
}

// forChange waits until there may be an instance that can take the request. It returns why there
// is none, and whether it makes sense to look again. The placement hears of models and adapters
// that no instance has.
func (w *candidateWait) forChange(ctx context.Context, view *fleet.View, changed <-chan struct{}) (reason Reason, again bool) {
	w.leaveQueue()
	e := w.exchange
	if e.request.Model != "" && w.unwant == nil {
		w.unwant = e.gateway.wants.Want(e.service, e.request.Model, e.request.Adapter)
	}
	reason = e.lack(view)
	return reason, w.pause(ctx, reason, doubtPause, changed)
}

// isTurn reports whether no request that waits for a connection comes before this one. One that
// has been sent before does not wait.
func (w *candidateWait) isTurn() bool {
	e := w.exchange
	if w.place == nil {
		return len(e.sentTo) > 0 || !e.gateway.queues.occupied(e.need())
	}
	return e.gateway.queues.first(w.place)
}

// forTurn waits until no request that waits for a connection comes before this one. It reports
// whether the request may still wait.
func (w *candidateWait) forTurn(ctx context.Context) bool {
	w.joinQueue()
	if w.isTurn() {
		return true
	}
	return w.pause(ctx, ReasonNoConnection, time.Until(w.exchange.waitUntil), w.place.turn)
}

// forConnection waits for a connection as the first one in the queue. It reports whether the
// request may still wait.
func (w *candidateWait) forConnection(ctx context.Context) bool {
	w.joinQueue()
	return w.pause(ctx, ReasonNoConnection, longestCrowdedPause, nil)
}

// pause waits for a signal, for a while at most. It reports whether the request may still wait.
func (w *candidateWait) pause(ctx context.Context, reason Reason, span time.Duration, signal <-chan struct{}) bool {
	e := w.exchange
	left := time.Until(e.waitUntil)
	if len(e.sentTo) > 0 || left <= 0 {
		return false
	}
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
	return ctx.Err() == nil && time.Now().Before(e.waitUntil)
}

func (w *candidateWait) joinQueue() {
	if e := w.exchange; w.place == nil {
		w.place = e.gateway.queues.join(e.need(), e.route.Priority, e.request.Arrived)
	}
}

func (w *candidateWait) leaveQueue() {
	if w.place != nil {
		w.exchange.gateway.queues.leave(w.place)
		w.place = nil
	}
}

// need is what the request has in common with others for the same instances.
func (e *exchange) need() need {
	return need{service: e.service, model: e.request.Model, adapter: e.request.Adapter}
}
