package gateway

import (
	"context"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/internal/messagehead"
)

// failedSend ends an attempt without the head of an answer.
func (e *exchange) failedSend(ctx context.Context, instance *fleet.Instance, err error) attemptResult {
	id := instance.ID
	if ErrNotSent.Has(err) {
		outcome := balance.Unreached
		localCause := ErrNoConnection.Has(err) || ErrExcluded.Has(err)
		if ctx.Err() != nil || localCause {
			outcome = balance.Abandoned
		}
		if !localCause {
			e.recordUnreached(id)
		}
		e.refundRetry()
		e.end(id, outcome)
		e.observe(Event{Step: StepUnreached, Instance: id, Err: err})
		return attemptUnreached
	}
	e.attemptedInstances = append(e.attemptedInstances, id)
	e.recordRun()
	outcome := balance.Broken
	if ctx.Err() != nil {
		outcome = balance.Failed
	}
	switch {
	case membudget.ErrExhausted.Has(err):
		outcome = balance.Abandoned
	case OversizedPart(err) == "":
		e.reportBroken(ctx, instance)
	}
	e.end(id, attributableOutcome(ctx, outcome))
	e.observe(Event{Step: StepAttemptFailed, Instance: id, Oversized: OversizedPart(err), Malformed: messagehead.DefectOf(err), Err: err})
	return attemptBroken
}

// attributableOutcome returns the outcome of an attempt that ended without a whole answer. It does not count against
// the instance if the client disconnected or this daemon is shutting down.
func attributableOutcome(ctx context.Context, outcome balance.Outcome) balance.Outcome {
	if clientLeft(ctx) || drain.Stopped(ctx) {
		return balance.Abandoned
	}
	return outcome
}
