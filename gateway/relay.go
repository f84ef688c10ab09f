package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

const (
	statusOK              = 200
	statusMultipleChoices = 300
	statusServerError     = 500

	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
)

// unknownLength is the length of an answer that does not tell it beforehand.
const unknownLength = -1

// pass hands an answer on to the client.
func (e *exchange) pass(ctx context.Context, candidate *balance.Candidate, response Response) verdict {
	defer response.Close()
	if e.route.Kind == fleet.KindStream && response.Status() == statusOK && response.Signed() {
		return e.passStream(ctx, candidate, response)
	}
	return e.passWhole(ctx, candidate.Instance, response)
}

// passWhole takes in the whole answer before the client sees any of it, so that
// one that breaks off can be repeated or told apart.
func (e *exchange) passWhole(ctx context.Context, instance *fleet.Instance, response Response) verdict {
	id := instance.ID
	body, err := io.ReadAll(io.LimitReader(response, maxWhole+1))
	if err != nil {
		e.brokenBy(ctx, instance)
		e.end(id, blame(ctx, balance.Failed))
		e.observe(Event{Step: StepAttemptFailed, Instance: id, Status: response.Status(), Err: err})
		return verdictBroken
	}
	if len(body) > maxWhole {
		e.end(id, balance.Served)
		return e.passLarge(ctx, instance, response, body)
	}
	genuine := (response.Signed() || response.Status() >= statusMultipleChoices) && !promisesNotRun(response.Status())
	if response.Status() >= statusServerError || !genuine {
		e.end(id, balance.Failed)
		if !genuine || e.canRepeatFailure() {
			e.observe(Event{Step: StepAttemptFailed, Instance: id, Status: response.Status()})
			return verdictBroken
		}
	} else {
		e.end(id, balance.Served)
		if response.Status() < statusMultipleChoices {
			e.endedWell(id)
		}
	}
	if e.begun {
		return verdictBroken
	}
	e.begun = true
	if e.reply.Begin(response.Status(), response.Header(), int64(len(body))) != nil || e.reply.Write(body) != nil {
		e.reply.Abort()
	}
	e.observe(Event{Step: StepEnded, Instance: id, Status: response.Status(), Reason: ReasonAnswered})
	return verdictEnded
}

// promisesNotRun reports whether a status tells the client that the request has
// not run. An instance that ran it may not say so to the client.
func promisesNotRun(status int) bool {
	switch status {
	case statusUnavailable, statusTooManyRequests, statusRequestTimeout, statusMisdirected:
		return true
	}
	return false
}

// canRepeatFailure reports whether an answer that tells of a failure may be
// dropped because another instance can be tried.
func (e *exchange) canRepeatFailure() bool {
	return e.route.Repeatable() && len(e.sentTo) < e.route.MaxAttempts
}

// passLarge hands on an answer that is too large to be taken in whole.
func (e *exchange) passLarge(ctx context.Context, instance *fleet.Instance, response Response, head []byte) verdict {
	id := instance.ID
	if e.begun {
		return verdictBroken
	}
	e.begun = true
	if e.reply.Begin(response.Status(), response.Header(), response.Length()) != nil || e.reply.Write(head) != nil {
		e.reply.Abort()
		return verdictEnded
	}
	buffer := make([]byte, pieceSize)
	for {
		count, err := response.Read(buffer)
		if count > 0 && e.reply.Write(buffer[:count]) != nil {
			e.reply.Abort()
			return verdictEnded
		}
		if errors.Is(err, io.EOF) {
			e.endedWell(id)
			e.observe(Event{Step: StepEnded, Instance: id, Status: response.Status(), Reason: ReasonAnswered})
			return verdictEnded
		}
		if err != nil {
			e.brokenBy(ctx, instance)
			e.giveUp(ctx, ReasonBroken)
			return verdictEnded
		}
	}
}

// passStream hands on the events of a stream as they come. For a stream that may
// be resumed only whole events are passed on, so that another instance can go on
// after the last one.
func (e *exchange) passStream(ctx context.Context, candidate *balance.Candidate, response Response) verdict {
	id := candidate.Instance.ID
	buffer := make([]byte, pieceSize)
	var events eventCutter
	// A run that goes on after the last event of a stream has none of its own.
	resumed := e.resumeAfter != ""
	var pauses sampler
	sampling := e.samples()
	for {
		count, err := response.Read(buffer)
		if count > 0 {
			e.answering(candidate)
			if sampling && pauses.read(e.gateway.Now(), buffer[:count]) {
				e.sampled(id, &pauses)
			}
			piece := buffer[:count]
			if e.route.Resumable {
				piece = events.whole(piece)
			} else {
				events.scanner.scan(piece)
			}
			if !e.forward(candidate.Instance, response, piece) {
				e.end(id, balance.Abandoned)
				e.observe(Event{Step: StepEnded, Instance: id, Reason: ReasonClientGone})
				e.reply.Abort()
				return verdictEnded
			}
			if events.lastID != "" {
				e.resumeAfter = events.lastID
			}
		}
		if errors.Is(err, io.EOF) {
			if brokenOff := events.scanner.brokenOff(response.Framing(), resumed); brokenOff != nil {
				err = brokenOff
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			e.answered(candidate)
			if sampling {
				e.sampled(id, &pauses)
			}
			return e.streamEnded(candidate.Instance, response, &events)
		default:
			e.brokenBy(ctx, candidate.Instance)
			e.end(id, blame(ctx, balance.Failed))
			e.observe(Event{Step: StepStreamBroke, Instance: id, Err: err})
			return verdictBroken
		}
	}
}

// streamEnded ends a stream that is whole.
func (e *exchange) streamEnded(instance *fleet.Instance, response Response, events *eventCutter) verdict {
	id := instance.ID
	e.end(id, balance.Served)
	e.endedWell(id)
	if !e.forward(instance, response, events.rest()) {
		e.reply.Abort()
	}
	if !e.begun {
		e.begun = true
		_ = e.reply.Begin(response.Status(), response.Header(), unknownLength)
	}
	e.observe(Event{Step: StepEnded, Instance: id, Status: response.Status(), Reason: ReasonAnswered})
	return verdictEnded
}

// forward sends a piece of a stream, after the head if that is still due. The length that the instance gave is not passed
// on: what has gone out when the stream breaks off must not look whole, and another instance may go on with other bytes. It
// reports whether the client still takes bytes.
func (e *exchange) forward(instance *fleet.Instance, response Response, piece []byte) bool {
	if len(piece) == 0 {
		return true
	}
	if !e.begun {
		e.begun = true
		e.began(instance)
		if e.reply.Begin(response.Status(), response.Header(), unknownLength) != nil {
			return false
		}
	}
	e.pace.note(e.gateway.Now())
	return e.reply.Write(piece) == nil
}

// delivery is when the pieces of a stream were handed to the client.
type delivery struct {
	firstAt, lastAt time.Time
	longest         time.Duration
}

func (p *delivery) note(now time.Time) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	} else {
		p.longest = max(p.longest, now.Sub(p.lastAt))
	}
	p.lastAt = now
}
