package residency

import (
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
)

const (
	// maxStuck bounds the models that find no place in one plan: each looks at all servers,
	// and those that gain less than they do seldom find one.
	maxStuck = 4
	// maxStuckExpected bounds those of them that gain mostly by expected demand, for which no model is parked. They
	// must not keep models from growing that are requested now.
	maxStuckExpected = 16
)

// grow gives replicas to the models whose requests gain the most, and at least as much as
// given, first with free memory, then with memory of replicas whose loss costs less. A model
// that finds no place now holds up no other.
func (p *plan) grow(least float64) {
	stuck := map[string]bool{}
	expected := 0
	for len(stuck)-expected < maxStuck && expected < maxStuckExpected {
		model, gain := p.mostRelieved(stuck)
		if model == nil || gain < least {
			return
		}
		if !p.addReplica(model, "demand", true) {
			stuck[model.Name], p.stuck = true, true
			if p.service.parkable(model) && p.unmetGain(model.Name) < least {
				expected++
			}
		}
	}
}

// mostRelieved is the model whose requests gain the most by one more replica, of those
// that are not stuck.
func (p *plan) mostRelieved(stuck map[string]bool) (*fleet.Model, float64) {
	var best *fleet.Model
	bestGain := 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if stuck[model.Name] || p.replicas[model.Name] >= len(p.slots) {
			continue
		}
		if gain := p.gain(model.Name); gain > bestGain {
			best, bestGain = model, gain
		}
	}
	return best, bestGain
}

// worth is what one more replica of a model is worth: what its requests gain by it, or that
// the model can be reached again, by those that wait and those that are expected.
func (p *plan) worth(model string) float64 {
	if p.reachable[model] > 0 && p.onlySoftware == nil {
		return p.gain(model)
	}
	seen := p.observed[model]
	asking := max(float64(seen.Waiting), seen.Concurrent)
	return p.settings.ReachWorth*(1+asking*(1+p.unserved.span(p.now, model).Seconds())) + p.waitCost(model, 1)
}

// gain is what the requests for a model gain by one more replica, loss what they lose by one
// fewer of those that serve them now: others that are on their way do not help them yet.
func (p *plan) gain(model string) float64 {
	replicas := float64(max(1, p.replicas[model]))
	return p.waitCost(model, replicas) - p.waitCost(model, replicas+1)
}

// unmetGain is the gain without the requests that are only expected.
func (p *plan) unmetGain(model string) float64 {
	replicas := float64(max(1, p.replicas[model]))
	demand := p.unmet[model].Concurrent
	return p.waitCostOf(demand, replicas) - p.waitCostOf(demand, replicas+1)
}

func (p *plan) loss(model string) float64 {
	ready := float64(p.ready[model])
	return p.waitCost(model, ready-1) - p.waitCost(model, ready)
}

// waitCost is the sum over the requests for a model of what each waits for: the requests on
// its replica, in units of ReplicaLoad, and, as one, the loss of its replica.
func (p *plan) waitCost(model string, replicas float64) float64 {
	return p.waitCostOf(p.demand[model].Concurrent, replicas)
}

func (p *plan) waitCostOf(demand, replicas float64) float64 {
	return demand / replicas * (1 + demand/p.settings.ReplicaLoad)
}

// loadCost is what a load on a server is worth, into free memory.
func (p *plan) loadCost(s *slot, model *fleet.Model) float64 {
	if s.atHand[model.Name] {
		return p.settings.LoadCost
	}
	return 2 * p.settings.LoadCost
}

// swapCost is what it is worth that memory serves nobody while a model is loaded in the
// place of another one.
func (p *plan) swapCost(s *slot, model *fleet.Model) float64 {
	took := model.LoadTime
	if s.atHand[model.Name] {
		took = max(model.WarmTime, model.DiskTime)
	}
	return p.settings.LoadSecondCost * took.Seconds()
}

// makeRoom unloads the replica that is needed least, on a server where the model
// then fits. It reports whether room is under way.
func (p *plan) makeRoom(model *fleet.Model) bool {
	candidates := victims{returning: p.returning(model.Name)}
	for _, s := range p.slots {
		if s.blocked || s.modelOrder || s.limited || s.reservedFor != "" || s.models[model.Name] != nil || !p.mayHost(s) {
			continue
		}
		for name, held := range s.models {
			candidates.consider(p, s, name, held, model)
		}
	}
	best := candidates.best()
	if best.slot == nil {
		return false
	}
	p.evict(&best, model)
	return true
}

// evict orders the unload of a replica in favour of another model.
func (p *plan) evict(v *victim, model *fleet.Model) {
	reason := "room for " + model.Name
	if v.parks {
		reason = "parked as idle: " + reason
	}
	if !v.slot.atHand[model.Name] && p.service.parkable(model) {
		// Its load is still to come: no more room is made than can be used.
		p.loadsLeft--
	}
	p.send(v.slot, Order{Model: v.name, RoomFor: model.Name, Reason: reason})
	v.slot.modelOrder = true
	v.slot.reservedFor = model.Name
	v.slot.models[v.name].unloading = true
	p.replicas[v.name]--
	p.ready[v.name]--
	p.onItsWay(model.Name)
}

// unloadCost rates the unload of a replica in favour of another model, lower is better, and
// reports whether it may be unloaded at all and is worth less than what takes its place. The
// last replica that is ready is only unloaded to park its model.
func (p *plan) unloadCost(s *slot, name string, held *holding, wanted *fleet.Model) (float64, bool) {
	if !held.ready || held.unloading {
		return 0, false
	}
	victim := p.models[name]
	if victim == nil {
		return -1, true
	}
	fits := s.freeMB+victim.WeightsMB+float64(len(held.adapters))*victim.AdapterMB >= wanted.WeightsMB
	if !fits || !p.mayLoad(s, wanted) {
		return 0, false
	}
	if p.isLast(name) {
		cost, allowed := p.parkCost(s, name, wanted)
		return cost + p.expectedLoad(s), allowed
	}
	cost := p.loss(name)*p.settings.UnloadFactor + p.loadCost(s, wanted) + p.swapCost(s, wanted) + adapterCost*float64(len(held.adapters))
	bounded := p.reachable[wanted.Name] > 0 || mechanism.Enabled(mechanism.PricedReach)
	if bounded && cost > p.worth(wanted.Name) && !p.returning(wanted.Name) {
		return 0, false
	}
	return cost + p.expectedLoad(s), true
}

// adapterCost is what a resident adapter is worth when its model is unloaded.
const adapterCost = 0.05
