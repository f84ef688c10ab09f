package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quota"
)

// Notices tells what follows for this daemon from what instances have said of themselves. It must be
// safe for concurrent use. Only Admit and TakeSlot block.
type Notices interface {
	// Bars lists the instances that must get no request now. The list must not be changed.
	Bars() []Bar
	// Barred reports whether one of them must not.
	Barred(instance string) bool
	// Admit takes a turn at an instance that names how many requests it takes from all daemons together,
	// within a span at most.
	Admit(ctx context.Context, instance string, within time.Duration) Turn
	// HasRoom reports whether an instance may get another request from here, with so many that it is known to have. It
	// only says no for instances that fall over if they turn requests away.
	HasRoom(instance *fleet.Instance, requests int) bool
	// TakeSlot takes a slot of such an instance for a request, with so many that it is known to have. GiveBackSlot is
	// called when the request has ended, or is not sent.
	TakeSlot(ctx context.Context, instance *fleet.Instance, requests int) Slot
	GiveBackSlot(instance *fleet.Instance)
	// TurnedAway is told that an instance had no room for a request.
	TurnedAway(instance *fleet.Instance)
}

// Bar keeps requests from an instance. Unlike what balance.Tracker advises against, it holds also if there is no
// other instance.
type Bar struct {
	Instance string
	Reason   Reason
	// Until is when it ends; the zero time if that is not known.
	Until time.Time
}

// Slot says whether a request may be sent as far as the slots of its instance go.
type Slot uint8

const (
	// SlotTaken means that it may.
	SlotTaken Slot = iota
	// SlotUncounted means that it may, and that there is no slot to give back.
	SlotUncounted
	// SlotDenied means that all slots are in use.
	SlotDenied
)

// Turn is the right to send one request where requests go one after the other, or that there is none now.
type Turn struct {
	Granted bool
	// Limited says that they do: the turn lapses.
	Limited bool
	// Wait is until the request may be sent, or if not granted, until there may be a turn.
	Wait time.Duration
}

// bars returns the instances that must not get this request now. Those that are at their limit are listed apart:
// there may be a turn soon.
func (e *exchange) bars() (barred, atLimit []string) {
	if e.gateway.settings.Notices == nil {
		return nil, nil
	}
	for _, bar := range e.gateway.settings.Notices.Bars() {
		if bar.Reason == ReasonAtLimit {
			atLimit = append(atLimit, bar.Instance)
		} else {
			barred = append(barred, bar.Instance)
		}
	}
	return barred, atLimit
}

// takeTurn takes a turn at an instance, and reports whether the request may be sent there now.
func (e *exchange) takeTurn(ctx context.Context, instance *fleet.Instance, within time.Duration) bool {
	notices := e.gateway.settings.Notices
	if notices == nil {
		return true
	}
	got := notices.Admit(ctx, instance.ID, within)
	if !got.Granted {
		e.giveBackSlot()
		e.comeBack = got.Wait
		return false
	}
	if got.Wait > 0 {
		e.observeOnce(StepWaiting, ReasonAtLimit)
		e.phase = PhaseWaiting
		sleep(ctx, got.Wait)
	}
	e.instanceTurnEnds = time.Time{}
	if got.Limited {
		e.instanceTurnEnds = e.gateway.Now().Add(quota.AllowanceSpan)
	}
	return ctx.Err() == nil
}

// mayReach reports whether the request may still be sent to an instance. It is the last look before the first byte:
// a choice, a turn and a connection take their time.
func (e *exchange) mayReach(instance string) bool {
	if known := e.gateway.view.Load().Instance(instance); known != nil && known.Leaving {
		return false
	}
	notices := e.gateway.settings.Notices
	if notices == nil {
		return true
	}
	lapsed := !e.instanceTurnEnds.IsZero() && !e.gateway.Now().Before(e.instanceTurnEnds)
	return !lapsed && !notices.Barred(instance)
}

// atLimit looks for a turn soon at an instance that is at its limit, since no other can take the request.
func (e *exchange) atLimit(ctx context.Context, view *fleet.View, excluded []string) (*balance.Candidate, found) {
	candidate := e.pick(ctx, view, excluded)
	switch {
	case ctx.Err() != nil:
		return nil, foundTooLate
	case candidate == nil:
		return nil, foundNone
	case !e.hasConnection(candidate.Instance):
		return nil, foundNoConnection
	case !e.hasRoom(candidate) || !e.takeSlot(ctx, candidate):
		return nil, foundFull
	case e.takeTurn(ctx, candidate.Instance, quota.TurnSpan):
		return candidate, foundReady
	case ctx.Err() != nil:
		return nil, foundTooLate
	default:
		return nil, foundAtLimit
	}
}

// restsUntil returns when the first rest ends of the instances that have what the request needs and were not
// tried; the zero time unless all of them rest.
func (e *exchange) restsUntil(view *fleet.View) time.Time {
	var until time.Time
	if e.gateway.settings.Notices == nil {
		return until
	}
	resting := map[string]time.Time{}
	for _, bar := range e.gateway.settings.Notices.Bars() {
		if bar.Reason == ReasonResting {
			resting[bar.Instance] = bar.Until
		}
	}
	for _, instance := range view.Instances(e.service) {
		if instance.Leaving || !e.has(instance) || !e.origin.allows(instance) || slices.Contains(e.sentTo, instance.ID) || slices.Contains(e.passed, instance.ID) {
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
