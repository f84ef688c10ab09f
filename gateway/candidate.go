package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// candidate chooses an instance. It waits for one as long as that makes sense.
func (e *exchange) candidate(ctx context.Context) (*balance.Candidate, Reason) {
	if e.waitUntil.IsZero() {
		left := e.until(e.firstBy)
		e.waitUntil = e.gateway.Now().Add(time.Duration(float64(left) * e.gateway.settings.WaitShare))
	}
	wait := &candidateWait{exchange: e, paced: crowdedPause}
	defer wait.end()
	e.background.applies = e.mayYield(e.gateway.view.Load())
	for {
		changed := *e.gateway.changed.Load()
		view := e.gateway.view.Load()
		if e.drained() {
			return nil, ReasonStopping
		}
		if e.held() {
			return nil, ReasonQuarantined
		}
		e.phase = PhaseChoosing
		candidate, found := e.find(ctx, view, wait.lacksConnection)
		switch found {
		case foundReady:
			return candidate, ""
		case foundHopeless:
			return nil, ReasonOverloaded
		case foundTooLate:
			return nil, ReasonNeverSent
		case foundCrowded:
			wait.pace(ctx)
		case foundYields:
			wait.yield(ctx)
		case foundFull:
			if !wait.forRoom(ctx) {
				return nil, ReasonOverloaded
			}
		case foundAtLimit:
			if !wait.forUnreached(ctx, changed) {
				return nil, ReasonAtLimit
			}
		case foundNoConnection:
			if !wait.forConnection(ctx) {
				return nil, ReasonNoConnection
			}
		case foundNone:
			if e.lacksSoftware(view) {
				return nil, ReasonNoSoftware
			}
			if wait.forUnreached(ctx, changed) {
				continue
			}
			if until := e.restsUntil(view); !until.IsZero() {
				if !wait.forRest(ctx, until) {
					return nil, ReasonResting
				}
				continue
			}
			if e.evacuated(view) {
				return nil, ReasonEvacuated
			}
			if reason, again := wait.forChange(ctx, view, changed); !again {
				return nil, reason
			}
		}
	}
}

// found is what a look for an instance comes to.
type found uint8

const (
	// foundReady means that the request can be sent now.
	foundReady found = iota
	// foundNone means that no instance may take it.
	foundNone
	// foundCrowded means that all instances have much to do.
	foundCrowded
	// foundYields means that the request waits for more urgent ones.
	foundYields
	// foundHopeless means that even the best instance would begin to answer too late.
	foundHopeless
	// foundNoConnection means that all connections of this daemon to the instances that are
	// best for it are in use.
	foundNoConnection
	// foundAtLimit means that only instances are left that have no turn for it soon.
	foundAtLimit
	// foundFull means that instances which fall over if they turn requests away have no room.
	foundFull
	// foundTooLate means that the request's time is over, or its client has left, before it
	// could be sent.
	foundTooLate
)

// find looks for an instance. Of a request that waits for a connection it is known that it
// probably finds none, so connections are looked at first: the choice may be a message to
// another daemon, which then counts on the request.
func (e *exchange) find(ctx context.Context, view *fleet.View, waits bool) (*balance.Candidate, found) {
	var saturated []string
	if waits {
		var free bool
		if saturated, free = e.saturated(view); len(saturated) > 0 && !free {
			return nil, foundNoConnection
		}
	}
	barred, atLimit := e.bars()
	var full []string
	for {
		candidate := e.pick(ctx, view, slices.Concat(barred, atLimit, saturated, full))
		switch {
		case ctx.Err() != nil:
			return nil, foundTooLate
		case candidate == nil && len(full) > 0:
			return nil, foundFull
		case candidate == nil && len(atLimit) > 0:
			return e.atLimit(ctx, view, slices.Concat(barred, saturated))
		case candidate == nil && len(saturated) > 0:
			return nil, foundNoConnection
		case candidate == nil:
			return nil, foundNone
		}
		if assessed := e.assess(candidate); assessed != foundReady {
			return nil, unlessSaturated(saturated, assessed)
		}
		switch {
		case !e.hasRoom(candidate):
			if full = append(full, candidate.Instance.ID); len(full) == mostFull {
				return nil, foundFull
			}
			continue
		case e.hasConnection(candidate.Instance):
			if !e.takeSlot(ctx, candidate) {
				if full = append(full, candidate.Instance.ID); len(full) == mostFull {
					return nil, foundFull
				}
				continue
			}
			if e.takeTurn(ctx, candidate.Instance, 0) {
				return candidate, foundReady
			}
			atLimit = append(atLimit, candidate.Instance.ID)
			continue
		case slices.Contains(saturated, candidate.Instance.ID):
			return nil, foundNoConnection
		}
		saturated, _ = e.saturated(view)
		saturated = append(saturated, candidate.Instance.ID)
	}
}

// unlessSaturated says what the second choice comes to: nothing that the first one, which lacks
// a connection only, would have to be given up for.
func unlessSaturated(saturated []string, second found) found {
	if len(saturated) > 0 {
		return foundNoConnection
	}
	return second
}

// saturated lists the instances that have what the request needs and no free connection, and
// reports whether another one has it. That one may still be excluded or have much to do.
func (e *exchange) saturated(view *fleet.View) (saturated []string, free bool) {
	for _, instance := range view.Instances(e.service) {
		switch {
		case instance.Leaving || !e.has(instance) || !e.origin.allows(instance):
		case e.hasConnection(instance):
			free = true
		default:
			saturated = append(saturated, instance.ID)
		}
	}
	return saturated, free
}

// has reports whether an instance has the model and adapter of the request.
func (e *exchange) has(instance *fleet.Instance) bool {
	if e.request.Model == "" {
		return true
	}
	resident := instance.Resident(e.request.Model)
	return resident != nil && (e.request.Adapter == "" || resident.HasAdapter(e.request.Adapter))
}

// hasConnection reports whether the request can be sent to an instance now.
func (e *exchange) hasConnection(instance *fleet.Instance) bool {
	return e.gateway.upstream.HasConnection(instance.ID, e.connections())
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lookPause is how often a waiting request looks again without a change, since
// what keeps requests away from instances end by themselves.
const lookPause = 100 * time.Millisecond

// pick chooses among the instances that were not tried and are not excluded for another reason.
func (e *exchange) pick(ctx context.Context, view *fleet.View, excluded []string) *balance.Candidate {
	request := balance.Request{
		Model: e.request.Model, Adapter: e.request.Adapter, Zone: e.gateway.settings.Zone, ZoneCost: e.gateway.settings.zoneCost(),
		Affinity: e.affinity(), PromptTokens: e.request.PromptTokens, PromptLimit: e.promptLimit(view),
		Yields:       e.yieldsNow(),
		MemoryTokens: memoryTokens(view, e.service), Excluded: slices.Concat(e.passed, excluded, e.sentTo),
		OutputTokens: e.request.OutputTokens, TargetGap: e.targetGap(), Tokens: e.gateway.tracker.TokenTimes(e.service),
		Pinned: e.origin.pinned, Software: e.origin.software,
	}
	return e.gateway.chooser.Choose(ctx, view, e.service, &request)
}

// targetGap is the longest pause between two events; zero for requests that are not streams.
func (e *exchange) targetGap() time.Duration {
	if e.route.Kind != fleet.KindStream {
		return 0
	}
	return e.route.TargetGap
}

// affinity is equal for requests that share the first part of their prompt.
func (e *exchange) affinity() uint64 {
	if len(e.request.Prompt) == 0 {
		return rand.Uint64()
	}
	return xxhash.Sum64String(e.request.Model + "/" + e.request.Adapter + "/" + e.request.Prompt[0].ID)
}

// evacuated reports whether no instance of the service is left because their zones are evacuated: an evacuation lasts
// longer than any request can wait.
func (e *exchange) evacuated(view *fleet.View) bool {
	found := false
	for _, instance := range view.Instances(e.service) {
		if !instance.Leaving {
			return false
		}
		found = found || instance.Evacuated
	}
	return found
}

// lack tells why there is no candidate.
func (e *exchange) lack(view *fleet.View) Reason {
	if e.request.Model == "" {
		return ReasonNoInstance
	}
	for _, instance := range view.Instances(e.service) {
		if !instance.Leaving && e.origin.allows(instance) && instance.Resident(e.request.Model) != nil {
			return ReasonNoAdapter
		}
	}
	return ReasonNoModel
}
