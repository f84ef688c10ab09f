package gateway

import (
	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
)

const (
	// crowdedMemoryShare is the share of an instance's memory that unread prompts may
	// take before further requests wait at this daemon.
	crowdedMemoryShare = 1.0 / 40
	// maxCrowdedWaitShare is the share of the target latency up to which a request waits for this reason.
	maxCrowdedWaitShare = 0.3
)

// assess decides from the load of the best instance whether the request may be sent there.
func (e *exchange) assess(candidate *balance.Candidate) searchResult {
	switch {
	case e.startsTooLate(candidate):
		return searchStartsTooLate
	case e.backgroundState.yields:
		return e.yield(candidate)
	case candidate.Crowded || e.shouldHold(candidate):
		return searchCrowded
	default:
		return searchReady
	}
}

// promptLimit returns the number of unread prompt tokens at an instance above which this request waits. It is zero,
// for no limit, once the request has waited enough. Less urgent requests have a lower limit.
func (e *exchange) promptLimit(view *fleet.View) int {
	if e.hasWaitedEnough() {
		return 0
	}
	return int(crowdedMemoryShare * float64(memoryTokens(view, e.service)) / float64(1+e.priority))
}

// hasWaitedEnough reports whether the request no longer waits for crowded instances.
func (e *exchange) hasWaitedEnough() bool {
	if e.backgroundState.yields {
		return e.backgroundState.slackOver
	}
	return e.waitedShare() > maxCrowdedWaitShare
}

// waitedShare returns the time since arrival as a share of the target latency.
func (e *exchange) waitedShare() float64 {
	if e.route.TargetLatency <= 0 {
		return 1
	}
	return e.since(e.request.Arrived).Seconds() / e.route.TargetLatency.Seconds()
}

// startsTooLate reports whether even the best instance is predicted to begin its answer too late. Such a request would
// occupy a place there and delay those behind it, and its client would disconnect anyway.
func (e *exchange) startsTooLate(candidate *balance.Candidate) bool {
	if e.request.Model == "" || e.route.TargetLatency <= 0 || e.continues() || !mechanism.Enabled(mechanism.Forecast) {
		return false
	}
	e.forecast = e.gateway.tracker.PredictFirstToken(candidate, e.request.PromptTokens)
	return beginsTooLate(e.route.TargetLatency, e.since(e.request.Arrived), e.forecast)
}

// continues reports whether the request was sent before, or resumes an answer that has begun.
func (e *exchange) continues() bool {
	return e.answerStarted || len(e.attemptedInstances) > 0 || e.resumeAfter != ""
}

// shouldHold reports whether a less urgent request should wait at this daemon because the batch of its instance is
// full: in the queue of the instance it would delay more urgent requests.
func (e *exchange) shouldHold(candidate *balance.Candidate) bool {
	if e.request.Model == "" || e.priority == 0 || e.waitedShare() > maxCrowdedWaitShare || !mechanism.Enabled(mechanism.Hold) {
		return false
	}
	return candidate.Load.Requests >= candidate.Instance.Slots
}

// memoryTokens returns the memory of an instance of a service in tokens; zero if it is not known.
func memoryTokens(view *fleet.View, name string) int {
	service := view.Service(name)
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.MemoryTokens
}
