package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quota"
)

// Notices tracks what instances announce about themselves (limits, rests, full slots) and decides which of them may get
// requests from this daemon. It must be safe for concurrent use. Only AcquireTurn and AcquireSlot block.
type Notices interface {
	// Exclusions lists the instances that must get no request now. The list must not be modified.
	Exclusions() []Exclusion
	// Excluded reports whether the instance must get no request now. An instance that only is at its limit is not
	// barred.
	Excluded(instance string) bool
	// AcquireTurn acquires a turn at an instance that limits the requests from all daemons together. It is granted only
	// if it starts within the given time.
	AcquireTurn(ctx context.Context, instance string, within time.Duration) Turn
	// HasRoom reports whether the instance may get another request from this daemon. The parameter requests is the
	// known number of requests at the instance. The result is false only for brittle instances: those that fail when
	// they have to reject requests.
	HasRoom(instance *fleet.Instance, requests int) bool
	// AcquireSlot takes a slot of a brittle instance for a request. The parameter requests is the known number of
	// requests at the instance. ReleaseSlot is called when the request has ended, or is not sent.
	AcquireSlot(ctx context.Context, instance *fleet.Instance, requests int) Slot
	ReleaseSlot(instance *fleet.Instance)
	// RecordRefusal records that an instance rejected a request because it had no free slot.
	RecordRefusal(instance *fleet.Instance)
}

// Exclusion bars an instance from requests. An instance that balance.Tracker advises against is still used if there is
// no other one; a barred instance is not.
type Exclusion struct {
	Instance string
	Reason   Reason
	// Until is the end of the exclusion; the zero time if it is unknown.
	Until time.Time
}

// Slot is the result of AcquireSlot.
type Slot uint8

const (
	// SlotTaken means that the request may be sent, and that its slot has to be released afterwards.
	SlotTaken Slot = iota
	// SlotUncounted means that the request may be sent and that there is no slot to release: the instance's slots are
	// not counted.
	SlotUncounted
	// SlotDenied means that all slots are in use.
	SlotDenied
)

// Turn is the right to send one request to an instance, or with a suspected content, where a limit applies to all
// daemons together; or the answer that there is no such right now.
type Turn struct {
	Granted bool
	// Limited says that such a limit applies, so that the turn expires.
	Limited bool
	// Wait is the time until the request may be sent or, if no turn is granted, until one may be available.
	Wait time.Duration
}

// exclusions returns the instances that must not get this request now. Those at their limit are listed separately,
// because a turn may be available there soon.
func (e *exchange) exclusions() (barred, atLimit []string) {
	if e.gateway.settings.Notices == nil {
		return nil, nil
	}
	for _, bar := range e.gateway.settings.Notices.Exclusions() {
		if bar.Reason == ReasonAtLimit {
			atLimit = append(atLimit, bar.Instance)
		} else {
			barred = append(barred, bar.Instance)
		}
	}
	return barred, atLimit
}

// acquireTurn acquires a turn at an instance, waits until it starts, and reports whether the request may be sent there
// now. If no turn is granted, the request's slot at the instance is released.
func (e *exchange) acquireTurn(ctx context.Context, instance *fleet.Instance, within time.Duration) bool {
	notices := e.gateway.settings.Notices
	if notices == nil {
		return true
	}
	turn := notices.AcquireTurn(ctx, instance.ID, within)
	if !turn.Granted {
		e.releaseSlot()
		e.retryDelay = turn.Wait
		return false
	}
	if turn.Wait > 0 {
		e.observeOnce(StepWaiting, ReasonAtLimit)
		e.phase = PhaseWaiting
		sleep(ctx, turn.Wait)
	}
	e.instanceTurnExpires = time.Time{}
	if turn.Limited {
		e.instanceTurnExpires = e.gateway.Now().Add(quota.GrantTTL)
	}
	return ctx.Err() == nil
}

// stillAllowed reports whether the request may still be sent to an instance. It is the last check before the first
// byte, because the state may have changed while an instance was chosen, a turn acquired and a connection established.
func (e *exchange) stillAllowed(instance string) bool {
	if current := e.gateway.view.Load().Instance(instance); current != nil && current.Leaving {
		return false
	}
	notices := e.gateway.settings.Notices
	if notices == nil {
		return true
	}
	expired := !e.instanceTurnExpires.IsZero() && !e.gateway.Now().Before(e.instanceTurnExpires)
	return !expired && !notices.Excluded(instance)
}

// atLimit tries to acquire a turn that starts soon at an instance that is at its limit. It is used when no other
// instance can take the request.
func (e *exchange) atLimit(ctx context.Context, view *fleet.View, excluded []string) (*balance.Candidate, searchResult) {
	candidate := e.pick(ctx, view, excluded)
	switch {
	case ctx.Err() != nil:
		return nil, searchExpired
	case candidate == nil:
		return nil, searchNone
	case !e.hasConnection(candidate.Instance):
		return nil, searchNoConnection
	case !e.hasRoom(candidate) || !e.acquireSlot(ctx, candidate):
		return nil, searchFull
	case e.acquireTurn(ctx, candidate.Instance, quota.MaxTurnWait):
		return candidate, searchReady
	case ctx.Err() != nil:
		return nil, searchExpired
	default:
		return nil, searchAtLimit
	}
}

// earliestRestEnd returns the earliest end of a rest among the instances that have what the request needs and were not
// tried yet. It returns the zero time unless all of them are resting, that is, have asked for no requests for a time.
func (e *exchange) earliestRestEnd(view *fleet.View) time.Time {
	var until time.Time
	if e.gateway.settings.Notices == nil {
		return until
	}
	resting := map[string]time.Time{}
	for _, bar := range e.gateway.settings.Notices.Exclusions() {
		if bar.Reason == ReasonResting {
			resting[bar.Instance] = bar.Until
		}
	}
	for _, instance := range view.Instances(e.service) {
		if instance.Leaving || !e.hasModel(instance) || !e.requiredOrigin.allows(instance) || slices.Contains(e.excludedInstances(), instance.ID) || slices.Contains(e.unreachable, instance.ID) {
			continue
		}
		end, rests := resting[instance.ID]
		if !rests {
			return time.Time{}
		}
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until
}
