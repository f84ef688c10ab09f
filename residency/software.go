package residency

import (
	"maps"
	"slices"

	"github.com/wheatweir/wheatweir/fleet"
)

// addReplicasForSoftware adds a replica of a model on an instance of each software version that
// streams wait for. Such a stream cannot resume on an instance of another version.
func (p *plan) addReplicasForSoftware() {
	for _, model := range p.modelsByDemand() {
		p.addReplicasForSoftwareOf(model)
	}
}

// addReplicasForSoftwareOf does so for one model. It reports whether it added an order. While an
// instance with the model has only just crashed, nothing is evicted: it may be back within seconds,
// empty and with a local copy.
func (p *plan) addReplicasForSoftwareOf(model *fleet.Model) bool {
	added := false
	waiting := p.observed[model.Name].Software
	for _, software := range slices.Sorted(maps.Keys(waiting)) {
		if waiting[software] <= 0 {
			continue
		}
		served, crashed := p.servedBySoftware(model.Name, software)
		if served {
			continue
		}
		p.requiredSoftware = &software
		added = p.addReplica(model, "software "+software, !crashed) || added
		p.requiredSoftware = nil
	}
	return added
}

// servedBySoftware reports whether an instance of a software version serves a model or is about to,
// and whether one that did has only just crashed.
func (p *plan) servedBySoftware(model, software string) (served, crashed bool) {
	for _, s := range p.projections {
		switch {
		case s.instanceState.instance.Software != software || !s.serves(model) && s.reservedFor != model:
		case s.instanceState.crashed(p.now):
			crashed = crashed || !s.unresponsive
		case !s.unresponsive:
			return true, crashed
		}
	}
	return false, crashed
}

// matchesSoftware reports whether the software version of an instance allows it to take the model
// that is being placed. An instance that has crashed takes none for the streams of its version.
func (p *plan) matchesSoftware(s *projection) bool {
	return p.requiredSoftware == nil || s.instanceState.instance.Software == *p.requiredSoftware && !s.instanceState.crashed(p.now)
}

// placeAdaptersForSoftware loads the adapters that streams need on an instance of their software
// version with the model.
func (p *plan) placeAdaptersForSoftware() {
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		needed := p.observed[model.Name].SoftwareAdapters
		for _, software := range slices.Sorted(maps.Keys(needed)) {
			p.requiredSoftware = &software
			for _, adapter := range slices.Sorted(maps.Keys(needed[software])) {
				if needed[software][adapter] > 0 && !p.adapterMatchesSoftware(model, adapter) {
					p.placeAdapter(model, adapter, true)
				}
			}
			p.requiredSoftware = nil
		}
	}
}

// adapterMatchesSoftware reports whether an instance of the required software version holds an
// adapter of a model or is about to.
func (p *plan) adapterMatchesSoftware(model *fleet.Model, adapter string) bool {
	return slices.ContainsFunc(p.hosts[model.Name], func(s *projection) bool {
		return p.matchesSoftware(s) && !s.unresponsive && s.serves(model.Name) && s.models[model.Name].adapters[adapter]
	})
}
