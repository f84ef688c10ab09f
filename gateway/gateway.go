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
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/retry"
)

// Status codes of answers that this daemon gives itself.
const (
	statusUnauthorized = 401
	statusNotFound     = 404
	statusBadGateway   = 502
	statusUnavailable  = 503
	statusTimeout      = 504
)

// Settings configures a Gateway.
type Settings struct {
	// Now is the clock that request ages and deadlines are measured with. Nil means the monotonic clock of the
	// machine, which does not advance while the machine is suspended.
	Now func() time.Time
	// Zone is the zone of this daemon.
	Zone string
	// RetryAfter is the default delay after which a refused client may retry.
	RetryAfter time.Duration
	// MaxWaitShare is the share of its remaining time that a request may spend
	// waiting for an instance that can take it.
	MaxWaitShare float64
	// ConnectionShare returns this daemon's share of the connections that a
	// service allows to each of its instances.
	ConnectionShare func() float64
	// ZoneCost returns the penalty of an instance in another zone; nil means no
	// penalty. See balance.Request.
	ZoneCost func() float64
	// KeysCurrent reports whether this daemon's configuration is recent enough to decide which keys
	// are valid; nil means that it always is.
	KeysCurrent func(now time.Time) bool
	// Quotas enforces the limits of tenants; nil disables them.
	Quotas Quotas
	// Quarantine withholds requests whose content crashes the instances that run it; nil disables
	// this.
	Quarantine Quarantine
	// Notices holds the restrictions that instances have announced for themselves; nil means that there are none.
	Notices Notices
	// StreamOrigins finds the software version that began a stream. Nil means that it is not tracked, and that a stream
	// which a client resumes may continue at any instance.
	StreamOrigins StreamOrigins
	// Samples receives measurements of the speed of instances; nil disables measuring.
	Samples PaceObserver
	// Memory bounds what is buffered of answers; nil means no limit.
	Memory *membudget.Budget
}

func (s *Settings) zoneCost() float64 {
	if s.ZoneCost == nil {
		return 0
	}
	return s.ZoneCost()
}

// DemandObserver receives the demand for models and adapters, as the placement of models needs it.
type DemandObserver interface {
	// ModelMissing records that a request needs a model or adapter that no instance has loaded.
	// The caller must call the returned function when the request stops waiting.
	ModelMissing(service, model, adapter string) func()
	// SoftwareNeeded records that a stream which does not run can resume only at instances of a software version that have a
	// model and, unless it is empty, an adapter. The caller must call the returned function when the stream runs or ends.
	SoftwareNeeded(service, model, adapter, software string) func()
	// RequestStarted records that a request for a model began; the returned function records its end.
	RequestStarted(service, model string) func()
	// Refused records that a request that had begun was refused for lack of capacity.
	Refused(service, model string)
}

// Gateway forwards requests to instances. It is safe for concurrent use.
type Gateway struct {
	settings Settings
	upstream Upstream
	tracker  *balance.Tracker
	chooser  Chooser
	budgets  *retry.Budgets
	demand   DemandObserver
	observer Observer
	view     atomic.Pointer[fleet.View]
	changed  atomic.Pointer[chan struct{}]
	active   atomic.Int64
	lifetime *drain.Lifetime
	// endsAt is when a stopping daemon gives requests their last answer; nil before it stops.
	endsAt atomic.Pointer[time.Time]
	// answerTimes estimates how long answers need.
	answerTimes *answerTimes
	// shortageTracker holds the models and tenants whose requests are being refused.
	shortageTracker *shortageTracker
	// backgroundQueues queues the background requests that wait for more urgent ones.
	backgroundQueues *yieldQueues
}

// New returns a gateway without a configuration. It refuses all requests until SetView is called with one.
func New(settings Settings, upstream Upstream, tracker *balance.Tracker, budgets *retry.Budgets, demand DemandObserver, observer Observer) *Gateway {
	if settings.Memory == nil {
		settings.Memory = membudget.New(0)
	}
	g := &Gateway{
		settings: settings, upstream: upstream, tracker: tracker, chooser: localChooser{balance.NewPicker(tracker)},
		budgets: budgets, demand: demand, observer: observer, shortageTracker: newShortageTracker(), lifetime: drain.NewLifetime(), answerTimes: newAnswerTimes(),
		backgroundQueues: newYieldQueues(),
	}
	g.view.Store(fleet.NewView(nil, nil))
	first := make(chan struct{})
	g.changed.Store(&first)
	return g
}

// Chooser selects the instance for a request, or nil if no instance may take it.
type Chooser interface {
	Choose(ctx context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate
}

// localChooser selects instances by the load that is recorded at this daemon.
type localChooser struct{ picker *balance.Picker }

// Choose implements Chooser.
func (c localChooser) Choose(_ context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	return c.picker.Pick(time.Now(), view.Instances(service), request)
}

// SetChooser replaces the chooser. It must be called before the first call of Serve.
func (g *Gateway) SetChooser(chooser Chooser) { g.chooser = chooser }

// SetView replaces the snapshot of the fleet, and wakes the requests that wait for a change.
func (g *Gateway) SetView(view *fleet.View) {
	if known := g.view.Load(); known == nil || known.Version() != view.Version() {
		g.answerTimes.prune(view.Configuration())
	}
	g.view.Store(view)
	next := make(chan struct{})
	close(*g.changed.Swap(&next))
}

// Now returns the time on the clock that request ages and deadlines are measured with.
func (g *Gateway) Now() time.Time {
	if g.settings.Now == nil {
		return time.Now()
	}
	return g.settings.Now()
}

// View returns the current snapshot of the fleet.
func (g *Gateway) View() *fleet.View { return g.view.Load() }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Serve answers one request. Ctx is cancelled when the client disconnects.
func (g *Gateway) Serve(ctx context.Context, request *Request, reply Reply) {
	g.active.Add(1)
	defer g.active.Add(-1)
	// This check precedes the load of the snapshot: the snapshot may be newer than the check, never older.
	keysCurrent := g.keysCurrent(request.Arrived)
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
	if reason := e.identify(view, keysCurrent); reason != "" {
		e.refuse(refusalStatus(reason), reason)
		return
	}
	if e.held() {
		e.refuse(statusUnavailable, ReasonQuarantined)
		return
	}
	ctx, release := g.lifetime.Bind(ctx)
	defer release()
	// The timeout is a duration, not a deadline: the context's own clock may not have advanced during a suspension.
	ctx, cancel := context.WithTimeout(ctx, e.until(e.deadline))
	defer cancel()
	if reason := e.findOrigin(ctx); reason != "" {
		e.fail(ctx, reason)
		return
	}
	if reason := e.acquireAllowance(ctx); reason != "" {
		e.fail(ctx, reason)
		return
	}
	defer e.refundAllowance()
	if request.Model != "" {
		defer g.demand.RequestStarted(e.service, request.Model)()
	}
	e.budget = g.budgets.Of(e.service)
	e.budget.Earn(g.Now())
	e.run(ctx)
}

// newExchange returns the exchange for a request that matched a route.
func (g *Gateway) newExchange(view *fleet.View, route *fleet.Route, request *Request, reply Reply) *exchange {
	timeout := route.Timeout
	if request.ClientTimeout > 0 {
		timeout = min(timeout, request.ClientTimeout)
	}
	return &exchange{
		gateway: g, request: request, reply: reply, route: route, priority: route.Priority, version: view.Version(),
		deadline: request.Arrived.Add(timeout), firstEventDeadline: request.Arrived.Add(min(timeout, route.FirstEventTimeout())),
		service: chooseTarget(route),
	}
}

// chooseTarget selects a service at random, by the weights of the route.
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

// Refuse sends an error answer for a request that is not forwarded to an instance.
func (g *Gateway) Refuse(request *Request, reply Reply, status int, reason Reason) {
	retryAfter := time.Duration(0)
	if status == statusUnavailable {
		retryAfter = g.retryAfter(request, reason)
	}
	g.observer.Observe(g.refuse(reply, request, status, reason, retryAfter))
}

// BodyNotReceived ends a request whose body was not received: its client disconnected, or this daemon is shutting down.
func (g *Gateway) BodyNotReceived(request *Request, reply Reply) {
	if g.lifetime.Ended() {
		g.Refuse(request, reply, statusUnavailable, ReasonStopping)
		return
	}
	reply.Abort()
	g.observer.Observe(Event{Step: StepEnded, Request: request, Reason: ReasonClientDisconnected, Phase: PhaseReading, Version: g.view.Load().Version()})
}

// refuse sends an error answer to the client and returns the event to report to the observer.
func (g *Gateway) refuse(reply Reply, request *Request, status int, reason Reason, retryAfter time.Duration) Event {
	reply.Refuse(status, reason, retryAfter)
	return Event{Step: StepRefused, Request: request, Status: status, Reason: reason, RetryAfter: retryAfter, Version: g.view.Load().Version()}
}

// retryAfter returns the delay after which a client that is refused for a reason should retry: an estimate of when
// its model has capacity again.
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
	return g.shortageTracker.recordRefusal(time.Now(), request.Model, g.settings.RetryAfter)
}
