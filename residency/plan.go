package residency

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
)

// plan is one round of planning for one service.
type plan struct {
	now      time.Time
	settings Settings
	engine   *fleet.Engine
	demand   map[string]Demand
	slots    []*slot
	// replicas counts, for each model, the servers that serve it or soon will.
	replicas map[string]int
	// ready counts those that serve it now.
	ready     map[string]int
	loadsLeft int
	orders    []Order
}

// Plan returns the orders to send now, at most one for each server. The servers
// are those of one service with this engine.
func (b *Book) Plan(now time.Time, service string, engine *fleet.Engine, demand map[string]Demand) []Order {
	p := &plan{
		now: now, settings: b.settings, engine: engine, demand: demand,
		replicas: map[string]int{}, ready: map[string]int{},
		loadsLeft: b.storeLoadsLeft(now, engine.LoadsPerSecond),
	}
	for _, known := range b.servers {
		if known.instance.Service == service && !known.instance.Leaving {
			p.slots = append(p.slots, newSlot(now, known, engine, b.settings))
		}
	}
	slices.SortFunc(p.slots, func(a, b *slot) int { return cmp.Compare(a.id(), b.id()) })
	p.count()
	if b.expectations[service] == nil {
		b.expectations[service] = &expectations{}
	}
	p.expect(b.expectations[service])
	p.useRooms()
	p.placeAdapters(true)
	p.reachAll()
	p.placeForAdapters()
	p.grow()
	p.placeAdapters(false)
	return p.orders
}

func (s *slot) id() string { return s.server.instance.ID }

func (p *plan) count() {
	for _, s := range p.slots {
		for model, held := range s.models {
			if held.unloading {
				continue
			}
			p.replicas[model]++
			if held.ready {
				p.ready[model]++
			}
		}
		if s.reservedFor != "" && !s.serves(s.reservedFor) {
			p.replicas[s.reservedFor]++
		}
	}
}

// useRooms loads the models that room was made for.
func (p *plan) useRooms() {
	for _, s := range p.slots {
		model := p.engine.Model(s.reservedFor)
		if model == nil || s.blocked || s.modelOrder || s.models[model.Name] != nil || s.freeMB < model.WeightsMB {
			continue
		}
		if p.loadsLeft > 0 || s.atHand[model.Name] {
			p.load(s, model, "room was made")
		}
	}
}

// load orders a server to load a model.
func (p *plan) load(s *slot, model *fleet.Model, reason string) {
	fromStore := !s.atHand[model.Name]
	if fromStore {
		p.loadsLeft--
	}
	p.send(s, Order{Load: true, Model: model.Name, FromStore: fromStore, Reason: reason})
	s.modelOrder = true
	s.hold(model.Name)
	s.freeMB -= model.WeightsMB
}

// reachAll gives every model that no server serves a first replica.
func (p *plan) reachAll() {
	for _, model := range p.modelsByDemand() {
		if p.replicas[model.Name] == 0 {
			p.addReplica(model, "unreachable", true)
		}
	}
}

// placeForAdapters adds replicas of models whose adapters do not all have a
// place, while memory is free.
func (p *plan) placeForAdapters() {
	for _, model := range p.modelsByDemand() {
		if p.adapterPlaces(model) < model.Adapters {
			p.addReplica(model, "adapters", false)
		}
	}
}

// grow gives replicas to the models whose requests gain the most, first with free
// memory, then with memory of replicas whose loss costs less.
func (p *plan) grow() {
	for range p.slots {
		model, gain := p.mostRelieved()
		if model == nil || gain < p.settings.WarmCost || !p.addReplica(model, "demand", true) {
			return
		}
	}
}

// mostRelieved is the model whose requests gain the most by one more replica.
func (p *plan) mostRelieved() (*fleet.Model, float64) {
	var best *fleet.Model
	bestGain := 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if gain := p.gain(model.Name); p.replicas[model.Name] < len(p.slots) && gain > bestGain {
			best, bestGain = model, gain
		}
	}
	return best, bestGain
}

// gain is how many requests fewer each replica of a model has with one more.
func (p *plan) gain(model string) float64 {
	replicas := float64(max(1, p.replicas[model]))
	return p.demand[model].Concurrent * (1/replicas - 1/(replicas+1))
}

// loss is how many requests more each replica of a model has with one fewer.
func (p *plan) loss(model string) float64 {
	replicas := float64(p.replicas[model])
	return p.demand[model].Concurrent * (1/(replicas-1) - 1/replicas)
}

// loadCost is what a load on a server is worth.
func (p *plan) loadCost(s *slot, model string) float64 {
	if s.atHand[model] {
		return p.settings.WarmCost
	}
	return p.settings.StoreCost
}

// adapterPlaces is how many adapters of a model are resident or have room.
func (p *plan) adapterPlaces(model *fleet.Model) int {
	places := 0
	for _, s := range p.slots {
		if held := s.models[model.Name]; held != nil && !held.unloading {
			places += len(held.adapters) + max(0, s.freeAdapters)
		}
	}
	return places
}

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
	for _, s := range p.slots {
		if s.blocked || s.modelOrder || s.models[model.Name] != nil || s.freeMB < model.WeightsMB {
			continue
		}
		if s.reservedFor != "" || p.loadsLeft <= 0 && !s.atHand[model.Name] {
			continue
		}
		if p.replicas[model.Name] > 0 && reason == "demand" && p.loadCost(s, model.Name) > p.gain(model.Name) {
			continue
		}
		if best == nil || p.betterHost(model, s, best) {
			best = s
		}
	}
	if best == nil {
		return makeRoom && p.makeRoom(model)
	}
	p.load(best, model, reason)
	p.replicas[model.Name]++
	return true
}

// betterHost prefers a server with a copy at hand, then another zone than the
// replicas there are, then free memory, then little load.
func (p *plan) betterHost(model *fleet.Model, a, b *slot) bool {
	if a.atHand[model.Name] != b.atHand[model.Name] {
		return a.atHand[model.Name]
	}
	if x, y := p.inZone(model.Name, a), p.inZone(model.Name, b); x != y {
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

func (p *plan) inZone(model string, host *slot) int {
	count := 0
	for _, s := range p.slots {
		if s.server.instance.Zone == host.server.instance.Zone && s.serves(model) {
			count++
		}
	}
	return count
}

// makeRoom unloads the replica that is needed least, on a server where the model
// then fits. It reports whether room is under way.
func (p *plan) makeRoom(model *fleet.Model) bool {
	var best *slot
	var bestVictim string
	bestCost := math.Inf(1)
	for _, s := range p.slots {
		if s.blocked || s.modelOrder || s.reservedFor != "" || s.models[model.Name] != nil {
			continue
		}
		for name, held := range s.models {
			cost, allowed := p.unloadCost(s, name, held, model)
			if allowed && (cost < bestCost || cost == bestCost && name < bestVictim) {
				best, bestVictim, bestCost = s, name, cost
			}
		}
	}
	if best == nil {
		return false
	}
	p.send(best, Order{Model: bestVictim, RoomFor: model.Name, Reason: "room for " + model.Name})
	best.modelOrder = true
	best.reservedFor = model.Name
	best.models[bestVictim].unloading = true
	p.replicas[bestVictim]--
	p.ready[bestVictim]--
	p.replicas[model.Name]++
	return true
}

// unloadCost rates the unload of a replica, lower is better. The last replica
// that is ready is never unloaded.
func (p *plan) unloadCost(s *slot, name string, held *holding, wanted *fleet.Model) (float64, bool) {
	if !held.ready || held.unloading {
		return 0, false
	}
	victim := p.engine.Model(name)
	if victim == nil {
		return -1, true
	}
	fits := s.freeMB+victim.WeightsMB+float64(len(held.adapters))*victim.AdapterMB >= wanted.WeightsMB
	if !fits || p.ready[name] < 2 || p.replicas[name] < 2 {
		return 0, false
	}
	if p.loadsLeft <= 0 && !s.atHand[wanted.Name] {
		return 0, false
	}
	cost := p.loss(name)*p.settings.UnloadFactor + p.loadCost(s, wanted.Name) + adapterCost*float64(len(held.adapters))
	if p.replicas[wanted.Name] > 0 && cost > p.gain(wanted.Name) {
		return 0, false
	}
	return cost, true
}

// adapterCost is what a resident adapter is worth when its model is unloaded.
const adapterCost = 0.1

func (p *plan) send(s *slot, order Order) {
	order.Instance = s.id()
	order.Address = s.server.instance.Address
	order.Expected = s.next
	s.next++
	s.blocked = true
	p.orders = append(p.orders, order)
}

// placeAdapters loads adapters that no server has: those that requests wait for,
// or all others while there is room.
func (p *plan) placeAdapters(wanted bool) {
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if model.Adapters == 0 {
			continue
		}
		for _, adapter := range p.missingAdapters(model, wanted) {
			p.placeAdapter(model, adapter, wanted)
		}
	}
}

func (p *plan) missingAdapters(model *fleet.Model, wanted bool) []string {
	present := map[string]bool{}
	for _, s := range p.slots {
		if held := s.models[model.Name]; held != nil && !held.unloading {
			for adapter := range held.adapters {
				present[adapter] = true
			}
		}
	}
	var missing []string
	if wanted {
		for adapter := range p.demand[model.Name].Adapters {
			if !present[adapter] {
				missing = append(missing, adapter)
			}
		}
		slices.Sort(missing)
		return missing
	}
	for number := 1; number <= model.Adapters; number++ {
		if adapter := fmt.Sprintf("a%d", number); !present[adapter] {
			missing = append(missing, adapter)
		}
	}
	return missing
}

// placeAdapter loads an adapter on the server of its model with the most free
// places; if none is free and makeRoom is set, it unloads one that another server
// has too, or that nothing waits for.
func (p *plan) placeAdapter(model *fleet.Model, adapter string, makeRoom bool) {
	var best, full *slot
	for _, s := range p.slots {
		held := s.models[model.Name]
		if held == nil || !held.ready || held.unloading || s.blocked || s.modelOrder || s.coming >= p.settings.MaxComing {
			continue
		}
		if s.freeAdapters <= 0 || s.freeMB < model.AdapterMB {
			if full == nil || s.requests < full.requests {
				full = s
			}
			continue
		}
		if best == nil || betterAdapterHost(adapter, s, best) {
			best = s
		}
	}
	if best != nil {
		best.coming++
		best.models[model.Name].adapters[adapter] = true
		best.freeAdapters--
		best.freeMB -= model.AdapterMB
		p.send(best, Order{Load: true, Model: model.Name, Adapter: adapter, Reason: "adapter"})
		return
	}
	if !makeRoom {
		return
	}
	if full != nil && full.freeing == 0 {
		p.unloadAdapter(full, adapter)
	} else if full == nil && p.hostsComing(model) == 0 {
		p.addReplica(model, "adapter wanted", true)
	}
}

// hostsComing is how many servers will hold a model soon.
func (p *plan) hostsComing(model *fleet.Model) int {
	return p.replicas[model.Name] - p.ready[model.Name]
}

func betterAdapterHost(adapter string, a, b *slot) bool {
	if a.freeAdapters != b.freeAdapters {
		return a.freeAdapters > b.freeAdapters
	}
	return xxhash.Sum64String(adapter+a.id()) > xxhash.Sum64String(adapter+b.id())
}

// unloadAdapter frees a place on a server. Adapters that nothing waits for go
// first, in a pseudo-random order, so that no adapter is always the victim.
func (p *plan) unloadAdapter(s *slot, salt string) {
	var victimModel, victim string
	var bestRank uint64
	for name, held := range s.models {
		for adapter := range held.adapters {
			if p.demand[name].Adapters[adapter] > 0 {
				continue
			}
			rank := xxhash.Sum64String(salt + name + adapter)
			if victim == "" || rank > bestRank {
				victimModel, victim, bestRank = name, adapter, rank
			}
		}
	}
	if victim != "" {
		p.send(s, Order{Model: victimModel, Adapter: victim, Reason: "room for adapter " + salt})
	}
}
