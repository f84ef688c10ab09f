package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// plan is one planning round for one service.
type plan struct {
	now      time.Time
	settings Settings
	service  *Service
	engine   *fleet.Engine
	models   map[string]*fleet.Model
	// observed is the demand that daemons measure. withRefused adds the refused requests to it, and
	// demand is the demand to place for.
	observed     map[string]Demand
	withRefused  map[string]Demand
	demand       map[string]Demand
	waitingTimes waitingTimes
	idle         *idleTracker
	// demandSeen is set once there has been demand since the first plan.
	demandSeen  bool
	projections []*projection
	// hosts lists the instances that hold each model, whether they serve it or not. Most models are
	// on a few of thousands of instances.
	hosts map[string][]*projection
	// replicas counts, for each model, the instances that serve it or are about to.
	replicas map[string]int
	// reachable counts those replicas whose instance answers and accepts requests. ready counts
	// those that serve now.
	reachable map[string]int
	ready     map[string]int
	loadsLeft int
	// requiredSoftware is the software version that an instance must run to get the model that is
	// being placed. It is nil if any version will do.
	requiredSoftware *string
	// unplaced is set if no instance could take a replica of a model that should be scaled up.
	unplaced bool
	orders   []Order
}

// Plan returns the orders that are due now, at most one for each instance of the service.
func (t *Tracker) Plan(now time.Time, service *Service, demand map[string]Demand) []Order {
	engine := service.Engine
	p := &plan{
		now: now, settings: t.settings, service: service, engine: engine, models: modelsByName(engine),
		observed: demand, demand: demand, waitingTimes: t.waitingTimesOf(service.Name), idle: t.idleTrackerOf(service.Name),
		hosts: map[string][]*projection{}, replicas: map[string]int{}, reachable: map[string]int{}, ready: map[string]int{},
		loadsLeft: t.loads.remaining(now, engine.LoadsPerSecond, t.settings.Window),
	}
	replaces := replacesCrashed(engine)
	for _, state := range t.instances {
		excluded := replaces && state.crashed(now)
		if state.instance.Service == service.Name && !state.instance.Leaving && !excluded {
			s := newProjection(now, state, engine, p.models, t.settings)
			s.limited = t.limited[state.instance.ID]
			p.projections = append(p.projections, s)
		}
	}
	slices.SortFunc(p.projections, func(a, b *projection) int { return cmp.Compare(a.id(), b.id()) })
	p.countReplicas()
	p.addRefusedDemand()
	p.withRefused = p.demand
	p.forecastDemand(t.forecastOf(service.Name))
	p.idle.observe(p)
	p.waitingTimes.observe(now, engine, demand)
	p.loadReserved()
	p.placeAdaptersForSoftware()
	p.placeAdapters(true)
	p.makeReachable((*plan).requested)
	p.addReplicasForSoftware()
	p.reserveStoreLoads()
	p.scaleUp(p.settings.MinPrecedenceGain)
	p.makeReachable((*plan).notRequested)
	p.scaleUp(p.settings.LoadCost)
	if !p.unplaced {
		p.addReplicasForAdapters()
	}
	p.placeAdapters(false)
	p.placeSecondAdapterReplicas()
	return p.orders
}

func modelsByName(engine *fleet.Engine) map[string]*fleet.Model {
	models := make(map[string]*fleet.Model, len(engine.Models))
	for i := range engine.Models {
		models[engine.Models[i].Name] = &engine.Models[i]
	}
	return models
}

func (s *projection) id() string { return s.instanceState.instance.ID }

func (p *plan) countReplicas() {
	for _, s := range p.projections {
		for model, replica := range s.models {
			p.hosts[model] = append(p.hosts[model], s)
			if replica.unloading {
				continue
			}
			p.replicas[model]++
			if !replica.ready && p.overdue(s, model) {
				continue
			}
			if s.unresponsive || s.suspect && !replica.ready || s.limited && p.requested(model) {
				continue
			}
			p.reachable[model]++
			if replica.ready {
				p.ready[model]++
			}
		}
		if s.reservedFor != "" && !s.serves(s.reservedFor) && !s.suspect {
			p.replicas[s.reservedFor]++
			if p.overdue(s, s.reservedFor) {
				continue
			}
			p.reachable[s.reservedFor]++
		}
	}
}

// loadReserved loads models into the memory that was freed for them. A reservation that has to wait
// for the weight store counts against its rate limit, so that no other model uses up the load it
// needs.
func (p *plan) loadReserved() {
	waiting := 0
	for _, s := range p.projections {
		model := p.models[s.reservedFor]
		if model == nil || s.models[model.Name] != nil {
			continue
		}
		ready := !s.blocked && !s.modelOrderPending && !s.limited && s.freeMB >= model.WeightsMB
		switch {
		case ready && p.mayLoad(s, model):
			p.load(s, model, "room was made")
		case !s.localCopy[model.Name] && !s.suspect:
			waiting++
		}
	}
	p.loadsLeft -= waiting
}

// mayLoad reports whether the rate limit of the weight store allows an instance to load a model. An
// instance that left its last report request unanswered may not answer the order either, and such a
// load would count against the rate limit for a long time.
func (p *plan) mayLoad(s *projection, model *fleet.Model) bool {
	return s.localCopy[model.Name] || p.loadsLeft > 0 && s.instanceState.unresponsiveSince.IsZero()
}

// load orders an instance to load a model.
func (p *plan) load(s *projection, model *fleet.Model, reason string) {
	fromStore := !s.localCopy[model.Name]
	if fromStore {
		p.loadsLeft--
	}
	p.addOrder(s, Order{Load: true, Model: model.Name, FromStore: fromStore, Reason: reason})
	s.modelOrderPending = true
	if s.models[model.Name] == nil {
		p.hosts[model.Name] = append(p.hosts[model.Name], s)
	}
	s.ensureReplica(model.Name)
	s.freeMB -= model.WeightsMB
}

// makeReachable adds a replica of each included model that no responsive instance serves. If streams
// wait for the model at a software version, it goes to an instance of that version if one can take
// it: other requests can use it there too. Nothing is evicted for a model that may be parked.
func (p *plan) makeReachable(include func(*plan, string) bool) {
	for _, model := range p.modelsByDemand() {
		if p.reachable[model.Name] > 0 || !include(p, model.Name) || p.addReplicasForSoftwareOf(model) {
			continue
		}
		p.addReplica(model, "unreachable", !p.mayPark(model.Name))
	}
}

// requested reports whether there are requests for a model now.
func (p *plan) requested(model string) bool {
	current := p.observed[model]
	return current.Waiting > 0 || current.Concurrent >= minRequestLevel || current.PerSecond >= minRequestLevel
}

func (p *plan) notRequested(model string) bool { return !p.requested(model) }

// modelsByDemand sorts the models by descending demand for each replica. Among models with equal
// demand, those with more adapters come first.
func (p *plan) modelsByDemand() []*fleet.Model {
	models := make([]*fleet.Model, len(p.engine.Models))
	for i := range p.engine.Models {
		models[i] = &p.engine.Models[i]
	}
	pressure := func(model *fleet.Model) float64 {
		demand := p.demand[model.Name]
		return (demand.Concurrent + float64(demand.Waiting)) / float64(max(1, p.replicas[model.Name]))
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int {
		if byPressure := cmp.Compare(pressure(b), pressure(a)); byPressure != 0 {
			return byPressure
		}
		return cmp.Compare(b.Adapters, a.Adapters)
	})
	return models
}

// addReplica loads a model on the best instance with enough free memory. If there is none and
// makeRoom is set, it evicts a replica that another model can spare. It reports whether it added an
// order.
func (p *plan) addReplica(model *fleet.Model, reason string, makeRoom bool) bool {
	var best *projection
	inZone := p.replicasInZones(model.Name)
	for _, s := range p.projections {
		if s.blocked || s.modelOrderPending || s.limited || s.models[model.Name] != nil || s.freeMB < model.WeightsMB || !p.matchesSoftware(s) {
			continue
		}
		if s.reservedFor != "" || !p.mayLoad(s, model) {
			continue
		}
		if p.replicas[model.Name] > 0 && reason == "demand" && p.loadCost(s, model) > p.gain(model.Name) {
			continue
		}
		if best == nil || p.betterHost(model, s, best, inZone) {
			best = s
		}
	}
	if best == nil {
		return makeRoom && p.makeRoom(model)
	}
	p.load(best, model, reason)
	p.countPending(model.Name)
	return true
}

// countPending counts a replica that this plan orders, or frees memory for, in the same way as the
// next plan will. Until it serves, a second replica is not worth as much as the first.
func (p *plan) countPending(model string) {
	p.replicas[model]++
	p.reachable[model]++
}

// betterHost prefers an instance with a local copy and little load, in another zone than the
// existing replicas. It then prefers free adapter slots, then free memory.
func (p *plan) betterHost(model *fleet.Model, a, b *projection, inZone map[string]int) bool {
	if x, y := p.hostCost(model, a, inZone), p.hostCost(model, b, inZone); x != y {
		return x < y
	}
	if model.Adapters > 0 && a.freeAdapterSlots != b.freeAdapterSlots {
		return a.freeAdapterSlots > b.freeAdapterSlots
	}
	if a.freeMB != b.freeMB {
		return a.freeMB > b.freeMB
	}
	return a.requests < b.requests
}

// sameZoneCost is added to the cost of a host for each replica of the model in its zone.
const sameZoneCost = 0.1

// hostCost rates an instance as the host of one more replica. Lower is better.
func (p *plan) hostCost(model *fleet.Model, s *projection, inZone map[string]int) float64 {
	return p.loadCost(s, model) + p.expectedLoad(s) + sameZoneCost*float64(inZone[s.instanceState.instance.Zone])
}

// expectedLoad is the number of requests on an instance if the replicas of each model share its
// requests equally, in units of ReplicaLoad.
func (p *plan) expectedLoad(s *projection) float64 {
	total := 0.0
	for name, replica := range s.models {
		if !replica.unloading {
			total += p.demand[name].Concurrent / float64(max(1, p.replicas[name]))
		}
	}
	return total / p.settings.ReplicaLoad
}

// replicasInZones counts the instances in each zone that serve a model.
func (p *plan) replicasInZones(model string) map[string]int {
	counts := map[string]int{}
	for _, s := range p.hosts[model] {
		if s.serves(model) {
			counts[s.instanceState.instance.Zone]++
		}
	}
	return counts
}

func (p *plan) addOrder(s *projection, order Order) {
	order.Instance = s.id()
	order.Address = s.instanceState.instance.Address
	order.Expected = s.nextSequence
	s.nextSequence++
	s.blocked = true
	p.orders = append(p.orders, order)
}
