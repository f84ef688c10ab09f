package placement

import (
	"fmt"
	"math"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/rendezvous"
)

// addReplicas adds missing replicas: the first one of each model, then the second
// one of each, and so on.
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

// spread adds an anchor in another region if all replicas are in one region, or
// in another zone if all are in one zone, as far as there is a usable back end
// elsewhere. The surplus anchor is trimmed later.
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
	case sameRegion && p.hasUsableBackEnd(func(b *BackEnd) bool { return b.Region != first.Region }):
		p.addReplica(view, "all replicas are in one region")
	case sameZone && p.hasUsableBackEnd(func(b *BackEnd) bool { return b.Zone != first.Zone }):
		p.addReplica(view, "all replicas are in one zone")
	}
}

// hasUsableBackEnd reports whether any usable back end matches.
func (p *plan) hasUsableBackEnd(matches func(*BackEnd) bool) bool {
	for i := range p.backEnds {
		if p.backEnds[i].usable() && matches(&p.backEnds[i]) {
			return true
		}
	}
	return false
}

func (p *plan) addPinned(view *modelView) {
	for _, name := range view.model.Model.Pins {
		i, found := p.byName[name]
		if !found || includesBackEnd(view.replicas, i) || !p.backEnds[i].usable() {
			continue
		}
		bytes := view.model.Model.Bytes()
		if p.freeBytes[i] >= bytes && !p.modified[name] {
			p.add(view, i, bytes, true, "pinned by an operator")
		}
	}
}

// addAdapters reserves memory for configured adapters that a replica lacks.
func (p *plan) addAdapters(view *modelView) {
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		var missing []api.PlacementEntry
		var bytes int64
		for _, entry := range adapterEntries(view, replica.entry.Anchor) {
			existing := backEnd.Placement.Find(entry.Artifact)
			if existing == nil || existing.Phase == api.PhaseReleasing {
				missing = append(missing, entry)
				bytes += entry.Bytes
			}
		}
		if len(missing) == 0 || p.modified[backEnd.Name] {
			continue
		}
		if p.freeBytes[replica.backEnd] < bytes {
			continue
		}
		p.freeBytes[replica.backEnd] -= bytes
		p.emit(Operation{
			Kind: OperationAdd, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: view.weights, Entries: missing, Reason: "adapter configured",
		})
	}
}

// promote makes surplus replicas anchors while there are fewer anchors than the
// minimum number of replicas.
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
		if replica.entry.Anchor || p.modified[backEnd.Name] {
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

// addReplica adds one replica on the best back end with enough memory. Replicas
// above the minimum must leave the spare memory free. A reason is given if the
// replica is needed regardless of demand; it is then an anchor.
func (p *plan) addReplica(view *modelView, reason string) {
	bytes := view.model.Model.Bytes()
	spareNeeded := int64(0)
	aboveMinimum := len(view.replicas) >= view.model.Model.MinReplicas
	if aboveMinimum {
		spareNeeded = int64(p.snapshot.Settings.SpareFraction * float64(p.totalBytes))
	}
	if p.totalFreeBytes-bytes < spareNeeded {
		return
	}
	best := p.bestBackEnd(view, bytes)
	if best < 0 {
		return
	}
	anchor := !aboveMinimum || reason != ""
	switch {
	case reason != "":
	case !aboveMinimum:
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
	p.freeBytes[index] -= bytes
	p.totalFreeBytes -= bytes
	view.replicas = append(view.replicas, placedReplica{index, weights})
	p.emit(Operation{
		Kind: OperationAdd, BackEnd: backEnd.Name, IfVersion: backEnd.Version, Artifact: view.weights,
		Entries: append([]api.PlacementEntry{weights}, adapterEntries(view, anchor)...), Reason: reason,
	})
}

// bestBackEnd returns the index of the back end for one more replica, or -1. The back
// end must have enough memory and not hold the model. Anchors go to the region and
// zone with the fewest replicas of the model, surplus replicas to the back end with
// the least load. The next criterion is the largest fraction of free memory. Several
// daemons plan concurrently: a hash of model and back end decides between back ends
// with similar scores, so that daemons choose different ones and lose fewer races.
func (p *plan) bestBackEnd(view *modelView, bytes int64) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range p.backEnds {
		backEnd := &p.backEnds[i]
		if !backEnd.usable() || p.freeBytes[i] < bytes || p.modified[backEnd.Name] {
			continue
		}
		if backEnd.Placement.Find(view.weights) != nil || includesBackEnd(view.replicas, i) {
			continue
		}
		score := float64(p.freeBytes[i]) / float64(backEnd.MemoryBytes)
		score -= loadPenalty * backEnd.utilization()
		inZone, inRegion := p.replicasNear(view, backEnd)
		spread := zonePenalty*float64(inZone) + regionPenalty*float64(inRegion)
		if len(view.replicas) >= view.model.Model.MinReplicas {
			spread *= surplusSpreadFactor
		}
		score -= spread
		score += hashWeight * float64(rendezvous.Weight(view.model.Model.Name, backEnd.Name)) / math.MaxUint64
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

const (
	// zonePenalty makes a zone without a replica outweigh any fraction of free
	// memory, and regionPenalty a region without one outweigh any zone.
	zonePenalty   = 2.0
	regionPenalty = 4.0
	// surplusSpreadFactor scales these penalties for replicas above the
	// minimum.
	surplusSpreadFactor = 0.05
	// loadPenalty is the penalty of a back end whose batch slots are all in use.
	loadPenalty = 1.0
	// hashWeight is the largest contribution of the hash to the score.
	hashWeight = 0.2
)

// replicasNear counts the model's replicas in the back end's zone and in its region.
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

func includesBackEnd(replicas []placedReplica, index int) bool {
	for _, replica := range replicas {
		if replica.backEnd == index {
			return true
		}
	}
	return false
}
