package sim

import (
	"fmt"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
)

// Engine is one engine on the network.
type Engine struct {
	world    *World
	Name     string
	Settings engine.Settings
	Core     *engine.Core
	Alive    bool
	// LeavingSince is when the engine began to leave.
	LeavingSince time.Time
	// Load, if set, replaces the counts of requests in reports, for hollow
	// engines that serve none.
	Load     func() (running, waiting int)
	address  string
	boots    int
	nextStep time.Time
	streams  map[string]func(engineEvent)
}

// engineEvent is a token, or the loss of the engine.
type engineEvent struct {
	Token engine.Event
	Lost  bool
}

// AddEngine starts an engine and puts it on the machine list.
func (w *World) AddEngine(zone, region string, settings engine.Settings) *Engine {
	e := &Engine{
		world: w, Name: settings.Name, Settings: settings, Alive: true,
		address: "engine:" + settings.Name, streams: map[string]func(engineEvent){},
	}
	e.Core = engine.NewCore(w.engineSettings(settings), e.boot())
	w.Engines = append(w.Engines, e)
	w.engines[e.Name] = e
	w.Network.Place(e.Name, zone, region)
	w.Platform.SetMachine(e.machine(api.MachineLive))
	return e
}

func (e *Engine) machine(state api.MachineState) api.Machine {
	return api.Machine{
		Name: e.Name, Role: api.RoleEngine, Zone: e.world.Network.places[e.Name].zone, Region: e.world.Network.places[e.Name].region, State: state, Address: e.address,
		MemoryBytes: e.Settings.MemoryBytes, Accelerators: 8, ChecksFence: e.Settings.ChecksFence,
	}
}

func (e *Engine) boot() string {
	e.boots++
	return fmt.Sprintf("%016x-%d", e.world.Now.UnixNano(), e.boots)
}

// report returns what a poll gets.
func (e *Engine) report() api.Report {
	report := e.Core.Report(e.world.Now)
	if e.Load != nil {
		report.Running, report.Waiting = e.Load()
	}
	if e.world.Settings.Without == MechanismLeavingNews {
		report.Leaving = false
	}
	return report
}

// Kill stops the engine at once and loses its requests.
func (e *Engine) Kill() {
	e.Alive = false
	e.lose()
}

func (e *Engine) lose() {
	for _, id := range e.Core.Restart(e.boot()) {
		if stream := e.streams[id]; stream != nil {
			delete(e.streams, id)
			stream(engineEvent{Lost: true})
		}
	}
}

// Start brings a killed engine back with empty memory.
func (e *Engine) Start() {
	e.Alive = true
	e.LeavingSince = time.Time{}
	e.lose()
}

// Leave begins a planned stop: the engine says so at once, the machine list
// after its lag.
func (e *Engine) Leave() {
	e.LeavingSince = e.world.Now
	e.Core.SetLeaving(true)
	e.world.Platform.SetMachine(e.machine(api.MachineLeaving))
}

// Return ends a leave: the machine is back with empty memory.
func (e *Engine) Return() {
	e.Start()
	e.world.Platform.SetMachine(e.machine(api.MachineLive))
}

// deliverOrder follows an order, whatever process sent it and when.
func (e *Engine) deliverOrder(order api.Order) {
	if e.Alive {
		_ = e.Core.Order(e.world.Now, order)
	}
}

// submit begins a request. The stream gets its tokens.
func (e *Engine) submit(request engine.Request, stream func(engineEvent)) error {
	if !e.LeavingSince.IsZero() {
		e.world.Oracle.workAtLeaving(e.world.Now.Sub(e.LeavingSince))
	}
	if err := e.Core.Submit(e.world.Now, request); err != nil {
		return err
	}
	e.streams[request.ID] = stream
	e.schedule()
	return nil
}

func (e *Engine) cancel(id string) {
	e.Core.Cancel(id)
	delete(e.streams, id)
}

// schedule makes sure that the step under way is ended at its time.
func (e *Engine) schedule() {
	next := e.Core.NextStep()
	if next.IsZero() || next.Equal(e.nextStep) {
		return
	}
	e.nextStep = next
	e.world.After(next.Sub(e.world.Now), e.advance)
}

func (e *Engine) advance() {
	if !e.Alive {
		return
	}
	for _, token := range e.Core.Advance(e.world.Now) {
		stream := e.streams[token.ID]
		if stream == nil {
			continue
		}
		if token.Last {
			delete(e.streams, token.ID)
		}
		if token.Index == 0 || token.Last {
			stream(engineEvent{Token: token})
		}
	}
	e.schedule()
}
