package experiment

import (
	"fmt"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/placement"
)

// systemPolicy runs the daemons' own code with given planner settings.
type systemPolicy struct {
	name string
	// adjust changes the planner's settings.
	adjust func(*placement.Settings)
	// fixed places each model on as many engines as fit and keeps it there.
	fixed bool
}

// engineSettings returns the settings of one engine of an experiment.
func engineSettings(c *Config, index int, weights *sim.WeightStore) engine.Settings {
	s := engine.DefaultSettings(fmt.Sprintf("engine-%d", index+1))
	s.MemoryBytes = int64(c.World.MemoryGiB) << 30
	s.Slots = c.World.Slots
	s.MaxWaiting = 4 * c.World.Slots
	s.StepBase, s.StepPerSequence, s.PrefillPerToken = c.World.StepBase, c.World.StepPerSequence, c.World.PrefillPerToken
	s.LoadTime = weights.LoadTime
	return s
}

func newWeightStore(c *Config) *sim.WeightStore {
	return &sim.WeightStore{
		StartsPerSecond: c.World.LoadsPerSecond, FullSpeed: c.World.LoadsAtFullSpeed,
		BytesPerSecond: c.World.LoadGiBPerSecond * float64(1<<30),
	}
}

// fixedReplicas is how many replicas of every model fit into all memory.
func fixedReplicas(c *Config) int {
	adapters := float64(c.Models.Adapters) / float64(c.Models.Count) * float64(c.Models.AdapterMiB) / 1024
	perModel := float64(c.Models.SizeGiB) + adapters
	fit := float64(c.World.MemoryGiB*c.World.Engines) / perModel / float64(c.Models.Count)
	return max(1, min(int(fit), c.World.Engines))
}

func (p *systemPolicy) run(c *Config, seed uint64, arrivals []arrival, stop func() bool) Result {
	w := p.newWorld(c, seed)
	p.createModels(c, w)
	w.Run(c.Warmup)
	movesBefore := moves(w)
	m := newMeter(c)
	callers := map[string]*sim.Caller{}
	for zone := range c.World.Zones {
		callers[zoneName(zone)] = w.NewCaller(zoneName(zone))
	}
	begin := w.Elapsed()
	scheduleFaults(c, w, p)
	scheduleArrivals(w, arrivals, func(a *arrival) {
		callers[a.zone].Send(a.call, func(result sim.Result) { m.add(a, result) })
	})
	var series []Sample
	partial := false
	for elapsed := time.Duration(0); elapsed < c.Duration+drainTime && !partial; elapsed += sampleEvery {
		w.Run(sampleEvery)
		if elapsed < c.Duration {
			series = append(series, sample(c, w, w.Elapsed()-begin, movesBefore))
		}
		partial = stop()
	}
	result := m.result(p.name, seed, len(arrivals))
	result.Moves = moves(w) - movesBefore
	result.Violations = len(w.CheckMemory()) + len(w.CheckNotRun())
	result.Series = fillAttainment(series, m)
	result.Partial = partial
	return result
}

// drainTime lets the last requests end.
const drainTime = 60 * time.Second

// scheduleArrivals sends each arrival at its time. Only the next one is ever in
// the world's queue of events, which keeps that queue short.
func scheduleArrivals(w *sim.World, arrivals []arrival, send func(*arrival)) {
	start := w.Elapsed()
	var next func(index int)
	next = func(index int) {
		if index >= len(arrivals) {
			return
		}
		w.After(start+arrivals[index].at-w.Elapsed(), func() {
			send(&arrivals[index])
			next(index + 1)
		})
	}
	next(0)
}

func (p *systemPolicy) newWorld(c *Config, seed uint64) *sim.World {
	settings := sim.DefaultSettings()
	settings.Network.CrossZone = c.World.CrossZone
	settings.Control.WeightStoreSlots = c.World.LoadsAtFullSpeed
	if p.adjust != nil {
		p.adjust(&settings.Control.Placement)
	}
	w := sim.New(settings, seed)
	weights := newWeightStore(c)
	for index := range c.World.Engines {
		w.AddEngine(zoneName(index%c.World.Zones), "region-1", engineSettings(c, index, weights))
	}
	for index := range c.World.Daemons {
		w.AddDaemon(fmt.Sprintf("daemon-%d", index+1), zoneName(index%c.World.Zones), "region-1")
	}
	return w
}

func (p *systemPolicy) createModels(c *Config, w *sim.World) {
	for index := range c.Models.Count {
		w.After(5*time.Second+time.Duration(index)*50*time.Millisecond, func() { p.writeModel(c, w, index, "v1") })
	}
}

func (p *systemPolicy) writeModel(c *Config, w *sim.World, index int, version string) {
	model := newModel(c, index, 2)
	if p.fixed {
		model = newModel(c, index, fixedReplicas(c))
		model.MaxReplicas = model.MinReplicas
	}
	model.Serving = version
	key := api.Key{Kind: api.KindModel, Name: model.Name}
	object := api.Object{Key: key, Writer: "operator", Value: api.Encode(model)}
	w.Platform.Write("operator", object, w.Platform.Core.Peek(key).Version, func(_ api.Object, err control.CallError) {
		if err == control.CallNotDone {
			w.After(time.Second, func() { p.writeModel(c, w, index, version) })
		}
	})
}

func scheduleFaults(c *Config, w *sim.World, p *systemPolicy) {
	f := &c.Faults
	if f.EngineLostAt > 0 {
		w.After(f.EngineLostAt, func() { w.Engines[0].Kill() })
	}
	if f.PlatformDownAt > 0 {
		w.After(f.PlatformDownAt, func() { w.Platform.SetDown(true) })
		w.After(f.PlatformDownAt+f.PlatformDownFor, func() { w.Platform.SetDown(false) })
	}
	if f.RolloutAt > 0 {
		w.After(f.RolloutAt, func() { p.writeModel(c, w, 0, "v2") })
	}
}

// moves counts loads and unloads of weights.
func moves(w *sim.World) int {
	total := 0
	for _, e := range w.Engines {
		total += e.Core.Loads + e.Core.Unloads
	}
	return total
}

func sample(c *Config, w *sim.World, elapsed time.Duration, movesBefore int) Sample {
	s := Sample{Seconds: elapsed.Seconds(), Moves: moves(w) - movesBefore}
	used := int64(0)
	for _, e := range w.Engines {
		s.Queue += e.Core.Load()
		used += e.Core.Used()
	}
	s.MemoryShare = float64(used) / float64(int64(c.World.MemoryGiB)<<30*int64(c.World.Engines))
	return s
}

// fillAttainment puts the attainment of each window into its sample.
func fillAttainment(series []Sample, m *meter) []Sample {
	for i := range series {
		if i < len(m.windows) {
			series[i].Requests = m.windows[i].requests
			series[i].Attainment = share(m.windows[i].met, m.windows[i].requests)
		}
	}
	return series
}
