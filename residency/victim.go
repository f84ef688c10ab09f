package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// victim is a replica that may be evicted in favour of another model.
type victim struct {
	projection *projection
	name       string
	cost       float64
	// parks is set for the last ready replica of its model. In that case localCopy tells whether
	// the instance has a local copy of the model, and idle how long the model has been idle.
	parks     bool
	localCopy bool
	idle      time.Duration
	// unused is set if no request uses the replica, so that its unload does not wait for any.
	// requestedLocalCopy is set if the instance has a local copy of the other model. Both count only
	// while the other model is being unparked.
	unused             bool
	requestedLocalCopy bool
}

// consider adds the replica of a model on an instance to the candidates if it may be evicted in
// favour of another model.
func (b *bestVictims) consider(p *plan, s *projection, name string, replica *modelReplica, requested *fleet.Model) {
	cost, allowed := p.unloadCost(s, name, replica, requested)
	if !allowed {
		return
	}
	v := victim{projection: s, name: name, cost: cost}
	if b.unparking {
		v.unused, v.requestedLocalCopy = !p.requested(name), s.localCopy[requested.Name]
	}
	if p.service.parkable(p.models[name]) && p.isLast(name) {
		v.parks, v.localCopy, v.idle = true, s.localCopy[name], p.idle.duration(p.now, name)
	}
	b.add(&v)
}

// isLast reports whether a model has at most one ready replica, or at most one that will remain.
func (p *plan) isLast(name string) bool { return p.ready[name] < 2 || p.replicas[name] < 2 }

// ranksBefore reports whether a victim is better than another of the same kind. One kind parks its
// model, the other does not.
func (v *victim) ranksBefore(other *victim, unparking bool) bool {
	if unparking && (v.unused != other.unused || v.requestedLocalCopy != other.requestedLocalCopy) {
		return v.unparksFaster(other)
	}
	if v.parks && v.localCopy != other.localCopy {
		return v.localCopy
	}
	if v.parks && v.idle != other.idle {
		return v.idle > other.idle
	}
	return v.cheaper(other)
}

// unparksFaster prefers the victim with which the swap ends sooner.
func (v *victim) unparksFaster(other *victim) bool {
	if v.unused != other.unused {
		return v.unused
	}
	return v.requestedLocalCopy
}

func (v *victim) cheaper(other *victim) bool {
	return v.cost < other.cost || v.cost == other.cost && v.name < other.name
}

// bestVictims holds the best victim of each kind.
type bestVictims struct {
	spare, parked victim
	unparking     bool
}

func (b *bestVictims) add(v *victim) {
	best := &b.spare
	if v.parks {
		best = &b.parked
	}
	if best.projection == nil || v.ranksBefore(best, b.unparking) {
		*best = *v
	}
}

// best returns the better of the two kinds. Its projection is nil if there is no victim.
func (b *bestVictims) best() victim {
	spare, parked := &b.spare, &b.parked
	switch {
	case parked.projection == nil:
		return *spare
	case spare.projection == nil:
		return *parked
	case b.unparking && (parked.unused != spare.unused || parked.requestedLocalCopy != spare.requestedLocalCopy):
		if parked.unparksFaster(spare) {
			return *parked
		}
		return *spare
	case parked.cost < spare.cost:
		return *parked
	default:
		return *spare
	}
}
