package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/clock"
	"github.com/wheatweir/wheatweir/retry"
)

// TestSuspendedMachineSendsNothingTooLate covers a request that waits for its model when the machine is suspended. When
// the machine resumes, its client has left, which the monotonic clock does not show. The request must not be run by the
// model that was loaded meanwhile, after its deadline.
func TestSuspendedMachineSendsNothingTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine, upstream := clock.NewFake(), &scriptedUpstream{}
		settings := gateway.Settings{
			Now: machine.Now, RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 },
		}
		g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
		g.SetView(view())
		sent, reply, done := request("stream"), &recordingReply{}, make(chan struct{})
		sent.Model, sent.Arrived = "m", machine.Now()
		go func() {
			defer close(done)
			g.Serve(context.Background(), sent, reply)
		}()
		time.Sleep(300 * time.Millisecond)
		machine.Sleep(10 * time.Second)
		g.SetView(view("m"))
		<-done
		if len(upstream.sent) > 0 {
			t.Errorf("sent with %v left, 5 s after its deadline", upstream.left[0])
		}
		if reply.status != 503 {
			t.Errorf("status %d, want 503: it has not run", reply.status)
		}
	})
}

// TestRequestsAfterASleepHaveTheirWholeTime covers requests that arrive after the machine has resumed: their deadlines
// count from their arrival.
func TestRequestsAfterASleepHaveTheirWholeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clock.NewFake()
		machine.Sleep(time.Minute)
		upstream := &scriptedUpstream{answers: []answer{{hang: true}}}
		settings := gateway.Settings{Now: machine.Now, ConnectionShare: func() float64 { return 1 }}
		g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
		g.SetView(view())
		sent, reply, began := request("once"), &recordingReply{}, time.Now()
		sent.Arrived = machine.Now()
		g.Serve(context.Background(), sent, reply)
		if took := time.Since(began); took != 5*time.Second || upstream.left[0] != 5*time.Second {
			t.Errorf("timed out after %v, and the instance had %v, want the route's 5 s", took, upstream.left[0])
		}
	})
}
