package gateway

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/quota"
)

// Quarantine finds contents, and parts that prompts share, which crash the instances that run them. Only SuspectTurn and
// Settled block.
type Quarantine interface {
	// Suspects reports whether any content is suspected. While none is, which is nearly always,
	// requests need no digest.
	Suspects() bool
	Digest(content *quarantine.Content) quarantine.Digest
	// PartDigest returns the digest of a shared part of prompts by its ID.
	PartDigest(id string) quarantine.Digest
	// HeldUntil returns until when a request is kept from instances, and for which content or part; the zero time if it
	// is not.
	HeldUntil(request *quarantine.Attributes) (until time.Time, cause quarantine.Digest)
	// SuspectTurn takes the right to run a request now although a server has crashed under its content or one of its
	// parts: of all such requests in the fleet, the next one runs only when there was time for a verdict on the one
	// before. A request of which nothing is suspected has it always.
	SuspectTurn(ctx context.Context, request *quarantine.Attributes) Turn
	// Broke notes that an instance ended the connection of a request that it ran. Whether it
	// crashed is still to be found out.
	Broke(instance *fleet.Instance, victim quarantine.Victim)
	// Settled waits a little until it was looked whether an instance crashed. The next attempt
	// would otherwise begin before what this one tells is known.
	Settled(ctx context.Context, instance *fleet.Instance)
	// Served notes that a run ended well, and Answered that an instance served a run that began at
	// a moment.
	Served(request *quarantine.Attributes)
	Answered(instance string, began time.Time)
	// Sound notes that a run with a prompt ended well. It is told of all of them, also while nothing is suspected.
	Sound(prompt []PromptPart)
}

// attributes returns what the request is judged by.
func (e *exchange) attributes() *quarantine.Attributes {
	if e.judgedBy == nil {
		request := e.request
		known := e.gateway.settings.Quarantine
		e.judgedBy = &quarantine.Attributes{Content: known.Digest(&quarantine.Content{
			Caller: request.Key, Method: request.Method, Host: request.RouteHost, URI: request.URI, Body: request.Body,
		})}
		for _, part := range sharedParts(request.Prompt) {
			e.judgedBy.Parts = append(e.judgedBy.Parts, quarantine.Part{ID: part.ID, Digest: known.PartDigest(part.ID)})
		}
	}
	return e.judgedBy
}

// mostSharedParts bounds the parts of a prompt that are judged.
const mostSharedParts = 32

// sharedParts returns the parts of a prompt that other requests may share: all but the last one.
func sharedParts(prompt []PromptPart) []PromptPart {
	return prompt[:min(mostSharedParts, max(0, len(prompt)-1))]
}

// suspected reports whether there is any content or part that this request may have.
func (e *exchange) suspected() bool {
	return e.gateway.settings.Quarantine != nil && e.gateway.settings.Quarantine.Suspects()
}

// held reports whether the request must not reach an instance. It is looked at when the request
// arrives, while it waits and just before each send: others may have run the same content meanwhile.
func (e *exchange) held() bool {
	if !e.suspected() {
		return false
	}
	until, cause := e.gateway.settings.Quarantine.HeldUntil(e.attributes())
	e.heldFor = cause
	return !until.IsZero()
}

// verdictPause is the pause between two looks of a request that waits for the verdict on its content: another copy
// may have ended well, or a further server may have crashed.
const verdictPause = 50 * time.Millisecond

// verdictWait is what a wait for the verdict on a content comes to.
type verdictWait uint8

const (
	// verdictOpen means that the request may be sent now.
	verdictOpen verdictWait = iota
	// verdictWaited means that it may be sent, and that time has passed since its instance was chosen.
	verdictWaited
	// verdictOverdue means that it may not be sent in the time that it can wait.
	verdictOverdue
)

// awaitVerdict waits until the request may run although a server has crashed under its content.
func (e *exchange) awaitVerdict(ctx context.Context) verdictWait {
	outcome := verdictOpen
	for e.suspected() && !e.gateway.Now().Before(e.contentTurnEnds) {
		if e.held() {
			return verdictWaited
		}
		turn := e.gateway.settings.Quarantine.SuspectTurn(ctx, e.attributes())
		if turn.Granted {
			e.contentTurnEnds = e.gateway.Now().Add(quota.AllowanceSpan)
			break
		}
		e.comeBack = turn.Wait
		if ctx.Err() != nil || turn.Wait > e.until(e.waitUntil) {
			return verdictOverdue
		}
		e.leaveLine()
		e.phase = PhaseWaiting
		e.observeOnce(StepWaiting, ReasonSuspected)
		sleep(ctx, verdictPause)
		outcome = verdictWaited
	}
	return outcome
}

// heldLeft is how long the request is still held.
func (e *exchange) heldLeft() time.Duration {
	until, _ := e.gateway.settings.Quarantine.HeldUntil(e.attributes())
	return max(0, e.until(until))
}

// brokenBy notes that an instance ended the request's connection, unless the client or this daemon did.
func (e *exchange) brokenBy(ctx context.Context, instance *fleet.Instance) {
	if e.gateway.settings.Quarantine == nil || ctx.Err() != nil || blame(ctx, balance.Broken) != balance.Broken {
		return
	}
	e.gateway.settings.Quarantine.Broke(instance, quarantine.Victim{
		Content: e.attributes().Content, Parts: e.attributes().Parts, Began: e.sentAt,
	})
}

// settle waits after a broken attempt, if there may be another one.
func (e *exchange) settle(ctx context.Context, last verdict, instance *fleet.Instance) {
	if last == verdictBroken && e.route.Repeatable() && e.gateway.settings.Quarantine != nil {
		e.gateway.settings.Quarantine.Settled(ctx, instance)
	}
}

// endedWell notes that an instance ran the request to a good end: its content and its parts are harmless.
func (e *exchange) endedWell(instance string) {
	known := e.gateway.settings.Quarantine
	if known == nil {
		return
	}
	known.Answered(instance, e.sentAt)
	if e.speaksForParts() {
		known.Sound(e.request.Prompt)
	}
	if !e.suspected() {
		return
	}
	served := *e.attributes()
	if !e.speaksForParts() {
		served.Parts = nil
	}
	known.Served(&served)
}

// longAnswer is how long an answer has to go on to show that its instance did not crash as it began to write.
const longAnswer = 500 * time.Millisecond

// speaksForParts reports whether the good end of the answer shows that the parts of its prompt are harmless. The end of one
// that ends with its connection may be a crash between two events; then only its length tells.
func (e *exchange) speaksForParts() bool {
	if len(e.request.Prompt) < 2 {
		return false
	}
	return e.framing != FramedByConnection || !e.pace.firstAt.IsZero() && e.since(e.pace.firstAt) >= longAnswer
}
