package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/tenant"
)

const (
	// urgentTarget and backgroundTarget are the target latencies of the two routes. backgroundSlack is the slack of the
	// second one without a forecast.
	urgentTarget     = 500 * time.Millisecond
	backgroundTarget = 4 * time.Second
	backgroundSlack  = 3 * time.Second
	// maxPollInterval is the maximum time between two checks of a waiting request.
	maxPollInterval = 20 * time.Millisecond
)

// mixedConfiguration has an urgent route and a route of background requests, "resume".
func mixedConfiguration() *fleet.Configuration {
	made := configuration()
	for i := range made.Routes {
		route := &made.Routes[i]
		route.Timeout = time.Minute
		switch route.Name {
		case "stream":
			route.TargetLatency = urgentTarget
		case "resume":
			route.Priority, route.TargetLatency = 2, backgroundTarget
		}
	}
	made.Services[0].Engine = &fleet.Engine{Slots: 4, MemoryTokens: 16000}
	return made
}

func mixedView(slots int) *fleet.View {
	residents := []fleet.Resident{{Model: "m"}}
	return fleet.NewView(mixedConfiguration(), []*fleet.Instance{{ID: "i1", Service: "svc", Slots: slots, Residents: residents}})
}

// eventLog is an Observer that records the events of concurrent requests.
type eventLog struct {
	mutex  sync.Mutex
	events []gateway.Event
}

func (l *eventLog) Observe(event gateway.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
}

// matching returns the events with a step and a reason; an empty reason matches any.
func (l *eventLog) matching(step gateway.Step, reason gateway.Reason) []gateway.Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(l.events), func(event gateway.Event) bool {
		return event.Step != step || reason != "" && event.Reason != reason
	})
}

// batchServer is an Upstream with one instance. Requests run for a fixed time in a number of slots, and wait for a free
// slot in the order of their arrival.
type batchServer struct {
	running chan struct{}
	run     time.Duration
	mutex   sync.Mutex
	began   []string
}

func newBatchServer(slots int, run time.Duration) *batchServer {
	return &batchServer{running: make(chan struct{}, slots), run: run}
}

// HasConnection implements gateway.Upstream.
func (s *batchServer) HasConnection(string, int) bool { return true }

// Send implements gateway.Upstream.
func (s *batchServer) Send(ctx context.Context, outbound *gateway.Outbound) (gateway.Response, error) {
	select {
	case s.running <- struct{}{}:
	case <-ctx.Done():
		return nil, gateway.ErrUnknown.Wrap(ctx.Err())
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.began = append(s.began, outbound.Request.ID)
	return &batchResponse{response: response{answer: answer{status: 200}}, server: s}, nil
}

// batchResponse is a stream of one event; its slot is released at its end.
type batchResponse struct {
	response
	server    *batchServer
	eventSent bool
	free      sync.Once
}

func (r *batchResponse) Read(buffer []byte) (int, error) {
	if !r.eventSent {
		r.eventSent = true
		return copy(buffer, "id: 1\n\n"), nil
	}
	time.Sleep(r.server.run)
	r.Close()
	return 0, io.EOF
}

func (r *batchResponse) Close() { r.free.Do(func() { <-r.server.running }) }

func mixedGateway(upstream gateway.Upstream, tracker *balance.Tracker, observer gateway.Observer) *gateway.Gateway {
	settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
	g := gateway.New(settings, upstream, tracker, retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), discardDemand{}, observer)
	g.SetView(mixedView(4))
	return g
}

func mixedRequest(route, id string) *gateway.Request {
	sent := request(route)
	sent.ID, sent.Model = id, "m"
	return sent
}

// TestBurstOfBackgroundRequestsLeavesRoomForUrgentOnes guards against urgent requests that wait behind a burst of
// background requests at a full server, and against a burst that is not served meanwhile.
func TestBurstOfBackgroundRequestsLeavesRoomForUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst, urgent, every, run = 40, 30, 100 * time.Millisecond, 200 * time.Millisecond
		tracker, observed := busyTracker(0), &eventLog{}
		g := mixedGateway(newBatchServer(4, run), tracker, observed)
		var all sync.WaitGroup
		serve := func(route string, number int, target time.Duration) {
			all.Go(func() {
				sent, got := mixedRequest(route, fmt.Sprint(route, number)), &recordingReply{}
				g.Serve(context.Background(), sent, got)
				if took := got.at.Sub(sent.Arrived); got.status != 200 || took > target {
					t.Errorf("%s: status %d (%s) after %v", sent.ID, got.status, got.reason, took)
				}
			})
		}
		for number := range burst {
			serve("resume", number, backgroundTarget)
			time.Sleep(time.Millisecond)
		}
		for number := range urgent {
			time.Sleep(every)
			serve("stream", number, urgentTarget)
		}
		all.Wait()
		yielded := observed.matching(gateway.StepPaced, gateway.ReasonYielding)
		if len(yielded) != burst-4 {
			t.Errorf("%d requests yielded, want %d", len(yielded), burst-4)
		}
	})
}

// TestBackgroundRequestWaits guards against a wait that ends early or late. It continues while the server is busy, and
// ends with the slack, the client's timeout, or the load. The forecast is 0.25 s for each preceding request.
func TestBackgroundRequestWaits(t *testing.T) {
	cases := []struct {
		name      string
		load      balance.Load
		laterLoad balance.Load
		laterAt   time.Duration
		timeout   time.Duration
		status    int
		at        time.Duration
		until     time.Duration
	}{
		{"a free slot", balance.Load{Requests: 3}, balance.Load{}, 0, 0, 200, 0, 0},
		{"a full batch, until the slack ends", balance.Load{Requests: 4}, balance.Load{}, 0, 0, 200, 2750 * time.Millisecond, 2750 * time.Millisecond},
		{"a longer queue leaves less slack", balance.Load{Requests: 8}, balance.Load{}, 0, 0, 200, 1750 * time.Millisecond, 1750 * time.Millisecond},
		{"prompts to process", balance.Load{Requests: 1, PromptTokens: 1000}, balance.Load{}, 0, 0, 200, backgroundSlack, backgroundSlack},
		{"few prompts to process", balance.Load{Requests: 1, PromptTokens: 100}, balance.Load{}, 0, 0, 200, 0, 0},
		{"room becomes available", balance.Load{Requests: 4}, balance.Load{Requests: 1}, time.Second, 0, 200, time.Second, time.Second + maxPollInterval},
		{"the queue grows", balance.Load{Requests: 4}, balance.Load{Requests: 10}, time.Second, 0, 200, 1250 * time.Millisecond, 1250 * time.Millisecond},
		{"the queue grows too long", balance.Load{Requests: 4}, balance.Load{Requests: 30}, time.Second, 0, 503, time.Second, time.Second + maxPollInterval},
		{"too late from the start", balance.Load{Requests: 30}, balance.Load{}, 0, 0, 503, 0, 0},
		{"the client's timeout is 2 s", balance.Load{Requests: 4}, balance.Load{}, 0, 2 * time.Second, 200, time.Second, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker, observed, got := busyTracker(0), &eventLog{}, &recordingReply{}
				tracker.SetPeer(time.Now(), "peer", map[string]balance.Load{"i1": c.load})
				if c.laterAt > 0 {
					time.AfterFunc(c.laterAt, func() { tracker.SetPeer(time.Now(), "peer", map[string]balance.Load{"i1": c.laterLoad}) })
				}
				g := mixedGateway(&scriptedUpstream{answers: []answer{{status: 200, body: "id: 1\n\n"}}}, tracker, observed)
				sent := mixedRequest("resume", "r")
				sent.ClientTimeout = c.timeout
				g.Serve(context.Background(), sent, got)
				took := got.at.Sub(sent.Arrived)
				if got.status != c.status || took < c.at || took > c.until {
					t.Errorf("status %d (%s) after %v, want %d from %v to %v", got.status, got.reason, took, c.status, c.at, c.until)
				}
				yielded, last := observed.matching(gateway.StepPaced, ""), observed.events[len(observed.events)-1]
				if len(yielded) != min(1, int(took)) || last.Yielded != took {
					t.Errorf("%d events, waited %v, want %v", len(yielded), last.Yielded, took)
				}
			})
		})
	}
}

// TestWhoDoesNotYield guards against other requests that wait longer than without yielding. At a full batch, requests
// of priority 0 do not wait, and others wait for 0.3 of their target.
func TestWhoDoesNotYield(t *testing.T) {
	ranked := func(priority int) *tenant.Tenant {
		return &tenant.Tenant{Name: "acme", Ranked: true, Priority: priority, Keys: []tenant.Digest{tenant.DigestOf(goodKey)}}
	}
	cases := []struct {
		name     string
		priority int
		target   time.Duration
		tenant   *tenant.Tenant
		resumes  string
		want     time.Duration
	}{
		{"a background request", 2, backgroundTarget, nil, "", 2750 * time.Millisecond},
		{"priority 0", 0, backgroundTarget, nil, "", 0},
		{"priority 1", 1, backgroundTarget, nil, "", 1200 * time.Millisecond},
		{"a target that is not long enough", 2, 1900 * time.Millisecond, nil, "", 570 * time.Millisecond},
		{"a stream that is resumed", 2, backgroundTarget, nil, "7", 1200 * time.Millisecond},
		{"a tenant of priority 0", 2, backgroundTarget, ranked(0), "", 0},
		{"a tenant of priority 1", 2, backgroundTarget, ranked(1), "", 1200 * time.Millisecond},
		{"a tenant of priority 3 on a route of priority 1", 1, backgroundTarget, ranked(3), "", 2750 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				made := mixedConfiguration()
				for i := range made.Routes {
					if made.Routes[i].Name == "resume" {
						made.Routes[i].Priority, made.Routes[i].TargetLatency = c.priority, c.target
					}
				}
				sent, got := mixedRequest("resume", "r"), &recordingReply{}
				sent.ResumeAfter = c.resumes
				if c.tenant != nil {
					made.Tenants, sent.Key = []tenant.Tenant{*c.tenant}, tenant.DigestOf(goodKey)
				}
				g := mixedGateway(&scriptedUpstream{answers: []answer{{status: 200, body: "id: 8\n\n"}}}, busyTracker(4), discardObserver{})
				g.SetView(fleet.NewView(made, mixedView(4).Instances("svc")))
				g.Serve(context.Background(), sent, got)
				if took := got.at.Sub(sent.Arrived); got.status != 200 || took < c.want || took > c.want+maxPollInterval {
					t.Errorf("status %d after %v, want 200 after %v", got.status, took, c.want)
				}
			})
		})
	}
}

// TestHeldRequestsGoInTheOrderOfTheirSlack guards against a request that is overtaken by one with more slack, whether
// that was waiting or is new. It also guards against a request that occupies a slot which it no longer needs.
func TestHeldRequestsGoInTheOrderOfTheirSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newBatchServer(1, 100*time.Millisecond)
		g := mixedGateway(server, balance.NewTracker(), discardObserver{})
		g.SetView(mixedView(1))
		var all sync.WaitGroup
		serve := func(id string, age time.Duration) context.CancelFunc {
			ctx, leave := context.WithCancel(context.Background())
			all.Go(func() {
				sent := mixedRequest("resume", id)
				sent.Arrived = sent.Arrived.Add(-age)
				g.Serve(ctx, sent, &recordingReply{})
			})
			time.Sleep(time.Millisecond)
			return leave
		}
		leaves := []context.CancelFunc{serve("runs", 0), serve("third", 100*time.Millisecond), serve("first", 300*time.Millisecond)}
		leaves = append(leaves, serve("gone", 400*time.Millisecond), serve("second", 200*time.Millisecond))
		time.AfterFunc(50*time.Millisecond, leaves[3])
		time.Sleep(100 * time.Millisecond)
		leaves = append(leaves, serve("fourth", 0))
		all.Wait()
		if want := []string{"runs", "first", "second", "third", "fourth"}; !slices.Equal(server.began, want) {
			t.Errorf("began %v, want %v", server.began, want)
		}
		for _, leave := range leaves {
			leave()
		}
	})
}

// TestHeldRequestsEndWithTheStopAndTheirClients guards against a waiting request that does not end when the daemon
// stops or its client leaves.
func TestHeldRequestsEndWithTheStopAndTheirClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Between two checks.
		const leaveAt, drainAt = 110 * time.Millisecond, 210 * time.Millisecond
		upstream, observed := &scriptedUpstream{}, &eventLog{}
		g := mixedGateway(upstream, busyTracker(4), observed)
		var all sync.WaitGroup
		ctx, leave := context.WithTimeoutCause(context.Background(), leaveAt, context.Canceled)
		defer leave()
		left, stopped := &recordingReply{}, [2]recordingReply{}
		begun := time.Now()
		all.Go(func() { g.Serve(ctx, mixedRequest("resume", "left"), left) })
		for i := range stopped {
			all.Go(func() { g.Serve(context.Background(), mixedRequest("resume", "stopped"), &stopped[i]) })
		}
		time.AfterFunc(drainAt, g.Drain)
		all.Wait()
		if took := left.at.Sub(begun); !left.aborted || took != leaveAt {
			t.Errorf("the request whose client left: aborted %v after %v", left.aborted, took)
		}
		for i := range stopped {
			if took := stopped[i].at.Sub(begun); stopped[i].reason != gateway.ReasonStopping || took != drainAt {
				t.Errorf("refused as %q after %v", stopped[i].reason, took)
			}
		}
		if len(upstream.sent) > 0 {
			t.Errorf("%d were sent", len(upstream.sent))
		}
	})
}

// TestNoBackgroundRequestStarves guards against a request that waits beyond its slack because of urgent requests. Under
// loads that change at random and stay high, each request is sent or refused by then. If they arrive one after the
// other, all are sent.
func TestNoBackgroundRequestStarves(t *testing.T) {
	const requests, seeds = 20, 15
	for _, every := range []time.Duration{50 * time.Millisecond, backgroundTarget} {
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				tracker, observed := busyTracker(4), &eventLog{}
				g := mixedGateway(newBatchServer(1000, time.Millisecond), tracker, observed)
				end := reportBusyPeer(tracker, rand.New(rand.NewPCG(seed, 1)))
				defer end()
				var all sync.WaitGroup
				for range requests {
					all.Go(func() {
						sent, got := mixedRequest("resume", "r"), &recordingReply{}
						g.Serve(context.Background(), sent, got)
						if took := got.at.Sub(sent.Arrived); took > backgroundSlack {
							t.Errorf("seed %d: status %d after %v", seed, got.status, took)
						}
					})
					time.Sleep(every)
				}
				all.Wait()
				if sent := len(observed.matching(gateway.StepSent, "")); sent == 0 || every == backgroundTarget && sent != requests {
					t.Errorf("seed %d: %d of %d were sent, one each %v", seed, sent, requests, every)
				}
			})
		}
	}
}

// reportBusyPeer lets another daemon report a full batch with a changing load, until the returned function is called.
func reportBusyPeer(tracker *balance.Tracker, random *rand.Rand) func() {
	ctx, end := context.WithCancel(context.Background())
	var reports sync.WaitGroup
	reports.Go(func() {
		for ctx.Err() == nil {
			load := balance.Load{Requests: 4 + random.IntN(4), PromptTokens: random.IntN(2000)}
			tracker.SetPeer(time.Now(), "peer", map[string]balance.Load{"i1": load})
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() {
		end()
		reports.Wait()
	}
}
