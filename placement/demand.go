package placement

import "math"

// typicalBytes returns the mean size of the models.
func typicalBytes(models []Model) int64 {
	total, count := int64(0), int64(0)
	for i := range models {
		if bytes := models[i].Model.Bytes(); bytes > 0 {
			total += bytes
			count++
		}
	}
	return total / max(count, 1)
}

// wholeReplicas rounds free bytes down to what whole replicas take.
func (p *plan) wholeReplicas(free int64) int64 {
	if p.typical <= 0 {
		return max(free, 0)
	}
	return max(free, 0) / p.typical * p.typical
}

// slotsOf returns the batch slots of an engine that was observed to hold the
// model, or zero if there is none.
func (p *plan) slotsOf(replicas []holding) float64 {
	for _, replica := range replicas {
		if report := p.backEnds[replica.backEnd].Report; report != nil && report.Slots > 0 {
			return float64(report.Slots)
		}
	}
	return 0
}

// desiredReplicas turns demand into a number of replicas. Demand above what
// the present replicas should take adds replicas if the worth of serving the
// excess outweighs the moves; fewer are wanted only once the slow average
// fits comfortably in fewer. While no engine with the model has reported, nobody
// knows how much one takes, and demand changes nothing. While memory is free,
// replicas for a rise of the slow demand are kept ready, so that a burst needs no
// loads and no platform. Suspended replicas count
// towards the minimum as long as one other is there.
func (p *plan) desiredReplicas(model *Model, present, suspended int) int {
	settings := p.snapshot.Settings
	floor := max(model.Model.MinReplicas-suspended, 1, len(model.Model.Pins))
	perReplica := p.slotsOf(p.byModel[model.Model.Name]) * settings.TargetUtilization
	if perReplica == 0 {
		return max(present, floor)
	}
	wanted := int(math.Ceil(model.Demand.Fast / perReplica))
	held := int(math.Ceil(max(model.Demand.Slow, model.Demand.Fast) / (perReplica * scaleDownShare)))
	ready := 0
	if !p.memoryIsShort() {
		ready = int(math.Ceil(model.Demand.Slow * settings.Headroom / perReplica))
	}
	desired := present
	switch {
	case wanted > present:
		excess := model.Demand.Fast - float64(present)*perReplica
		if settings.Weights.Attainment*excess >= settings.Weights.Moves*float64(wanted-present) {
			desired = wanted
		}
	case ready > present:
		desired = ready
	case max(held, ready) < present:
		desired = max(held, ready)
	}
	desired = max(desired, floor)
	if model.Model.MaxReplicas > 0 {
		desired = min(desired, max(model.Model.MaxReplicas, floor))
	}
	return desired
}

// scaleDownShare is the load share that replicas must fit in before one is
// given up. The gap to 1 is the hysteresis between adding and removing.
const scaleDownShare = 0.6

// memoryIsShort reports whether little more than the spare memory is free.
func (p *plan) memoryIsShort() bool {
	return float64(p.totalFree) < shortShare*p.snapshot.Settings.SpareFraction*float64(p.totalBytes)
}

// shortShare is the share of the spare memory under which memory is short. It
// is under 1, so that replicas which may use memory down to the spare do not
// make it short.
const shortShare = 0.6
