package gateway

import "github.com/wheatweir/wheatweir/retry"

// reserveRetry reserves a retry in the budget of the service, and reports the decision to the observer. The request may wait for
// an instance before it is sent, and only sending it counts.
func (e *exchange) reserveRetry() bool {
	decision := e.budget.Reserve(e.gateway.Now())
	e.retryReserved = decision.Allowed
	if !decision.Allowed {
		return e.denyRetry(decision)
	}
	e.observe(Event{Step: StepRetryAllowed, Service: e.service, Retry: decision})
	return true
}

// denyRetry reports to the observer that the budget has no token for the next attempt, and returns false.
func (e *exchange) denyRetry(decision retry.Decision) bool {
	e.observe(Event{Step: StepRetryDenied, Service: e.service, Retry: decision})
	return false
}

// spendRetry spends the reserved retry if the next attempt is one. It returns false if the attempt must not be made.
func (e *exchange) spendRetry() bool {
	if e.retryPending && !e.reserveRetry() {
		return false
	}
	e.retryPending = false
	if !e.retryReserved {
		return true
	}
	e.retryReserved = false
	decision := e.budget.Spend(e.gateway.Now())
	return decision.Allowed || e.denyRetry(decision)
}

// refundRetry takes back that a retry was spent for an attempt of which nothing was sent.
func (e *exchange) refundRetry() {
	if len(e.attemptedInstances) > 0 {
		e.budget.Refund()
		e.retryReserved = true
	}
}

// cancelRetry gives back a retry that was not spent.
func (e *exchange) cancelRetry() {
	if e.retryReserved {
		e.retryReserved = false
		e.budget.Cancel()
	}
}
