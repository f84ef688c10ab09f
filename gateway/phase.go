package gateway

import (
	"context"
	"errors"
)

// Phase is how far a request has come.
type Phase string

const (
	// PhaseChoosing says that an instance is being chosen, here or at the dispatcher.
	PhaseChoosing Phase = "choosing"
	// PhaseWaiting says that no instance can take the request now.
	PhaseWaiting Phase = "waiting"
	// PhasePaced says that it is held back while all instances have much to do.
	PhasePaced Phase = "paced"
	// PhaseAttempt says that an instance was chosen and has not begun to answer.
	PhaseAttempt Phase = "attempt"
	// PhaseAnswering says that an instance's answer arrives.
	PhaseAnswering Phase = "answering"
)

// clientLeft reports whether a request's context ended because its client left.
func clientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

// stopped reports whether a request's context ended because this daemon ends.
func stopped(ctx context.Context) bool { return ErrStopped.Has(context.Cause(ctx)) }
