// Package engine is a stand-in for a model engine: weights and adapters in
// limited memory, fenced orders, continuous batching with priorities, a prefix
// cache, and reports.
//
// Core is the state without I/O or clock, for virtual time; Server serves it
// over HTTP in the wire form that the root module's package engine describes.
//
// The model of time: one step of the batch takes StepBase plus StepPerSequence
// for each sequence, and yields one token for each. A sequence first spends
// PrefillPerToken for each prompt token that the prefix cache does not hold.
// These are the usual first-order terms of continuous batching (Yu et al.,
// "Orca", OSDI 2022); the constants are settings, not measurements.
package engine

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
)

// Classes of errors.
var (
	// ErrOrder is the class of orders that were not followed.
	ErrOrder = errs.Class("engine: order")
	// ErrNotRun is the class of requests that were turned away.
	ErrNotRun = errs.Class("engine: not run")
)

// Settings of an engine.
type Settings struct {
	Name            string
	MemoryBytes     int64
	Slots           int
	MaxWaiting      int
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// ChecksFence says whether orders with an old fence or for another boot
	// are turned away.
	ChecksFence bool
	// LoadTime returns how long a load takes that begins now.
	LoadTime func(now time.Time, bytes int64) time.Duration
	// CachedPrefixes bounds the prefix cache.
	CachedPrefixes int
}

// DefaultSettings returns a fast engine with room for a few models.
func DefaultSettings(name string) Settings {
	return Settings{
		Name: name, MemoryBytes: 80 << 30, Slots: 16, MaxWaiting: 64,
		StepBase: 5 * time.Millisecond, StepPerSequence: 200 * time.Microsecond, PrefillPerToken: 20 * time.Microsecond,
		ChecksFence: true, CachedPrefixes: 4096,
		LoadTime: func(time.Time, int64) time.Duration { return 500 * time.Millisecond },
	}
}

// Request is one generation.
type Request struct {
	ID       string
	Artifact api.Artifact
	Priority api.Priority
	// Prompt names the prompt for the prefix cache.
	Prompt       uint64
	PromptTokens int
	OutputTokens int
}

// Event is something that happened to a request.
type Event struct {
	ID string
	// Index is the number of the token, from zero.
	Index int
	// Last says that the request has ended with this token.
	Last bool
	At   time.Time
}

type artifactState struct {
	bytes     int64
	readyAt   time.Time
	ready     bool
	unloading bool
	users     int
}

type sequence struct {
	Request
	emitted int
}

// Core is the state. It is not safe for concurrent use.
type Core struct {
	settings Settings
	boot     string
	number   uint64
	fence    uint64
	leaving  bool
	held     map[api.Artifact]*artifactState
	running  []*sequence
	waiting  []*sequence
	nextStep time.Time
	prefixes map[uint64]bool
	prefixOf []uint64

	// Overcommits counts loads that did not fit: each would have broken the
	// promise that memory is never overcommitted.
	Overcommits int
	// Loads and Unloads count weights, without adapters.
	Loads   int
	Unloads int
	// Executions counts the runs begun for each request identity.
	Executions map[string]int
}

// NewCore returns an engine that has just booted.
func NewCore(settings Settings, boot string) *Core {
	return &Core{
		settings: settings, boot: boot, held: map[api.Artifact]*artifactState{},
		prefixes: map[uint64]bool{}, Executions: map[string]int{},
	}
}

// Restart empties memory and starts a new boot. Requests in progress are lost;
// their identities are returned.
func (c *Core) Restart(boot string) []string {
	var lost []string
	for _, known := range append(c.running, c.waiting...) {
		lost = append(lost, known.ID)
	}
	c.boot, c.number, c.fence, c.leaving = boot, 0, 0, false
	c.held = map[api.Artifact]*artifactState{}
	c.running, c.waiting = nil, nil
	c.prefixes, c.prefixOf = map[uint64]bool{}, nil
	c.nextStep = time.Time{}
	return lost
}

// SetLeaving announces that the engine will stop.
func (c *Core) SetLeaving(leaving bool) { c.leaving = leaving }

// Used returns the bytes in use by weights and adapters.
func (c *Core) Used() int64 {
	var used int64
	for _, state := range c.held {
		used += state.bytes
	}
	return used
}

// Load returns the requests in the batch and in the queue.
func (c *Core) Load() int { return len(c.running) + len(c.waiting) }

// Order follows an order or says why not.
func (c *Core) Order(now time.Time, order api.Order) error {
	c.settle(now)
	if c.settings.ChecksFence {
		if order.Boot != c.boot {
			return ErrOrder.New("boot %s, not %s", c.boot, order.Boot)
		}
		if order.Fence < c.fence {
			return ErrOrder.New("fence %d is older than %d", order.Fence, c.fence)
		}
	}
	c.fence = max(c.fence, order.Fence)
	if order.Kind == api.OrderUnload {
		c.unload(order.Artifact)
		return nil
	}
	return c.load(now, order)
}

func (c *Core) load(now time.Time, order api.Order) error {
	if known := c.held[order.Artifact]; known != nil {
		known.unloading = false
		return nil
	}
	if order.Artifact.Adapter != "" {
		base := c.held[order.Artifact.Base()]
		if base == nil || !base.ready || base.unloading {
			return ErrOrder.New("adapter %s without its weights", order.Artifact)
		}
	}
	if c.Used()+order.Bytes > c.settings.MemoryBytes {
		c.Overcommits++
		return ErrOrder.New("%s does not fit", order.Artifact)
	}
	if order.Artifact.Adapter == "" {
		c.Loads++
	}
	c.held[order.Artifact] = &artifactState{bytes: order.Bytes, readyAt: now.Add(c.settings.LoadTime(now, order.Bytes))}
	return nil
}

// unload lets requests in progress finish before the memory is free.
func (c *Core) unload(artifact api.Artifact) {
	known := c.held[artifact]
	if known == nil {
		return
	}
	if !known.unloading && artifact.Adapter == "" {
		c.Unloads++
	}
	known.unloading = true
	c.dropUnused(artifact)
}

func (c *Core) dropUnused(artifact api.Artifact) {
	if known := c.held[artifact]; known != nil && known.unloading && known.users == 0 {
		delete(c.held, artifact)
	}
}

// settle ends loads that are due.
func (c *Core) settle(now time.Time) {
	for _, state := range c.held {
		if !state.ready && !state.readyAt.After(now) {
			state.ready = true
		}
	}
}

// Report returns the state as the engine reports it.
func (c *Core) Report(now time.Time) api.Report {
	c.settle(now)
	c.number++
	report := api.Report{
		BackEnd: c.settings.Name, Boot: c.boot, Sequence: c.number, Fence: c.fence, Leaving: c.leaving,
		MemoryBytes: c.settings.MemoryBytes, Running: len(c.running), Waiting: len(c.waiting), Slots: c.settings.Slots,
	}
	for artifact, state := range c.held {
		if state.ready && !state.unloading {
			report.Residents = append(report.Residents, artifact)
		} else {
			report.Loading = append(report.Loading, artifact)
		}
	}
	slices.SortFunc(report.Residents, compareArtifacts)
	slices.SortFunc(report.Loading, compareArtifacts)
	return report
}

func compareArtifacts(a, b api.Artifact) int {
	left, right := a.String(), b.String()
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

// Serves reports whether a request for the artifact would be taken now.
func (c *Core) Serves(now time.Time, artifact api.Artifact) bool {
	c.settle(now)
	for _, needed := range []api.Artifact{artifact, artifact.Base()} {
		state := c.held[needed]
		if state == nil || !state.ready || state.unloading {
			return false
		}
	}
	return true
}

// Submit takes in a request or turns it away; a request that is turned away
// does not run.
func (c *Core) Submit(now time.Time, request Request) error {
	if !c.Serves(now, request.Artifact) {
		return ErrNotRun.New("%s is not loaded", request.Artifact)
	}
	if len(c.waiting) >= c.settings.MaxWaiting {
		return ErrNotRun.New("queue is full")
	}
	c.Executions[request.ID]++
	c.use(request.Artifact, 1)
	added := &sequence{Request: request}
	position, _ := slices.BinarySearchFunc(c.waiting, added, func(a, b *sequence) int {
		if a.Priority <= b.Priority {
			return -1
		}
		return 1
	})
	c.waiting = slices.Insert(c.waiting, position, added)
	if c.nextStep.IsZero() {
		c.nextStep = now.Add(c.startStep())
	}
	return nil
}

func (c *Core) use(artifact api.Artifact, change int) {
	c.held[artifact].users += change
	if artifact.Adapter != "" {
		c.held[artifact.Base()].users += change
	}
}

// Cancel ends a request early.
func (c *Core) Cancel(id string) {
	for _, list := range []*[]*sequence{&c.running, &c.waiting} {
		for i, known := range *list {
			if known.ID == id {
				*list = slices.Delete(*list, i, i+1)
				c.release(known)
				return
			}
		}
	}
}

func (c *Core) release(ended *sequence) {
	c.use(ended.Artifact, -1)
	c.dropUnused(ended.Artifact)
	c.dropUnused(ended.Artifact.Base())
}

// NextStep returns when the step under way ends; zero if there is none.
func (c *Core) NextStep() time.Time { return c.nextStep }

// startStep fills the batch and returns how long its next step takes.
func (c *Core) startStep() time.Duration {
	step := c.settings.StepBase
	for len(c.running) < c.settings.Slots && len(c.waiting) > 0 {
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.running = append(c.running, next)
		if !c.cachedPrefix(next.Prompt) {
			step += time.Duration(next.PromptTokens) * c.settings.PrefillPerToken
		}
	}
	return step + time.Duration(len(c.running))*c.settings.StepPerSequence
}

// cachedPrefix reports whether a prompt is cached, and caches it.
func (c *Core) cachedPrefix(prompt uint64) bool {
	if c.prefixes[prompt] {
		return true
	}
	c.prefixes[prompt] = true
	c.prefixOf = append(c.prefixOf, prompt)
	if len(c.prefixOf) > c.settings.CachedPrefixes {
		delete(c.prefixes, c.prefixOf[0])
		c.prefixOf = c.prefixOf[1:]
	}
	return false
}

// Advance runs the steps that have ended by now and returns their tokens.
func (c *Core) Advance(now time.Time) []Event {
	var events []Event
	for !c.nextStep.IsZero() && !c.nextStep.After(now) {
		at := c.nextStep
		events = c.endStep(at, events)
		c.nextStep = time.Time{}
		if len(c.running)+len(c.waiting) > 0 {
			c.nextStep = at.Add(c.startStep())
		}
	}
	return events
}

func (c *Core) endStep(at time.Time, events []Event) []Event {
	var kept []*sequence
	for _, known := range c.running {
		known.emitted++
		last := known.emitted >= known.OutputTokens
		events = append(events, Event{ID: known.ID, Index: known.emitted - 1, Last: last, At: at})
		if last {
			c.release(known)
			continue
		}
		kept = append(kept, known)
	}
	c.running = kept
	return events
}
