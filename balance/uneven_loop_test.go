package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// The closed loop simulates a service of servers of uneven speed in virtual time. Each choice adds
// load to a server, which affects later choices. A step of a server's batch reads up to
// loopStepTokens prompt tokens, and generates one token for each request whose prompt is read. An
// event has loopEventTokens tokens.
const (
	loopServers     = 30
	loopModels      = 30
	loopSlots       = 96
	loopDaemons     = 72
	loopStepTokens  = 4096
	loopEventTokens = 3
	loopStepTime    = 9470 * time.Microsecond
	loopTokenRead   = 52 * time.Microsecond
	loopTargetGap   = 500 * time.Millisecond
	loopDuration    = 40 * time.Second
	loopWarmUp      = 10 * time.Second
	// In a run with slow periods, each server is slower by loopSlowFactor during loopSlowDuration
	// of each loopSlowInterval. The phase differs between servers.
	loopSlowInterval = 4 * time.Second
	loopSlowDuration = 600 * time.Millisecond
	loopSlowFactor   = 2.5
	// loopLongShare is the share of long streams.
	loopLongShare   = 95.0 / 429
	loopShortOutput = 24
)

var loopSpeeds = []float64{0.7, 0.7, 1.7}

// loopPaces holds the slowness of each server relative to the geometric mean of all.
type loopPaces map[string]float64

func (p loopPaces) Slowness(instance string) float64 { return p[instance] }

type loopRequest struct {
	at             time.Duration
	model, daemon  int
	prompt, output int
	unread         int
	emitted        int
	candidate      *balance.Candidate
	forecast       time.Duration
	sent           time.Time
	first, last    time.Time
	longest        time.Duration
}

type loopServer struct {
	instance    *fleet.Instance
	speed       float64
	phase       time.Duration
	slowPeriods bool
	batch       []*loopRequest
	queue       []*loopRequest
	stepEnds    time.Time
}

// startStep fills the batch from the queue and starts a step if there is a request.
func (s *loopServer) startStep(now time.Time, since time.Duration) {
	free := min(loopSlots-len(s.batch), len(s.queue))
	s.batch = append(s.batch, s.queue[:free]...)
	s.queue = s.queue[free:]
	if len(s.batch) == 0 {
		s.stepEnds = time.Time{}
		return
	}
	budget := loopStepTokens
	for _, request := range s.batch {
		read := min(budget, request.unread)
		request.unread -= read
		budget -= read
	}
	took := float64(loopStepTime+time.Duration(loopStepTokens-budget)*loopTokenRead) / s.speed
	if s.slowPeriods && (since+s.phase)%loopSlowInterval < loopSlowDuration {
		took *= loopSlowFactor
	}
	s.stepEnds = now.Add(time.Duration(took))
}

// closedLoop is one run. Each daemon has a forecaster with the samples of its own requests. One
// dispatcher with all loads chooses for all daemons.
type closedLoop struct {
	servers   []*loopServer
	daemons   []*balance.Forecaster
	tracker   *balance.Tracker
	picker    *balance.Picker
	startedAt time.Time
	ended     []*loopRequest
}

func newClosedLoop(paces, slowPeriods bool) *closedLoop {
	l := &closedLoop{tracker: balance.NewTracker(), startedAt: time.Now()}
	known := loopPaces{}
	mean := 1.0
	for _, speed := range loopSpeeds {
		mean *= math.Pow(speed, 1/float64(len(loopSpeeds)))
	}
	for i := range loopServers {
		speed := loopSpeeds[i%len(loopSpeeds)]
		server := &fleet.Instance{ID: fmt.Sprint("s", i), Service: "svc", Slots: loopSlots}
		phase := time.Duration(i*7%loopServers) * loopSlowInterval / loopServers
		l.servers = append(l.servers, &loopServer{instance: server, speed: speed, phase: phase, slowPeriods: slowPeriods})
		known[server.ID] = mean / speed
	}
	// Each model is on three servers, one of them fast.
	for model := range loopModels {
		for _, offset := range []int{0, 7, 14} {
			target := l.servers[(model+offset)%loopServers].instance
			target.Residents = append(target.Residents, fleet.Resident{Model: fmt.Sprint("m", model)})
		}
	}
	for range loopDaemons {
		l.daemons = append(l.daemons, balance.NewForecaster())
	}
	if paces {
		l.tracker.SetSlownessSource(known)
	}
	l.picker = balance.NewPicker(l.tracker)
	return l
}

func (l *closedLoop) send(request *loopRequest) {
	now, forecaster := time.Now(), l.daemons[request.daemon]
	instances := make([]*fleet.Instance, len(l.servers))
	for i, server := range l.servers {
		instances[i] = server.instance
	}
	request.candidate = l.picker.Pick(now, instances, &balance.Request{
		Model: fmt.Sprint("m", request.model), Affinity: uint64(request.at), PromptTokens: request.prompt, MemoryTokens: 400000,
		OutputTokens: request.output, TargetGap: loopTargetGap, Tokens: forecaster.TokenTimes("svc"),
	})
	request.sent, request.unread = now, request.prompt
	request.forecast = forecaster.PredictFirstToken(request.candidate, request.prompt)
	l.tracker.Begin(request.candidate.Instance.ID, request.prompt)
	server := l.servers[slices.Index(instances, request.candidate.Instance)]
	server.queue = append(server.queue, request)
	if server.stepEnds.IsZero() {
		server.startStep(now, now.Sub(l.startedAt))
	}
}

// endStep generates the next token of each request in the batch whose prompt is read.
func (l *closedLoop) endStep(server *loopServer) {
	now := time.Now()
	l.tracker.ObserveActivity(server.instance.ID)
	server.batch = slices.DeleteFunc(server.batch, func(request *loopRequest) bool {
		if request.unread > 0 {
			return false
		}
		request.emitted++
		if request.emitted%loopEventTokens == 0 {
			l.event(request, now)
		}
		return request.emitted == request.output
	})
	server.startStep(now, now.Sub(l.startedAt))
}

func (l *closedLoop) event(request *loopRequest, now time.Time) {
	forecaster, id := l.daemons[request.daemon], request.candidate.Instance.ID
	if request.first.IsZero() {
		request.first = now
		l.tracker.ObservePromptRead(id, request.prompt)
		forecaster.ObserveFirstToken(request.candidate, request.prompt, now.Sub(request.sent))
	} else {
		request.longest = max(request.longest, now.Sub(request.last))
	}
	request.last = now
	if request.emitted == request.output {
		forecaster.ObserveRun(request.candidate, now.Sub(request.first))
		forecaster.ObserveGeneration(request.candidate, request.output, now.Sub(request.first))
		l.tracker.End(now, id, balance.Served, nil)
		l.ended = append(l.ended, request)
	}
}

// run sends the requests in the order of their arrival and returns when all have ended.
func (l *closedLoop) run(requests []*loopRequest) {
	for {
		next, server := time.Time{}, (*loopServer)(nil)
		if len(requests) > 0 {
			next = l.startedAt.Add(requests[0].at)
		}
		for _, candidate := range l.servers {
			if !candidate.stepEnds.IsZero() && (next.IsZero() || candidate.stepEnds.Before(next)) {
				next, server = candidate.stepEnds, candidate
			}
		}
		if next.IsZero() {
			return
		}
		time.Sleep(time.Until(next))
		if server != nil {
			l.endStep(server)
			continue
		}
		l.send(requests[0])
		requests = requests[1:]
	}
}

// loopRequests draws arrivals at a utilization of the full speed of all servers. A request costs
// the time to read its prompt and its share of the steps of a full batch.
func loopRequests(utilization float64) []*loopRequest {
	random := rand.New(rand.NewPCG(7, 11))
	work := func(r *loopRequest) time.Duration {
		return time.Duration(r.prompt)*loopTokenRead + time.Duration(r.output)*loopStepTime/loopSlots
	}
	speed := 0.0
	for i := range loopServers {
		speed += loopSpeeds[i%len(loopSpeeds)]
	}
	var all []*loopRequest
	at := 0.0
	for at < loopDuration.Seconds() {
		request := &loopRequest{model: random.IntN(loopModels), daemon: random.IntN(loopDaemons), prompt: 2400, output: loopShortOutput}
		if random.Float64() < loopLongShare {
			request.prompt, request.output = 1500, 171
		}
		at += random.ExpFloat64() * work(request).Seconds() / speed / utilization
		request.at = time.Duration(at * float64(time.Second))
		all = append(all, request)
	}
	return all
}

// loopResults is the result of a run, without its warm-up.
type loopResults struct {
	// overGap is the share of long streams with a gap over the target. onFast is the share of long
	// streams on fast servers.
	overGap, onFast float64
	// shortOverGap is the share of the other streams with a gap over the target.
	shortOverGap                     float64
	firstLong, firstShort, firstMean time.Duration
	// slow and fast are the 10th, 50th and 90th percentiles of the ratio between forecast and
	// actual time of the first event, on slow and on fast servers.
	slow, fast [3]float64
}

func (l *closedLoop) results() loopResults {
	var r loopResults
	var ratios [2][]float64
	long, short, fast := 0, 0, 0
	for _, request := range l.ended {
		if request.at < loopWarmUp {
			continue
		}
		took := request.first.Sub(request.sent)
		class := 0
		if l.speedOf(request) > 1 {
			class = 1
		}
		ratios[class] = append(ratios[class], request.forecast.Seconds()/took.Seconds())
		over := 0.0
		if request.longest > loopTargetGap {
			over = 1
		}
		if request.output == loopShortOutput {
			short++
			r.firstShort += took
			r.shortOverGap += over
			continue
		}
		long++
		fast += class
		r.firstLong += took
		r.overGap += over
	}
	r.overGap, r.onFast, r.shortOverGap = r.overGap/float64(long), float64(fast)/float64(long), r.shortOverGap/float64(short)
	r.firstMean = (r.firstLong + r.firstShort) / time.Duration(long+short)
	r.firstLong /= time.Duration(long)
	r.firstShort /= time.Duration(short)
	r.slow, r.fast = percentiles(ratios[0]), percentiles(ratios[1])
	return r
}

func (l *closedLoop) speedOf(request *loopRequest) float64 {
	for _, server := range l.servers {
		if server.instance == request.candidate.Instance {
			return server.speed
		}
	}
	return 0
}

func percentiles(values []float64) [3]float64 {
	if len(values) == 0 {
		return [3]float64{}
	}
	slices.Sort(values)
	at := func(share float64) float64 { return values[int(share*float64(len(values)-1))] }
	return [3]float64{at(0.1), at(0.5), at(0.9)}
}

func (r loopResults) String() string {
	return fmt.Sprintf("over gap: long %.3f, short %.3f, on fast %.2f, first: long %v, short %v, mean %v, forecast/actual: slow %.2f, fast %.2f",
		r.overGap, r.shortOverGap, r.onFast, r.firstLong.Round(time.Millisecond), r.firstShort.Round(time.Millisecond), r.firstMean.Round(time.Millisecond), r.slow, r.fast)
}

// runLoop runs the closed loop at a utilization, with or without known paces.
func runLoop(t *testing.T, utilization float64, slowPeriods, paces bool) loopResults {
	var r loopResults
	synctest.Test(t, func(*testing.T) {
		l := newClosedLoop(paces, slowPeriods)
		l.run(loopRequests(utilization))
		r = l.results()
	})
	t.Logf("utilization %.2f, slow periods %v, paces %v: %v", utilization, slowPeriods, paces, r)
	return r
}

// TestUnevenServersInAClosedLoop guards against scores that crowd the fast servers. Long streams
// must stall less often, and neither first tokens nor the other streams may get slower. The
// arrivals are 30 to 60 % of the capacity of all servers.
func TestUnevenServersInAClosedLoop(t *testing.T) {
	cases := []struct {
		utilization float64
		slowPeriods bool
		// maxShare bounds the share of long streams with a gap over the target, relative to the run
		// without paces.
		maxShare float64
	}{
		{0.45, false, 0.3}, {0.6, false, 0.3}, {0.3, true, 0.5}, {0.45, true, 0.5}, {0.6, true, 0.8},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.utilization, c.slowPeriods), func(t *testing.T) {
			before, after := runLoop(t, c.utilization, c.slowPeriods, false), runLoop(t, c.utilization, c.slowPeriods, true)
			if after.overGap > c.maxShare*before.overGap {
				t.Errorf("%.3f of the long streams have a gap over the target, %.3f without paces", after.overGap, before.overGap)
			}
			if after.shortOverGap > before.shortOverGap+0.01 {
				t.Errorf("%.3f of the other streams have a gap over the target, %.3f without paces", after.shortOverGap, before.shortOverGap)
			}
			if after.firstMean > before.firstMean {
				t.Errorf("first tokens come after %v, without paces after %v", after.firstMean, before.firstMean)
			}
		})
	}
}

// TestForecastsOfUnevenServersInAClosedLoop guards against forecasts that are too short at slow
// servers and too long at fast ones. The load is 60 % of the capacity of all servers, over so many
// daemons that most have few samples of each server.
func TestForecastsOfUnevenServersInAClosedLoop(t *testing.T) {
	const median, utilization = 1, 0.6
	before, after := runLoop(t, utilization, false, false), runLoop(t, utilization, false, true)
	if ratio := before.fast[median] / before.slow[median]; ratio < 1.5 {
		t.Errorf("without paces, forecasts for fast and slow servers are only %.2f apart: this load tests nothing", ratio)
	}
	if ratio := after.fast[median] / after.slow[median]; ratio < 0.85 || ratio > 1.15 {
		t.Errorf("forecasts for fast and slow servers are %.2f apart", ratio)
	}
}
