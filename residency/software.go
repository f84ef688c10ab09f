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

// addReplicasForSoftwareOf does so for one model. It reports whether it added an order.
func (p *plan) addReplicasForSoftwareOf(model *fleet.Model) bool {
	added := false
	waiting := p.observed[model.Name].Software
	for _, software := range slices.Sorted(maps.Keys(waiting)) {
		if waiting[software] <= 0 || p.servedBySoftware(model.Name, software) {
			continue
		}
		p.requiredSoftware = &software
		added = p.addReplica(model, "software "+software, true) || added
		p.requiredSoftware = nil
	}
	return added
}

// servedBySoftware reports whether an instance of a software version serves a model or is about to.
func (p *plan) servedBySoftware(model, software string) bool {
	for _, s := range p.projections {
		if s.instanceState.instance.Software == software && !s.unresponsive && (s.serves(model) || s.reservedFor == model) {
			return true
		}
	}
	return false
}

// matchesSoftware reports whether the software version of an instance allows it to take the model
// that is being placed.
func (p *plan) matchesSoftware(s *projection) bool {
	return p.requiredSoftware == nil || s.instanceState.instance.Software == *p.requiredSoftware
}
