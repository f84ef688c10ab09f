package sim

import (
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/exchange"
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
	p.daemon.node.RequestReceived(now, call.Reference.Model)
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
