package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
)

// Settings of a world.
type Settings struct {
	Control control.Settings
	Store   objectstore.Settings
	Network NetworkSettings
	Request RequestSettings
	// Without switches one protective mechanism off, by name; see Mechanisms.
	Without Mechanism
	// MeasureCPU times the control code of each daemon with the real clock.
	MeasureCPU bool
}

// DefaultSettings returns a world like the daemons' defaults.
func DefaultSettings() Settings {
	return Settings{
		Control: control.DefaultSettings(),
		Store:   objectstore.DefaultSettings(),
		Network: DefaultNetworkSettings(),
		Request: DefaultRequestSettings(),
	}
}

// World is the state of one run.
type World struct {
	Settings Settings
	Now      time.Time
	Random   *rand.Rand
	Network  *Network
	Platform *Platform
	Engines  []*Engine
	Daemons  []*Daemon
	Oracle   *Oracle
	// Trace, if set, gets a line for each decision and fault.
	Trace func(line string)

	events   eventHeap
	sequence uint64
	nextCall uint64
	engines  map[string]*Engine
	peers    map[string]*Daemon
}

// epoch is the virtual time at which every run begins.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// New returns an empty world.
func New(settings Settings, seed uint64) *World {
	w := &World{
		Settings: settings,
		Now:      epoch,
		Random:   rand.New(rand.NewPCG(seed, seed)),
		engines:  map[string]*Engine{},
		peers:    map[string]*Daemon{},
	}
	w.Oracle = newOracle()
	w.Network = newNetwork(w)
	w.Platform = newPlatform(w)
	return w
}

// event is something due at a time. Events at the same time keep their order.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// After runs a function after a delay.
func (w *World) After(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{w.Now.Add(max(delay, 0)), w.sequence, run})
}

// Every runs a function at an interval until it returns false.
func (w *World) Every(interval time.Duration, run func() bool) {
	w.After(interval, func() {
		if run() {
			w.Every(interval, run)
		}
	})
}

// Run handles events for a span of virtual time.
func (w *World) Run(span time.Duration) {
	end := w.Now.Add(span)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.Now = next.at
		next.run()
	}
	w.Now = end
}

// Note writes a line to the trace.
func (w *World) Note(source, format string, arguments ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%9.3f %-10s %s", w.Elapsed().Seconds(), source, fmt.Sprintf(format, arguments...)))
	}
}

// Elapsed returns the virtual time since the start.
func (w *World) Elapsed() time.Duration { return w.Now.Sub(epoch) }

// Chance returns true with a probability.
func (w *World) Chance(probability float64) bool { return w.Random.Float64() < probability }

// Between returns a random duration in a range.
func (w *World) Between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.Random.Int64N(int64(most-least)+1))
}

// EngineSettings returns the settings of the named engine in this world.
func (w *World) engineSettings(settings engine.Settings) engine.Settings {
	if w.Settings.Without == MechanismFence {
		settings.ChecksFence = false
	}
	return settings
}
