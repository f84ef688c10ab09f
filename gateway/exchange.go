package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/tenant"
)

const (
	// missingModelTTL is how long an instance gets no requests for a model or
	// adapter that it turned out to lack.
	missingModelTTL = 300 * time.Millisecond
	// maxBufferedBytes is the size in bytes up to which an answer is buffered whole before it is forwarded.
	maxBufferedBytes = 1 << 20
	// pieceBytes is the size in bytes of the buffer that longer answers and streams are forwarded with.
	pieceBytes = 8 << 10
	// maxPriority is the least urgent priority that an instance accepts.
	maxPriority = 9
)

// exchange is the state of one request over all its attempts.
type exchange struct {
	gateway *Gateway
	request *Request
	reply   Reply
	route   *fleet.Route
	service string
	version uint64
	// tenant is nil for a request without one.
	tenant *tenant.Tenant
	// priority is the tenant's priority if the tenant has one, else the route's.
	priority int
	// use is the amount last taken from the tenant's limit, and allowedAt when it was taken; allowedAt
	// is zero if no unused amount is left. quotaRetryAfter is the time until the tenant has quota again.
	use             QuotaCharge
	allowedAt       time.Time
	quotaRetryAfter time.Duration
	// slotInstance is the instance at which the request holds a slot, or nil.
	slotInstance *fleet.Instance
	// instanceTurnExpires is when the turn at the chosen instance expires; zero if the instance announced no limit.
	// A turn is the right to send one request where requests are admitted one after the other.
	instanceTurnExpires time.Time
	// suspectTurnExpires is when the turn of the request's content expires, if the content is suspected.
	suspectTurnExpires time.Time
	// turnWaitUntil is when the request stops waiting for such a turn; zero before the first wait.
	turnWaitUntil time.Time
	// retryDelay is the time until a turn may be available, or until an instance's requested backoff ends.
	retryDelay time.Duration
	// quarantineAttributes holds the digests that the quarantine matches, or nil until they are needed. holdCause is
	// the digest for which the request is held; a held request is sent to no instance.
	quarantineAttributes *quarantine.Attributes
	holdCause            quarantine.Digest
	deadline             time.Time
	// firstEventDeadline is when the client is expected to disconnect if it has received nothing by then.
	firstEventDeadline time.Time

	// attemptedInstances lists the instances that the request was sent to, by ID.
	attemptedInstances []string
	// misdirection tracks those of them that turned the request away for lack of its model.
	misdirection misdirection
	// unreachable lists instances that could not be reached; nothing was sent to them. They may be tried again at
	// reachRetryAt, which is reachBackoff after the first of these failures.
	unreachable  []string
	reachBackoff time.Duration
	reachRetryAt time.Time
	// waitUntil is when the request stops waiting for an instance, over all its attempts.
	waitUntil time.Time
	// budget is the retry budget of the service, and retryReserved says that it holds a token for the next attempt.
	budget        *retry.Budget
	retryReserved bool
	// retryPending is true if the next attempt takes a token when it is sent: it may wait for long until then, and must
	// not keep the token from other requests meanwhile.
	retryPending bool
	// mayHaveRun is true if an instance may have run the request.
	mayHaveRun bool
	// answerStarted is true if the client has received a part of an answer.
	answerStarted bool
	// awaitingFirstByte is true until the instance of the current attempt begins to answer.
	awaitingFirstByte bool
	phase             Phase
	resumeAfter       string
	// lacksResumePoint is true if the last event that was forwarded has no ID: a continuation would repeat it.
	lacksResumePoint bool
	// nextEventBegun is true if a part of the event after the last complete one has arrived: the stream has at least one more.
	nextEventBegun bool
	requiredOrigin requiredOrigin
	// withdrawSoftware withdraws the report of the version that the stream needs; nil if there is none.
	withdrawSoftware func()
	deliveryTimes    delivery
	backgroundState  backgroundState
	// reportedStep and reportedReason are the last wait that was reported to the observer.
	reportedStep   Step
	reportedReason Reason
	// forecast is the last predicted time to the first token; zero if there is none.
	forecast time.Duration
	// framing is the body framing of the last answer of an instance.
	framing Framing
	// sentAt is when the last attempt began, startedAt when the first piece of its answer arrived.
	sentAt    time.Time
	startedAt time.Time
}

// attemptResult is the result of an attempt.
type attemptResult uint8

const (
	// attemptEnded means that the client has its final answer.
	attemptEnded attemptResult = iota
	// attemptUnreached means that no byte of the request was sent.
	attemptUnreached
	// attemptDeclined means that the instance did not run the request.
	attemptDeclined
	// attemptBroken means that the instance may have run the request, and that it failed.
	attemptBroken
)

// run attempts the request until the client has a final answer.
func (e *exchange) run(ctx context.Context) {
	defer e.leaveQueue()
	defer e.releaseSlot()
	defer e.cancelRetry()
	e.reportSoftware()
	defer e.endSoftwareReport()
	e.resumeAfter = e.request.ResumeAfter
	last := attemptUnreached
	for {
		candidate, reason := e.candidate(ctx)
		if candidate == nil {
			e.fail(ctx, reason)
			return
		}
		if reason := e.recheckAdmission(ctx); reason != "" {
			e.fail(ctx, reason)
			return
		}
		switch e.awaitVerdict(ctx) {
		case verdictOverdue:
			e.fail(ctx, ReasonSuspected)
			return
		case verdictWaited:
			continue
		}
		if !e.spendRetry() {
			e.fail(ctx, reasonOf(last))
			return
		}
		last = e.attempt(ctx, candidate)
		if last == attemptEnded {
			return
		}
		e.awaitCrashCheck(ctx, last, candidate.Instance)
		if e.expired(ctx) {
			e.fail(ctx, ReasonTimeout)
			return
		}
		if e.startBlocked() {
			e.fail(ctx, ReasonStopping)
			return
		}
		if !e.mayRetry(last) {
			e.fail(ctx, reasonOf(last))
			return
		}
	}
}

// since returns the time that has passed since a moment, and until the time that remains until one.
func (e *exchange) since(moment time.Time) time.Duration { return e.gateway.Now().Sub(moment) }

func (e *exchange) until(moment time.Time) time.Duration { return moment.Sub(e.gateway.Now()) }

// expired reports whether the request's deadline has passed or its client has disconnected. The context may
// report the deadline a little later than the clock does. If only the context were checked, the request would
// choose an instance over and over in between.
func (e *exchange) expired(ctx context.Context) bool {
	return ctx.Err() != nil || !e.gateway.Now().Before(e.deadline)
}

// recheckAdmission returns why the request may no longer be sent, or an empty reason. Its key, content and quota
// are checked again, since it may have waited since it was admitted.
func (e *exchange) recheckAdmission(ctx context.Context) Reason {
	if reason := e.recheckKey(); reason != "" {
		return reason
	}
	if e.held() {
		return ReasonQuarantined
	}
	return e.acquireAllowance(ctx)
}

func reasonOf(last attemptResult) Reason {
	switch last {
	case attemptDeclined:
		return ReasonDeclined
	case attemptBroken:
		return ReasonBroken
	default:
		return ReasonUnreachable
	}
}

// maxUnreached is the number of unreachable instances after which a request is refused.
const maxUnreached = 3

// mayRetry reports whether another instance may be tried. A retry of a request that was sent takes from the retry
// budget of its service.
func (e *exchange) mayRetry(last attemptResult) bool {
	if last == attemptUnreached {
		return len(e.unreachable) < maxUnreached
	}
	if last == attemptBroken && (!e.route.Repeatable() || e.lacksResumePoint) {
		return false
	}
	if len(e.attemptedInstances) >= e.route.MaxAttempts {
		return false
	}
	if last == attemptDeclined && e.onlyMisdirected() {
		e.retryPending = true
		return true
	}
	return e.reserveRetry()
}

// fail ends the request with an error answer, or aborts the answer if a part of it was sent.
func (e *exchange) fail(ctx context.Context, reason Reason) {
	if drain.Stopped(ctx) {
		reason = ReasonStopping
	}
	if clientLeft(ctx) {
		e.observe(Event{Step: StepEnded, Reason: ReasonClientDisconnected})
		e.reply.Abort()
		return
	}
	switch {
	case e.answerStarted:
		e.reply.Abort()
		e.observe(Event{Step: StepBrokenOff, Reason: reason})
	case e.mayHaveRun && (errors.Is(ctx.Err(), context.DeadlineExceeded) || !e.gateway.Now().Before(e.deadline)):
		e.refuse(statusTimeout, ReasonTimeout)
	case e.mayHaveRun:
		e.refuse(statusBadGateway, reason)
	default:
		e.refuse(refusalStatus(reason), reason)
	}
}

// refuse sends an error answer to the client.
func (e *exchange) refuse(status int, reason Reason) {
	retryAfter := time.Duration(0)
	if e.lacksCapacity(reason) {
		e.gateway.demand.Refused(e.service, e.request.Model)
	}
	switch {
	case reason == ReasonQuarantined:
		retryAfter = e.holdTimeLeft()
	case reason == ReasonAtLimit, reason == ReasonResting, reason == ReasonSuspected:
		retryAfter = max(e.retryDelay, e.gateway.settings.RetryAfter)
	case reason == ReasonQuota:
		retryAfter = e.gateway.shortageTracker.recordRefusal(time.Now(), tenantKeyPrefix+e.tenant.Name, e.quotaRetryAfter)
	case status == statusUnavailable:
		retryAfter = e.gateway.retryAfter(e.request, reason)
	}
	e.observe(e.gateway.refuse(e.reply, e.request, status, reason, retryAfter))
}

// observeOnce reports a wait to the observer unless the last reported wait has the same step and reason.
func (e *exchange) observeOnce(step Step, reason Reason) {
	if e.reportedStep != step || e.reportedReason != reason {
		e.reportedStep, e.reportedReason = step, reason
		e.observe(Event{Step: step, Reason: reason})
	}
}

// observe completes an event with the data of the request and reports it.
func (e *exchange) observe(event Event) {
	event.Request = e.request
	event.Route = e.route
	event.Tenant = e.tenantName()
	event.Version = e.version
	event.Attempt = len(e.attemptedInstances)
	event.Phase = e.phase
	event.Forecast = e.forecast
	event.Yielded = e.yielded()
	if e.phase == PhaseAnswering && event.endsAnswer() {
		event.Framing = e.framing
	}
	if e.quarantineAttributes != nil {
		event.Content = e.quarantineAttributes.Content.String()
	}
	if event.Reason == ReasonQuarantined {
		event.HeldFor = e.holdCause.String()
	}
	if !e.deliveryTimes.firstAt.IsZero() {
		event.FirstEvent = e.deliveryTimes.firstAt.Sub(e.request.Arrived)
		event.LongestPause = e.deliveryTimes.maxGap
	}
	e.gateway.observer.Observe(event)
}

// attempt sends the request to one instance and forwards the answer.
func (e *exchange) attempt(ctx context.Context, candidate *balance.Candidate) attemptResult {
	id := candidate.Instance.ID
	outbound := &Outbound{
		Request: e.request, Instance: candidate.Instance, Service: e.gateway.view.Load().Service(e.service), Left: e.until(e.deadline),
		Priority: min(e.priority, maxPriority), Tenant: e.tenantName(), ResumeAfter: e.resumeAfter, MaxConnections: e.connections(),
		Repeated:     slices.Contains(e.attemptedInstances, id),
		MaxHeadBytes: e.headLimit(), StillAllowed: func() bool { return e.stillAllowed(id) },
	}
	if outbound.Left <= 0 {
		e.refundRetry()
		return attemptUnreached
	}
	e.observe(Event{Step: StepSent, Instance: id, Software: candidate.Instance.Software, Load: candidate.Load, Candidates: candidate.CandidateCount, ChosenBy: candidate.By, Left: outbound.Left})
	e.phase = PhaseAttempt
	e.gateway.tracker.Begin(id, e.request.PromptTokens)
	e.leaveQueue()
	e.awaitingFirstByte, e.sentAt, e.startedAt = true, e.gateway.Now(), time.Time{}
	response, err := e.gateway.upstream.Send(ctx, outbound)
	if err != nil {
		return e.failedSend(ctx, candidate.Instance, err)
	}
	e.attemptedInstances = append(e.attemptedInstances, id)
	if !response.Executed() {
		return e.handleDeclined(id, response)
	}
	e.recordRun()
	e.phase, e.framing = PhaseAnswering, response.Framing()
	return e.relay(ctx, candidate, response)
}

// recordRun records that an instance runs the request, or may have run it.
func (e *exchange) recordRun() {
	e.mayHaveRun = true
	e.endSoftwareReport()
	// This run has used the allowance and the turn; a further run needs its own.
	e.allowedAt, e.suspectTurnExpires = time.Time{}, time.Time{}
}

// connections returns this daemon's maximum number of connections to one instance; zero means no limit.
func (e *exchange) connections() int {
	service := e.gateway.view.Load().Service(e.service)
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	return max(1, int(float64(service.MaxConnections)*e.gateway.settings.ConnectionShare()))
}

func (e *exchange) handleDeclined(id string, response Response) attemptResult {
	misdirected := response.Misdirected()
	status := response.Status()
	response.Close()
	outcome := balance.Declined
	if misdirected {
		outcome = balance.Abandoned
		e.misdirection.record(id)
		e.gateway.tracker.ObserveMissing(time.Now(), id, e.request.Model, e.request.Adapter, missingModelTTL)
	} else {
		// The slot is not given back: the instance had less capacity than was assumed.
		e.slotInstance = nil
	}
	e.end(id, outcome)
	if !misdirected {
		e.reportNoRoom(id)
	}
	e.observe(Event{Step: StepDeclined, Instance: id, Status: status})
	return attemptDeclined
}

// recordAnswerStart records that the instance has begun to answer.
func (e *exchange) recordAnswerStart(id string) {
	if e.awaitingFirstByte {
		e.awaitingFirstByte = false
		e.gateway.tracker.ObservePromptRead(id, e.request.PromptTokens)
	}
}

func (e *exchange) end(id string, outcome balance.Outcome) {
	e.recordAnswerStart(id)
	e.releaseSlot()
	siblings := e.gateway.view.Load().Instances(e.service)
	if e.gateway.tracker.End(time.Now(), id, outcome, siblings) {
		e.observe(Event{Step: StepEjected, Instance: id})
	}
}
