package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/membudget"
)

const (
	statusOK              = 200
	statusMultipleChoices = 300
	statusServerError     = 500

	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
)

// unknownLength is the length of an answer whose length is not announced in its head.
const unknownLength = -1

// relay relays an instance's answer to the client.
func (e *exchange) relay(ctx context.Context, candidate *balance.Candidate, response Response) attemptResult {
	defer response.Close()
	if e.route.Kind == fleet.KindStream && response.Status() == statusOK && response.Signed() {
		return e.relayStream(ctx, candidate, response)
	}
	return e.relayBuffered(ctx, candidate.Instance, response)
}

// relayBuffered reads the whole answer before sending any of it to the client. A truncated answer can then be retried,
// or reported to the client as a failure. An answer that is too large for that, or for which there is no memory, is relayed as
// it arrives.
func (e *exchange) relayBuffered(ctx context.Context, instance *fleet.Instance, response Response) attemptResult {
	id := instance.ID
	memory := e.gateway.settings.Memory.Reserve(membudget.AnswerBody)
	defer memory.Release()
	body, err := memory.ReadAll(response, firstBufferBytes(response), maxBufferedBytes)
	partial := membudget.ErrTooLarge.Has(err) || membudget.ErrExhausted.Has(err)
	if err != nil && !partial {
		e.reportBroken(ctx, instance)
		e.end(id, attributableOutcome(ctx, balance.Failed))
		e.observe(Event{Step: StepAttemptFailed, Instance: id, Status: response.Status(), Err: err})
		return attemptBroken
	}
	outcome, usable := e.judge(response)
	switch {
	case !usable:
		e.end(id, outcome)
		e.observe(Event{Step: StepAttemptFailed, Instance: id, Status: response.Status()})
		return attemptBroken
	case e.answerStarted:
		e.end(id, outcome)
		return attemptBroken
	case partial:
		return e.relayLarge(ctx, instance, response, bufferedHead{body, &memory}, outcome)
	}
	e.end(id, outcome)
	if response.Status() < statusMultipleChoices {
		e.recordServed(id)
	}
	e.answerStarted = true
	if e.reply.Begin(response.Status(), response.Header(), int64(len(body))) != nil || e.reply.Write(body) != nil {
		e.reply.Abort()
	}
	e.observe(Event{Step: StepEnded, Instance: id, Status: response.Status(), Reason: ReasonAnswered})
	return attemptEnded
}

// firstBufferBytes returns the size of the first buffer for a body. It is not taken from the memory budget: it is bounded by
// the number of connections.
func firstBufferBytes(response Response) int64 {
	if length := response.Length(); length >= 0 {
		return min(pieceBytes, length+1)
	}
	return pieceBytes
}

// judge returns the outcome of an answer whose body arrives completely, and whether the client may get it. An answer without
// a signature, one that falsely implies that the request was not run, and a failure that another instance may avoid are not
// for the client.
func (e *exchange) judge(response Response) (outcome balance.Outcome, usable bool) {
	status := response.Status()
	switch {
	case !response.Signed() && status < statusMultipleChoices, impliesNotRun(status):
		return balance.Failed, false
	case status >= statusServerError:
		return balance.Failed, !e.mayRetryFailure()
	default:
		return balance.Served, true
	}
}

// impliesNotRun reports whether a status implies to the client that the request was not executed. An answer with such a
// status from an instance that executed the request is not relayed.
func impliesNotRun(status int) bool {
	switch status {
	case statusUnavailable, statusTooManyRequests, statusRequestTimeout, statusMisdirected:
		return true
	}
	return false
}

// mayRetryFailure reports whether an answer with an error status may be discarded because another instance can be
// tried.
func (e *exchange) mayRetryFailure() bool {
	return e.route.Repeatable() && len(e.attemptedInstances) < e.route.MaxAttempts
}

// bufferedHead is the part of an answer that has been read before the rest is relayed, with its memory.
type bufferedHead struct {
	body   []byte
	memory *membudget.Reservation
}

// relayLarge relays an answer that cannot be buffered as a whole. Outcome is that of the answer if the rest arrives.
func (e *exchange) relayLarge(ctx context.Context, instance *fleet.Instance, response Response, head bufferedHead, outcome balance.Outcome) attemptResult {
	id := instance.ID
	e.recordAnswerStart(id)
	e.answerStarted = true
	if e.reply.Begin(response.Status(), response.Header(), response.Length()) != nil || e.reply.Write(head.body) != nil {
		return e.endForClient(id)
	}
	head.memory.Release()
	buffer := make([]byte, pieceBytes)
	for {
		count, err := response.Read(buffer)
		if count > 0 && e.reply.Write(buffer[:count]) != nil {
			return e.endForClient(id)
		}
		if errors.Is(err, io.EOF) {
			e.end(id, outcome)
			if response.Status() < statusMultipleChoices {
				e.recordServed(id)
			}
			e.observe(Event{Step: StepEnded, Instance: id, Status: response.Status(), Reason: ReasonAnswered})
			return attemptEnded
		}
		if err != nil {
			e.reportBroken(ctx, instance)
			e.end(id, attributableOutcome(ctx, balance.Failed))
			e.fail(ctx, ReasonBroken)
			return attemptEnded
		}
	}
}

// endForClient ends an answer whose client no longer accepts bytes.
func (e *exchange) endForClient(id string) attemptResult {
	e.end(id, balance.Abandoned)
	e.observe(Event{Step: StepEnded, Instance: id, Reason: ReasonClientDisconnected})
	e.reply.Abort()
	return attemptEnded
}

// relayStream relays the events of a stream as they arrive. For a resumable stream only complete events are relayed, so
// that another instance can continue after the last one.
func (e *exchange) relayStream(ctx context.Context, candidate *balance.Candidate, response Response) attemptResult {
	id := candidate.Instance.ID
	buffer := make([]byte, pieceBytes)
	events := eventSplitter{memory: e.gateway.settings.Memory.Reserve(membudget.Event), resumedAfter: e.resumeAfter}
	defer events.memory.Release()
	// A run that resumes after the last event of a stream produces no events of its own.
	mayBeEmpty := e.resumeAfter != "" && !e.nextEventBegun
	var gaps sampler
	sampling := e.isSampled()
	for {
		count, err := response.Read(buffer)
		if count > 0 {
			e.recordAnswerPiece(candidate)
			if sampling && gaps.record(e.gateway.Now(), buffer[:count]) {
				e.reportSample(id, &gaps)
			}
			piece, eventError := e.nextEvents(&events, buffer[:count])
			if eventError != nil {
				return e.rejectEvent(ctx, id, eventError)
			}
			if !e.writePiece(candidate.Instance, response, piece) {
				return e.endForClient(id)
			}
			if events.lastID != "" {
				e.resumeAfter = events.lastID
			}
			e.lacksResumePoint = events.lacksID
			e.nextEventBegun = events.scanner.inEvent || e.nextEventBegun && !events.scanner.eventEnded
		}
		if errors.Is(err, io.EOF) {
			if truncationError := events.scanner.truncationError(response.Framing(), mayBeEmpty); truncationError != nil {
				err = truncationError
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			e.recordWholeAnswer(candidate)
			if sampling {
				e.reportSample(id, &gaps)
			}
			return e.finishStream(candidate.Instance, response, &events)
		default:
			e.reportBroken(ctx, candidate.Instance)
			e.end(id, attributableOutcome(ctx, balance.Failed))
			e.observe(Event{Step: StepStreamTruncated, Instance: id, Err: err})
			return attemptBroken
		}
	}
}

// nextEvents adds a piece of a stream and returns what may be forwarded now.
func (e *exchange) nextEvents(events *eventSplitter, piece []byte) ([]byte, error) {
	if e.route.Resumable {
		return events.completeEvents(piece)
	}
	_, err := events.checkSize(piece)
	return piece, err
}

// rejectEvent ends a stream with an event that is too large, that does not continue the stream, or for which there is no
// memory. Only the first counts against the instance: clients choose after which event a stream continues.
func (e *exchange) rejectEvent(ctx context.Context, id string, err error) attemptResult {
	outcome := balance.Abandoned
	if OversizedPart(err) != "" {
		outcome = balance.Broken
	}
	e.end(id, attributableOutcome(ctx, outcome))
	e.observe(Event{Step: StepStreamTruncated, Instance: id, Oversized: OversizedPart(err), Err: err})
	return attemptBroken
}

// finishStream ends a stream that has arrived completely.
func (e *exchange) finishStream(instance *fleet.Instance, response Response, events *eventSplitter) attemptResult {
	id := instance.ID
	e.end(id, balance.Served)
	e.recordServed(id)
	if !e.writePiece(instance, response, events.remainder()) {
		e.reply.Abort()
	}
	if !e.answerStarted {
		e.answerStarted = true
		_ = e.reply.Begin(response.Status(), response.Header(), unknownLength)
	}
	e.observe(Event{Step: StepEnded, Instance: id, Status: response.Status(), Reason: ReasonAnswered})
	return attemptEnded
}

// writePiece sends a piece of a stream to the client, preceded by the head if that has not been sent yet. The length
// given by the instance is not relayed: a truncated stream must not look complete to the client, and another instance
// may continue it with different bytes. It reports whether the client still accepts bytes.
func (e *exchange) writePiece(instance *fleet.Instance, response Response, piece []byte) bool {
	if len(piece) == 0 {
		return true
	}
	if !e.answerStarted {
		e.answerStarted = true
		e.recordStart(instance)
		if e.reply.Begin(response.Status(), response.Header(), unknownLength) != nil {
			return false
		}
	}
	e.deliveryTimes.recordPiece(e.gateway.Now())
	return e.reply.Write(piece) == nil
}

// delivery records when the pieces of a stream were written to the client.
type delivery struct {
	firstAt, lastAt time.Time
	maxGap          time.Duration
}

func (d *delivery) recordPiece(now time.Time) {
	if d.firstAt.IsZero() {
		d.firstAt = now
	} else {
		d.maxGap = max(d.maxGap, now.Sub(d.lastAt))
	}
	d.lastAt = now
}
