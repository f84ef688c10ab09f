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

// candidate chooses an instance, and waits for one while one may become available in time. It returns nil and the
// reason if there is none.
func (e *exchange) candidate(ctx context.Context) (*balance.Candidate, Reason) {
	if e.waitUntil.IsZero() {
		left := e.until(e.firstEventDeadline)
		e.waitUntil = e.gateway.Now().Add(time.Duration(float64(left) * e.gateway.settings.WaitShare))
	}
	wait := &candidateWait{exchange: e, nextDelay: minCrowdedDelay}
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
			wait.delayWhileCrowded(ctx)
		case foundYields:
			wait.yield(ctx)
		case foundFull:
			if !wait.awaitCapacity(ctx) {
				return nil, ReasonOverloaded
			}
		case foundAtLimit:
			if !wait.awaitUnreached(ctx, changed) {
				return nil, ReasonAtLimit
			}
		case foundNoConnection:
			if !wait.awaitConnection(ctx) {
				return nil, ReasonNoConnection
			}
		case foundNone:
			if e.lacksSoftware(view) {
				return nil, ReasonNoSoftware
			}
			if wait.awaitUnreached(ctx, changed) {
				continue
			}
			if until := e.restsUntil(view); !until.IsZero() {
				if !wait.awaitBackoffEnd(ctx, until) {
					return nil, ReasonResting
				}
				continue
			}
			if e.evacuated(view) {
				return nil, ReasonEvacuated
			}
			if reason, again := wait.awaitChange(ctx, view, changed); !again {
				return nil, reason
			}
		}
	}
}

// found is the result of one search for an instance.
type found uint8

const (
	// foundReady means that the request can be sent now.
	foundReady found = iota
	// foundNone means that no instance may take it.
	foundNone
	// foundCrowded means that even the best instance is crowded: it has many prompt tokens to read, or a full batch.
	foundCrowded
	// foundYields means that the request waits for more urgent ones.
	foundYields
	// foundHopeless means that even the best instance is predicted to begin its answer too late.
	foundHopeless
	// foundNoConnection means that all of this daemon's connections to the best instances
	// for the request are in use.
	foundNoConnection
	// foundAtLimit means that the remaining instances are at their announced limit and have no turn soon.
	foundAtLimit
	// foundFull means that the instances which crash when they have to reject requests (brittle ones) have no room.
	foundFull
	// foundTooLate means that the request's deadline passed or its client disconnected
	// before it could be sent.
	foundTooLate
)

// find searches for an instance. A request that awaits a connection probably finds none again, so connections are
// checked first: the choice may be a message to another daemon, which then expects the request to be sent.
func (e *exchange) find(ctx context.Context, view *fleet.View, awaitsConnection bool) (*balance.Candidate, found) {
	var saturated []string
	if awaitsConnection {
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
			return nil, secondChoiceResult(saturated, assessed)
		}
		switch {
		case !e.hasRoom(candidate):
			if full = append(full, candidate.Instance.ID); len(full) == maxFullInstances {
				return nil, foundFull
			}
			continue
		case e.hasConnection(candidate.Instance):
			if !e.takeSlot(ctx, candidate) {
				if full = append(full, candidate.Instance.ID); len(full) == maxFullInstances {
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

// secondChoiceResult returns the result of a further choice that is not ready. If the first choice only lacked a
// connection, the request waits for that connection instead.
func secondChoiceResult(saturated []string, second found) found {
	if len(saturated) > 0 {
		return foundNoConnection
	}
	return second
}

// saturated lists the instances that have the model and adapter of the request but no free connection, and reports
// whether another such instance has one. That instance may still be excluded or crowded.
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

// has reports whether an instance has loaded the model and adapter of the request.
func (e *exchange) has(instance *fleet.Instance) bool {
	if e.request.Model == "" {
		return true
	}
	resident := instance.Resident(e.request.Model)
	return resident != nil && (e.request.Adapter == "" || resident.HasAdapter(e.request.Adapter))
}

// hasConnection reports whether there is a connection to an instance for the request now.
func (e *exchange) hasConnection(instance *fleet.Instance) bool {
	return e.gateway.upstream.HasConnection(instance.ID, e.connections())
}

// sleep pauses for a duration, or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lookPause is the interval at which a waiting request searches again without a change of the snapshot: conditions
// that keep requests from instances also end by the passing of time.
const lookPause = 100 * time.Millisecond

// pick chooses among the instances that the request was not sent to and that are not excluded otherwise.
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

// targetGap returns the route's target for the time between two events of a stream; zero for other requests.
func (e *exchange) targetGap() time.Duration {
	if e.route.Kind != fleet.KindStream {
		return 0
	}
	return e.route.TargetGap
}

// affinity returns a hash that is equal for requests of a model and adapter that share the first part of their prompt.
func (e *exchange) affinity() uint64 {
	if len(e.request.Prompt) == 0 {
		return rand.Uint64()
	}
	return xxhash.Sum64String(e.request.Model + "/" + e.request.Adapter + "/" + e.request.Prompt[0].ID)
}

// evacuated reports whether all instances of the service are leaving, and at least one because its zone is evacuated.
// An evacuation lasts longer than any request can wait.
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

// lackReason returns why there is no candidate.
func (e *exchange) lackReason(view *fleet.View) Reason {
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
