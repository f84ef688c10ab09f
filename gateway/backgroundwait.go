package gateway

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
)

// backgroundState is the state of a request that may yield to more urgent ones.
type backgroundState struct {
	// yields is set if the request yields. over is set once its slack has ended.
	yields    bool
	slackOver bool
	// wait is nil while the request has not waited.
	wait *backgroundWait
}

// backgroundWait is the state of a yielding request while it waits.
type backgroundWait struct {
	queued *queuedRequest
	// instance is the best instance at the last check, and decision the result of that check.
	instance string
	decision yieldDecision
	// reported is set once the observer has received the event for this wait.
	reported bool
	// waited is the total time of all waits so far.
	waited time.Duration
}

// mayYield reports whether the request yields to more urgent ones. A request that was already sent to an instance does
// not yield.
func (e *exchange) mayYield(view *fleet.View) bool {
	if e.priority < fleet.BackgroundPriority || e.request.Model == "" || e.continues() {
		return false
	}
	enabled := mechanism.Enabled(mechanism.Hold) && mechanism.Enabled(mechanism.Yield)
	return enabled && view.Yields(e.route, e.service)
}

// yieldsNow reports whether the request waits if its instance is busy.
func (e *exchange) yieldsNow() bool { return e.backgroundState.yields && !e.backgroundState.slackOver }

// yield decides whether a background request is sent to its best instance, waits or is refused.
func (e *exchange) yield(candidate *balance.Candidate) searchResult {
	decision := decideYield(yieldInput{
		Priority: e.priority, Target: e.route.TargetLatency, Waited: e.since(e.request.Arrived), WaitLeft: e.until(e.waitUntil),
		Forecast: e.forecast, Load: candidate.Load, Slots: candidate.Instance.Slots, Crowded: candidate.Crowded,
	})
	if decision.Action == yieldTooLate {
		return searchStartsTooLate
	}
	if e.backgroundState.slackOver || decision.Slack == 0 {
		return searchReady
	}
	if decision.Action == yieldSend && !e.isPreceded(candidate.Instance.ID) {
		return searchReady
	}
	if e.backgroundState.wait == nil {
		e.backgroundState.wait = &backgroundWait{queued: newQueuedRequest(e.queueKey(), e.slackEnd())}
	}
	e.backgroundState.wait.instance, e.backgroundState.wait.decision = candidate.Instance.ID, decision
	return searchYields
}

// isPreceded reports whether another request of this daemon is sent to the same instance before this one.
func (e *exchange) isPreceded(instance string) bool {
	var queued *queuedRequest
	if e.backgroundState.wait != nil {
		queued = e.backgroundState.wait.queued
	}
	return e.gateway.backgroundQueues.precedes(queued, e.queueKey(), instance, e.slackEnd())
}

// slackEnd is when the slack of the request would end without a forecast.
func (e *exchange) slackEnd() time.Time {
	end := e.request.Arrived.Add(e.route.TargetLatency - yieldReserve(e.route.TargetLatency))
	if e.waitUntil.Before(end) {
		return e.waitUntil
	}
	return end
}

func (e *exchange) queueKey() queueKey { return queueKey{e.service, e.request.Model} }

// awaitRoom waits for room at the instance until the next check. The request stays in the queue until leaveQueue is
// called.
func (e *exchange) awaitRoom(ctx context.Context) {
	e.phase = PhasePaced
	wait := e.backgroundState.wait
	if !wait.reported {
		wait.reported = true
		e.observe(Event{Step: StepPaced, Reason: ReasonYielding})
	}
	began := e.gateway.Now()
	pause := min(wait.decision.Slack, recheckInterval)
	if e.gateway.backgroundQueues.enqueue(wait.queued, wait.instance) {
		pause = wait.decision.Next
	}
	e.refundIfExpiring(pause)
	e.waitForWake(ctx, pause)
	took := e.since(began)
	wait.waited += took
	e.backgroundState.slackOver = took >= wait.decision.Slack
}

// waitForWake waits until the request becomes the first one for its instance, for the given duration at most.
func (e *exchange) waitForWake(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-e.backgroundState.wait.queued.wake:
	case <-e.gateway.lifetime.Starts.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// leaveQueue removes the request from its queue. It is called when the request has been sent and counted, has ended, or
// waits for something other than room.
func (e *exchange) leaveQueue() {
	if e.backgroundState.wait != nil {
		e.gateway.backgroundQueues.dequeue(e.backgroundState.wait.queued)
	}
}

// yielded is how long the request has waited for more urgent ones.
func (e *exchange) yielded() time.Duration {
	if e.backgroundState.wait == nil {
		return 0
	}
	return e.backgroundState.wait.waited
}
