package pace

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxSweeps bounds the alternations between model and instance effects in one estimate. Each estimate starts from
	// the result of the previous one.
	maxSweeps = 8
	// convergedChange ends an estimate: the largest change of an instance effect (a logarithm) in a sweep is below it.
	convergedChange = 0.005
	// instancePriorSamples is the weight, in samples, of the prior that an instance is typical. modelPriorSamples is
	// the weight of the prior that a model is like the others of its service. Models differ more than instances do, so
	// a difference that samples can't attribute to either goes to the model.
	instancePriorSamples = 0.1
	modelPriorSamples    = 0.05
	// huberThreshold is the largest residual, as a logarithm, at which an observation has its full weight (1.22 times).
	huberThreshold = 0.2
	// slowResidualWeight is the weight of an observation that is slower than expected, relative to a faster one.
	slowResidualWeight = 0.25
	// minObservationWeight is the weight below which an observation is dropped.
	minObservationWeight = 0.01
)

// snapshot holds the factors in use. It is immutable once published.
type snapshot struct {
	factors map[string]float64
	// instances are the sorted IDs.
	instances []string
}

// Change is a factor to be reported to operators.
type Change struct {
	Instance string
	Factor   float64
	// Before is the factor that was last reported; zero if there was none.
	Before float64
}

// Summary is the number and the range of the factors in use.
type Summary struct {
	Count    int
	Min, Max float64
}

// Estimate computes all factors from the observations so far and publishes them. It returns those that are new, or that
// differ from the last report by more than reportedChangeRatio.
func (t *Tracker) Estimate() []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.changed {
		return nil
	}
	t.changed = false
	services := map[string][]*instanceState{}
	for _, state := range t.instances {
		state.observations = slices.DeleteFunc(state.observations, func(o observation) bool { return o.weight < minObservationWeight })
		services[state.service] = append(services[state.service], state)
	}
	for service, states := range services {
		t.estimateService(service, states)
	}
	return t.publish()
}

// estimateService computes the effects of the instances and models of one service.
func (t *Tracker) estimateService(service string, states []*instanceState) {
	var models []*modelState
	for key, model := range t.models {
		if key.service == service {
			models = append(models, model)
		}
	}
	for range maxSweeps {
		estimateModels(models, states)
		if estimateInstances(states) < convergedChange {
			break
		}
	}
	center(models, states)
}

// estimateModels computes the effects of models from those of instances.
func estimateModels(models []*modelState, states []*instanceState) {
	mean, weight := 0.0, 0.0
	for _, model := range models {
		model.sum, model.weight = 0, 0
	}
	for _, state := range states {
		for i := range state.observations {
			o := &state.observations[i]
			weight := o.weight * o.robustWeight(state)
			o.model.sum += weight * (o.logSeconds - state.effect)
			o.model.weight += weight
		}
	}
	for _, model := range models {
		mean += model.sum
		weight += model.weight
	}
	mean /= max(weight, minObservationWeight)
	for _, model := range models {
		model.effect = (model.sum + modelPriorSamples*mean) / (model.weight + modelPriorSamples)
	}
}

// estimateInstances computes the effects of instances from those of models, and returns the largest change.
func estimateInstances(states []*instanceState) float64 {
	largest := 0.0
	for _, state := range states {
		sum, weight := state.receivedWeight*state.receivedEffect, state.receivedWeight+instancePriorSamples
		for i := range state.observations {
			o := &state.observations[i]
			counted := o.weight * o.robustWeight(state)
			sum += counted * (o.logSeconds - o.model.effect)
			weight += counted
		}
		effect := sum / weight
		largest = max(largest, math.Abs(effect-state.effect))
		state.effect = effect
	}
	return largest
}

// robustWeight returns the factor applied to the weight of an observation, as in Huber's estimator. It falls with the
// residual beyond huberThreshold, so that slow periods of an instance change its factor little.
func (o *observation) robustWeight(state *instanceState) float64 {
	residual := o.logSeconds - o.model.effect - state.effect
	robustWeight := huberThreshold / max(huberThreshold, math.Abs(residual))
	if residual > 0 {
		robustWeight *= slowResidualWeight
	}
	return robustWeight
}

// center shifts all effects so that the median instance has the factor 1.
func center(models []*modelState, states []*instanceState) {
	var effects []float64
	for _, state := range states {
		if state.hasFactor() {
			effects = append(effects, state.effect)
		}
	}
	if len(effects) == 0 {
		return
	}
	slices.Sort(effects)
	middle := (effects[(len(effects)-1)/2] + effects[len(effects)/2]) / 2
	for _, state := range states {
		state.effect -= middle
	}
	for _, model := range models {
		model.effect += middle
	}
}

// publish makes the estimates available to readers and returns the changes to report.
func (t *Tracker) publish() []Change {
	var changes []Change
	next := &snapshot{factors: make(map[string]float64, len(t.instances))}
	for instance, state := range t.instances {
		if !state.hasFactor() {
			continue
		}
		factor := clampFactor(math.Exp(state.effect))
		next.factors[instance] = factor
		if ratio := factor / state.reported; ratio > reportedChangeRatio || ratio < 1/reportedChangeRatio {
			changes = append(changes, Change{Instance: instance, Factor: factor, Before: state.reported})
			state.reported = factor
		}
	}
	next.instances = slices.Sorted(maps.Keys(next.factors))
	t.published.Store(next)
	return changes
}

// Summary returns the number and the range of the factors in use.
func (t *Tracker) Summary() Summary {
	published := t.published.Load()
	summary := Summary{Count: len(published.factors)}
	for _, factor := range published.factors {
		if summary.Min == 0 {
			summary.Min, summary.Max = factor, factor
		}
		summary.Min, summary.Max = min(summary.Min, factor), max(summary.Max, factor)
	}
	return summary
}

// Factors returns up to MaxFactors factors as encoded in an Update: those of the instances that follow after in the
// order of IDs, which wraps around. It also returns the last of these instances.
func (t *Tracker) Factors(after string) (factors map[string]uint8, last string) {
	published := t.published.Load()
	count := min(MaxFactors, len(published.instances))
	start, found := slices.BinarySearch(published.instances, after)
	if found {
		start++
	}
	factors = make(map[string]uint8, count)
	for i := range count {
		last = published.instances[(start+i)%len(published.instances)]
		factors[last] = EncodeFactor(published.factors[last])
	}
	return factors, last
}
