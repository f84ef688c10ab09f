package gateway_test

import (
	"context"
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

// TestHeldRequestsFollowEachOther guards against queued requests that keep sleeping while a server has room for
// several. Each is woken as soon as the preceding one has been sent.
func TestHeldRequestsFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const held, roomAt = 4, 1010 * time.Millisecond
		tracker := busyTracker(4)
		g := mixedGateway(newBatchServer(held, time.Second), tracker, discardObserver{})
		time.AfterFunc(roomAt, func() { tracker.SetPeer(time.Now(), "peer", nil) })
		begun := time.Now()
		var all sync.WaitGroup
		for range held {
			all.Go(func() {
				got := &recordingReply{}
				g.Serve(context.Background(), mixedRequest("resume", "r"), got)
				if took := got.at.Sub(begun); got.status != 200 || took < roomAt || took > roomAt+maxPollInterval {
					t.Errorf("status %d after %v, room was available after %v", got.status, took, roomAt)
				}
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
	})
}

// recordingChooser chooses by the state of this daemon, and records which requests were marked as yielding.
type recordingChooser struct {
	picker *balance.Picker
	yields []bool
}

func (c *recordingChooser) Choose(_ context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	c.yields = append(c.yields, request.Yields)
	return c.picker.Pick(time.Now(), view.Instances(service), request)
}

// TestDispatcherIsToldWhoYields guards against a dispatcher that counts each check of a waiting request as a request on
// its way to the server. The server would then look full for as long as any request waits for it.
func TestDispatcherIsToldWhoYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := busyTracker(4)
		g, chooser := mixedGateway(&scriptedUpstream{}, tracker, discardObserver{}), &recordingChooser{picker: balance.NewPicker(tracker)}
		g.SetChooser(chooser)
		g.Serve(context.Background(), mixedRequest("resume", "r"), &recordingReply{})
		last := len(chooser.yields) - 1
		for number, yields := range chooser.yields {
			if yields != (number < last) {
				t.Errorf("choice %d of %d: yields %v", number+1, last+1, yields)
			}
		}
		if last < 100 {
			t.Errorf("%d checks in 2.75 s", last+1)
		}
		chooser.yields = nil
		g.Serve(context.Background(), mixedRequest("stream", "r"), &recordingReply{})
		if len(chooser.yields) != 1 || chooser.yields[0] {
			t.Errorf("an urgent request: %v", chooser.yields)
		}
	})
}

// TestHeldRequestIsChargedOnce guards against a tenant that is charged twice: for the allowance that expired during the
// wait and for the allowance of the run.
func TestHeldRequestIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quotas := &recordingQuotas{answer: gateway.Allowance{Granted: true}}
		settings := gateway.Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, Quotas: quotas}
		upstream := &scriptedUpstream{answers: []answer{{status: 200, body: "id: 1\n\n"}}}
		g := gateway.New(settings, upstream, busyTracker(4), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), discardDemand{}, discardObserver{})
		made := mixedConfiguration()
		made.Tenants = keyedConfiguration(1, goodKey).Tenants
		g.SetView(fleet.NewView(made, mixedView(4).Instances("svc")))
		sent, got := mixedRequest("resume", "r"), &recordingReply{}
		sent.Key = tenant.DigestOf(goodKey)
		g.Serve(context.Background(), sent, got)
		if len(quotas.taken)-len(quotas.returned) != 1 || got.status != 200 {
			t.Errorf("status %d, taken %d times, returned %d times", got.status, len(quotas.taken), len(quotas.returned))
		}
	})
}
