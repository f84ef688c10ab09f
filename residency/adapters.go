package residency

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/mechanism"
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
	for _, s := range p.hosts[model.Name] {
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

// homes counts the servers that hold each adapter of a model, or soon will.
func (p *plan) homes(model string) map[string]int {
	homes := map[string]int{}
	for _, s := range p.hosts[model] {
		if held := s.models[model]; held != nil && !held.unloading && !s.silent {
			for adapter := range held.adapters {
				homes[adapter]++
			}
		}
	}
	return homes
}

func (p *plan) missingAdapters(model *fleet.Model, wanted bool) []string {
	homes := p.homes(model.Name)
	var missing []string
	if wanted {
		for adapter := range p.demand[model.Name].Adapters {
			if homes[adapter] == 0 {
				missing = append(missing, adapter)
			}
		}
		slices.Sort(missing)
		return missing
	}
	for number := 1; number <= model.Adapters; number++ {
		if adapter := adapterName(number); homes[adapter] == 0 {
			missing = append(missing, adapter)
		}
	}
	return missing
}

// adapterName is how the platform names the adapters of a model.
func adapterName(number int) string { return fmt.Sprintf("a%d", number) }

// spareAdapterPlaces is the number of places that each server keeps free for adapters that
// have no home.
const spareAdapterPlaces = 1

// placeSecondHomes gives the adapters of models that are asked for a second home, in places
// that are free. A server that is lost, or that loads a model for seconds and takes no other
// order meanwhile, then leaves none of them without a home.
func (p *plan) placeSecondHomes() {
	if !mechanism.Enabled(mechanism.SecondHomes) {
		return
	}
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if model.Adapters == 0 || !p.wanted(model.Name) || p.ready[model.Name] < 2 {
			continue
		}
		homes := p.homes(model.Name)
		for number := 1; number <= model.Adapters; number++ {
			if adapter := adapterName(number); homes[adapter] == 1 {
				p.placeSecondHome(model, adapter)
			}
		}
	}
}

func (p *plan) placeSecondHome(model *fleet.Model, adapter string) {
	var best *slot
	for _, s := range p.hosts[model.Name] {
		if !p.takesAdapters(s, model) || s.models[model.Name].adapters[adapter] || s.freeAdapters <= spareAdapterPlaces || s.freeMB < model.AdapterMB {
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

// takesAdapters reports whether a server can be ordered now to load an adapter of a model.
func (p *plan) takesAdapters(s *slot, model *fleet.Model) bool {
	held := s.models[model.Name]
	return held != nil && held.ready && !held.unloading && !s.blocked && !s.modelOrder && s.coming < p.settings.MaxComing
}

func (p *plan) loadAdapter(s *slot, model *fleet.Model, adapter, reason string) {
	s.coming++
	s.models[model.Name].adapters[adapter] = true
	s.freeAdapters--
	s.freeMB -= model.AdapterMB
	p.send(s, Order{Load: true, Model: model.Name, Adapter: adapter, Reason: reason})
}

// placeAdapter loads an adapter on the server of its model with the most free
// places; if none is free and makeRoom is set, it unloads one that another server
// has too, or that nothing waits for.
func (p *plan) placeAdapter(model *fleet.Model, adapter string, makeRoom bool) {
	var best, full *slot
	for _, s := range p.hosts[model.Name] {
		if !p.takesAdapters(s, model) {
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
		p.loadAdapter(best, model, adapter, "adapter")
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

// unloadAdapter frees a place on a server. Adapters that have another home go first, then
// those that nothing waits for, in a pseudo-random order, so that no adapter is always the
// victim.
func (p *plan) unloadAdapter(s *slot, salt string) {
	var best adapterVictim
	for name, held := range s.models {
		homes := p.homes(name)
		for adapter := range held.adapters {
			victim := adapterVictim{model: name, adapter: adapter, spare: homes[adapter] > 1, rank: xxhash.Sum64String(salt + name + adapter)}
			if (victim.spare || p.demand[name].Adapters[adapter] == 0) && victim.before(&best) {
				best = victim
			}
		}
	}
	if best.adapter != "" {
		p.send(s, Order{Model: best.model, Adapter: best.adapter, Reason: "room for adapter " + salt})
	}
}

// adapterVictim is an adapter that may give way on a server.
type adapterVictim struct {
	model, adapter string
	// spare says that another server has it too.
	spare bool
	rank  uint64
}

func (v *adapterVictim) before(other *adapterVictim) bool {
	if other.adapter == "" || v.spare != other.spare {
		return other.adapter == "" || v.spare
	}
	return v.rank > other.rank
}
