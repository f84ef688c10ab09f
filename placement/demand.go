package placement

import "math"

// meanModelBytes returns the mean size of the models whose size is known.
func meanModelBytes(models []Model) int64 {
	total, count := int64(0), int64(0)
	for i := range models {
		if bytes := models[i].Model.Bytes(); bytes > 0 {
			total += bytes
			count++
		}
	}
	return total / max(count, 1)
}

// roundToModelSize rounds free memory down to a multiple of the mean model size.
func (p *plan) roundToModelSize(freeBytes int64) int64 {
	if p.typicalModelBytes <= 0 {
		return max(freeBytes, 0)
	}
	return max(freeBytes, 0) / p.typicalModelBytes * p.typicalModelBytes
}

// reportedSlots returns the batch slots of the first back end with one of the
// replicas that has reported them, or zero if none has.
func (p *plan) reportedSlots(replicas []placedReplica) float64 {
	for _, replica := range replicas {
		if report := p.backEnds[replica.backEnd].Report; report != nil && report.Slots > 0 {
			return float64(report.Slots)
		}
	}
	return 0
}

// desiredReplicas returns the number of replicas for the model's demand. If demand
// exceeds the target load of the current replicas, replicas are added if the
// benefit of serving the excess is at least the cost of the loads. The number
// decreases only once both averages fit in fewer replicas with a margin. While no
// engine with the model has reported, the capacity of a replica is unknown and
// demand changes nothing. While memory is free, standby replicas are kept for a
// multiple of the slow demand, so that a burst needs neither loads nor the
// platform that starts machines. Suspended replicas count towards the minimum as
// long as there is at least one other replica.
func (p *plan) desiredReplicas(model *Model, current, suspended int) int {
	settings := p.snapshot.Settings
	minimum := max(model.Model.MinReplicas-suspended, 1, len(model.Model.Pins))
	perReplica := p.reportedSlots(p.byModel[model.Model.Name]) * settings.TargetUtilization
	if perReplica == 0 {
		return max(current, minimum)
	}
	needed := int(math.Ceil(model.Demand.Fast / perReplica))
	retained := int(math.Ceil(max(model.Demand.Slow, model.Demand.Fast) / (perReplica * scaleDownUtilization)))
	standby := 0
	if !p.memoryIsShort() {
		standby = int(math.Ceil(model.Demand.Slow * settings.Headroom / perReplica))
	}
	desired := current
	switch {
	case needed > current:
		excess := model.Demand.Fast - float64(current)*perReplica
		if settings.Weights.Attainment*excess >= settings.Weights.Moves*float64(needed-current) {
			desired = needed
		}
	case standby > current:
		desired = standby
	case max(retained, standby) < current:
		desired = max(retained, standby)
	}
	desired = max(desired, minimum)
	if model.Model.MaxReplicas > 0 {
		desired = min(desired, max(model.Model.MaxReplicas, minimum))
	}
	return desired
}

// scaleDownUtilization is the fraction of the target load that the remaining
// replicas may take when replicas are removed. The gap to 1 is the hysteresis
// between adding and removing.
const scaleDownUtilization = 0.6

// memoryIsShort reports whether less than shortMemoryFraction of the spare memory
// is free.
func (p *plan) memoryIsShort() bool {
	return float64(p.totalFreeBytes) < shortMemoryFraction*p.snapshot.Settings.SpareFraction*float64(p.totalBytes)
}

// shortMemoryFraction is the fraction of the spare memory below which memory is
// short. It is less than 1, so that memory does not become short through surplus
// replicas, which may use all memory but the spare.
const shortMemoryFraction = 0.6
