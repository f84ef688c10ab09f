package placement

import (
	"fmt"
	"math"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/rendezvous"
)

// addReplicas gives each model its first missing replica, then each its
// second, and so on.
func (p *plan) addReplicas(views []*modelView) {
	for _, view := range views {
		p.addPinned(view)
		p.addAdapters(view)
		p.promote(view)
	}
	for level := 1; ; level++ {
		more := false
		for _, view := range views {
			if view.desired < level {
				continue
			}
			more = true
			if len(view.replicas) < level {
				p.addReplica(view, "")
			}
		}
		if !more {
			break
		}
	}
	for _, view := range views {
		p.spread(view)
	}
}

// spread adds an anchor elsewhere if all are in one region although there is
// another, or in one zone although there is another. The anchor that is
// then too many is trimmed later.
func (p *plan) spread(view *modelView) {
	if view.suspended > 0 || view.model.Model.MinReplicas < 2 || len(view.replicas) < view.model.Model.MinReplicas {
		return
	}
	first := &p.backEnds[view.replicas[0].backEnd]
	sameRegion, sameZone := true, true
	for _, replica := range view.replicas[1:] {
		backEnd := &p.backEnds[replica.backEnd]
		sameRegion = sameRegion && backEnd.Region == first.Region
		sameZone = sameZone && backEnd.Zone == first.Zone
	}
	switch {
	case sameRegion && p.otherPlace(func(b *BackEnd) bool { return b.Region != first.Region }):
		p.addReplica(view, "all replicas are in one region")
	case sameZone && p.otherPlace(func(b *BackEnd) bool { return b.Zone != first.Zone }):
		p.addReplica(view, "all replicas are in one zone")
	}
}

// otherPlace reports whether a usable back end is in another place.
func (p *plan) otherPlace(elsewhere func(*BackEnd) bool) bool {
	for i := range p.backEnds {
		if p.backEnds[i].usable() && elsewhere(&p.backEnds[i]) {
			return true
		}
	}
	return false
}

func (p *plan) addPinned(view *modelView) {
	for _, name := range view.model.Model.Pins {
		i, found := p.byName[name]
		if !found || holds(view.replicas, i) || !p.backEnds[i].usable() {
			continue
		}
		bytes := view.model.Model.Bytes()
		if p.free[i] >= bytes && !p.touched[name] {
			p.add(view, i, bytes, true, "pinned by an operator")
		}
	}
}

// addAdapters reserves adapters that a replica lacks.
func (p *plan) addAdapters(view *modelView) {
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		var missing []api.PlacementEntry
		var bytes int64
		for _, entry := range adapterEntries(view, replica.entry.Anchor) {
			known := backEnd.Placement.Find(entry.Artifact)
			if known == nil || known.Phase == api.PhaseReleasing {
				missing = append(missing, entry)
				bytes += entry.Bytes
			}
		}
		if len(missing) == 0 || p.touched[backEnd.Name] {
			continue
		}
		if p.free[replica.backEnd] < bytes {
			continue
		}
		p.free[replica.backEnd] -= bytes
		p.emit(Operation{
			Kind: OperationAdd, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: view.weights, Entries: missing, Reason: "adapter configured",
		})
	}
}

// promote makes surplus replicas anchors when there are too few anchors.
func (p *plan) promote(view *modelView) {
	anchors := 0
	for _, replica := range view.replicas {
		if replica.entry.Anchor {
			anchors++
		}
	}
	for i := range view.replicas {
		replica := &view.replicas[i]
		backEnd := &p.backEnds[replica.backEnd]
		if anchors >= view.model.Model.MinReplicas {
			return
		}
		if replica.entry.Anchor || p.touched[backEnd.Name] {
			continue
		}
		anchors++
		p.emit(Operation{
			Kind: OperationPromote, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: view.weights, Reason: "too few anchors",
		})
	}
}

func adapterEntries(view *modelView, anchor bool) []api.PlacementEntry {
	entries := make([]api.PlacementEntry, 0, len(view.model.Model.Adapters))
	for _, adapter := range view.model.Model.Adapters {
		artifact := view.weights
		artifact.Adapter = adapter.Name
		entries = append(entries, api.PlacementEntry{
			Artifact: artifact, Bytes: adapter.Bytes, Phase: api.PhaseHeld, Anchor: anchor,
		})
	}
	return entries
}

// addReplica adds one replica on the best back end that has room. Replicas above
// the minimum leave some memory spare; a reason says why one is needed although
// demand asks for none.
func (p *plan) addReplica(view *modelView, reason string) {
	bytes := view.model.Model.Bytes()
	spareNeeded := int64(0)
	above := len(view.replicas) >= view.model.Model.MinReplicas
	if above {
		spareNeeded = int64(p.snapshot.Settings.SpareFraction * float64(p.totalBytes))
	}
	if p.totalFree-bytes < spareNeeded {
		return
	}
	best := p.bestBackEnd(view, bytes)
	if best < 0 {
		return
	}
	anchor := !above || reason != ""
	switch {
	case reason != "":
	case !above:
		reason = "fewer replicas than the minimum"
	default:
		reason = fmt.Sprintf("demand %.1f over %d replicas", view.model.Demand.Fast, len(view.replicas))
	}
	p.add(view, best, bytes, anchor, reason)
}

func (p *plan) add(view *modelView, index int, bytes int64, anchor bool, reason string) {
	backEnd := &p.backEnds[index]
	version, _ := view.model.Model.ServingVersion()
	weights := api.PlacementEntry{Artifact: view.weights, Bytes: version.Bytes, Phase: api.PhaseHeld, Anchor: anchor}
	p.free[index] -= bytes
	p.totalFree -= bytes
	view.replicas = append(view.replicas, holding{index, weights})
	p.emit(Operation{
		Kind: OperationAdd, BackEnd: backEnd.Name, IfVersion: backEnd.Version, Artifact: view.weights,
		Entries: append([]api.PlacementEntry{weights}, adapterEntries(view, anchor)...), Reason: reason,
	})
}

// bestBackEnd picks the back end for one more replica: one that has room and
// does not hold the model. Anchors go to a region and zone with the fewest
// replicas of it; replicas for demand go where the load is least. After that the
// largest share of free memory counts. Several daemons plan at once, so near-equal
// back ends are told apart by a hash of model and back end, which spreads the
// choices and saves lost races.
func (p *plan) bestBackEnd(view *modelView, bytes int64) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range p.backEnds {
		backEnd := &p.backEnds[i]
		if !backEnd.usable() || p.free[i] < bytes || p.touched[backEnd.Name] {
			continue
		}
		if backEnd.Placement.Find(view.weights) != nil || holds(view.replicas, i) {
			continue
		}
		score := float64(p.free[i]) / float64(backEnd.MemoryBytes)
		score -= loadPenalty * backEnd.loadShare()
		inZone, inRegion := p.replicasNear(view, backEnd)
		spread := zonePenalty*float64(inZone) + regionPenalty*float64(inRegion)
		if len(view.replicas) >= view.model.Model.MinReplicas {
			spread *= surplusSpreadShare
		}
		score -= spread
		score += spreadShare * float64(rendezvous.Weight(view.model.Model.Name, backEnd.Name)) / math.MaxUint64
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

const (
	// zonePenalty makes a zone without a replica win over any free share, and
	// regionPenalty a region without one over any zone.
	zonePenalty   = 2.0
	regionPenalty = 4.0
	// surplusSpreadShare is how much of these counts for replicas above the
	// minimum.
	surplusSpreadShare = 0.05
	// loadPenalty is the cost of a back end whose batch is full.
	loadPenalty = 1.0
	// spreadShare is how much of the score the hash may decide.
	spreadShare = 0.2
)

// replicasNear counts the model's replicas in the zone and region of a back end.
func (p *plan) replicasNear(view *modelView, backEnd *BackEnd) (inZone, inRegion int) {
	for _, replica := range view.replicas {
		other := &p.backEnds[replica.backEnd]
		if other.Zone == backEnd.Zone {
			inZone++
		}
		if other.Region == backEnd.Region {
			inRegion++
		}
	}
	return inZone, inRegion
}

func holds(replicas []holding, index int) bool {
	for _, replica := range replicas {
		if replica.backEnd == index {
			return true
		}
	}
	return false
}
