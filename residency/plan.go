package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// plan is one round of planning for one service.
type plan struct {
	now      time.Time
	settings Settings
	service  *Service
	engine   *fleet.Engine
	models   map[string]*fleet.Model
	// observed is the demand that daemons see, unmet that with the refused requests, and demand that to place for.
	observed map[string]Demand
	unmet    map[string]Demand
	demand   map[string]Demand
	unserved unserved
	idle     *idleness
	// demandSeen says that there has been demand since the first plan.
	demandSeen bool
	slots      []*slot
	// hosts are the slots that hold each model, whether it serves there or not: most models are on a few servers of
	// thousands.
	hosts map[string][]*slot
	// replicas counts, for each model, the servers that serve it or soon will.
	replicas map[string]int
	// reachable counts those whose server answers and takes what is asked, ready those that serve it now.
	reachable map[string]int
	ready     map[string]int
	loadsLeft int
	// onlySoftware is the software version that the servers for the model being placed must run; nil if any may take it.
	onlySoftware *string
	// stuck says that a model that should grow found no place.
	stuck  bool
	orders []Order
}

// Plan returns the orders to send now, at most one for each server. The servers
// are those of one service with this engine.
func (b *Book) Plan(now time.Time, service *Service, demand map[string]Demand) []Order {
	engine := service.Engine
	p := &plan{
		now: now, settings: b.settings, service: service, engine: engine, models: modelsByName(engine),
		observed: demand, demand: demand, unserved: b.unservedOf(service.Name), idle: b.idlenessOf(service.Name),
		hosts: map[string][]*slot{}, replicas: map[string]int{}, reachable: map[string]int{}, ready: map[string]int{},
		loadsLeft: b.loads.left(now, engine.LoadsPerSecond, b.settings.Window),
	}
	replaces := replacesCrashed(engine)
	for _, known := range b.servers {
		lost := replaces && known.crashed(now)
		if known.instance.Service == service.Name && !known.instance.Leaving && !lost {
			s := newSlot(now, known, engine, p.models, b.settings)
			s.limited = b.limited[known.instance.ID]
			p.slots = append(p.slots, s)
		}
	}
	slices.SortFunc(p.slots, func(a, b *slot) int { return cmp.Compare(a.id(), b.id()) })
	p.count()
	p.addRefused()
	p.unmet = p.demand
	p.expect(b.expectationsOf(service.Name))
	p.idle.observe(p)
	p.unserved.observe(now, engine, demand)
	p.useRooms()
	p.placeAdapters(true)
	p.makeReachable((*plan).wanted)
	p.placeForSoftware()
	p.withhold()
	p.grow(p.settings.PressingGain)
	p.makeReachable((*plan).unwanted)
	p.grow(p.settings.LoadCost)
	if !p.stuck {
		p.placeForAdapters()
	}
	p.placeAdapters(false)
	p.placeSecondHomes()
	return p.orders
}

func modelsByName(engine *fleet.Engine) map[string]*fleet.Model {
	models := make(map[string]*fleet.Model, len(engine.Models))
	for i := range engine.Models {
		models[engine.Models[i].Name] = &engine.Models[i]
	}
	return models
}

func (s *slot) id() string { return s.server.instance.ID }

func (p *plan) count() {
	for _, s := range p.slots {
		for model, held := range s.models {
			p.hosts[model] = append(p.hosts[model], s)
			if held.unloading {
				continue
			}
			p.replicas[model]++
			if !held.ready && p.overdue(s, model) {
				continue
			}
			if s.silent || s.quiet && !held.ready || s.limited && p.wanted(model) {
				continue
			}
			p.reachable[model]++
			if held.ready {
				p.ready[model]++
			}
		}
		if s.reservedFor != "" && !s.serves(s.reservedFor) && !s.quiet {
			p.replicas[s.reservedFor]++
			if p.overdue(s, s.reservedFor) {
				continue
			}
			p.reachable[s.reservedFor]++
		}
	}
}

// useRooms loads the models that room was made for. Room that has to wait for the weight store
// counts against its rate, so that nobody else uses the load that it was made for.
func (p *plan) useRooms() {
	waiting := 0
	for _, s := range p.slots {
		model := p.models[s.reservedFor]
		if model == nil || s.models[model.Name] != nil {
			continue
		}
		ready := !s.blocked && !s.modelOrder && !s.limited && s.freeMB >= model.WeightsMB
		switch {
		case ready && p.mayLoad(s, model):
			p.load(s, model, "room was made")
		case !s.atHand[model.Name] && !s.quiet:
			waiting++
		}
	}
	p.loadsLeft -= waiting
}

// mayLoad reports whether a server may load a model as far as the weight store goes. One
// that left its last question unanswered may not answer the order either, and the load
// would count against the store's rate for long.
func (p *plan) mayLoad(s *slot, model *fleet.Model) bool {
	return s.atHand[model.Name] || p.loadsLeft > 0 && s.server.silentSince.IsZero()
}

// load orders a server to load a model.
func (p *plan) load(s *slot, model *fleet.Model, reason string) {
	fromStore := !s.atHand[model.Name]
	if fromStore {
		p.loadsLeft--
	}
	p.send(s, Order{Load: true, Model: model.Name, FromStore: fromStore, Reason: reason})
	s.modelOrder = true
	if s.models[model.Name] == nil {
		p.hosts[model.Name] = append(p.hosts[model.Name], s)
	}
	s.hold(model.Name)
	s.freeMB -= model.WeightsMB
}

// makeReachable gives the models of one kind that no server serves, or only servers that answer
// nothing, a replica. Nothing is evicted for a model that may be parked.
func (p *plan) makeReachable(kind func(*plan, string) bool) {
	for _, model := range p.modelsByDemand() {
		if p.reachable[model.Name] == 0 && kind(p, model.Name) {
			p.addReplica(model, "unreachable", !p.mayPark(model.Name))
		}
	}
}

// wanted reports whether requests ask for a model now.
func (p *plan) wanted(model string) bool {
	seen := p.observed[model]
	return seen.Waiting > 0 || seen.Concurrent >= leastAsked || seen.PerSecond >= leastAsked
}

func (p *plan) unwanted(model string) bool { return !p.wanted(model) }

// modelsByDemand lists the models with the greatest demand for each replica
// first; among models without demand, those with adapters come first.
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

// addReplica loads a model on the best server with room. If there is none and
// makeRoom is set, it unloads a replica that another model can spare. It reports
// whether it sent an order.
func (p *plan) addReplica(model *fleet.Model, reason string, makeRoom bool) bool {
	var best *slot
	inZone := p.replicasInZones(model.Name)
	for _, s := range p.slots {
		if s.blocked || s.modelOrder || s.limited || s.models[model.Name] != nil || s.freeMB < model.WeightsMB || !p.mayHost(s) {
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
	p.onItsWay(model.Name)
	return true
}

// onItsWay counts a replica whose load or room this plan orders as the next plan will count it: until it serves, a model
// without another one is not worth a second place as much as the first.
func (p *plan) onItsWay(model string) {
	p.replicas[model]++
	p.reachable[model]++
}

// betterHost prefers a server with a copy at hand and little to do, in another zone than
// the replicas there are; then free places for adapters, then free memory.
func (p *plan) betterHost(model *fleet.Model, a, b *slot, inZone map[string]int) bool {
	if x, y := p.hostCost(model, a, inZone), p.hostCost(model, b, inZone); x != y {
		return x < y
	}
	if model.Adapters > 0 && a.freeAdapters != b.freeAdapters {
		return a.freeAdapters > b.freeAdapters
	}
	if a.freeMB != b.freeMB {
		return a.freeMB > b.freeMB
	}
	return a.requests < b.requests
}

// sameZoneCost is what each replica of the model in the same zone counts against a host.
const sameZoneCost = 0.1

// hostCost rates a server as the host of one more replica; lower is better.
func (p *plan) hostCost(model *fleet.Model, s *slot, inZone map[string]int) float64 {
	return p.loadCost(s, model) + p.expectedLoad(s) + sameZoneCost*float64(inZone[s.server.instance.Zone])
}

// expectedLoad is the requests that a server has to carry if the replicas of each model
// share its requests alike, in units of ReplicaLoad.
func (p *plan) expectedLoad(s *slot) float64 {
	total := 0.0
	for name, held := range s.models {
		if !held.unloading {
			total += p.demand[name].Concurrent / float64(max(1, p.replicas[name]))
		}
	}
	return total / p.settings.ReplicaLoad
}

// replicasInZones counts the servers of each zone that serve a model.
func (p *plan) replicasInZones(model string) map[string]int {
	counts := map[string]int{}
	for _, s := range p.hosts[model] {
		if s.serves(model) {
			counts[s.server.instance.Zone]++
		}
	}
	return counts
}

func (p *plan) send(s *slot, order Order) {
	order.Instance = s.id()
	order.Address = s.server.instance.Address
	order.Expected = s.next
	s.next++
	s.blocked = true
	p.orders = append(p.orders, order)
}
