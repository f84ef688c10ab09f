package sim

import (
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/route"
)

// RequestSettings are the settings of the request path and its faults.
type RequestSettings struct {
	AddressKeep     time.Duration
	DefaultDeadline time.Duration
	ClaimTimeout    time.Duration
	SlotOvercommit  float64
	Admit           admit.Settings
	Exchange        exchange.Settings
	// OrderLost, OrderLate and OrderDoubled are shares of orders; a late one
	// arrives up to OrderLateBy later.
	OrderLost    float64
	OrderLate    float64
	OrderLateBy  time.Duration
	OrderDoubled float64
	// ConnectionLost is the share of connections to engines that die after
	// the request arrived and before the first byte of its answer.
	ConnectionLost float64
}

// DefaultRequestSettings returns the daemons' defaults and no faults.
func DefaultRequestSettings() RequestSettings {
	return RequestSettings{
		AddressKeep: 10 * time.Second, DefaultDeadline: 60 * time.Second, ClaimTimeout: 3 * time.Second,
		SlotOvercommit: 2, Admit: admit.DefaultSettings(), Exchange: exchange.DefaultSettings(), OrderLateBy: 30 * time.Second,
	}
}

// Call is one request of a caller.
type Call struct {
	ID        string
	Reference api.ModelReference
	Priority  api.Priority
	// Key marks a request that must not be repeated.
	Key          string
	Deadline     time.Duration
	Prompt       uint64
	PromptTokens int
	OutputTokens int
	Zone         string
}

// Result is what a caller saw of a call.
type Result struct {
	// Result is the daemon's final result. A daemon that died or could not be
	// reached gives Unknown or NotRun with ReasonConnect or ReasonBroken.
	outcome.Result
	FirstToken time.Duration
	LastToken  time.Duration
	BackEnd    string
}

// requestPlane is the request path of one boot of a daemon.
type requestPlane struct {
	daemon   *Daemon
	settings *RequestSettings
	random   *rand.Rand
	picker   *route.Picker
	prefixes *route.PrefixIndex
	budget   *retry.Budget
	table    *route.Table
	revision uint64
	queues   map[string]*admit.Queue
	order    []string
	waiting  map[*admit.Ticket]*flight
	ledger   *keyLedger
	flights  map[*flight]bool
	active   int
	lastCall time.Time
}

// flight is one call at a daemon.
type flight struct {
	plane    *requestPlane
	call     Call
	arrived  time.Time
	entered  time.Time
	deadline time.Time
	machine  *exchange.Exchange
	request  route.Request
	queue    *admit.Queue
	first    time.Time
	backEnd  string
	attempt  int
	cancel   func()
	done     func(Result)
	ended    bool
}

func newRequestPlane(d *Daemon, random *rand.Rand) *requestPlane {
	prefixes := &route.PrefixIndex{}
	if d.world.Settings.MeasureCPU {
		// Hollow daemons serve no requests; they share one index to save room.
		prefixes = hollowPrefixes
	}
	p := &requestPlane{
		daemon: d, settings: &d.world.Settings.Request, random: random, prefixes: prefixes,
		picker: route.DefaultPicker(prefixes), budget: newRetryBudget(), table: &route.Table{},
		queues: map[string]*admit.Queue{}, waiting: map[*admit.Ticket]*flight{}, flights: map[*flight]bool{},
	}
	p.ledger = newKeyLedger(d)
	return p
}

var hollowPrefixes = &route.PrefixIndex{}

// die breaks all calls in progress: their callers see a broken connection, and
// their engines see a caller that hung up.
func (p *requestPlane) die() {
	for call := range p.flights {
		if call.cancel != nil {
			call.cancel()
		}
	}
	for _, call := range p.sortedFlights() {
		call.tell(Result{Result: outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken}})
	}
}

func (p *requestPlane) sortedFlights() []*flight {
	var all []*flight
	for call := range p.flights {
		all = append(all, call)
	}
	sortFlights(all)
	return all
}

// observe tells the node about the demand seen here.
func (p *requestPlane) observe() {
	for _, model := range p.order {
		queue := p.queues[model]
		p.daemon.node.ObserveDemand(p.daemon.world.Now, model, float64(queue.Running()+queue.Waiting()))
		for _, ticket := range queue.Expire(p.daemon.world.Now) {
			p.expired(ticket)
		}
	}
}

// publish makes a new routing table when something changed.
func (p *requestPlane) publish() {
	node := p.daemon.node
	if node.Revision() == p.revision {
		return
	}
	p.revision = node.Revision()
	p.daemon.timedTable()
	for _, name := range p.order {
		if model := p.table.Models[name]; model != nil {
			started, expired := p.queues[name].SetLimit(p.daemon.world.Now, p.gateLimit(model))
			p.resume(started, expired)
		}
	}
}

func (d *Daemon) timedTable() {
	if !d.world.Settings.MeasureCPU {
		d.plane.table = d.node.Table(d.world.Now)
		return
	}
	began := time.Now()
	d.plane.table = d.node.Table(d.world.Now)
	d.Stats.CPU += time.Since(began)
}

func (p *requestPlane) gateLimit(model *route.Model) int {
	return max(1, int(p.settings.SlotOvercommit*float64(model.Slots())))
}

// serve takes in a call.
func (p *requestPlane) serve(call Call, done func(Result)) {
	now := p.daemon.world.Now
	f := &flight{plane: p, call: call, arrived: now, done: done}
	p.flights[f] = true
	p.active++
	p.lastCall = now
	if !p.daemon.node.CaughtUp(now) && p.daemon.world.Settings.Without != MechanismCatchUp {
		f.finish(outcome.Refuse(outcome.ReasonStarting, time.Second))
		return
	}
	model := p.table.Models[call.Reference.Model]
	if model == nil {
		f.finish(outcome.Refuse(outcome.ReasonUnknownModel, 0))
		return
	}
	p.daemon.node.Interested(now, call.Reference.Model)
	f.deadline = now.Add(p.settings.DefaultDeadline)
	if call.Deadline > 0 {
		f.deadline = now.Add(call.Deadline)
	}
	f.queue = p.queueOf(model)
	ticket := &admit.Ticket{Priority: call.Priority, Deadline: f.deadline}
	verdict := f.queue.Arrive(now, ticket)
	switch {
	case verdict.Admitted:
		f.begin()
	case verdict.Queued:
		p.waiting[ticket] = f
	default:
		f.queue = nil
		f.finish(verdict.Refusal)
	}
}

func (p *requestPlane) queueOf(model *route.Model) *admit.Queue {
	queue := p.queues[model.Spec.Name]
	if queue == nil {
		queue = admit.NewQueue(p.settings.Admit, p.gateLimit(model))
		p.queues[model.Spec.Name] = queue
		p.order = append(p.order, model.Spec.Name)
	}
	return queue
}

func (p *requestPlane) resume(started, expired []*admit.Ticket) {
	for _, ticket := range expired {
		p.expired(ticket)
	}
	for _, ticket := range started {
		f := p.waiting[ticket]
		delete(p.waiting, ticket)
		f.begin()
	}
}

func (p *requestPlane) expired(ticket *admit.Ticket) {
	f := p.waiting[ticket]
	delete(p.waiting, ticket)
	f.queue = nil
	f.finish(outcome.Refuse(outcome.ReasonDeadline, time.Second))
}

// begin starts the exchange of an admitted call.
func (f *flight) begin() {
	p := f.plane
	f.entered = p.daemon.world.Now
	repeatable := f.call.Key == ""
	if p.daemon.world.Settings.Without == MechanismNoRepeat {
		repeatable = true
	}
	f.machine = exchange.New(p.settings.Exchange, p.budget, exchange.Request{
		Repeatable: repeatable, HasKey: f.call.Key != "", Deadline: f.deadline,
	})
	f.request = route.Request{Adapter: f.call.Reference.Adapter, Zone: p.daemon.Zone, Region: p.daemon.Region, Random: p.random.Uint64()}
	f.request.Prefix.Hashes[0] = f.call.Prompt
	f.request.Prefix.Count = 1
	f.step(f.machine.Start())
}

func (f *flight) step(step exchange.Step) {
	switch step {
	case exchange.StepClaim:
		f.plane.ledger.claim(f.call.Key, func(claim exchange.Claim) {
			if !f.ended {
				f.step(f.machine.ClaimAnswered(f.plane.daemon.world.Now, claim))
			}
		})
	case exchange.StepAttempt:
		if f.machine.Attempts() > 1 {
			pause := retry.Backoff(f.plane.random, f.machine.Attempts()-2, 10*time.Millisecond, 500*time.Millisecond)
			f.plane.daemon.world.After(pause, f.plane.daemon.guard(f.try))
			return
		}
		f.try()
	case exchange.StepFinish:
		f.finish(f.machine.Result)
	}
}

// try makes one attempt at one engine.
func (f *flight) try() {
	p, w := f.plane, f.plane.daemon.world
	if !p.daemon.node.CaughtUp(w.Now) && w.Settings.Without != MechanismCatchUp {
		f.step(f.machine.NoBackEnd(outcome.ReasonStarting, time.Second))
		return
	}
	model := p.table.Models[f.call.Reference.Model]
	var candidate *route.Candidate
	if model != nil {
		candidate = p.picker.Pick(w.Now, model, &f.request)
	}
	if candidate == nil {
		f.step(f.machine.NoBackEnd(outcome.ReasonNoReplica, 2*time.Second))
		return
	}
	load := candidate.BackEnd.Load
	load.Begin()
	p.prefixes.Record(&f.request.Prefix, load.ID)
	f.attempt++
	f.backEnd = candidate.BackEnd.Name
	attempt := f.attempt
	ended := func(result outcome.Result) {
		p.daemon.guard(func() {
			if f.ended || f.attempt != attempt {
				return
			}
			f.attempt++
			f.cancel = nil
			load.End()
			f.request.Exclude(load)
			if result.Kind == outcome.NotRun {
				load.Refused(w.Now)
			}
			if w.Settings.Without == MechanismOutcomeKinds && result.Kind == outcome.Unknown {
				result.Kind = outcome.NotRun
			}
			f.step(f.machine.AttemptEnded(w.Now, result, !f.first.IsZero()))
		})()
	}
	f.send(w.engines[candidate.BackEnd.Name], candidate.Version, ended)
	f.watchIdle(attempt, ended)
}

// idleTimeout is how long an engine's answer may stay silent.
const idleTimeout = 30 * time.Second

// watchIdle gives up an attempt whose engine has gone silent.
func (f *flight) watchIdle(attempt int, ended func(outcome.Result)) {
	f.plane.daemon.world.After(idleTimeout, func() {
		if f.ended || f.attempt != attempt {
			return
		}
		if f.cancel != nil {
			f.cancel()
		}
		kind := outcome.Unknown
		if !f.first.IsZero() {
			kind = outcome.Failed
		}
		ended(outcome.Result{Kind: kind, Reason: outcome.ReasonBroken})
	})
}

// send carries a request to an engine and its tokens back.
func (f *flight) send(e *Engine, version string, ended func(outcome.Result)) {
	w, name := f.plane.daemon.world, f.plane.daemon.Name
	refused := outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonConnect}
	if w.Network.IsCut(name, e.Name) {
		w.After(dialTimeout, func() { ended(refused) })
		return
	}
	w.After(w.Network.Delay(name, e.Name), func() {
		if !e.Alive {
			w.After(w.Network.Delay(e.Name, name), func() { ended(refused) })
			return
		}
		lost := w.Chance(f.plane.settings.ConnectionLost)
		request := engine.Request{
			ID: f.call.ID, Priority: f.call.Priority, Prompt: f.call.Prompt, PromptTokens: f.call.PromptTokens,
			OutputTokens: f.call.OutputTokens,
			Artifact:     api.Artifact{Model: f.call.Reference.Model, Version: version, Adapter: f.call.Reference.Adapter},
		}
		err := e.submit(request, func(event engineEvent) {
			if lost || w.Network.IsCut(e.Name, name) {
				return
			}
			w.After(w.Network.Delay(e.Name, name), func() { f.token(event, ended) })
		})
		if err != nil {
			w.After(w.Network.Delay(e.Name, name), func() {
				ended(outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonRefused})
			})
			return
		}
		f.cancel = func() { e.cancel(f.call.ID) }
		if lost {
			w.After(w.Network.Delay(e.Name, name), func() {
				ended(outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken})
			})
		}
	})
}

const dialTimeout = 2 * time.Second

// token takes in the first or last token, or the loss of the engine.
func (f *flight) token(event engineEvent, ended func(outcome.Result)) {
	w := f.plane.daemon.world
	switch {
	case event.Lost && f.first.IsZero():
		ended(outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken})
	case event.Lost:
		ended(outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken})
	case event.Token.Last:
		if f.first.IsZero() {
			f.first = w.Now
		}
		ended(outcome.Result{Kind: outcome.Answered})
	case f.first.IsZero():
		f.first = w.Now
	}
}

// finish ends a call with its final result.
func (f *flight) finish(result outcome.Result) {
	if f.ended {
		return
	}
	p := f.plane
	if f.queue != nil {
		started, expired := f.queue.End(p.daemon.world.Now, p.daemon.world.Now.Sub(f.entered))
		f.queue = nil
		defer p.resume(started, expired)
	}
	answer := Result{Result: result, BackEnd: f.backEnd}
	if !f.first.IsZero() {
		answer.FirstToken = f.first.Sub(f.arrived)
		answer.LastToken = p.daemon.world.Now.Sub(f.arrived)
	}
	f.tell(answer)
}

// tell sends the result to the caller once.
func (f *flight) tell(result Result) {
	if f.ended {
		return
	}
	f.ended = true
	f.plane.active--
	delete(f.plane.flights, f)
	f.done(result)
}
