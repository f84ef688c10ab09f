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

// listing is a snapshot of the instances that are listed with the model m, and of those without it, from a time on.
type listing struct {
	after         time.Duration
	with, without []string
}

func (l *listing) view() *fleet.View {
	var instances []*fleet.Instance
	for _, id := range l.with {
		instances = append(instances, &fleet.Instance{ID: id, Service: "svc", Slots: 4, Residents: []fleet.Resident{{Model: "m"}}})
	}
	for _, id := range l.without {
		instances = append(instances, &fleet.Instance{ID: id, Service: "svc", Slots: 4})
	}
	return fleet.NewView(configuration(), instances)
}

// show sets the listings of a gateway at their times.
func show(g *gateway.Gateway, listings []listing) {
	g.SetView(listings[0].view())
	for _, later := range listings[1:] {
		time.AfterFunc(later.after, func() { g.SetView(later.view()) })
	}
}

// TestRequestTurnedAwayByAnotherProcessWaits guards against refusals of requests that no instance ran, with most of their time
// left, because the instance listed with their model was another process by then or had unloaded it; and against requests that
// are sent to such an instance over and over.
func TestRequestTurnedAwayByAnotherProcessWaits(t *testing.T) {
	away := answer{status: 421, misdirected: true}
	served := answer{status: 200, body: "id: 2\n\n"}
	cases := []struct {
		name     string
		answers  []answer
		listings []listing
		status   int
		sent     []string
		// earliest is when the final answer may come at the earliest.
		earliest time.Duration
	}{
		{"another one loads it", []answer{away, served}, []listing{{with: []string{"i1"}}, {after: time.Second, with: []string{"i2"}}}, 200, []string{"i1", "i2"}, time.Second},
		{"it loads it again", []answer{away, served}, []listing{
			{with: []string{"i1"}}, {after: time.Second / 2, without: []string{"i1"}}, {after: time.Second, with: []string{"i1"}},
		}, 200, []string{"i1", "i1"}, time.Second},
		{"listed with it all the while", []answer{away, served}, []listing{{with: []string{"i1"}}, {after: time.Second, with: []string{"i1"}}}, 503, []string{"i1"}, 2 * time.Second},
		{"no attempt left", []answer{away, away}, []listing{{with: []string{"i1"}}, {after: time.Second, with: []string{"i1", "i2"}}}, 503, []string{"i1", "i2"}, time.Second},
		{"an instance without room does not make it wait", []answer{{status: 503, declined: true}}, []listing{{with: []string{"i1"}}, {after: time.Second, with: []string{"i2"}}}, 503, []string{"i1"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &scriptedUpstream{answers: c.answers}
				g := newGateway(upstream, &recordingDemand{})
				show(g, c.listings)
				sent := request("resume")
				sent.Model, sent.ResumeAfter = "m", "1"
				reply := &recordingReply{}
				g.Serve(context.Background(), sent, reply)
				var ids []string
				for _, outbound := range upstream.sent {
					if repeated := slices.Contains(ids, outbound.Instance.ID); outbound.Repeated != repeated {
						t.Errorf("sent to %s after %v: repeated %t", outbound.Instance.ID, ids, outbound.Repeated)
					}
					ids = append(ids, outbound.Instance.ID)
				}
				if took := time.Since(sent.Arrived); reply.status != c.status || !slices.Equal(ids, c.sent) || took < c.earliest {
					t.Errorf("status %d as %q after %v, sent to %v", reply.status, reply.reason, took, ids)
				}
			})
		})
	}
}

// TestRequestThatWaitsAfterBeingTurnedAwayHoldsNoRetry guards against requests that wait for their model and keep the retry budget
// from others: the budget has one token, which another request uses meanwhile.
func TestRequestThatWaitsAfterBeingTurnedAwayHoldsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &scriptedUpstream{answers: []answer{{status: 421, misdirected: true}, {status: 503, declined: true}, {status: 200, body: "ok"}}}
		settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
		budgets := retry.NewBudgets(retry.Settings{Floor: 1, Initial: 1})
		g := gateway.New(settings, upstream, balance.NewTracker(), budgets, &recordingDemand{}, discardObserver{})
		show(g, []listing{{with: []string{"i1"}, without: []string{"i2", "i3"}}})
		waits := request("unsafe")
		waits.Model = "m"
		refused := &recordingReply{}
		done := make(chan struct{})
		go func() {
			g.Serve(context.Background(), waits, refused)
			close(done)
		}()
		time.Sleep(500 * time.Millisecond)
		other := &recordingReply{}
		g.Serve(context.Background(), request("unsafe"), other)
		<-done
		if other.status != 200 || refused.status != 503 {
			t.Errorf("status %d of the other request, %d of the one that was turned away", other.status, refused.status)
		}
	})
}
