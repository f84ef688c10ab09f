package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
)

// candidate chooses an instance. It waits for one as long as that makes sense.
func (e *exchange) candidate(ctx context.Context) (*balance.Candidate, Reason) {
	if e.waitUntil.IsZero() {
		left := time.Until(e.firstBy)
		e.waitUntil = time.Now().Add(time.Duration(float64(left) * e.gateway.settings.WaitShare))
	}
	wait := &candidateWait{exchange: e, paced: crowdedPause}
	defer wait.end()
	for {
		changed := *e.gateway.changed.Load()
		view := e.gateway.view.Load()
		if e.drained() {
			return nil, ReasonStopping
		}
		e.phase = PhaseChoosing
		candidate := e.pick(ctx, view)
		switch {
		case ctx.Err() != nil:
			return nil, ReasonNeverSent
		case candidate == nil:
			if reason, waited := wait.forChange(ctx, view, changed); !waited {
				return nil, reason
			}
		case e.hopeless(candidate):
			return nil, ReasonOverloaded
		case candidate.Crowded || e.shouldHold(candidate):
			wait.pace(ctx)
		case e.hasConnection(candidate):
			return candidate, ""
		default:
			e.saturated = append(e.saturated, candidate.Instance.ID)
		}
	}
}

// candidateWait is the wait of a request for an instance.
type candidateWait struct {
	exchange *exchange
	// paced is the next pause while all instances have much to do.
	paced time.Duration
	// unwant ends what the placement was told of this request; nil if it was told nothing.
	unwant func()
}

func (w *candidateWait) end() {
	if w.unwant != nil {
		w.unwant()
	}
}

// pace waits a little while all instances have much to do.
func (w *candidateWait) pace(ctx context.Context) {
	w.exchange.phase = PhasePaced
	w.exchange.observeOnce(StepPaced, "")
	sleep(ctx, w.paced)
	w.paced = min(2*w.paced, longestCrowdedPause)
}

// forChange waits until there may be an instance that can take the request. It returns why there
// is none, and whether it makes sense to look again.
func (w *candidateWait) forChange(ctx context.Context, view *fleet.View, changed <-chan struct{}) (reason Reason, again bool) {
	e := w.exchange
	reason, pause := w.lack(view)
	left := time.Until(e.waitUntil)
	if len(e.sentTo) > 0 || left <= 0 {
		return reason, false
	}
	e.phase = PhaseWaiting
	e.observeOnce(StepWaiting, reason)
	select {
	case <-changed:
	case <-e.gateway.lifetime.starts.Done():
	case <-time.After(min(pause, left)):
	case <-ctx.Done():
	}
	return reason, ctx.Err() == nil && time.Now().Before(e.waitUntil)
}

// lack tells why there is no candidate and when to look again without a change. The placement
// hears of models and adapters that no instance has.
func (w *candidateWait) lack(view *fleet.View) (reason Reason, pause time.Duration) {
	e := w.exchange
	if len(e.saturated) > 0 {
		e.saturated = nil
		return ReasonNoConnection, longestCrowdedPause
	}
	if e.request.Model != "" && w.unwant == nil {
		w.unwant = e.gateway.wants.Want(e.service, e.request.Model, e.request.Adapter)
	}
	return e.lack(view), doubtPause
}

// hasConnection reports whether the request can be sent to the candidate now.
func (e *exchange) hasConnection(candidate *balance.Candidate) bool {
	return e.gateway.upstream.HasConnection(candidate.Instance.ID, e.connections())
}

const (
	// crowdedPause is the pause between two looks for an instance with fewer
	// prompts to read.
	crowdedPause = 5 * time.Millisecond
	// longestCrowdedPause bounds that pause, which grows while a request waits.
	longestCrowdedPause = 20 * time.Millisecond
	// crowdedShare is the part of an instance's memory that prompts still to be
	// read may take before further ones wait here.
	crowdedShare = 1.0 / 40
	// crowdedWait is the part of the target latency that a request may wait so.
	crowdedWait = 0.3
)

// promptLimit is how many prompt tokens an instance may have to read before this request
// should wait a little: zero, for no limit, once it has waited enough. Less urgent
// requests wait sooner.
func (e *exchange) promptLimit(view *fleet.View) int {
	if e.waited() > crowdedWait {
		return 0
	}
	return int(crowdedShare * float64(memoryTokens(view, e.service)) / float64(1+e.route.Priority))
}

// waited is the part of the target latency that has passed.
func (e *exchange) waited() float64 {
	if e.route.TargetLatency <= 0 {
		return 1
	}
	return time.Since(e.request.Arrived).Seconds() / e.route.TargetLatency.Seconds()
}

// lateShare is the least part of the target latency that a forecast has to reach before a
// request is refused for it. One that has waited here for other reasons, and finds an instance
// that answers soon, is served although it is late.
const lateShare = 0.5

// hopeless reports whether even the best instance will begin to answer too late: the request
// would take up a place there, make those behind it late as well, and the client would leave.
func (e *exchange) hopeless(candidate *balance.Candidate) bool {
	continues := e.begun || len(e.sentTo) > 0 || e.resumeAfter != ""
	if e.request.Model == "" || e.route.TargetLatency <= 0 || continues || !mechanism.Enabled(mechanism.Forecast) {
		return false
	}
	e.forecast = e.gateway.tracker.FirstToken(candidate.Instance, candidate.Load, e.request.PromptTokens)
	left := e.route.TargetLatency - time.Since(e.request.Arrived)
	return e.forecast > max(left, time.Duration(lateShare*float64(e.route.TargetLatency)))
}

// shouldHold reports whether a less urgent request should wait here while the batch of its
// instance is full: there it would stand in the way of more urgent ones.
func (e *exchange) shouldHold(candidate *balance.Candidate) bool {
	if e.request.Model == "" || e.route.Priority == 0 || e.waited() > crowdedWait || !mechanism.Enabled(mechanism.Hold) {
		return false
	}
	return candidate.Load.Requests >= candidate.Instance.Slots
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// doubtPause is how often a waiting request looks again without a change, since
// doubts about instances end by themselves.
const doubtPause = 100 * time.Millisecond

func (e *exchange) pick(ctx context.Context, view *fleet.View) *balance.Candidate {
	request := balance.Request{
		Model: e.request.Model, Adapter: e.request.Adapter, Zone: e.gateway.settings.Zone, ZoneCost: e.gateway.settings.zoneCost(),
		Affinity: e.affinity(), PromptTokens: e.request.PromptTokens, PromptLimit: e.promptLimit(view),
		MemoryTokens: memoryTokens(view, e.service), Excluded: slices.Concat(e.passed, e.saturated, e.sentTo),
	}
	return e.gateway.chooser.Choose(ctx, view, e.service, &request)
}

func memoryTokens(view *fleet.View, name string) int {
	service := view.Service(name)
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.MemoryTokens
}

// affinity is equal for requests that share the first part of their prompt.
func (e *exchange) affinity() uint64 {
	if len(e.request.Prompt) == 0 {
		return rand.Uint64()
	}
	return xxhash.Sum64String(e.request.Model + "/" + e.request.Adapter + "/" + e.request.Prompt[0].ID)
}

// lack tells why there is no candidate.
func (e *exchange) lack(view *fleet.View) Reason {
	if e.request.Model == "" {
		return ReasonNoInstance
	}
	for _, instance := range view.Instances(e.service) {
		if !instance.Leaving && instance.Resident(e.request.Model) != nil {
			return ReasonNoAdapter
		}
	}
	return ReasonNoModel
}
