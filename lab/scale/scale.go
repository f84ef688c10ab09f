// Package scale runs hollow daemons and engines, which serve no requests, in
// one process and virtual time, and measures what the control plane costs: the
// bytes, messages and processor time of each daemon, the calls at the platform,
// and how long news takes. The control code, its messages and their encoding
// are the daemons' own; the network and the engines are simulated.
package scale

import (
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
)

// ErrScale is the class of failures of the measurement.
var ErrScale = errs.Class("scale")

// Options of a measurement.
type Options struct {
	Daemons  int
	Servers  int
	Models   int
	Zones    int
	Regions  int
	Seed     uint64
	Progress io.Writer
	// Stop ends the measurement early when it returns true.
	Stop func() bool
}

// errStopped ends a phase of a measurement that was stopped.
var errStopped = ErrScale.New("stopped")

// Check checks the sizes.
func (o *Options) Check() error {
	switch {
	case o.Daemons < 2 || o.Daemons > 1000:
		return ErrScale.New("daemons %d: give 2 to 1000", o.Daemons)
	case o.Servers < 2 || o.Servers > 2000:
		return ErrScale.New("servers %d: give 2 to 2000", o.Servers)
	case o.Models < 1 || o.Models > 2000:
		return ErrScale.New("models %d: give 1 to 2000", o.Models)
	case o.Zones < 1 || o.Zones > o.Daemons:
		return ErrScale.New("zones %d: give 1 to the number of daemons", o.Zones)
	case o.Regions < 1 || o.Regions > o.Zones:
		return ErrScale.New("regions %d: give 1 to the number of zones", o.Regions)
	}
	return nil
}

// Times of the phases.
const (
	settleLimit = 900 * time.Second
	settleTime  = 240 * time.Second
	steadyTime  = 120 * time.Second
	changeEvery = 3 * time.Second
	changes     = 20
	cutTime     = 120 * time.Second
	killed      = 5
	sampleEvery = 50 * time.Millisecond
	phaseLimit  = 600 * time.Second
	// changesPerDay is the letter's rate of configuration changes.
	changesPerDay = 1300
	serverBytes   = 640 << 30
	modelBytes    = 60 << 30
	// loadBytesPerSecond is the speed at which a server loads weights.
	loadBytesPerSecond = 6 << 30
)

// measurement is the state of one measurement.
type measurement struct {
	options Options
	world   *sim.World
	byName  map[string]*sim.Daemon
	demand  []float64
	refused int
	result  Result
}

// Measure makes one measurement.
func Measure(options Options) (Result, error) {
	if err := options.Check(); err != nil {
		return Result{}, err
	}
	m := &measurement{options: options, byName: map[string]*sim.Daemon{}, demand: demandOf(&options)}
	m.result.Daemons, m.result.Servers, m.result.Models = options.Daemons, options.Servers, options.Models
	m.build()
	phases := []struct {
		name string
		run  func() error
	}{
		{"place all models", m.settle},
		{"steady state", m.steady},
		{"configuration changes", m.change},
		{"daemons killed", m.killDaemons},
		{"zone lost", m.loseZone},
		{"region cut off", m.cutRegion},
	}
	for _, phase := range phases {
		began := time.Now()
		if err := phase.run(); err != nil {
			m.result.Partial = true
			if errors.Is(err, errStopped) {
				return m.result, nil
			}
			return m.result, ErrScale.New("%s: %v", phase.name, err)
		}
		m.progress("%-24s %s", phase.name, time.Since(began).Round(time.Millisecond))
	}
	return m.result, nil
}

// advance runs the world for a span, or less if the measurement is stopped.
func (m *measurement) advance(span time.Duration) error {
	const slice = time.Second
	for ; span > 0; span -= slice {
		if m.options.Stop != nil && m.options.Stop() {
			return errStopped
		}
		m.world.Run(min(slice, span))
	}
	return nil
}

func (m *measurement) progress(format string, arguments ...any) {
	if m.options.Progress != nil {
		fmt.Fprintf(m.options.Progress, "%4d daemons: %s\n", m.options.Daemons, fmt.Sprintf(format, arguments...))
	}
}

func (m *measurement) zone(index int) (zone, region string) {
	number := index % m.options.Zones
	return fmt.Sprintf("zone-%d", number+1), fmt.Sprintf("region-%d", number*m.options.Regions/m.options.Zones+1)
}

func (m *measurement) build() {
	settings := sim.DefaultSettings()
	settings.MeasureCPU = true
	settings.Control = control.LargeFleetSettings()
	settings.Control.WeightStoreSlots = 200
	m.world = sim.New(settings, m.options.Seed)
	w := m.world
	w.Network.Place("platform", "zone-1", "region-1")
	for index := range m.options.Servers {
		zone, region := m.zone(index)
		s := engine.DefaultSettings(fmt.Sprintf("server-%03d", index+1))
		s.MemoryBytes = serverBytes
		s.Slots = serverSlots
		s.LoadTime = func(_ time.Time, bytes int64) time.Duration {
			return time.Duration(float64(bytes) / loadBytesPerSecond * float64(time.Second))
		}
		added := w.AddEngine(zone, region, s)
		running := requestsPerServer
		added.Load = func() (int, int) {
			running = min(max(running+w.Random.IntN(2*loadStep+1)-loadStep, 0), s.Slots)
			return running, 0
		}
	}
	for index := range m.options.Daemons {
		zone, region := m.zone(index)
		added := w.AddDaemon(fmt.Sprintf("daemon-%03d", index+1), zone, region)
		m.byName[added.Name] = added
	}
}

func modelName(index int) string { return fmt.Sprintf("model-%03d", index+1) }

func (m *measurement) writeModel(index int, priority api.Priority) {
	model := api.Model{
		Name: modelName(index), Priority: priority, Serving: "v1",
		Versions: []api.Version{{Name: "v1", Bytes: modelBytes}},
		Adapters: []api.Adapter{{Name: "a", Bytes: 1 << 30}, {Name: "b", Bytes: 1 << 30}}, MinReplicas: 2,
	}
	key := api.Key{Kind: api.KindModel, Name: model.Name}
	object := api.Object{Key: key, Writer: "operator", Value: api.Encode(model)}
	m.world.Platform.Write("operator", object, m.world.Platform.Core.Peek(key).Version, func(_ api.Object, err control.CallError) {
		if err != control.CallOK {
			m.refused++
			m.world.After(operatorRetry, func() { m.writeModel(index, priority) })
		}
	})
}

// operatorRetry is the pause before an operator's refused write is made again.
const operatorRetry = 200 * time.Millisecond

// settle creates all models at a rate that the platform takes, feeds demand,
// and waits until each is held twice.
func (m *measurement) settle() error {
	w := m.world
	const createEvery = 25 * time.Millisecond
	for index := range m.options.Models {
		w.After(5*time.Second+time.Duration(index)*createEvery, func() { m.writeModel(index, api.PriorityPaid) })
	}
	w.Every(time.Second, func() bool {
		m.feedDemand()
		return true
	})
	if err := m.advance(5*time.Second + time.Duration(m.options.Models)*createEvery); err != nil {
		return err
	}
	for m.shortModels(2) > 0 {
		if w.Elapsed() > settleLimit {
			return ErrScale.New("%d of %d models are not held twice after %s", m.shortModels(2), m.options.Models, settleLimit)
		}
		if err := m.advance(time.Second); err != nil {
			return err
		}
	}
	m.result.Placed = w.Elapsed().Seconds()
	m.result.PlacedWrites = float64(w.Platform.Core.Counts.Writes)
	m.result.PlacedRefused = float64(w.Platform.Core.Counts.Refused)
	return m.advance(settleTime)
}

// feedDemand lets the homes of each model see its share of the letter's
// demand, as they would with callers. Demand is skewed between models by a
// power law and wavers by a fifth.
func (m *measurement) feedDemand() {
	w := m.world
	guide := m.firstLive()
	for index := range m.options.Models {
		total := m.demand[index] * (0.8 + 0.4*w.Random.Float64())
		for zone := range m.options.Zones {
			name, _ := m.zone(zone)
			homes := guide.Node().Homes(modelName(index), name)
			for _, home := range homes {
				d := m.byName[home.Name]
				if !d.Alive {
					continue
				}
				share := total / float64(m.options.Zones*len(homes))
				d.Node().ObserveDemand(w.Now, modelName(index), share)
				d.Node().Interested(w.Now, modelName(index))
			}
		}
	}
}

func (m *measurement) firstLive() *sim.Daemon {
	for _, d := range m.world.Daemons {
		if d.Alive {
			return d
		}
	}
	return nil
}

// demandOf returns the requests in progress for each model: the letter's 2.9
// million tokens a second at 57 ms a token are about 165,000 requests in
// progress on 600 servers, 275 for each.
func demandOf(options *Options) []float64 {
	demand := make([]float64, options.Models)
	sum := 0.0
	for index := range demand {
		demand[index] = math.Pow(float64(index+1), -demandSkew)
		sum += demand[index]
	}
	for index := range demand {
		demand[index] *= requestsPerServer * float64(options.Servers) / sum
	}
	return demand
}

const (
	requestsPerServer = 275
	demandSkew        = 0.8
	serverSlots       = 400
	// loadStep is the largest change of a server's load in a second.
	loadStep = 20
)

// shortModels counts the models that fewer live engines than count hold.
func (m *measurement) shortModels(count int) int {
	held := map[string]int{}
	for _, e := range m.world.Engines {
		if !e.Alive {
			continue
		}
		report := e.Core.Report(m.world.Now)
		for _, artifact := range report.Residents {
			if artifact.Adapter == "" {
				held[artifact.Model]++
			}
		}
	}
	short := 0
	for index := range m.options.Models {
		if held[modelName(index)] < count {
			short++
		}
	}
	return short
}

// steady measures what each daemon and the platform spend with the letter's
// rate of configuration changes and no faults.
func (m *measurement) steady() error {
	w := m.world
	before := make([]sim.Stats, len(w.Daemons))
	for i, d := range w.Daemons {
		before[i] = d.Stats
	}
	counts, watches := w.Platform.Core.Counts, w.Platform.WatchCalls
	next := 0
	every := 24 * time.Hour / changesPerDay
	running := true
	w.Every(every, func() bool {
		if running {
			m.writeModel(next%m.options.Models, api.Priority(next%2))
			next++
		}
		return running
	})
	if err := m.advance(steadyTime); err != nil {
		return err
	}
	running = false
	seconds := steadyTime.Seconds()
	var sent, received, messages, cpu []float64
	for i, d := range w.Daemons {
		sent = append(sent, float64(d.Stats.BytesSent-before[i].BytesSent)/seconds)
		received = append(received, float64(d.Stats.BytesReceived-before[i].BytesReceived)/seconds)
		messages = append(messages, float64(d.Stats.MessagesSent-before[i].MessagesSent)/seconds)
		cpu = append(cpu, (d.Stats.CPU-before[i].CPU).Seconds()/seconds)
	}
	after := w.Platform.Core.Counts
	m.result.ControlBytes = percentilesOf(sent)
	m.result.ControlBytesReceived = percentilesOf(received)
	m.result.ControlMessages = percentilesOf(messages)
	m.result.ControlCPU = percentilesOf(cpu)
	m.result.PlatformReads = float64(after.Reads-counts.Reads) / seconds
	m.result.PlatformWrites = float64(after.Writes-counts.Writes) / seconds
	m.result.PlatformWatches = float64(w.Platform.WatchCalls-watches) / seconds
	m.result.FalseDeaths = m.falseDeaths()
	m.measureHeap()
	return nil
}

// measureHeap divides the live heap by the daemons. It counts the simulator's
// own memory too, so it is an upper bound.
func (m *measurement) measureHeap() {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	m.result.HeapBytesPerDaemon = float64(stats.HeapAlloc) / float64(len(m.world.Daemons))
	m.result.HeapBytes = float64(stats.HeapAlloc)
}

// falseDeaths counts live daemons that a live daemon holds for dead.
func (m *measurement) falseDeaths() int {
	count := 0
	for _, d := range m.world.Daemons {
		if !d.Alive {
			continue
		}
		count += m.deadAccordingTo(d, true)
	}
	return count
}
