package verify

import (
	"fmt"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
)

// Sizes and times of a run.
const (
	zoneCount   = 3
	daemonCount = 5
	engineCount = 7
	modelCount  = 8

	startTime  = 25 * time.Second
	faultTime  = 150 * time.Second
	settleTime = 75 * time.Second

	// LeavingBound is how long after an engine began to leave new work may
	// still reach it: a poll, the spread of the news, and a routing table.
	LeavingBound = 5 * time.Second
	// InForceBound is how long an accepted configuration takes to be in
	// force at every daemon that faults leave alone.
	InForceBound = 9 * time.Second
	// FirstReachBound is how long after its creation a model may take to be
	// reachable for the first time.
	FirstReachBound = 60 * time.Second

	checkInterval = 200 * time.Millisecond
	callInterval  = 40 * time.Millisecond
)

// Outcome is the result of one run.
type Outcome struct {
	Seed       uint64
	Faults     map[string]int
	Violations map[string][]string
	Calls      int
	Answered   int
	// LatestLeaving is the latest new work at a leaving engine.
	LatestLeaving time.Duration
	// InForce is the longest time that a configuration took where it was
	// checked, and InForceChecks counts those checks.
	InForceChecks int
}

// run is the state of one run.
type run struct {
	world    *sim.World
	callers  []*sim.Caller
	faults   map[string]int
	outcome  *Outcome
	faulting bool
	// models are the created models with the time of their creation.
	models   map[string]*modelState
	order    []string
	versions map[string]map[api.Key]uint64
	// quietSince is when the last fault ended; active counts those under way.
	quietSince time.Time
	active     int
	accepted   []acceptedChange
	nextKey    int
}

type modelState struct {
	createdAt time.Time
	reached   bool
	missing   bool
}

type acceptedChange struct {
	object  api.Object
	at      time.Time
	checked bool
}

// Options of one run.
type Options struct {
	Seed    uint64
	Without sim.Mechanism
	// Trace, if set, gets a line for each decision, fault and violation.
	Trace func(line string)
}

// Run makes one run.
func Run(options Options) Outcome {
	r := newRun(options.Seed, options.Without)
	r.world.Trace = options.Trace
	r.world.Run(startTime)
	r.createModels()
	r.world.Run(startTime)
	r.faulting = true
	r.scheduleFault()
	r.startLoad()
	r.world.Run(faultTime)
	r.faulting = false
	r.world.Run(settleTime)
	r.finalChecks()
	return *r.outcome
}

func newRun(seed uint64, without sim.Mechanism) *run {
	settings := sim.DefaultSettings()
	settings.Without = without
	settings.Store.MachineLag = 4 * time.Second
	settings.Network.Loss = 0.01
	settings.Request.AddressKeep = 5 * time.Second
	settings.Request.OrderLost, settings.Request.OrderLate, settings.Request.OrderDoubled = 0.1, 0.15, 0.1
	settings.Request.ConnectionLost = 0.03
	settings.Control.Placement.MinimumStay = 10 * time.Second
	settings.Control.WeightStoreSlots = 20
	r := &run{
		world: sim.New(settings, seed), faults: map[string]int{}, models: map[string]*modelState{},
		versions: map[string]map[api.Key]uint64{},
		outcome:  &Outcome{Seed: seed, Faults: map[string]int{}, Violations: map[string][]string{}},
	}
	r.world.Oracle.Accepted = r.written
	r.build()
	r.world.Every(checkInterval, r.check)
	return r
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount+1) }

// build makes a world with room for two replicas of all models and some more.
// The last engine checks no fence.
func (r *run) build() {
	w := r.world
	weights := &sim.WeightStore{StartsPerSecond: 2, FullSpeed: 20, BytesPerSecond: 8 << 30}
	for index := range engineCount {
		settings := engine.DefaultSettings(fmt.Sprintf("engine-%d", index+1))
		settings.MemoryBytes = 56 << 30
		settings.LoadTime = weights.LoadTime
		settings.ChecksFence = index < engineCount-1
		w.AddEngine(zoneName(index), "region-1", settings)
	}
	for index := range daemonCount {
		w.AddDaemon(fmt.Sprintf("daemon-%d", index+1), zoneName(index), "region-1")
	}
	for index := range zoneCount {
		r.callers = append(r.callers, w.NewCaller(zoneName(index)))
	}
}

func modelName(index int) string { return fmt.Sprintf("model-%d", index+1) }

func newModel(index int, version string, replicas int) api.Model {
	model := api.Model{
		Name: modelName(index), Priority: api.Priority(index % api.PriorityCount), Serving: version,
		Versions: []api.Version{{Name: "v1", Bytes: int64(8+index) << 30}, {Name: "v2", Bytes: int64(9+index) << 30}},
		Adapters: []api.Adapter{{Name: "a", Bytes: 1 << 28}}, MinReplicas: replicas,
	}
	return model
}

func (r *run) createModels() {
	for index := range modelCount {
		r.writeModel(index, "v1")
	}
}

// replicas is the smallest number of replicas of each model.
func (r *run) replicas() int {
	if r.world.Settings.Without == sim.MechanismSecondReplica {
		return 1
	}
	return 2
}

// writeModel creates or replaces a model as an operator would, by a
// conditional update on the version that it finds.
func (r *run) writeModel(index int, version string) {
	model := newModel(index, version, r.replicas())
	r.writeObject(api.Object{
		Key: api.Key{Kind: api.KindModel, Name: model.Name}, Writer: "operator", Value: api.Encode(model),
	})
}

func (r *run) writeObject(object api.Object) {
	current := r.world.Platform.Core.Peek(object.Key)
	r.world.Platform.Write("operator", object, current.Version, func(api.Object, control.CallError) {})
}

func (r *run) scheduleLoad(caller *sim.Caller) {
	r.world.After(r.world.Between(0, 2*callInterval*zoneCount), func() {
		if !r.faulting {
			return
		}
		r.send(caller)
		r.scheduleLoad(caller)
	})
}

func (r *run) startLoad() {
	for _, caller := range r.callers {
		r.scheduleLoad(caller)
	}
}

// send makes a call; some must not be repeated, and some of those go out twice
// at the same time under one key.
func (r *run) send(caller *sim.Caller) {
	random := r.world.Random
	call := sim.Call{
		Reference: api.ModelReference{Model: modelName(random.IntN(modelCount))}, Priority: api.Priority(random.IntN(api.PriorityCount)),
		Prompt: random.Uint64N(50), PromptTokens: random.IntN(500), OutputTokens: 1 + random.IntN(200), Deadline: 20 * time.Second,
	}
	if random.IntN(4) == 0 {
		call.Reference.Adapter = "a"
	}
	ignore := func(sim.Result) {}
	if random.IntN(5) == 0 {
		r.nextKey++
		call.Key = fmt.Sprintf("key-%d", r.nextKey)
		if random.IntN(3) == 0 {
			other := r.callers[random.IntN(len(r.callers))]
			other.Send(call, ignore)
		}
	}
	caller.Send(call, ignore)
}
