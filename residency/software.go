package residency

import (
	"maps"
	"slices"
)

// placeForSoftware gives models a replica on a server of each software version at which streams wait for them: those cannot go
// on at the replicas on servers of other versions.
func (p *plan) placeForSoftware() {
	for _, model := range p.modelsByDemand() {
		waiting := p.observed[model.Name].Software
		for _, software := range slices.Sorted(maps.Keys(waiting)) {
			if waiting[software] <= 0 || p.hostedAt(model.Name, software) {
				continue
			}
			p.onlySoftware = &software
			p.addReplica(model, "software "+software, true)
			p.onlySoftware = nil
		}
	}
}

// hostedAt reports whether a server of a software version serves a model, or soon will.
func (p *plan) hostedAt(model, software string) bool {
	for _, s := range p.slots {
		if s.server.instance.Software == software && !s.silent && (s.serves(model) || s.reservedFor == model) {
			return true
		}
	}
	return false
}

// mayHost reports whether a server may take the model that is being placed, as far as its software goes.
func (p *plan) mayHost(s *slot) bool {
	return p.onlySoftware == nil || s.server.instance.Software == *p.onlySoftware
}
