package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/internal/mechanism"
	"github.com/wheatweir/wheatweir/retry"
)

// Own answers.
const (
	statusUnauthorized = 401
	statusNotFound     = 404
	statusBadGateway   = 502
	statusUnavailable  = 503
	statusTimeout      = 504
)

// Settings of the request path.
type Settings struct {
	// Now is the clock by which requests grow old; nil means the steady clock of the machine, which stands
	// still while it is suspended.
	Now func() time.Time
	// Zone is the zone of this daemon.
	Zone string
	// RetryAfter is when a client that was refused may come back.
	RetryAfter time.Duration
	// WaitShare is the share of the time left that a request waits for an
	// instance that can take it.
	WaitShare float64
	// ShareOfConnections is this daemon's part of the connections that an
	// instance takes; zero means no bound.
	ShareOfConnections func() float64
	// ZoneCost is what an instance of another zone counts against it; nil means
	// nothing. See balance.Request.
	ZoneCost func() float64
	// KeysSure reports whether the configuration here is new enough to tell which keys are
	// valid; nil means that it always is.
	KeysSure func(now time.Time) bool
	// Quotas holds tenants to their limits; nil means that there are none.
	Quotas Quotas
	// Quarantine keeps requests from instances that crash whatever runs them; nil means that
	// nothing does.
	Quarantine Quarantine
	// Notices tells what instances have said of themselves; nil means that none says anything.
	Notices Notices
	// Origins knows which software version began a stream; nil means that nobody does, and that streams that clients
	// take up go on anywhere.
	Origins Origins
	// Samples hears how fast instances work; nil means that nothing is measured.
	Samples SampleObserver
}

func (s *Settings) zoneCost() float64 {
	if s.ZoneCost == nil {
		return 0
	}
	return s.ZoneCost()
}

// DemandObserver hears of what requests are waiting for.
type DemandObserver interface {
	// Lacking notes that a request needs a model or adapter that no instance has.
	// The function must be called when the request no longer waits.
	Lacking(service, model, adapter string) func()
	// LackingSoftware notes that a stream needs a model at instances of a software version, none of which has it. The
	// function must be called when the stream no longer waits.
	LackingSoftware(service, model, software string) func()
	// Enter notes that a request for a model began; the function ends it.
	Enter(service, model string) func()
	// Refused notes that a request that began was refused for lack of capacity.
	Refused(service, model string)
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	settings Settings
	upstream Upstream
	tracker  *balance.Tracker
	chooser  Chooser
	budget   *retry.Budget
	demand   DemandObserver
	observer Observer
	view     atomic.Pointer[fleet.View]
	changed  atomic.Pointer[chan struct{}]
	active   atomic.Int64
	lifetime *drain.Lifetime
	// shortages are the models that requests were refused for.
	shortages *shortages
	// holds are the background requests that wait for more urgent ones.
	holds *holdLines
}

// New returns a gateway that knows nothing yet.
func New(settings Settings, upstream Upstream, tracker *balance.Tracker, budget *retry.Budget, demand DemandObserver, observer Observer) *Gateway {
	g := &Gateway{
		settings: settings, upstream: upstream, tracker: tracker, chooser: ownChooser{balance.NewPicker(tracker)},
		budget: budget, demand: demand, observer: observer, shortages: newShortages(), lifetime: drain.NewLifetime(),
		holds: newHoldLines(),
	}
	g.view.Store(fleet.NewView(nil, nil))
	first := make(chan struct{})
	g.changed.Store(&first)
	return g
}

// Chooser chooses the instance that takes a request, or nil if none may.
type Chooser interface {
	Choose(ctx context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate
}

// ownChooser chooses by what this daemon knows.
type ownChooser struct{ picker *balance.Picker }

// Choose implements Chooser.
func (c ownChooser) Choose(_ context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	return c.picker.Pick(time.Now(), view.Instances(service), request)
}

// SetChooser replaces the chooser. It must be called before the first request.
func (g *Gateway) SetChooser(chooser Chooser) { g.chooser = chooser }

// SetView replaces the snapshot, and wakes requests that wait for a change.
func (g *Gateway) SetView(view *fleet.View) {
	g.view.Store(view)
	next := make(chan struct{})
	close(*g.changed.Swap(&next))
}

// Now is the time by which requests grow old.
func (g *Gateway) Now() time.Time {
	if g.settings.Now == nil {
		return time.Now()
	}
	return g.settings.Now()
}

// View returns the snapshot in force.
func (g *Gateway) View() *fleet.View { return g.view.Load() }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Serve answers one request. Ctx ends when the client leaves.
func (g *Gateway) Serve(ctx context.Context, request *Request, reply Reply) {
	g.active.Add(1)
	defer g.active.Add(-1)
	// Before the snapshot: a newer one may come in between, never an older one.
	sure := g.sure(request.Arrived)
	view := g.view.Load()
	if g.lifetime.Drained() {
		g.Refuse(request, reply, statusUnavailable, ReasonStopping)
		return
	}
	if view.Configuration() == nil {
		g.Refuse(request, reply, statusUnavailable, ReasonStarting)
		return
	}
	route := view.Route(request.RouteHost, request.Path)
	if route == nil {
		g.Refuse(request, reply, statusNotFound, ReasonNoRoute)
		return
	}
	e := g.newExchange(view, route, request, reply)
	if reason := e.identify(view, sure); reason != "" {
		e.refuse(statusOf(reason), reason)
		return
	}
	if e.held() {
		e.refuse(statusUnavailable, ReasonQuarantined)
		return
	}
	ctx, release := g.lifetime.Bind(ctx)
	defer release()
	// By its span: the context's own clock may have stood still before.
	ctx, cancel := context.WithTimeout(ctx, e.until(e.deadline))
	defer cancel()
	if reason := e.findOrigin(ctx); reason != "" {
		e.giveUp(ctx, reason)
		return
	}
	if reason := e.allow(ctx); reason != "" {
		e.giveUp(ctx, reason)
		return
	}
	defer e.returnAllowance()
	if request.Model != "" {
		defer g.demand.Enter(e.service, request.Model)()
	}
	g.budget.Succeeded()
	e.run(ctx)
}

// newExchange begins the work on a request of a route.
func (g *Gateway) newExchange(view *fleet.View, route *fleet.Route, request *Request, reply Reply) *exchange {
	held := route.Timeout
	if request.Patience > 0 {
		held = min(held, request.Patience)
	}
	return &exchange{
		gateway: g, request: request, reply: reply, route: route, priority: route.Priority, version: view.Version(),
		deadline: request.Arrived.Add(held), firstBy: request.Arrived.Add(min(held, route.FirstEventPatience())),
		service: chooseTarget(route),
	}
}

// chooseTarget draws a service by the weights of the route.
func chooseTarget(route *fleet.Route) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return route.Targets[0].Service
	}
	drawn := rand.IntN(total)
	for _, target := range route.Targets {
		if drawn < target.Weight {
			return target.Service
		}
		drawn -= target.Weight
	}
	return route.Targets[0].Service
}

// Refuse answers a request that is not to be served.
func (g *Gateway) Refuse(request *Request, reply Reply, status int, reason Reason) {
	retryAfter := time.Duration(0)
	if status == statusUnavailable {
		retryAfter = g.retryAfter(request, reason)
	}
	g.observer.Observe(g.refuse(reply, request, status, reason, retryAfter))
}

// NotRead ends a request whose body did not arrive: its client left, or this daemon ends.
func (g *Gateway) NotRead(request *Request, reply Reply) {
	if g.lifetime.Ended() {
		g.Refuse(request, reply, statusUnavailable, ReasonStopping)
		return
	}
	reply.Abort()
	g.observer.Observe(Event{Step: StepEnded, Request: request, Reason: ReasonClientGone, Phase: PhaseReading, Version: g.view.Load().Version()})
}

// refuse gives the client an answer of our own and returns what the observer should hear.
func (g *Gateway) refuse(reply Reply, request *Request, status int, reason Reason, retryAfter time.Duration) Event {
	reply.Refuse(status, reason, retryAfter)
	return Event{Step: StepRefused, Request: request, Status: status, Reason: reason, RetryAfter: retryAfter, Version: g.view.Load().Version()}
}

// retryAfter is when a client that is refused for a reason should come back: when its model
// has room again, as far as that can be told.
func (g *Gateway) retryAfter(request *Request, reason Reason) time.Duration {
	switch reason {
	case ReasonStopping:
		return StoppingRetryAfter
	case ReasonOverloaded, ReasonDeclined, ReasonNoModel, ReasonNoAdapter:
	default:
		return g.settings.RetryAfter
	}
	if request.Model == "" || !mechanism.Enabled(mechanism.ReturnLater) {
		return g.settings.RetryAfter
	}
	return g.shortages.refused(time.Now(), request.Model, g.settings.RetryAfter)
}
