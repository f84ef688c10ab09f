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
		e.waitUntil = e.gateway.Now().Add(time.Duration(float64(left) * e.maxWaitShare()))
	}
	wait := &candidateWait{exchange: e, nextDelay: minCrowdedDelay}
	defer wait.end()
	e.backgroundState.yields = e.mayYield(e.gateway.view.Load())
	for {
		changed := *e.gateway.changed.Load()
		view := e.gateway.view.Load()
		if e.startBlocked() {
			return nil, ReasonStopping
		}
		if e.held() {
			return nil, ReasonQuarantined
		}
		e.phase = PhaseChoosing
		e.updateMisdirection(view)
		candidate, found := e.find(ctx, view, wait.lacksConnection)
		switch found {
		case searchReady:
			return candidate, ""
		case searchStartsTooLate:
			return nil, ReasonOverloaded
		case searchExpired:
			return nil, ReasonNeverSent
		case searchCrowded:
			wait.delayWhileCrowded(ctx)
		case searchYields:
			wait.yield(ctx)
		case searchFull:
			if !wait.awaitCapacity(ctx) {
				return nil, ReasonOverloaded
			}
		case searchAtLimit:
			if !wait.awaitUnreached(ctx, changed) {
				return nil, ReasonAtLimit
			}
		case searchNoConnection:
			if !wait.awaitConnection(ctx) {
				return nil, ReasonNoConnection
			}
		case searchNone:
			if e.lacksSoftware(view) {
				return nil, ReasonNoSoftware
			}
			if wait.awaitUnreached(ctx, changed) {
				continue
			}
			if until := e.earliestRestEnd(view); !until.IsZero() {
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

// searchResult is the result of one search for an instance.
type searchResult uint8

const (
	// searchReady means that the request can be sent now.
	searchReady searchResult = iota
	// searchNone means that no instance may take it.
	searchNone
	// searchCrowded means that even the best instance is crowded: it has many prompt tokens to read, or a full batch.
	searchCrowded
	// searchYields means that the request waits for more urgent ones.
	searchYields
	// searchStartsTooLate means that even the best instance is predicted to begin its answer too late.
	searchStartsTooLate
	// searchNoConnection means that all of this daemon's connections to the best instances
	// for the request are in use.
	searchNoConnection
	// searchAtLimit means that the remaining instances are at their announced limit and have no turn soon.
	searchAtLimit
	// searchFull means that the instances which crash when they have to reject requests (brittle ones) have no room.
	searchFull
	// searchExpired means that the request's deadline passed or its client disconnected
	// before it could be sent.
	searchExpired
)

// find searches for an instance. A request that awaits a connection probably finds none again, so connections are
// checked first: the choice may be a message to another daemon, which then expects the request to be sent.
func (e *exchange) find(ctx context.Context, view *fleet.View, awaitsConnection bool) (*balance.Candidate, searchResult) {
	var saturated []string
	if awaitsConnection {
		var free bool
		if saturated, free = e.saturated(view); len(saturated) > 0 && !free {
			return nil, searchNoConnection
		}
	}
	barred, atLimit := e.exclusions()
	var full []string
	for {
		candidate := e.pick(ctx, view, slices.Concat(barred, atLimit, saturated, full))
		switch {
		case ctx.Err() != nil:
			return nil, searchExpired
		case candidate == nil && len(full) > 0:
			return nil, searchFull
		case candidate == nil && len(atLimit) > 0:
			return e.atLimit(ctx, view, slices.Concat(barred, saturated))
		case candidate == nil && len(saturated) > 0:
			return nil, searchNoConnection
		case candidate == nil:
			return nil, searchNone
		}
		if assessed := e.assess(candidate); assessed != searchReady {
			return nil, secondChoiceResult(saturated, assessed)
		}
		switch {
		case !e.hasRoom(candidate):
			if full = append(full, candidate.Instance.ID); len(full) == maxFullInstances {
				return nil, searchFull
			}
			continue
		case e.hasConnection(candidate.Instance):
			if !e.acquireSlot(ctx, candidate) {
				if full = append(full, candidate.Instance.ID); len(full) == maxFullInstances {
					return nil, searchFull
				}
				continue
			}
			if e.acquireTurn(ctx, candidate.Instance, 0) {
				return candidate, searchReady
			}
			atLimit = append(atLimit, candidate.Instance.ID)
			continue
		case slices.Contains(saturated, candidate.Instance.ID):
			return nil, searchNoConnection
		}
		saturated, _ = e.saturated(view)
		saturated = append(saturated, candidate.Instance.ID)
	}
}

// secondChoiceResult returns the result of a further choice that is not ready. If the first choice only lacked a
// connection, the request waits for that connection instead.
func secondChoiceResult(saturated []string, second searchResult) searchResult {
	if len(saturated) > 0 {
		return searchNoConnection
	}
	return second
}

// saturated lists the instances that have the model and adapter of the request but no free connection, and reports
// whether another such instance has one. That instance may still be excluded or crowded.
func (e *exchange) saturated(view *fleet.View) (saturated []string, free bool) {
	for _, instance := range view.Instances(e.service) {
		switch {
		case instance.Leaving || !e.hasModel(instance) || !e.requiredOrigin.allows(instance):
		case e.hasConnection(instance):
			free = true
		default:
			saturated = append(saturated, instance.ID)
		}
	}
	return saturated, free
}

// hasModel reports whether an instance has loaded the model and adapter of the request.
func (e *exchange) hasModel(instance *fleet.Instance) bool {
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

// recheckInterval is the interval at which a waiting request searches again without a change of the snapshot:
// conditions that keep requests from instances also end by the passing of time.
const recheckInterval = 100 * time.Millisecond

// pick chooses among the instances that the request was not sent to and that are not excluded otherwise.
func (e *exchange) pick(ctx context.Context, view *fleet.View, excluded []string) *balance.Candidate {
	request := balance.Request{
		Model: e.request.Model, Adapter: e.request.Adapter, Zone: e.gateway.settings.Zone, ZoneCost: e.gateway.settings.zoneCost(),
		Affinity: e.affinity(), PromptTokens: e.request.PromptTokens, PromptLimit: e.promptLimit(view),
		Yields:       e.yieldsNow(),
		MemoryTokens: memoryTokens(view, e.service), Excluded: slices.Concat(e.unreachable, excluded, e.excludedInstances()),
		OutputTokens: e.request.OutputTokens, TargetGap: e.targetGap(), Tokens: e.gateway.tracker.TokenTimes(e.service),
		Pinned: e.requiredOrigin.required, Software: e.requiredOrigin.software,
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
		if !instance.Leaving && e.requiredOrigin.allows(instance) && instance.Resident(e.request.Model) != nil {
			return ReasonNoAdapter
		}
	}
	return ReasonNoModel
}
