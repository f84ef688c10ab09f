package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// minIdleTime is how long a model must have had no request before its last replica may be
	// evicted. It covers the time between two requests of one client.
	minIdleTime = 3 * time.Second
	// maxPlanGap is the longest interval between two plans across which idle times persist. A
	// request in a shorter gap still keeps the averages above minRequestLevel afterwards; one in a
	// longer gap may not.
	maxPlanGap = 2 * time.Second
	// minForecastDemand is the number of requests in progress at which a model with only forecast
	// demand keeps its last replica. With fewer, that replica would be idle most of the time.
	minForecastDemand = 1
	// swapOverhead is the time that the two orders of a swap and the reports on them take.
	swapOverhead = 500 * time.Millisecond
	// contendedLoadFactor is the multiple of LoadTime that a load may take while many instances
	// load from the weight store.
	contendedLoadFactor = 2
)

// maxSwapTime bounds the time from the first request for a parked model to the end of its load.
func maxSwapTime(model *fleet.Model) time.Duration {
	return contendedLoadFactor*model.LoadTime + swapOverhead
}

// parkable reports whether the client timeout of the service allows a model to be parked, that is,
// to be left without a replica while it is idle. A request for it must get its first token before
// the client disconnects, even if the load is from the weight store.
func (s *Service) parkable(model *fleet.Model) bool {
	return model != nil && model.LoadTime > 0 && maxSwapTime(model) <= s.ClientTimeout
}

// idleTracker tracks since when the parkable models of a service have been idle.
type idleTracker struct {
	// lastPlan is the time of the last plan.
	lastPlan time.Time
	since    map[string]time.Time
	// parked is the number of models that were parked at the last plan.
	parked int
}

func (t *Tracker) idleTrackerOf(service string) *idleTracker {
	tracker := t.idleTrackers[service]
	if tracker == nil {
		tracker = &idleTracker{since: map[string]time.Time{}}
		t.idleTrackers[service] = tracker
	}
	return tracker
}

// observe records which models are idle now.
func (i *idleTracker) observe(p *plan) {
	if p.now.Sub(i.lastPlan) > maxPlanGap {
		clear(i.since)
	}
	i.lastPlan = p.now
	i.parked = 0
	for index := range p.engine.Models {
		name := p.engine.Models[index].Name
		if !p.mayPark(name) {
			delete(i.since, name)
			continue
		}
		if p.replicas[name] == 0 {
			i.parked++
		}
		if _, found := i.since[name]; !found {
			i.since[name] = p.now
		}
	}
}

// duration is how long a model has been idle without interruption.
func (i *idleTracker) duration(now time.Time, model string) time.Duration {
	since, found := i.since[model]
	if !found {
		return 0
	}
	return now.Sub(since)
}

// ParkedCount returns the number of idle models that the latest plans left without a replica.
func (t *Tracker) ParkedCount() int {
	total := 0
	for _, tracker := range t.idleTrackers {
		total += tracker.parked
	}
	return total
}

// mayPark reports whether a model needs no replica now: it can be loaded in time, and it has
// neither requests nor a forecast of them. Until demand is observed, it is unknown which models are
// idle.
func (p *plan) mayPark(name string) bool {
	return p.demandSeen && p.service.parkable(p.models[name]) && !p.requested(name) && p.demand[name].Concurrent < minForecastDemand
}

// unparking reports whether a model is requested while no instance serves it or is about to, and
// the model may have been parked. No request may wait longer for it than maxSwapTime.
func (p *plan) unparking(name string) bool {
	return p.reachable[name] == 0 && p.requested(name) && p.service.parkable(p.models[name])
}

// parkCost rates the eviction of the last ready replica of a model in favour of another model; lower
// is better. It reports whether the eviction is allowed. If the other model already has replicas,
// its gain by one more must reach the threshold at which it takes precedence over an unreachable
// model without requests. Requests that are only forecast do not count.
func (p *plan) parkCost(s *projection, name string, requested *fleet.Model) (float64, bool) {
	if !p.requested(requested.Name) || !p.mayPark(name) || p.idle.duration(p.now, name) < minIdleTime {
		return 0, false
	}
	cost := p.loadCost(s, requested) + p.swapCost(s, requested) + adapterCost*float64(len(s.models[name].adapters))
	if p.unparking(requested.Name) {
		return cost, true
	}
	cost += p.settings.MinPrecedenceGain
	return cost, cost <= p.gainWithoutForecast(requested.Name)
}

// reserveStoreLoads sets loads from the weight store aside for parked models. Otherwise the
// scale-up of other models would delay their return until the window of the rate limit has passed.
func (p *plan) reserveStoreLoads() {
	p.loadsLeft -= min(p.idle.parked, int(p.engine.LoadsPerSecond))
}

// swap is the most recent load order of an instance, together with the unload before it that frees
// the memory.
type swap struct {
	model string
	since time.Time
}

// recordSwap records an order that is being sent. A load into memory that was reserved for it
// continues the same swap, and so does an order that is sent again.
func (s *instanceState) recordSwap(now time.Time, order *Order) {
	switch {
	case s.unanswered != nil:
	case order.ReservedFor != "":
		s.swap = swap{model: order.ReservedFor, since: now}
	case order.Load && order.Adapter == "" && order.Model != s.reservedFor:
		s.swap = swap{model: order.Model, since: now}
	}
}

// overdue reports whether a swap on an instance has taken so long that requests waiting for the
// model should not depend on it. A swap that hangs may keep its instance busy forever.
func (p *plan) overdue(s *projection, name string) bool {
	model := p.models[name]
	if s.instanceState.swap.model != name || !p.requested(name) || !p.service.parkable(model) {
		return false
	}
	return p.now.Sub(s.instanceState.swap.since) > maxSwapTime(model)
}
