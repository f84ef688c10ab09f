package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/retry"
)

// fullChooser chooses the only instance, whose batch is full.
type fullChooser struct{}

func (fullChooser) Choose(_ context.Context, view *fleet.View, service string, _ *balance.Request) *balance.Candidate {
	instance := view.Instances(service)[0]
	return &balance.Candidate{Instance: instance, Available: true, CandidateCount: 1, Load: balance.Load{Requests: instance.Slots}}
}

// brokenUpstream fails each request after it may have reached the instance.
type brokenUpstream struct{ roomyUpstream }

func (brokenUpstream) Send(context.Context, *Outbound) (Response, error) {
	return nil, ErrUnknown.New("reset")
}

// discardDemand is a DemandObserver that ignores everything.
type discardDemand struct{}

func (discardDemand) ModelMissing(string, string, string) func() { return func() {} }
func (discardDemand) RequestStarted(string, string) func()       { return func() {} }
func (discardDemand) Refused(string, string)                     {}

// yieldingView has one server, and a route with the path prefix /x/ whose requests are background requests that yield
// there.
func yieldingView() *fleet.View {
	targets := []fleet.Target{{Service: "svc", Weight: 1}}
	configuration := &fleet.Configuration{Version: 1, Services: []fleet.Service{{Name: "svc"}}, Routes: []fleet.Route{
		{Host: "host", PathPrefix: "/urgent/", Kind: fleet.KindStream, TargetLatency: time.Second, Timeout: time.Minute, Targets: targets},
		{Host: "host", PathPrefix: "/x/", Kind: fleet.KindStream, TargetLatency: 4 * time.Second, Timeout: time.Minute, Priority: 2, MaxAttempts: 2, Targets: targets},
	}}
	instance := &fleet.Instance{ID: "i", Service: "svc", Slots: 1, Residents: []fleet.Resident{{Model: "m"}}}
	return fleet.NewView(configuration, []*fleet.Instance{instance})
}

func queueCount(queues *yieldQueues) int {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	return len(queues.queues)
}

// TestEveryEndLeavesTheLine guards against an entry that stays in the queue after its request has ended. Requests
// behind it would be delayed until their slack ends, and the queue would grow without bound.
func TestEveryEndLeavesTheLine(t *testing.T) {
	cases := []struct {
		name     string
		upstream Upstream
		leaves   time.Duration
		drains   time.Duration
	}{
		{"sent at the end of the slack, answer broken", brokenUpstream{}, 0, 0},
		{"sent at the end of the slack, instance unreachable", roomyUpstream{}, 0, 0},
		{"the client leaves", roomyUpstream{}, 30 * time.Millisecond, 0},
		{"the daemon stops", roomyUpstream{}, 0, 30 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			settings := Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
			g := New(settings, c.upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), discardDemand{}, nopObserver{})
			g.SetChooser(fullChooser{})
			g.SetView(yieldingView())
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if c.leaves > 0 {
				time.AfterFunc(c.leaves, leave)
			}
			if c.drains > 0 {
				time.AfterFunc(c.drains, g.Drain)
			}
			var during atomic.Int64
			time.AfterFunc(10*time.Millisecond, func() { during.Store(int64(queueCount(g.backgroundQueues))) })
			g.Serve(ctx, &Request{Model: "m", Path: "/x/y", RouteHost: "host", Arrived: time.Now()}, &statusReply{})
			if left := queueCount(g.backgroundQueues); during.Load() != 1 || left > 0 {
				t.Errorf("%s: %d queues during the wait, %d after it", c.name, during.Load(), left)
			}
		})
	}
}

// fullUntilChooser chooses the only instance, whose batch is full until a given time.
type fullUntilChooser struct{ until time.Time }

func (c fullUntilChooser) Choose(_ context.Context, view *fleet.View, service string, _ *balance.Request) *balance.Candidate {
	candidate := &balance.Candidate{Instance: view.Instances(service)[0], Available: true, CandidateCount: 1}
	if time.Now().Before(c.until) {
		candidate.Load.Requests = candidate.Instance.Slots
	}
	return candidate
}

// noConnectionUpstream is an Upstream without a free connection.
type noConnectionUpstream struct{ roomyUpstream }

func (noConnectionUpstream) HasConnection(string, int) bool { return false }

// TestWhoWaitsForAConnectionIsNotInLine guards against a request that finds room but no connection, and stays in the
// queue. It would keep the requests behind it from using the room.
func TestWhoWaitsForAConnectionIsNotInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
		g := New(settings, noConnectionUpstream{}, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), discardDemand{}, nopObserver{})
		g.SetChooser(fullUntilChooser{time.Now().Add(30 * time.Millisecond)})
		g.SetView(yieldingView())
		var during, after atomic.Int64
		time.AfterFunc(10*time.Millisecond, func() { during.Store(int64(queueCount(g.backgroundQueues))) })
		time.AfterFunc(100*time.Millisecond, func() { after.Store(int64(queueCount(g.backgroundQueues))) })
		reply := &statusReply{}
		g.Serve(context.Background(), &Request{Model: "m", Path: "/x/y", RouteHost: "host", Arrived: time.Now()}, reply)
		if during.Load() != 1 || after.Load() != 0 || reply.status != statusUnavailable {
			t.Errorf("status %d, %d queues while the batch is full, %d after that", reply.status, during.Load(), after.Load())
		}
	})
}

func (discardDemand) SoftwareNeeded(_, _, _, _ string) func() { return func() {} }
