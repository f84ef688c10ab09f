package gateway

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/quota"
)

// Quarantine finds request contents, and prompt parts shared by several requests, that crash the instances that run
// them. Such contents and parts are held: for a time, no request with them is sent to an instance. Only
// AcquireSuspectTurn and AwaitCrashCheck block.
type Quarantine interface {
	// HasSuspects reports whether any content or part is suspected. While none is, which is nearly always,
	// requests need no digest.
	HasSuspects() bool
	Digest(content *quarantine.Content) quarantine.Digest
	// PartDigest returns the digest of the shared prompt part with this ID.
	PartDigest(id string) quarantine.Digest
	// HeldUntil returns the time until which the request may not be sent to an instance, and the content or part that
	// is the cause. The time is zero if the request is not held.
	HeldUntil(request *quarantine.Attributes) (until time.Time, cause quarantine.Digest)
	// AcquireSuspectTurn acquires the right to run a request now whose content, or one of whose parts, was running when
	// an instance crashed. Such requests run one after the other in the whole fleet: the next one starts only after the
	// time that a verdict on the previous one takes. A request without a suspected content or part always gets the
	// turn.
	AcquireSuspectTurn(ctx context.Context, request *quarantine.Attributes) Turn
	// RecordBroken records that an instance closed the connection of a request that it ran. Whether the instance
	// crashed is determined afterwards.
	RecordBroken(instance *fleet.Instance, victim quarantine.InterruptedRequest)
	// AwaitCrashCheck waits for a short time until the check whether the instance crashed is done. Without this wait,
	// the next attempt would start before the result of the failed one is known.
	AwaitCrashCheck(ctx context.Context, instance *fleet.Instance)
	// RecordSuccess records that a request was answered successfully. RecordAnswer records that the instance served a
	// request that was sent at the time began.
	RecordSuccess(request *quarantine.Attributes)
	RecordAnswer(instance string, began time.Time)
	// RecordHarmlessPrompt records that a request with this prompt was answered successfully. It is called for every
	// such request, also while nothing is suspected.
	RecordHarmlessPrompt(prompt []PromptPart)
}

// attributes returns the digests of the request's content and shared prompt parts, by which the quarantine matches it.
// They are computed once.
func (e *exchange) attributes() *quarantine.Attributes {
	if e.quarantineAttributes == nil {
		request := e.request
		tracker := e.gateway.settings.Quarantine
		e.quarantineAttributes = &quarantine.Attributes{Content: tracker.Digest(&quarantine.Content{
			Caller: request.Key, Method: request.Method, Host: request.RouteHost, URI: request.URI, Body: request.Body,
		})}
		for _, part := range sharedParts(request.Prompt) {
			e.quarantineAttributes.Parts = append(e.quarantineAttributes.Parts, quarantine.Part{ID: part.ID, Digest: tracker.PartDigest(part.ID)})
		}
	}
	return e.quarantineAttributes
}

// maxSharedParts is the maximum number of parts of a prompt that the quarantine checks.
const maxSharedParts = 32

// sharedParts returns the parts of a prompt that other requests may share: all but the last one, up to maxSharedParts.
func sharedParts(prompt []PromptPart) []PromptPart {
	return prompt[:min(maxSharedParts, max(0, len(prompt)-1))]
}

// suspected reports whether any content or part is suspected at all, so that this request has to be checked.
func (e *exchange) suspected() bool {
	return e.gateway.settings.Quarantine != nil && e.gateway.settings.Quarantine.HasSuspects()
}

// held reports whether the request must not be sent to an instance. It is checked when the request
// arrives, while it waits and just before each send, because other requests may have run the same content meanwhile.
func (e *exchange) held() bool {
	if !e.suspected() {
		return false
	}
	until, cause := e.gateway.settings.Quarantine.HeldUntil(e.attributes())
	e.holdCause = cause
	return !until.IsZero()
}

// verdictPollInterval is the interval at which a request that waits for the verdict on its content checks again:
// another request with the same content may have succeeded, or another instance may have crashed.
const verdictPollInterval = 50 * time.Millisecond

// verdictWait is the result of the wait for the verdict on a content.
type verdictWait uint8

const (
	// verdictImmediate means that the request may be sent now and did not wait.
	verdictImmediate verdictWait = iota
	// verdictWaited means that the wait is over, so that the choice of the instance may be outdated. The request may be
	// sent, unless it is held by now.
	verdictWaited
	// verdictOverdue means that the request cannot be sent within the time that it may wait.
	verdictOverdue
)

// awaitVerdict waits until the request may run if its content, or one of its parts, is suspected of crashing instances.
func (e *exchange) awaitVerdict(ctx context.Context) verdictWait {
	outcome := verdictImmediate
	for e.suspected() && !e.gateway.Now().Before(e.suspectTurnExpires) {
		if e.held() {
			return verdictWaited
		}
		turn := e.gateway.settings.Quarantine.AcquireSuspectTurn(ctx, e.attributes())
		if turn.Granted {
			e.suspectTurnExpires = e.gateway.Now().Add(quota.GrantTTL)
			break
		}
		e.retryDelay = turn.Wait
		if ctx.Err() != nil || turn.Wait > e.until(e.turnDeadline()) {
			return verdictOverdue
		}
		e.leaveQueue()
		e.phase = PhaseWaiting
		e.observeOnce(StepWaiting, ReasonSuspected)
		sleep(ctx, verdictPollInterval)
		outcome = verdictWaited
	}
	return outcome
}

// turnDeadline returns until when the request waits for a turn. It is a share of the time left once there is an instance
// for it, however long it waited for that instance: turns are at most seconds away, and it has a place to run.
func (e *exchange) turnDeadline() time.Time {
	if e.turnWaitUntil.IsZero() {
		left := e.until(e.firstEventDeadline)
		e.turnWaitUntil = e.gateway.Now().Add(time.Duration(float64(left) * e.gateway.settings.MaxWaitShare))
	}
	return e.turnWaitUntil
}

// holdTimeLeft returns the time for which the request is still held.
func (e *exchange) holdTimeLeft() time.Duration {
	until, _ := e.gateway.settings.Quarantine.HeldUntil(e.attributes())
	return max(0, e.until(until))
}

// reportBroken reports to the quarantine that the instance closed the request's connection, unless the client or this
// daemon closed it.
func (e *exchange) reportBroken(ctx context.Context, instance *fleet.Instance) {
	if e.gateway.settings.Quarantine == nil || ctx.Err() != nil || attributableOutcome(ctx, balance.Broken) != balance.Broken {
		return
	}
	e.gateway.settings.Quarantine.RecordBroken(instance, quarantine.InterruptedRequest{
		Content: e.attributes().Content, Parts: e.attributes().Parts, Began: e.sentAt,
	})
}

// awaitCrashCheck waits after an attempt whose connection broke, if another attempt is allowed, for the check whether
// the instance crashed.
func (e *exchange) awaitCrashCheck(ctx context.Context, last attemptResult, instance *fleet.Instance) {
	if last == attemptBroken && e.route.Repeatable() && e.gateway.settings.Quarantine != nil {
		e.gateway.settings.Quarantine.AwaitCrashCheck(ctx, instance)
	}
}

// reportSuccess reports to the quarantine that the instance completed the request, so its content and parts are
// harmless.
func (e *exchange) reportSuccess(instance string) {
	tracker := e.gateway.settings.Quarantine
	if tracker == nil {
		return
	}
	tracker.RecordAnswer(instance, e.sentAt)
	if e.clearsSharedParts() {
		tracker.RecordHarmlessPrompt(e.request.Prompt)
	}
	if !e.suspected() {
		return
	}
	served := *e.attributes()
	if !e.clearsSharedParts() {
		served.Parts = nil
	}
	tracker.RecordSuccess(&served)
}

// minHarmlessDuration is the minimum time for which an answer has to continue to show that the instance did not crash
// when it started to write.
const minHarmlessDuration = 500 * time.Millisecond

// clearsSharedParts reports whether the completed answer shows that the shared parts of the prompt are harmless. If the
// end of the connection marks the end of the body, a crash between two events looks like a complete answer. In this
// case only an answer that continued for minHarmlessDuration counts.
func (e *exchange) clearsSharedParts() bool {
	if len(e.request.Prompt) < 2 {
		return false
	}
	return e.framing != FramedByConnection || !e.deliveryTimes.firstAt.IsZero() && e.since(e.deliveryTimes.firstAt) >= minHarmlessDuration
}
