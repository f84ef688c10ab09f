package gateway

// reserveRetry reserves a retry in the budget of the service, and reports the decision to the observer. The request may wait for
// an instance before it is sent, and only sending it counts.
func (e *exchange) reserveRetry() bool {
	decision := e.budget.Reserve(e.gateway.Now())
	e.retryReserved = decision.Allowed
	step := StepRetryDenied
	if decision.Allowed {
		step = StepRetryAllowed
	}
	e.observe(Event{Step: step, Service: e.service, Retry: decision})
	return decision.Allowed
}

// spendRetry spends the reserved retry if the next attempt is one. It returns false if the attempt must not be made.
func (e *exchange) spendRetry() bool {
	if !e.retryReserved {
		return true
	}
	e.retryReserved = false
	return e.budget.Spend(e.gateway.Now())
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
