package experiment

import (
	"fmt"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/outcome"
)

// onDemand is the baseline that loads a model when a request needs one, evicts
// the least recently used, and sends each request to the least loaded engine
// that has the model. It sees the true state of every engine at once, without
// delay, which no real one does.
//
// With bound set it is the upper bound instead: every engine has every model
// from the start without a memory limit, as if the demand had been known and
// placing had cost nothing, prompts cost no prefill, as if every prefix were
// cached, and the least loaded engine is known without delay.
type onDemand struct {
	name  string
	bound bool
}

// fleet is the state of one run.
type fleet struct {
	config  *Config
	world   *sim.World
	engines []*pooledEngine
	meter   *meter
	bound   bool
	nextID  int
}

// pooledEngine is an engine with what the baseline knows about it.
type pooledEngine struct {
	core     *engine.Core
	alive    bool
	nextStep time.Time
	streams  map[string]*pooledCall
	// lastUsed is when each loaded model last got a request.
	lastUsed map[string]time.Time
	// waiting holds the calls that wait for a load, by model.
	waiting map[string][]*pooledCall
}

type pooledCall struct {
	arrival *arrival
	started time.Time
	first   time.Time
	ended   bool
}

func (p *onDemand) run(c *Config, seed uint64, arrivals []arrival, stop func() bool) Result {
	w := sim.New(sim.DefaultSettings(), seed)
	s := &fleet{config: c, world: w, meter: newMeter(c), bound: p.bound}
	weights := newWeightStore(c)
	for index := range c.World.Engines {
		settings := engineSettings(c, index, weights)
		settings.MaxWaiting = 1 << 30
		if p.bound {
			settings.MemoryBytes = 1 << 60
			settings.LoadTime = func(time.Time, int64) time.Duration { return 0 }
			settings.PrefillPerToken = 0
		}
		s.engines = append(s.engines, &pooledEngine{
			core: engine.NewCore(settings, "boot"), alive: true, streams: map[string]*pooledCall{},
			lastUsed: map[string]time.Time{}, waiting: map[string][]*pooledCall{},
		})
	}
	s.preload()
	w.Run(c.Warmup)
	before := s.moves()
	begin := w.Elapsed()
	if at := c.Faults.EngineLostAt; at > 0 {
		w.After(at, func() { s.lose(s.engines[0]) })
	}
	scheduleArrivals(w, arrivals, func(a *arrival) { s.send(a) })
	var series []Sample
	partial := false
	for elapsed := time.Duration(0); elapsed < c.Duration+drainTime && !partial; elapsed += sampleEvery {
		w.Run(sampleEvery)
		if elapsed < c.Duration {
			series = append(series, s.sample(w.Elapsed()-begin, before))
		}
		partial = stop()
	}
	result := s.meter.result(p.name, seed, len(arrivals))
	result.Moves = s.moves() - before
	result.Series = fillAttainment(series, s.meter)
	result.Partial = partial
	return result
}

// preload gives each model a replica, in turn over the engines, while there is
// room; the bound gives every engine every model.
func (s *fleet) preload() {
	for model := range s.config.Models.Count {
		for index, e := range s.engines {
			if s.bound || index == model%len(s.engines) {
				s.load(e, modelName(model))
			}
		}
	}
}

func artifactOf(model string) api.Artifact { return api.Artifact{Model: model, Version: "v1"} }

// bytesOf is a model with its adapters; the baseline loads them together.
func (s *fleet) bytesOf() int64 {
	adapters := int64(s.config.Models.Adapters/s.config.Models.Count+1) * int64(s.config.Models.AdapterMiB) << 20
	return int64(s.config.Models.SizeGiB)<<30 + adapters
}

// load starts a load if there is room or can be made by evicting models that
// serve nothing now. It returns whether the load is under way.
func (s *fleet) load(e *pooledEngine, model string) bool {
	now := s.world.Now
	for e.core.Used()+s.bytesOf() > int64(s.config.World.MemoryGiB)<<30 && !s.bound {
		victim := s.leastRecentlyUsed(e)
		if victim == "" {
			return false
		}
		delete(e.lastUsed, victim)
		_ = e.core.Order(now, api.Order{Kind: api.OrderUnload, Artifact: artifactOf(victim), Boot: "boot"})
	}
	if e.core.Order(now, api.Order{Kind: api.OrderLoad, Artifact: artifactOf(model), Bytes: s.bytesOf(), Boot: "boot"}) != nil {
		return false
	}
	e.lastUsed[model] = now
	return true
}

// idleBefore is how long a model must have had no request to be evicted.
const idleBefore = 2 * time.Second

func (s *fleet) leastRecentlyUsed(e *pooledEngine) string {
	victim := ""
	for index := range s.config.Models.Count {
		model := modelName(index)
		used, loaded := e.lastUsed[model]
		if !loaded || s.world.Now.Sub(used) < idleBefore || len(e.waiting[model]) > 0 || s.busy(e, model) {
			continue
		}
		if victim == "" || used.Before(e.lastUsed[victim]) {
			victim = model
		}
	}
	return victim
}

func (s *fleet) busy(e *pooledEngine, model string) bool {
	for _, call := range e.streams {
		if call.arrival.call.Reference.Model == model {
			return true
		}
	}
	return false
}

// send routes a request to the least loaded engine with its model. If all of
// them are full, or none has it, the model is loaded on another engine too.
func (s *fleet) send(a *arrival) {
	call := &pooledCall{arrival: a, started: s.world.Now}
	model := a.call.Reference.Model
	var best *pooledEngine
	for _, e := range s.engines {
		if e.alive && e.core.Serves(s.world.Now, artifactOf(model)) && (best == nil || e.core.Load() < best.core.Load()) {
			best = e
		}
	}
	if best != nil && best.core.Load() < s.config.World.Slots {
		s.submit(best, call)
		return
	}
	if target := s.loadTarget(model); target != nil {
		target.waiting[model] = append(target.waiting[model], call)
		return
	}
	if best != nil {
		s.submit(best, call)
		return
	}
	s.finish(call, outcome.NotRun)
}

// loadTarget returns an engine that is loading the model or starts to.
func (s *fleet) loadTarget(model string) *pooledEngine {
	for _, e := range s.engines {
		if e.alive && len(e.waiting[model]) > 0 {
			return e
		}
	}
	var best *pooledEngine
	for _, e := range s.engines {
		if _, loaded := e.lastUsed[model]; loaded || !e.alive {
			continue
		}
		if best == nil || e.core.Load() < best.core.Load() {
			best = e
		}
	}
	if best == nil || best.core.Load() >= s.config.World.Slots || !s.load(best, model) {
		return nil
	}
	s.awaitLoad(best, model)
	return best
}

const loadPoll = 100 * time.Millisecond

// awaitLoad submits the waiting calls once the model is loaded.
func (s *fleet) awaitLoad(e *pooledEngine, model string) {
	s.world.After(loadPoll, func() {
		if !e.alive {
			return
		}
		if !e.core.Serves(s.world.Now, artifactOf(model)) {
			s.awaitLoad(e, model)
			return
		}
		calls := e.waiting[model]
		delete(e.waiting, model)
		for _, call := range calls {
			s.submit(e, call)
		}
	})
}

func (s *fleet) submit(e *pooledEngine, call *pooledCall) {
	a := call.arrival
	s.nextID++
	id := fmt.Sprint(s.nextID)
	e.lastUsed[a.call.Reference.Model] = s.world.Now
	err := e.core.Submit(s.world.Now, engine.Request{
		ID: id, Artifact: artifactOf(a.call.Reference.Model), Priority: a.call.Priority,
		Prompt: a.call.Prompt, PromptTokens: a.call.PromptTokens, OutputTokens: a.call.OutputTokens,
	})
	if err != nil {
		s.finish(call, outcome.NotRun)
		return
	}
	e.streams[id] = call
	s.schedule(e)
}

func (s *fleet) schedule(e *pooledEngine) {
	next := e.core.NextStep()
	if next.IsZero() || next.Equal(e.nextStep) {
		return
	}
	e.nextStep = next
	s.world.After(next.Sub(s.world.Now), func() { s.advance(e) })
}

func (s *fleet) advance(e *pooledEngine) {
	if !e.alive {
		return
	}
	for _, token := range e.core.Advance(s.world.Now) {
		call := e.streams[token.ID]
		if token.Index == 0 {
			call.first = s.world.Now
		}
		if token.Last {
			delete(e.streams, token.ID)
			s.finish(call, outcome.Answered)
		}
	}
	s.schedule(e)
}

func (s *fleet) finish(call *pooledCall, kind outcome.Kind) {
	if call.ended {
		return
	}
	call.ended = true
	result := sim.Result{Result: outcome.Result{Kind: kind}}
	if kind == outcome.Answered {
		result.FirstToken = call.first.Sub(call.started)
		result.LastToken = s.world.Now.Sub(call.started)
	}
	s.meter.add(call.arrival, result)
}

// lose ends an engine; the baseline notices at once.
func (s *fleet) lose(e *pooledEngine) {
	e.alive = false
	for _, call := range e.streams {
		s.finish(call, outcome.Failed)
	}
	for _, calls := range e.waiting {
		for _, call := range calls {
			s.finish(call, outcome.NotRun)
		}
	}
}

func (s *fleet) moves() int {
	total := 0
	for _, e := range s.engines {
		total += e.core.Loads + e.core.Unloads
	}
	return total
}

func (s *fleet) sample(elapsed time.Duration, before int) Sample {
	result := Sample{Seconds: elapsed.Seconds(), Moves: s.moves() - before}
	used := int64(0)
	for _, e := range s.engines {
		result.Queue += e.core.Load()
		used += e.core.Used()
	}
	result.MemoryShare = float64(used) / float64(int64(s.config.World.MemoryGiB)<<30*int64(len(s.engines)))
	return result
}
