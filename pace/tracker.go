package pace

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowSamples is the approximate number of recent samples that the estimate of an instance rests on.
	windowSamples = 20
	// minWindow is the shortest time that the estimate covers. With more than windowSamples samples in that time, a
	// slow period of 600 ms would otherwise be estimated as a lasting change.
	minWindow = 8 * time.Second
	// minFactorSamples is the number of samples that an instance needs before its factor is used.
	minFactorSamples = 4
	// receivedFactorSamples is the weight, in samples, of a factor received from another daemon.
	receivedFactorSamples = windowSamples
	// retainedOwnSamples is the weight, in samples, that this daemon's own samples of an instance keep when a factor is
	// received, which already includes them.
	retainedOwnSamples = 1.0
	// maxObservations bounds the observations per instance. A new observation is joined to the newest one of the same
	// model if that is younger than joinWindow. Together they cover minWindow, for several models.
	maxObservations = 2 * windowSamples
	joinWindow      = minWindow / windowSamples
	// reportedChangeRatio is the ratio by which a factor has to change to be reported to operators.
	reportedChangeRatio = 1.5
)

// Directory gives access to a daemon's list of instances and services.
type Directory interface {
	// Service returns the service of an instance. It reports false if the instance is not known.
	Service(instance string) (service string, known bool)
	// Serves reports whether a service has a model.
	Serves(service, model string) bool
}

// Tracker estimates the factor of each instance: how long its work takes relative to the typical instance of its
// service. It is safe for concurrent use. Instances are identified by their IDs, which differ between runs of the same
// server. Prune removes the state of instances that are gone.
type Tracker struct {
	mutex     sync.Mutex
	instances map[string]*instanceState
	models    map[modelKey]*modelState
	// changed reports whether the input of the estimate has changed since the last one.
	changed bool
	// published holds the factors in use.
	published atomic.Pointer[snapshot]
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// modelState is the estimate for one model.
type modelState struct {
	// effect is the model's part of the logarithm of a sample.
	effect float64
	// sum and weight accumulate the observations during an estimate.
	sum    float64
	weight float64
}

// observation is the weighted mean of samples of an instance and a model that arrived within joinWindow of each other.
type observation struct {
	key        modelKey
	model      *modelState
	at         time.Time
	logSeconds float64
	weight     float64
}

// instanceState is the estimate for one instance and its input.
type instanceState struct {
	service string
	// observations are the newest observations, the oldest first.
	observations []observation
	// samples counts all samples so far, up to minFactorSamples.
	samples int
	// recentSamples is the number of samples, decayed exponentially over minWindow. decayedAt is when the decay was
	// last applied.
	recentSamples float64
	decayedAt     time.Time
	// receivedEffect is the logarithm of the factor received from another daemon, and receivedWeight its weight in
	// samples.
	receivedEffect float64
	receivedWeight float64
	// effect is the logarithm of the factor.
	effect float64
	// reported is the factor that was last reported as a change; zero if there was none.
	reported float64
}

// NewTracker returns a Tracker without instances.
func NewTracker() *Tracker {
	t := &Tracker{instances: map[string]*instanceState{}, models: map[modelKey]*modelState{}}
	t.published.Store(&snapshot{})
	return t
}

// Slowness returns the factor of an instance: the time its work takes, as a multiple of the time at a typical instance.
// It returns 1 if there is no factor.
func (t *Tracker) Slowness(instance string) float64 {
	if factor, published := t.published.Load().factors[instance]; published {
		return factor
	}
	return 1
}

// Record records samples and returns those that it accepted. It skips invalid entries, and entries of instances or
// models that are not in the directory.
func (t *Tracker) Record(now time.Time, entries []Entry, directory Directory) []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var accepted []Entry
	for i := range entries[:min(len(entries), maxBatchEntries)] {
		entry := &entries[i]
		if !entry.valid() {
			continue
		}
		service, known := directory.Service(entry.Instance)
		if !known || !directory.Serves(service, entry.Model) {
			continue
		}
		t.record(now, service, entry)
		accepted = append(accepted, *entry)
	}
	t.changed = t.changed || len(accepted) > 0
	return accepted
}

// record adds an entry to the observations of its instance.
func (t *Tracker) record(now time.Time, service string, entry *Entry) {
	state := t.state(entry.Instance, service)
	count := float64(min(entry.Count, maxMergedSamples))
	retained := state.decay(now, count)
	state.samples = min(state.samples+min(entry.Count, minFactorSamples), minFactorSamples)
	key := modelKey{service, entry.Model}
	state.observe(observation{key: key, model: t.model(key), at: now, logSeconds: float64(entry.Log), weight: (1 - retained) * windowSamples})
}

// state returns the state of an instance, and creates it if there is none. An instance does not change its service.
func (t *Tracker) state(instance, service string) *instanceState {
	state := t.instances[instance]
	if state == nil || state.service != service {
		state = &instanceState{service: service}
		t.instances[instance] = state
	}
	return state
}

// decay reduces the weight of all earlier input of an instance as count new samples arrive, and returns the factor by
// which it did. Each sample replaces one part in windowSamples, and less if minWindow holds more than windowSamples.
func (s *instanceState) decay(now time.Time, count float64) float64 {
	if elapsed := now.Sub(s.decayedAt); elapsed > 0 {
		s.recentSamples *= math.Exp(-elapsed.Seconds() / minWindow.Seconds())
		s.decayedAt = now
	}
	s.recentSamples += count
	counted := count * min(1, windowSamples/s.recentSamples)
	retained := math.Pow(1-1.0/windowSamples, counted)
	s.scaleWeights(retained)
	s.receivedWeight *= retained
	return retained
}

// scaleWeights multiplies the weights of all observations by a factor.
func (s *instanceState) scaleWeights(factor float64) {
	for i := range s.observations {
		s.observations[i].weight *= factor
	}
}

// observe adds an observation, or joins it to the newest one of its model if that is younger than joinWindow.
func (s *instanceState) observe(added observation) {
	for i := len(s.observations) - 1; i >= 0; i-- {
		newest := &s.observations[i]
		if newest.key == added.key {
			if added.at.Sub(newest.at) < joinWindow {
				newest.weight += added.weight
				newest.logSeconds += (added.logSeconds - newest.logSeconds) * added.weight / newest.weight
				return
			}
			break
		}
	}
	if len(s.observations) >= maxObservations {
		s.observations = append(s.observations[:0], s.observations[1:]...)
	}
	s.observations = append(s.observations, added)
}

// model returns the state of a model, and creates it if there is none.
func (t *Tracker) model(key modelKey) *modelState {
	model := t.models[key]
	if model == nil {
		model = &modelState{}
		t.models[key] = model
	}
	return model
}

// weight returns the sum of the weights of all observations of an instance.
func (s *instanceState) weight() float64 {
	weight := 0.0
	for i := range s.observations {
		weight += s.observations[i].weight
	}
	return weight
}

// MergeFactors applies factors received from a dispatcher. They already include this daemon's own samples, so the
// weight of these is reduced. With onlyNew, instances that have a factor are skipped.
func (t *Tracker) MergeFactors(factors map[string]uint8, directory Directory, onlyNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	merged := 0
	for instance, code := range factors {
		factor, valid := DecodeFactor(code)
		service, known := directory.Service(instance)
		if !valid || !known || merged == MaxFactors {
			continue
		}
		merged++
		state := t.state(instance, service)
		if onlyNew && state.hasFactor() {
			continue
		}
		state.mergeReceived(math.Log(factor))
		t.changed = true
	}
}

// mergeReceived replaces the received effect and reduces the weight of the own samples, which the effect includes.
func (s *instanceState) mergeReceived(effect float64) {
	if own := s.weight(); own > retainedOwnSamples {
		s.scaleWeights(retainedOwnSamples / own)
	}
	s.receivedEffect, s.receivedWeight, s.samples = effect, receivedFactorSamples, minFactorSamples
}

// hasFactor reports whether an instance has enough samples for its factor to be used.
func (s *instanceState) hasFactor() bool { return s.samples >= minFactorSamples }

// Prune removes instances that are not present, and models without observations.
func (t *Tracker) Prune(present func(instance string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	used := map[modelKey]bool{}
	for instance, state := range t.instances {
		if !present(instance) {
			delete(t.instances, instance)
			t.changed = true
			continue
		}
		for i := range state.observations {
			used[state.observations[i].key] = true
		}
	}
	for key := range t.models {
		if !used[key] {
			delete(t.models, key)
		}
	}
}
