package gateway_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

// fakeNotices is a gateway.Notices with fixed announcements of the instances.
type fakeNotices struct {
	bars []gateway.Exclusion
	// turns are the results of AcquireTurn by instance; an instance that is not in it has no limit.
	turns map[string]gateway.Turn
	// admitCalls are the instances with a limit for which AcquireTurn was called.
	admitCalls []string
	// full are the instances for which HasRoom returns false.
	full []string
	// slots is the number of free slots by instance; the slots of other instances are not counted.
	slots map[string]int
	// rejectedBy are the instances for which RecordRefusal was called.
	rejectedBy []string
	// barsFrom is the time from which the bars apply; zero for always.
	barsFrom time.Time
}

func (n *fakeNotices) Exclusions() []gateway.Exclusion {
	now := time.Now()
	if now.Before(n.barsFrom) {
		return nil
	}
	var bars []gateway.Exclusion
	for _, bar := range n.bars {
		if bar.Until.After(now) {
			bars = append(bars, bar)
		}
	}
	return bars
}

func (n *fakeNotices) Excluded(instance string) bool {
	return slices.ContainsFunc(n.Exclusions(), func(bar gateway.Exclusion) bool {
		return bar.Instance == instance && bar.Reason != gateway.ReasonAtLimit
	})
}

func (n *fakeNotices) HasRoom(instance *fleet.Instance, _ int) bool {
	return !slices.Contains(n.full, instance.ID)
}

func (n *fakeNotices) AcquireSlot(_ context.Context, instance *fleet.Instance, _ int) gateway.Slot {
	left, counted := n.slots[instance.ID]
	switch {
	case !counted:
		return gateway.SlotUncounted
	case left == 0:
		return gateway.SlotDenied
	}
	n.slots[instance.ID]--
	return gateway.SlotTaken
}

func (n *fakeNotices) ReleaseSlot(instance *fleet.Instance) { n.slots[instance.ID]++ }

func (n *fakeNotices) RecordRefusal(instance *fleet.Instance) {
	n.rejectedBy = append(n.rejectedBy, instance.ID)
}

func (n *fakeNotices) AcquireTurn(_ context.Context, instance string, within time.Duration) gateway.Turn {
	turn, limited := n.turns[instance]
	if !limited {
		return gateway.Turn{Granted: true}
	}
	n.admitCalls = append(n.admitCalls, instance)
	turn.Limited = true
	turn.Granted = turn.Wait <= within
	return turn
}

// serveWithNotices serves one request with the given announcements of the instances.
func serveWithNotices(notices *fakeNotices, upstream gateway.Upstream, sent *gateway.Request) *recordingReply {
	settings := gateway.Settings{
		RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, Notices: notices,
	}
	g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
	g.SetView(view())
	reply := &recordingReply{}
	g.Serve(context.Background(), sent, reply)
	return reply
}

// TestLimitedInstances covers requests for three instances of which some have no turn. Another instance takes the
// request. If there is none, the request waits for a turn that starts soon, or is rejected at once with the time until
// one may be available.
func TestLimitedInstances(t *testing.T) {
	soon, late := 300*time.Millisecond, 1500*time.Millisecond
	cases := []struct {
		name       string
		turns      map[string]time.Duration
		atLimit    []string
		status     int
		instance   string
		took       time.Duration
		retryAfter time.Duration
	}{
		{"two have no turn", map[string]time.Duration{"i1": late, "i2": late}, nil, 200, "i3", 0, 0},
		{"two are known to have no turn", map[string]time.Duration{"i1": late, "i2": late}, []string{"i1", "i2"}, 200, "i3", 0, 0},
		{"a limited one has a turn", map[string]time.Duration{"i1": late, "i2": late, "i3": 0}, nil, 200, "i3", 0, 0},
		{"all have a turn soon", map[string]time.Duration{"i1": soon, "i2": soon, "i3": soon}, nil, 200, "", soon, 0},
		{"none has a turn soon", map[string]time.Duration{"i1": late, "i2": late, "i3": late}, nil, 503, "", 0, late},
		{"none is known to have a turn soon", map[string]time.Duration{"i1": late, "i2": late, "i3": late}, []string{"i1", "i2", "i3"}, 503, "", 0, late},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				notices := &fakeNotices{turns: map[string]gateway.Turn{}}
				for instance, wait := range c.turns {
					notices.turns[instance] = gateway.Turn{Wait: wait}
				}
				for _, instance := range c.atLimit {
					notices.bars = append(notices.bars, gateway.Exclusion{Instance: instance, Reason: gateway.ReasonAtLimit, Until: time.Now().Add(late)})
				}
				upstream, began := &scriptedUpstream{}, time.Now()
				reply := serveWithNotices(notices, upstream, request("unsafe"))
				if reply.status != c.status || reply.retryAfter != c.retryAfter || reply.at.Sub(began) != c.took {
					t.Errorf("status %d after %v, retry after %v", reply.status, reply.at.Sub(began), reply.retryAfter)
				}
				if c.status == 503 && reply.reason != gateway.ReasonAtLimit {
					t.Errorf("rejected as %q", reply.reason)
				}
				if c.instance != "" && (len(upstream.sent) != 1 || upstream.sent[0].Instance.ID != c.instance) {
					t.Errorf("sent %+v", upstream.sent)
				}
				if len(c.atLimit) == 2 && len(notices.admitCalls) > 0 {
					t.Errorf("requested turns at %v", notices.admitCalls)
				}
			})
		})
	}
}

// TestTurnLapses guards against a request sent after its turn has expired, because establishing the connection took too
// long. Other requests have had their turns in the meantime.
func TestTurnLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notices := &fakeNotices{turns: map[string]gateway.Turn{"i1": {}, "i2": {}, "i3": {}}}
		upstream := &slowConnections{took: 600 * time.Millisecond, slow: 1}
		reply := serveWithNotices(notices, upstream, request("unsafe"))
		if reply.status != 200 || upstream.barred != 1 {
			t.Errorf("status %d, %d sends were prevented", reply.status, upstream.barred)
		}
	})
}

// slowConnections is a gateway.Upstream whose first connections, as many as slow says, take the time took.
type slowConnections struct {
	scriptedUpstream
	took   time.Duration
	slow   int
	barred int
}

func (s *slowConnections) Send(ctx context.Context, outbound *gateway.Outbound) (gateway.Response, error) {
	if s.slow > 0 {
		s.slow--
		time.Sleep(s.took)
	}
	if !outbound.StillAllowed() {
		s.barred++
		return nil, gateway.ErrNotSent.Wrap(gateway.ErrExcluded.New("%s", outbound.Instance.ID))
	}
	return s.scriptedUpstream.Send(ctx, outbound)
}

// TestRestingInstances covers requests for three instances of which some are resting, that is, have asked for no
// requests for a time. Another instance takes the request, even one that balance.Tracker advises against. If all are
// resting, the request waits for the first rest to end if it may wait so long. Otherwise it is rejected at once with
// the time until then.
func TestRestingInstances(t *testing.T) {
	cases := []struct {
		name   string
		rests  map[string]time.Duration
		status int
		// earliest and latest bound the time until the answer.
		earliest, latest time.Duration
		retryAfter       time.Duration
	}{
		{"two are resting", map[string]time.Duration{"i1": time.Minute, "i2": time.Minute}, 200, 0, 0, 0},
		{"all rest for a short time", map[string]time.Duration{"i1": 2 * time.Second, "i2": time.Second, "i3": 3 * time.Second}, 200, time.Second, 1200 * time.Millisecond, 0},
		{"all rest for a long time", map[string]time.Duration{"i1": 10 * time.Second, "i2": 9 * time.Second, "i3": time.Minute}, 503, 0, 0, 9 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				notices := &fakeNotices{}
				for instance, rest := range c.rests {
					notices.bars = append(notices.bars, gateway.Exclusion{Instance: instance, Reason: gateway.ReasonResting, Until: began.Add(rest)})
				}
				upstream := &scriptedUpstream{}
				reply := serveWithNotices(notices, upstream, request("unsafe"))
				took := reply.at.Sub(began)
				if reply.status != c.status || reply.retryAfter != c.retryAfter || took < c.earliest || took > c.latest {
					t.Errorf("status %d after %v, retry after %v", reply.status, took, reply.retryAfter)
				}
				if c.status == 503 && (reply.reason != gateway.ReasonResting || len(upstream.sent) > 0) {
					t.Errorf("rejected as %q after %d sends", reply.reason, len(upstream.sent))
				}
			})
		})
	}
}

// TestInstanceThatAsksForRestDuringAConnection guards against a request sent to an instance that has asked for rest
// while the connection to it was being established.
func TestInstanceThatAsksForRestDuringAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notices := &fakeNotices{barsFrom: time.Now().Add(100 * time.Millisecond)}
		upstream := &slowConnections{took: 200 * time.Millisecond, slow: 1}
		for _, instance := range []string{"i1", "i2", "i3"} {
			notices.bars = append(notices.bars, gateway.Exclusion{Instance: instance, Reason: gateway.ReasonResting, Until: time.Now().Add(time.Minute)})
		}
		reply := serveWithNotices(notices, upstream, request("unsafe"))
		if reply.status != 503 || reply.reason != gateway.ReasonResting || len(upstream.sent) > 0 {
			t.Errorf("status %d as %q after %d sends", reply.status, reply.reason, len(upstream.sent))
		}
	})
}
