package residency

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
)

// addReplicasForAdapters adds replicas of models that have more adapters than adapter slots, while
// memory is free.
func (p *plan) addReplicasForAdapters() {
	for _, model := range p.modelsByDemand() {
		if p.adapterCapacity(model) < model.Adapters {
			p.addReplica(model, "adapters", false)
		}
	}
}

// adapterCapacity is the number of adapters of a model that are resident or have a free slot.
func (p *plan) adapterCapacity(model *fleet.Model) int {
	capacity := 0
	for _, s := range p.hosts[model.Name] {
		if replica := s.models[model.Name]; replica != nil && !replica.unloading {
			capacity += len(replica.adapters) + max(0, s.freeAdapterSlots)
		}
	}
	return capacity
}

// placeAdapters loads adapters that no instance holds: those that requests wait for, or all others
// while there is room.
func (p *plan) placeAdapters(requested bool) {
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if model.Adapters == 0 {
			continue
		}
		for _, adapter := range p.missingAdapters(model, requested) {
			p.placeAdapter(model, adapter, requested)
		}
	}
}

// adapterReplicas counts the instances that hold each adapter of a model or are about to.
func (p *plan) adapterReplicas(model string) map[string]int {
	adapterReplicas := map[string]int{}
	for _, s := range p.hosts[model] {
		if replica := s.models[model]; replica != nil && !replica.unloading && !s.unresponsive {
			for adapter := range replica.adapters {
				adapterReplicas[adapter]++
			}
		}
	}
	return adapterReplicas
}

func (p *plan) missingAdapters(model *fleet.Model, requested bool) []string {
	adapterReplicas := p.adapterReplicas(model.Name)
	var missing []string
	if requested {
		for adapter := range p.demand[model.Name].Adapters {
			if adapterReplicas[adapter] == 0 {
				missing = append(missing, adapter)
			}
		}
		slices.Sort(missing)
		return missing
	}
	for number := 1; number <= model.Adapters; number++ {
		if adapter := adapterName(number); adapterReplicas[adapter] == 0 {
			missing = append(missing, adapter)
		}
	}
	return missing
}

// adapterName returns the name that the platform gives an adapter of a model.
func adapterName(number int) string { return fmt.Sprintf("a%d", number) }

// spareAdapterSlots is the number of slots that each instance keeps free for adapters that no
// instance holds.
const spareAdapterSlots = 1

// placeSecondAdapterReplicas loads the adapters of requested models on a second instance, into free
// slots. No adapter then becomes unavailable when an instance is lost, or when it loads a model for
// seconds and accepts no other order meanwhile.
func (p *plan) placeSecondAdapterReplicas() {
	if !mechanism.Enabled(mechanism.SecondHomes) {
		return
	}
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if model.Adapters == 0 || !p.requested(model.Name) || p.ready[model.Name] < 2 {
			continue
		}
		adapterReplicas := p.adapterReplicas(model.Name)
		for number := 1; number <= model.Adapters; number++ {
			if adapter := adapterName(number); adapterReplicas[adapter] == 1 {
				p.placeSecondAdapterReplica(model, adapter)
			}
		}
	}
}

func (p *plan) placeSecondAdapterReplica(model *fleet.Model, adapter string) {
	var best *projection
	for _, s := range p.hosts[model.Name] {
		if !p.acceptsAdapters(s, model) || s.models[model.Name].adapters[adapter] || s.freeAdapterSlots <= spareAdapterSlots || s.freeMB < model.AdapterMB {
			continue
		}
		if best == nil || betterAdapterHost(adapter, s, best) {
			best = s
		}
	}
	if best != nil {
		p.loadAdapter(best, model, adapter, "second home")
	}
}

// acceptsAdapters reports whether an instance can be ordered now to load an adapter of a model.
func (p *plan) acceptsAdapters(s *projection, model *fleet.Model) bool {
	replica := s.models[model.Name]
	return replica != nil && replica.ready && !replica.unloading && !s.blocked && !s.modelOrderPending && s.loading < p.settings.MaxLoadingAdapters
}

func (p *plan) loadAdapter(s *projection, model *fleet.Model, adapter, reason string) {
	s.loading++
	s.models[model.Name].adapters[adapter] = true
	s.freeAdapterSlots--
	s.freeMB -= model.AdapterMB
	p.addOrder(s, Order{Load: true, Model: model.Name, Adapter: adapter, Reason: reason})
}

// placeAdapter loads an adapter on the host of its model with the most free slots. If there is no
// free slot and makeRoom is set, it unloads an adapter that another instance holds too or that no
// request waits for.
func (p *plan) placeAdapter(model *fleet.Model, adapter string, makeRoom bool) {
	var best, full *projection
	for _, s := range p.hosts[model.Name] {
		if !p.acceptsAdapters(s, model) || !p.matchesSoftware(s) {
			continue
		}
		if s.freeAdapterSlots <= 0 || s.freeMB < model.AdapterMB {
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
		p.loadAdapter(best, model, adapter, "adapter")
		return
	}
	if !makeRoom {
		return
	}
	if full != nil && full.unloadingAdapters == 0 {
		p.unloadAdapter(full, adapter)
	} else if full == nil && p.requiredSoftware == nil && p.pendingReplicas(model) == 0 {
		p.addReplica(model, "adapter wanted", true)
	}
}

// pendingReplicas is the number of instances that are about to serve a model.
func (p *plan) pendingReplicas(model *fleet.Model) int {
	return p.replicas[model.Name] - p.ready[model.Name]
}

func betterAdapterHost(adapter string, a, b *projection) bool {
	if a.freeAdapterSlots != b.freeAdapterSlots {
		return a.freeAdapterSlots > b.freeAdapterSlots
	}
	return xxhash.Sum64String(adapter+a.id()) > xxhash.Sum64String(adapter+b.id())
}

// unloadAdapter frees an adapter slot on an instance. Adapters that another instance holds go
// first, then those that no request waits for. The order is pseudo-random, so that no adapter is
// always the victim.
func (p *plan) unloadAdapter(s *projection, salt string) {
	var best adapterVictim
	for name, replica := range s.models {
		adapterReplicas := p.adapterReplicas(name)
		for adapter := range replica.adapters {
			victim := adapterVictim{model: name, adapter: adapter, spare: adapterReplicas[adapter] > 1, rank: xxhash.Sum64String(salt + name + adapter)}
			needed := p.observed[name].SoftwareAdapters[s.instanceState.instance.Software][adapter] > 0
			if !needed && (victim.spare || p.demand[name].Adapters[adapter] == 0) && victim.ranksBefore(&best) {
				best = victim
			}
		}
	}
	if best.adapter != "" {
		p.addOrder(s, Order{Model: best.model, Adapter: best.adapter, Reason: "room for adapter " + salt})
	}
}

// adapterVictim is an adapter on an instance that may be unloaded.
type adapterVictim struct {
	model, adapter string
	// spare is set if another instance holds the adapter too.
	spare bool
	rank  uint64
}

func (v *adapterVictim) ranksBefore(other *adapterVictim) bool {
	if other.adapter == "" || v.spare != other.spare {
		return other.adapter == "" || v.spare
	}
	return v.rank > other.rank
}
