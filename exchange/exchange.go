// Package exchange is the life of one request at a daemon as a state machine:
// claim its key if it must not be repeated, attempt it at one back end after
// another, and settle on one final result.
//
// It does no I/O. The owner carries out each step and reports how it ended.
package exchange

import (
	"time"

	"github.com/wheatweir/wheatweir/outcome"
)

// Step is what to do next.
type Step int

const (
	// StepClaim asks for the request's key to be claimed.
	StepClaim Step = iota
	// StepAttempt asks for an attempt at a back end not tried before.
	StepAttempt
	// StepFinish means that Result is final.
	StepFinish
)

// Settings of all exchanges of a daemon.
type Settings struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
}

// DefaultSettings returns the settings used unless an operator changes them.
func DefaultSettings() Settings { return Settings{MaxAttempts: 4} }

// Claim is the answer to StepClaim.
type Claim int

// Answers to a claim.
const (
	// ClaimGranted means that this request alone may run under the key.
	ClaimGranted Claim = iota
	// ClaimUsed means that a request under the key may have run before.
	ClaimUsed
	// ClaimUnavailable means that the claim could not be made safe.
	ClaimUnavailable
)

// Budget limits retries over all requests.
type Budget interface {
	// Earn records a request that was answered.
	Earn(now time.Time)
	// Take reports whether a retry is allowed.
	Take(now time.Time) bool
}

// Request is what the life of a request depends on.
type Request struct {
	// Repeatable is false if the request must run at most once.
	Repeatable bool
	// HasKey says that the request carries a key, which must be claimed so
	// that no other request under it runs.
	HasKey bool
	// Deadline is when the answer must have begun; zero means none.
	Deadline time.Time
}

// Exchange is the state of one request.
type Exchange struct {
	settings Settings
	budget   Budget
	request  Request
	attempts int
	Result   outcome.Result
}

// New returns the state of a request.
func New(settings Settings, budget Budget, request Request) *Exchange {
	return &Exchange{settings: settings, budget: budget, request: request}
}

// Attempts returns the number of attempts begun.
func (e *Exchange) Attempts() int { return e.attempts }

// MayHaveRun reports whether a back end may have run the request.
func (e *Exchange) MayHaveRun() bool {
	return e.Result.Kind == outcome.Unknown || e.Result.Kind == outcome.Failed
}

// Start returns the first step.
func (e *Exchange) Start() Step {
	if e.request.HasKey {
		return StepClaim
	}
	e.attempts++
	return StepAttempt
}

// claimRetryAfter is when a caller may come back after a claim failed.
const claimRetryAfter = 2 * time.Second

// ClaimAnswered takes in the answer to StepClaim.
func (e *Exchange) ClaimAnswered(now time.Time, claim Claim) Step {
	switch claim {
	case ClaimUsed:
		// The earlier request may have run, so this is not "not run" for the
		// key, only for this call; the caller must not send it again.
		return e.finish(outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonKeyUsed})
	case ClaimUnavailable:
		return e.finish(outcome.Refuse(outcome.ReasonKeyUnavailable, claimRetryAfter))
	}
	if e.late(now) {
		return e.finish(outcome.Refuse(outcome.ReasonDeadline, claimRetryAfter))
	}
	e.attempts++
	return StepAttempt
}

func (e *Exchange) late(now time.Time) bool {
	return !e.request.Deadline.IsZero() && now.After(e.request.Deadline)
}

// NoBackEnd ends the exchange when no attempt can be made now, for a reason. It
// keeps the result of an earlier attempt if that says more.
func (e *Exchange) NoBackEnd(reason outcome.Reason, retryAfter time.Duration) Step {
	if e.attempts > 1 && e.Result.Reason != outcome.ReasonNone {
		e.Result.RetryAfter = max(e.Result.RetryAfter, retryAfter)
		return StepFinish
	}
	return e.finish(outcome.Refuse(reason, retryAfter))
}

// AttemptEnded takes in the result of an attempt. Relayed says that part of an
// answer has reached the caller.
func (e *Exchange) AttemptEnded(now time.Time, result outcome.Result, relayed bool) Step {
	if result.Kind == outcome.Answered {
		e.budget.Earn(now)
		return e.finish(result)
	}
	// An earlier attempt that may have run makes the whole request so.
	if e.MayHaveRun() {
		if result.Kind == outcome.NotRun {
			result.Kind = e.Result.Kind
		}
	}
	e.Result = result
	if !result.MayRepeat(e.request.Repeatable, relayed) || e.late(now) || result.Reason == outcome.ReasonCallerGone {
		return StepFinish
	}
	if e.attempts >= e.settings.MaxAttempts || !e.budget.Take(now) {
		return StepFinish
	}
	e.attempts++
	return StepAttempt
}

func (e *Exchange) finish(result outcome.Result) Step {
	e.Result = result
	return StepFinish
}
