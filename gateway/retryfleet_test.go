//go:build !race

package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/platform/standin"
	"github.com/wheatweir/wheatweir/retry"
)

const (
	fleetRetryShare  = 0.2
	fleetRetryWindow = 10 * time.Second
	// simulatedSpan is how long clients send requests to a simulated fleet.
	simulatedSpan = 40 * time.Second
)

// fleetSlacks are the sizes of fleets with the slack that the users' sites of these sizes allow.
var fleetSlacks = map[int]float64{9: 58, 71: 182, 295: 630}

// retryWay is a way to bound the retries of a fleet.
type retryWay struct {
	name string
	// settings returns the settings of a daemon's budgets, by what it believes of the fleet.
	settings func(d *simulatedDaemon) retry.Settings
}

var retryWays = []retryWay{
	slackByLive,
	{"slack by the most known", func(d *simulatedDaemon) retry.Settings {
		return retry.Settings{Share: 0.6 * fleetRetryShare, Floor: max(1, 0.6*d.fleet.slack/float64(d.known)), Initial: 1}
	}},
	{"own requests, no slack", func(*simulatedDaemon) retry.Settings {
		return retry.ShareOfFleet(fleetRetryShare, fleetRetryWindow, 1)
	}},
	ownRequests,
}

// slackByLive divides the slack by the daemons that each counts alive.
var slackByLive = retryWay{"slack by the live", func(d *simulatedDaemon) retry.Settings {
	return retry.Settings{Share: 0.6 * fleetRetryShare, Floor: max(1, 0.6*d.fleet.slack/float64(d.live)), Initial: 1}
}}

// ownRequests is the way of the daemons.
var ownRequests = retryWay{"own requests", func(d *simulatedDaemon) retry.Settings {
	return retry.ShareOfFleet(fleetRetryShare, fleetRetryWindow, d.size.Floor(time.Now(), d.fleet.slack))
}}

// retryTrouble is what happens to a simulated fleet while a service fails.
type retryTrouble struct {
	name string
	// run brings the trouble about. It begins with the failures, which last for ten seconds.
	run func(f *simulatedFleet)
	// before happens when the daemons have started.
	before func(f *simulatedFleet)
}

const (
	// troubleAt is when the service fails and the trouble begins.
	troubleAt = 20 * time.Second
	// failingFor is how long the service fails.
	failingFor = 10 * time.Second
	// simulationStep is the time between two rounds of requests.
	simulationStep = 100 * time.Millisecond
	// meanRate is how many requests a second a daemon gets while the service fails.
	meanRate = 4.0
	calm     = "none"
)

var retryTroubles = []retryTrouble{
	{name: calm},
	{name: "each alone", before: (*simulatedFleet).separate},
	{name: "all start again, each alone", before: func(f *simulatedFleet) {
		f.separate()
		for _, d := range f.daemons {
			d.start()
		}
	}},
	{name: "all start again every 2 s", run: func(f *simulatedFleet) {
		for range 5 {
			for _, d := range f.daemons {
				d.start()
			}
			time.Sleep(2 * time.Second)
		}
	}},
	{name: "half frozen for 5 s", run: func(f *simulatedFleet) {
		for _, d := range f.daemons[:len(f.daemons)/2] {
			d.freeze(5 * time.Second)
		}
	}},
	{name: "half frozen before, each alone", before: (*simulatedFleet).separate, run: func(f *simulatedFleet) {
		f.failing.Lock()
		f.failing.declines = true
		f.failing.Unlock()
		for _, d := range f.daemons[:len(f.daemons)/2] {
			d.freeze(3 * time.Second)
		}
	}},
}

// simulatedFleet is a fleet of real gateways in virtual time before one service.
type simulatedFleet struct {
	way     retryWay
	slack   float64
	daemons []*simulatedDaemon
	repeats *standin.Repeats
	view    *fleet.View
	failing failingServers
	random  *rand.Rand
	// sent counts all requests, tried and served those that are sent while the service fails.
	sent          int
	tried, served atomic.Int64
}

// failingServers is how the servers answer.
type failingServers struct {
	sync.Mutex
	random *rand.Rand
	// share is the share of requests that they fail, at once or, with declines, without running them.
	share    float64
	declines bool
}

func (s *failingServers) set(share float64) {
	s.Lock()
	defer s.Unlock()
	s.share = share
}

// simulatedDaemon is a gateway with what its daemon believes of the others.
type simulatedDaemon struct {
	fleet   *simulatedFleet
	mutex   sync.Mutex
	gateway *gateway.Gateway
	budgets *retry.Budgets
	// live is how many daemons are counted alive, known how many at most since the start, seeds how many seeds are alive.
	live, known, seeds int
	size               retry.FleetSize
	frozenUntil        time.Time
}

// start starts the daemon, or starts it again without what it knew.
func (d *simulatedDaemon) start() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known, d.size = d.live, retry.FleetSize{}
	d.budgets = retry.NewBudgets(d.fleet.way.settings(d))
	settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
	d.gateway = gateway.New(settings, d, balance.NewTracker(), d.budgets, &discardDemandObserver{}, discardObserver{})
	d.gateway.SetView(d.fleet.view)
}

// separate cuts all daemons off from each other.
func (f *simulatedFleet) separate() {
	for number, d := range f.daemons {
		d.mutex.Lock()
		d.live, d.seeds = 1, 0
		if number < simulatedSeeds {
			d.seeds = 1
		}
		d.mutex.Unlock()
	}
}

// simulatedSeeds is how many daemons are seeds.
const simulatedSeeds = 3

// refresh takes in what the daemon believes of the others.
func (d *simulatedDaemon) refresh() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known = max(d.known, d.live)
	d.size.Observe(time.Now(), d.live, d.seeds, simulatedSeeds)
	d.budgets.Set(d.fleet.way.settings(d))
}

func (d *simulatedDaemon) freeze(span time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.frozenUntil = time.Now().Add(span)
}

// await waits until the daemon is not frozen.
func (d *simulatedDaemon) await() {
	d.mutex.Lock()
	until := d.frozenUntil
	d.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// HasConnection implements gateway.Upstream.
func (d *simulatedDaemon) HasConnection(string, int) bool { return true }

// Send implements gateway.Upstream.
func (d *simulatedDaemon) Send(ctx context.Context, outbound *gateway.Outbound) (gateway.Response, error) {
	d.await()
	d.fleet.repeats.Arrived("svc", outbound.Request.ID, time.Now())
	time.Sleep(20 * time.Millisecond)
	f := &d.fleet.failing
	f.Lock()
	fails, declines := f.random.Float64() < f.share, f.declines
	f.Unlock()
	made := answer{status: 200, body: "body"}
	if fails {
		made = answer{status: 500, body: "body"}
		if declines {
			made = answer{status: 503, declined: true}
		}
	}
	return newResponse(ctx, made), nil
}

// retryOutcome is what came of a simulated fleet.
type retryOutcome struct {
	worst standin.RepeatWindow
	// served is the share of the requests that were served while the service failed.
	served  float64
	repeats int
}

// simulateRetries runs a fleet in virtual time: much sound traffic, hardly any, and then a time in which the servers fail a share of
// the requests, with a trouble of the fleet.
func simulateRetries(t *testing.T, daemons int, way retryWay, failShare float64, trouble retryTrouble) retryOutcome {
	var outcome retryOutcome
	synctest.Test(t, func(*testing.T) {
		f := newSimulatedFleet(daemons, way)
		f.play(failShare, trouble)
		outcome = retryOutcome{
			worst:  f.repeats.Worst("svc", standin.RepeatRule{Window: fleetRetryWindow, Share: fleetRetryShare, Slack: f.slack}),
			served: float64(f.served.Load()) / float64(f.tried.Load()), repeats: f.repeats.Count("svc"),
		}
	})
	t.Logf("%d daemons, %s, %v fail, %s: at worst %d of %.0f allowed (%.2f), %.3f served, %d repeats in all",
		daemons, trouble.name, failShare, way.name, outcome.worst.Repeats, outcome.worst.Allowed, outcome.worst.Use(), outcome.served, outcome.repeats)
	return outcome
}

func newSimulatedFleet(daemons int, way retryWay) *simulatedFleet {
	f := &simulatedFleet{way: way, slack: fleetSlacks[daemons], repeats: standin.NewRepeats(), random: rand.New(rand.NewPCG(1, uint64(daemons)))}
	f.failing.random = rand.New(rand.NewPCG(1, 1))
	made := &fleet.Configuration{Version: 1, Services: []fleet.Service{{Name: "svc"}}, Routes: []fleet.Route{{
		Name: "safe", Host: "host", PathPrefix: "/safe/", Kind: fleet.KindSafe, Timeout: 1200 * time.Millisecond, MaxAttempts: 2,
		Targets: []fleet.Target{{Service: "svc", Weight: 1}},
	}}}
	f.view = fleet.NewView(made, []*fleet.Instance{
		{ID: "i1", Service: "svc", Slots: 1 << 20}, {ID: "i2", Service: "svc", Slots: 1 << 20}, {ID: "i3", Service: "svc", Slots: 1 << 20},
	})
	for range daemons {
		d := &simulatedDaemon{fleet: f, live: daemons, seeds: simulatedSeeds}
		d.start()
		f.daemons = append(f.daemons, d)
	}
	return f
}

// play sends requests until the end of the simulation.
func (f *simulatedFleet) play(failShare float64, trouble retryTrouble) {
	var group sync.WaitGroup
	defer group.Wait()
	if trouble.before != nil {
		group.Go(func() {
			time.Sleep(simulationStep)
			trouble.before(f)
		})
	}
	group.Go(func() {
		time.Sleep(troubleAt)
		f.failing.set(failShare)
		if trouble.run != nil {
			group.Go(func() { trouble.run(f) })
		}
		time.Sleep(failingFor)
		f.failing.set(0)
	})
	for began := time.Now(); time.Since(began) < simulatedSpan; time.Sleep(simulationStep) {
		for _, d := range f.daemons {
			d.refresh()
		}
		since := time.Since(began)
		f.send(&group, rateFactor(since), since >= troubleAt && since < troubleAt+failingFor)
	}
}

// rateFactor is the rate of requests as a part of meanRate: daemons save tokens from sound traffic that has left the window when
// the service fails.
func rateFactor(since time.Duration) float64 {
	switch {
	case since < 8*time.Second:
		return 4
	case since < troubleAt-time.Second:
		return 0.1
	default:
		return 1
	}
}

// send sends the requests of one step. Half of them go to a part of the daemons that changes with each step.
func (f *simulatedFleet) send(group *sync.WaitGroup, factor float64, counted bool) {
	daemons := len(f.daemons)
	count := int(factor*meanRate*float64(daemons)*simulationStep.Seconds() + f.random.Float64())
	first, spread := f.random.IntN(daemons), 1+f.random.IntN(daemons)
	for range count {
		d := f.daemons[f.random.IntN(daemons)]
		if f.random.IntN(2) == 0 {
			d = f.daemons[(first+f.random.IntN(spread))%daemons]
		}
		f.sent++
		sent := request("safe")
		sent.ID = fmt.Sprint(f.sent)
		f.repeats.Sent("svc", time.Now())
		group.Go(func() {
			served := d.serve(sent)
			if !counted {
				return
			}
			f.tried.Add(1)
			if served {
				f.served.Add(1)
			}
		})
	}
}

// serve has the daemon serve a request, as soon as it runs, and reports whether it was served.
func (d *simulatedDaemon) serve(sent *gateway.Request) bool {
	d.await()
	d.mutex.Lock()
	serving := d.gateway
	d.mutex.Unlock()
	sent.Arrived = time.Now()
	reply := &recordingReply{}
	serving.Serve(context.Background(), sent, reply)
	return reply.status == 200
}

type discardDemandObserver struct{ recordingDemand }

func (*discardDemandObserver) ModelMissing(_, _, _ string) func() { return func() {} }
func (*discardDemandObserver) Refused(_, _ string)                {}

// newResponse returns the response of an instance that answers as scripted.
func newResponse(ctx context.Context, made answer) *response {
	return &response{answer: made, reader: strings.NewReader(made.body), ctx: ctx}
}
