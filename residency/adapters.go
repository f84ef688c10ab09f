package residency

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
)

// placeForAdapters adds replicas of models whose adapters do not all have a
// place, while memory is free.
func (p *plan) placeForAdapters() {
	for _, model := range p.modelsByDemand() {
		if p.adapterPlaces(model) < model.Adapters {
			p.addReplica(model, "adapters", false)
		}
	}
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
