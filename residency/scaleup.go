package residency

import (
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
)

const (
	// maxUnplaced bounds the models without a suitable instance in one plan. Each of them scans all
	// instances, and models with a lower gain seldom find one.
	maxUnplaced = 4
	// maxUnplacedForecast bounds those of them whose gain comes mostly from forecast demand, for
	// which no model is parked. They must not keep requested models from scaling up.
	maxUnplacedForecast = 16
)

// scaleUp adds replicas of the models whose requests gain the most, and at least minGain. It uses
// free memory first, then memory of replicas whose loss costs less. A model without a suitable
// instance does not block the others.
func (p *plan) scaleUp(minGain float64) {
	unplaced := map[string]bool{}
	forecastOnly := 0
	for len(unplaced)-forecastOnly < maxUnplaced && forecastOnly < maxUnplacedForecast {
		model, gain := p.highestGain(unplaced)
		if model == nil || gain < minGain {
			return
		}
		if !p.addReplica(model, "demand", true) {
			unplaced[model.Name], p.unplaced = true, true
			if p.service.parkable(model) && p.gainWithoutForecast(model.Name) < minGain {
				forecastOnly++
			}
		}
	}
}

// highestGain returns the model whose requests gain the most from one more replica, except for the
// unplaced ones.
func (p *plan) highestGain(unplaced map[string]bool) (*fleet.Model, float64) {
	var best *fleet.Model
	bestGain := 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if unplaced[model.Name] || p.replicas[model.Name] >= len(p.projections) {
			continue
		}
		if gain := p.gain(model.Name); gain > bestGain {
			best, bestGain = model, gain
		}
	}
	return best, bestGain
}

// replicaValue is the value of one more replica of a model: the gain of its requests or, for an
// unreachable model, the value of reaching it for waiting and expected requests.
func (p *plan) replicaValue(model string) float64 {
	if p.reachable[model] > 0 && p.requiredSoftware == nil {
		return p.gain(model)
	}
	current := p.observed[model]
	active := max(float64(current.Waiting), current.Concurrent)
	return p.settings.ReachValue*(1+active*(1+p.waitingTimes.duration(p.now, model).Seconds())) + p.waitCost(model, 1)
}

// gain is the reduction of the wait cost of a model by one more replica. loss is the increase by
// one ready replica fewer: replicas that are still loading do not serve requests yet.
func (p *plan) gain(model string) float64 {
	replicas := float64(max(1, p.replicas[model]))
	return p.waitCost(model, replicas) - p.waitCost(model, replicas+1)
}

// gainWithoutForecast is the gain without the requests that are only forecast.
func (p *plan) gainWithoutForecast(model string) float64 {
	replicas := float64(max(1, p.replicas[model]))
	demand := p.withRefused[model].Concurrent
	return p.waitCostOf(demand, replicas) - p.waitCostOf(demand, replicas+1)
}

func (p *plan) loss(model string) float64 {
	ready := float64(p.ready[model])
	return p.waitCost(model, ready-1) - p.waitCost(model, ready)
}

// waitCost sums up, over the requests for a model, the requests on the same replica in units of
// ReplicaLoad, plus one for the risk that the replica is lost.
func (p *plan) waitCost(model string, replicas float64) float64 {
	return p.waitCostOf(p.demand[model].Concurrent, replicas)
}

func (p *plan) waitCostOf(demand, replicas float64) float64 {
	return demand / replicas * (1 + demand/p.settings.ReplicaLoad)
}

// loadCost is the cost of a load into free memory of an instance.
func (p *plan) loadCost(s *projection, model *fleet.Model) float64 {
	if s.localCopy[model.Name] {
		return p.settings.LoadCost
	}
	return 2 * p.settings.LoadCost
}

// swapCost is the cost of the time during which memory serves no requests because one model
// replaces another.
func (p *plan) swapCost(s *projection, model *fleet.Model) float64 {
	loadTime := model.LoadTime
	if s.localCopy[model.Name] {
		loadTime = max(model.WarmTime, model.DiskTime)
	}
	return p.settings.SwapCostPerSecond * loadTime.Seconds()
}

// makeRoom evicts the least needed replica from an instance on which the model then fits. It
// reports whether it added such an order.
func (p *plan) makeRoom(model *fleet.Model) bool {
	candidates := bestVictims{unparking: p.unparking(model.Name)}
	for _, s := range p.projections {
		if s.blocked || s.modelOrderPending || s.limited || s.reservedFor != "" || s.models[model.Name] != nil || !p.matchesSoftware(s) {
			continue
		}
		for name, replica := range s.models {
			candidates.consider(p, s, name, replica, model)
		}
	}
	best := candidates.best()
	if best.projection == nil {
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
	if !v.projection.localCopy[model.Name] && (p.service.parkable(model) || p.requiredSoftware != nil) {
		// The load of the model follows later. It counts now, so that no more memory is freed than
		// can be loaded into.
		p.loadsLeft--
	}
	p.addOrder(v.projection, Order{Model: v.name, ReservedFor: model.Name, Reason: reason})
	v.projection.modelOrderPending = true
	v.projection.reservedFor = model.Name
	v.projection.models[v.name].unloading = true
	p.replicas[v.name]--
	p.ready[v.name]--
	p.countPending(model.Name)
}

// unloadCost rates the eviction of a replica in favour of another model; lower is better. It reports
// whether the eviction is allowed and costs less than the new replica is worth. The last ready
// replica is only evicted in order to park its model.
func (p *plan) unloadCost(s *projection, name string, replica *modelReplica, requested *fleet.Model) (float64, bool) {
	if !replica.ready || replica.unloading {
		return 0, false
	}
	victim := p.models[name]
	if victim == nil {
		return -1, true
	}
	fits := s.freeMB+victim.WeightsMB+float64(len(replica.adapters))*victim.AdapterMB >= requested.WeightsMB
	if !fits || !p.mayLoad(s, requested) {
		return 0, false
	}
	if p.isLast(name) {
		cost, allowed := p.parkCost(s, name, requested)
		return cost + p.expectedLoad(s), allowed
	}
	cost := p.loss(name)*p.settings.UnloadFactor + p.loadCost(s, requested) + p.swapCost(s, requested) + adapterCost*float64(len(replica.adapters))
	bounded := p.reachable[requested.Name] > 0 || mechanism.Enabled(mechanism.PricedReach)
	if bounded && cost > p.replicaValue(requested.Name) && !p.unparking(requested.Name) {
		return 0, false
	}
	return cost + p.expectedLoad(s), true
}

// adapterCost is the cost of each resident adapter that is unloaded together with its model.
const adapterCost = 0.05
