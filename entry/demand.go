package entry

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

type demandKey struct{ service, model string }

// modelDemand is what requests at this daemon do with one model.
type modelDemand struct {
	coordination.ModelLoad
	// perSecond is the number of requests that begin each second, as of ratedAt.
	perSecond float64
	// refusedPerSecond is the number of those that are refused for lack of capacity each second.
	refusedPerSecond float64
	ratedAt          time.Time
}

const (
	// rateSpan is the time over which the requests that begin are averaged.
	rateSpan = 2 * time.Second
	// leastRate is the rate below which a model without requests is forgotten.
	leastRate = 0.02
)

// fade brings the rates up to the present.
func (w *modelDemand) fade(now time.Time) {
	left := math.Exp(-now.Sub(w.ratedAt).Seconds() / rateSpan.Seconds())
	w.perSecond *= left
	w.refusedPerSecond *= left
	w.ratedAt = now
}

// refused is the rate of refused requests, as a part of those that begin: a refusal comes later than the beginning, so
// its average is the higher one once no further requests begin.
func (w *modelDemand) refused() float64 {
	if w.refusedPerSecond < leastRate {
		return 0
	}
	return min(w.refusedPerSecond, w.perSecond)
}

// demandCounter counts what requests at this daemon use and wait for. It implements
// gateway.DemandObserver.
type demandCounter struct {
	mutex  sync.Mutex
	models map[demandKey]*modelDemand
	// urgent tells the control duty that a request began to wait.
	urgent chan struct{}
}

func newDemandCounter() *demandCounter {
	return &demandCounter{models: map[demandKey]*modelDemand{}, urgent: make(chan struct{}, 1)}
}

func (w *demandCounter) load(service, model string) *modelDemand {
	key := demandKey{service, model}
	load := w.models[key]
	if load == nil {
		load = &modelDemand{ModelLoad: coordination.ModelLoad{Service: service, Model: model}, ratedAt: time.Now()}
		w.models[key] = load
	}
	return load
}

// RequestStarted implements gateway.DemandObserver.
func (w *demandCounter) RequestStarted(service, model string) func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	load := w.load(service, model)
	load.Requests++
	load.fade(time.Now())
	load.perSecond += 1 / rateSpan.Seconds()
	return func() { w.leave(service, model) }
}

func (w *demandCounter) leave(service, model string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.load(service, model).Requests--
}

// Refused implements gateway.DemandObserver.
func (w *demandCounter) Refused(service, model string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	load := w.load(service, model)
	load.fade(time.Now())
	load.refusedPerSecond += 1 / rateSpan.Seconds()
}

// ModelMissing implements gateway.DemandObserver.
func (w *demandCounter) ModelMissing(service, model, adapter string) func() {
	w.wait(service, model, adapter, 1)
	select {
	case w.urgent <- struct{}{}:
	default:
	}
	return func() { w.wait(service, model, adapter, -1) }
}

// SoftwareNeeded implements gateway.DemandObserver.
func (w *demandCounter) SoftwareNeeded(service, model, adapter, software string) func() {
	w.need(service, model, adapter, software, 1)
	return func() { w.need(service, model, adapter, software, -1) }
}

func (w *demandCounter) need(service, model, adapter, software string, change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	load := w.load(service, model)
	load.Software = changeCount(load.Software, software, change)
	if adapter == "" {
		return
	}
	if load.SoftwareAdapters == nil {
		load.SoftwareAdapters = map[string]map[string]int{}
	}
	load.SoftwareAdapters[software] = changeCount(load.SoftwareAdapters[software], adapter, change)
	if len(load.SoftwareAdapters[software]) == 0 {
		delete(load.SoftwareAdapters, software)
	}
}

// changeCount changes a count; those that are zero are left out.
func changeCount(counts map[string]int, key string, change int) map[string]int {
	if counts == nil {
		counts = map[string]int{}
	}
	counts[key] += change
	if counts[key] <= 0 {
		delete(counts, key)
	}
	return counts
}

func (w *demandCounter) wait(service, model, adapter string, change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	load := w.load(service, model)
	load.Waiting += change
	if adapter == "" {
		return
	}
	load.Adapters = changeCount(load.Adapters, adapter, change)
}

// all returns a copy of the present numbers.
func (w *demandCounter) all() []coordination.ModelLoad {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	loads := make([]coordination.ModelLoad, 0, len(w.models))
	for key, load := range w.models {
		load.fade(now)
		if load.Requests == 0 && load.perSecond < leastRate {
			delete(w.models, key)
			continue
		}
		copied := load.ModelLoad
		copied.PerSecond = float32(load.perSecond)
		copied.Refused = float32(load.refused())
		copied.Adapters, copied.Software = maps.Clone(load.Adapters), maps.Clone(load.Software)
		copied.SoftwareAdapters = maps.Clone(load.SoftwareAdapters)
		for software, adapters := range copied.SoftwareAdapters {
			copied.SoftwareAdapters[software] = maps.Clone(adapters)
		}
		loads = append(loads, copied)
	}
	return loads
}
