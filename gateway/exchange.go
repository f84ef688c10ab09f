package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/tenant"
)

const (
	// missingSpan is how long an instance is not asked again for a model or
	// adapter that it turned out not to have.
	missingSpan = 300 * time.Millisecond
	// maxWhole bounds an answer that is taken in whole before it is passed on.
	maxWhole = 1 << 20
	// pieceSize is the most that is passed on at once.
	pieceSize = 8 << 10
	// maxPriority is the least urgent rank at an instance.
	maxPriority = 9
)

// exchange is one request with its attempts.
type exchange struct {
	gateway *Gateway
	request *Request
	reply   Reply
	route   *fleet.Route
	service string
	version uint64
	// tenant is nil for a request without one.
	tenant *tenant.Tenant
	// priority is the request's rank: its tenant's if that has one, else its route's.
	priority int
	// use is what was last taken of the tenant's limit, at allowedAt; zero if there is
	// nothing taken that no run has used. quotaWait is when there will be something left.
	use       Use
	allowedAt time.Time
	quotaWait time.Duration
	// slotAt is the instance of which the request has a slot.
	slotAt *fleet.Instance
	// instanceTurnEnds is when the turn at the chosen instance lapses; zero if it names no limit.
	instanceTurnEnds time.Time
	// contentTurnEnds is when the turn of the request's content lapses, if that is suspected.
	contentTurnEnds time.Time
	// comeBack is when there may be a turn where there is none, or when a rest ends.
	comeBack time.Duration
	// judgedBy is what the request is judged by, or nil while nothing asked for it; heldFor is what it is held for.
	judgedBy *quarantine.Attributes
	heldFor  quarantine.Digest
	deadline time.Time
	// firstBy is when the client leaves if nothing has come by then.
	firstBy time.Time

	// sentTo lists the instances that the request was sent to.
	sentTo []string
	// passed lists instances that could not be reached; nothing was sent there. They may be tried again at
	// reachAgainAt, a pause after the first of them.
	passed       []string
	reachPause   time.Duration
	reachAgainAt time.Time
	// waitUntil is how long the request waits for an instance, over all its attempts.
	waitUntil time.Time
	// mayHaveRun says that an instance may have run the request.
	mayHaveRun bool
	// begun says that the client has a part of an answer.
	begun bool
	// reading says that the instance has not begun to answer.
	reading     bool
	phase       Phase
	resumeAfter string
	origin      origin
	pace        delivery
	background  background
	// toldStep and toldReason are the last wait that was told.
	toldStep   Step
	toldReason Reason
	// forecast is the last prediction of the first token's time; zero if there is none.
	forecast time.Duration
	// framing is that of the last answer of an instance.
	framing Framing
	// sentAt is when the last attempt began, startedAt when its first piece came.
	sentAt    time.Time
	startedAt time.Time
}

// verdict is what follows from an attempt.
type verdict uint8

const (
	// verdictEnded means that the client has its final answer.
	verdictEnded verdict = iota
	// verdictUnreached means that nothing was sent.
	verdictUnreached
	// verdictDeclined means that the instance did not run the request.
	verdictDeclined
	// verdictBroken means that the request may have run and failed.
	verdictBroken
)

// run makes attempts until the client has a final answer.
func (e *exchange) run(ctx context.Context) {
	defer e.leaveLine()
	defer e.giveBackSlot()
	e.resumeAfter = e.request.ResumeAfter
	last := verdictUnreached
	for {
		candidate, reason := e.candidate(ctx)
		if candidate == nil {
			e.giveUp(ctx, reason)
			return
		}
		if reason := e.checkAgain(ctx); reason != "" {
			e.giveUp(ctx, reason)
			return
		}
		switch e.awaitVerdict(ctx) {
		case verdictOverdue:
			e.giveUp(ctx, ReasonSuspected)
			return
		case verdictWaited:
			continue
		}
		last = e.attempt(ctx, candidate)
		if last == verdictEnded {
			return
		}
		e.settle(ctx, last, candidate.Instance)
		if e.over(ctx) {
			e.giveUp(ctx, ReasonTimeout)
			return
		}
		if e.drained() {
			e.giveUp(ctx, ReasonStopping)
			return
		}
		if !e.mayTryAgain(last) {
			e.giveUp(ctx, reasonOf(last))
			return
		}
	}
}

// since returns how long a moment ago is, and until how long one lies ahead.
func (e *exchange) since(moment time.Time) time.Duration { return e.gateway.Now().Sub(moment) }

func (e *exchange) until(moment time.Time) time.Duration { return moment.Sub(e.gateway.Now()) }

// over reports whether the request's time is over, or its client has left. The context may tell of
// the deadline a little later than the clock does: without a look at both, a request would choose
// an instance again and again until it does.
func (e *exchange) over(ctx context.Context) bool {
	return ctx.Err() != nil || !e.gateway.Now().Before(e.deadline)
}

// checkAgain reports why the request may not go to an instance now, or nothing: it may have waited
// since it was let in.
func (e *exchange) checkAgain(ctx context.Context) Reason {
	if reason := e.identifyAgain(); reason != "" {
		return reason
	}
	if e.held() {
		return ReasonQuarantined
	}
	return e.allow(ctx)
}

func reasonOf(last verdict) Reason {
	switch last {
	case verdictDeclined:
		return ReasonDeclined
	case verdictBroken:
		return ReasonBroken
	default:
		return ReasonUnreached
	}
}

// maxUnreached bounds the instances that a request tries to reach in vain.
const maxUnreached = 3

// mayTryAgain reports whether another instance may be tried.
func (e *exchange) mayTryAgain(last verdict) bool {
	if last == verdictUnreached {
		return len(e.passed) < maxUnreached
	}
	if last == verdictBroken && !e.route.Repeatable() {
		return false
	}
	if len(e.sentTo) >= e.route.MaxAttempts {
		return false
	}
	return e.gateway.budget.Take()
}

// giveUp gives the client its final answer, or breaks it off if a part is out.
func (e *exchange) giveUp(ctx context.Context, reason Reason) {
	if drain.Stopped(ctx) {
		reason = ReasonStopping
	}
	if clientLeft(ctx) {
		e.observe(Event{Step: StepEnded, Reason: ReasonClientGone})
		e.reply.Abort()
		return
	}
	switch {
	case e.begun:
		e.reply.Abort()
		e.observe(Event{Step: StepBrokenOff, Reason: reason})
	case e.mayHaveRun && (errors.Is(ctx.Err(), context.DeadlineExceeded) || !e.gateway.Now().Before(e.deadline)):
		e.refuse(statusTimeout, ReasonTimeout)
	case e.mayHaveRun:
		e.refuse(statusBadGateway, reason)
	default:
		e.refuse(statusOf(reason), reason)
	}
}

// refuse gives the client an answer of our own.
func (e *exchange) refuse(status int, reason Reason) {
	retryAfter := time.Duration(0)
	if e.lacksCapacity(reason) {
		e.gateway.demand.Refused(e.service, e.request.Model)
	}
	switch {
	case reason == ReasonQuarantined:
		retryAfter = e.heldLeft()
	case reason == ReasonAtLimit, reason == ReasonResting, reason == ReasonSuspected:
		retryAfter = max(e.comeBack, e.gateway.settings.RetryAfter)
	case reason == ReasonQuota:
		retryAfter = e.gateway.shortages.refused(time.Now(), tenantShortage+e.tenant.Name, e.quotaWait)
	case status == statusUnavailable:
		retryAfter = e.gateway.retryAfter(e.request, reason)
	}
	e.observe(e.gateway.refuse(e.reply, e.request, status, reason, retryAfter))
}

// observeOnce tells of the first wait of its kind.
func (e *exchange) observeOnce(step Step, reason Reason) {
	if e.toldStep != step || e.toldReason != reason {
		e.toldStep, e.toldReason = step, reason
		e.observe(Event{Step: step, Reason: reason})
	}
}

func (e *exchange) observe(event Event) {
	event.Request = e.request
	event.Route = e.route
	event.Tenant = e.tenantName()
	event.Version = e.version
	event.Attempt = len(e.sentTo)
	event.Phase = e.phase
	event.Forecast = e.forecast
	event.Yielded = e.yielded()
	if e.phase == PhaseAnswering && event.endsAnswer() {
		event.Framing = e.framing
	}
	if e.judgedBy != nil {
		event.Content = e.judgedBy.Content.String()
	}
	if event.Reason == ReasonQuarantined {
		event.HeldFor = e.heldFor.String()
	}
	if !e.pace.firstAt.IsZero() {
		event.FirstEvent = e.pace.firstAt.Sub(e.request.Arrived)
		event.LongestPause = e.pace.longest
	}
	e.gateway.observer.Observe(event)
}

// attempt sends the request to one instance and passes the answer on.
func (e *exchange) attempt(ctx context.Context, candidate *balance.Candidate) verdict {
	id := candidate.Instance.ID
	outbound := &Outbound{
		Request: e.request, Instance: candidate.Instance, Left: e.until(e.deadline),
		Priority: min(e.priority, maxPriority), Tenant: e.tenantName(), ResumeAfter: e.resumeAfter, MaxConnections: e.connections(),
		MayReach: func() bool { return e.mayReach(id) },
	}
	if outbound.Left <= 0 {
		return verdictUnreached
	}
	e.observe(Event{Step: StepSent, Instance: id, Software: candidate.Instance.Software, Load: candidate.Load, Candidates: candidate.Of, ChosenBy: candidate.By, Left: outbound.Left})
	e.phase = PhaseAttempt
	e.contentTurnEnds = time.Time{}
	e.gateway.tracker.Begin(id, e.request.PromptTokens)
	e.leaveLine()
	e.reading, e.sentAt, e.startedAt = true, e.gateway.Now(), time.Time{}
	response, err := e.gateway.upstream.Send(ctx, outbound)
	if err != nil {
		return e.failedSend(ctx, candidate.Instance, err)
	}
	e.sentTo = append(e.sentTo, id)
	if !response.Executed() {
		return e.declined(id, response)
	}
	e.ran()
	e.phase, e.framing = PhaseAnswering, response.Framing()
	return e.pass(ctx, candidate, response)
}

// ran notes that an instance runs the request, or may have run it.
func (e *exchange) ran() {
	e.mayHaveRun = true
	// The run has used the allowance; a further one needs its own.
	e.allowedAt = time.Time{}
}

// connections is this daemon's part of the connections to one instance.
func (e *exchange) connections() int {
	service := e.gateway.view.Load().Service(e.service)
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	return max(1, int(float64(service.MaxConnections)*e.gateway.settings.ShareOfConnections()))
}

func (e *exchange) failedSend(ctx context.Context, instance *fleet.Instance, err error) verdict {
	id := instance.ID
	if ErrNotSent.Has(err) {
		outcome := balance.Unreached
		ownReason := ErrNoConnection.Has(err) || ErrBarred.Has(err)
		if ctx.Err() != nil || ownReason {
			outcome = balance.Abandoned
		}
		if !ownReason {
			e.passOver(id)
		}
		e.end(id, outcome)
		e.observe(Event{Step: StepUnreached, Instance: id, Err: err})
		return verdictUnreached
	}
	e.sentTo = append(e.sentTo, id)
	e.ran()
	outcome := balance.Broken
	if ctx.Err() != nil {
		outcome = balance.Failed
	}
	e.brokenBy(ctx, instance)
	e.end(id, blame(ctx, outcome))
	e.observe(Event{Step: StepAttemptFailed, Instance: id, Err: err})
	return verdictBroken
}

// blame returns the outcome of an attempt that ended without a whole answer: the
// instance is not to blame if the client left or this daemon ends.
func blame(ctx context.Context, outcome balance.Outcome) balance.Outcome {
	if clientLeft(ctx) || drain.Stopped(ctx) {
		return balance.Abandoned
	}
	return outcome
}

func (e *exchange) declined(id string, response Response) verdict {
	misdirected := response.Misdirected()
	status := response.Status()
	response.Close()
	outcome := balance.Declined
	if misdirected {
		outcome = balance.Abandoned
		e.gateway.tracker.Missing(time.Now(), id, e.request.Model, e.request.Adapter, missingSpan)
	} else {
		// The instance had less room than was counted on.
		e.slotAt = nil
	}
	e.end(id, outcome)
	if !misdirected {
		e.turnedAway(id)
	}
	e.observe(Event{Step: StepDeclined, Instance: id, Status: status})
	return verdictDeclined
}

// started notes that the instance has begun to answer.
func (e *exchange) started(id string) {
	if e.reading {
		e.reading = false
		e.gateway.tracker.Started(id, e.request.PromptTokens)
	}
}

func (e *exchange) end(id string, outcome balance.Outcome) {
	e.started(id)
	e.giveBackSlot()
	siblings := e.gateway.view.Load().Instances(e.service)
	if e.gateway.tracker.End(time.Now(), id, outcome, siblings) {
		e.observe(Event{Step: StepEjected, Instance: id})
	}
}
