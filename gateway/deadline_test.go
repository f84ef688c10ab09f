package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/retry"
)

// countingChooser chooses the first instance, and counts its calls.
type countingChooser struct{ calls int }

func (c *countingChooser) Choose(_ context.Context, view *fleet.View, service string, _ *balance.Request) *balance.Candidate {
	c.calls++
	if c.calls > 3 {
		panic("more than 3 choices for one request")
	}
	return &balance.Candidate{Instance: view.Instances(service)[0], Available: true, CandidateCount: 1}
}

// roomyUpstream is an Upstream that has free connections and cannot reach any instance.
type roomyUpstream struct{}

func (roomyUpstream) HasConnection(string, int) bool { return true }

func (roomyUpstream) Send(context.Context, *Outbound) (Response, error) {
	return nil, ErrNotSent.New("not expected")
}

// statusReply is a Reply that stores the status of a refusal.
type statusReply struct{ status int }

func (r *statusReply) Begin(int, []Field, int64) error { return nil }
func (r *statusReply) Write([]byte) error              { return nil }
func (r *statusReply) Abort()                          {}
func (r *statusReply) Refuse(status int, _ Reason, _ time.Duration) {
	r.status = status
}

type nopObserver struct{}

func (nopObserver) Observe(Event) {}

// TestDeadlineThatTheContextDoesNotTellYet guards against a request that chooses an instance over and over because the
// clock has reached the deadline and the context has not.
func TestDeadlineThatTheContextDoesNotTellYet(t *testing.T) {
	chooser, reply := &countingChooser{}, &statusReply{}
	g := New(Settings{ConnectionShare: func() float64 { return 1 }}, roomyUpstream{}, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), nil, nopObserver{})
	g.SetChooser(chooser)
	g.lifetime = drain.NewLifetime()
	configuration := &fleet.Configuration{Version: 1, Services: []fleet.Service{{Name: "svc"}}}
	g.SetView(fleet.NewView(configuration, []*fleet.Instance{{ID: "i", Service: "svc"}}))
	now := time.Now()
	e := &exchange{
		gateway: g, request: &Request{Arrived: now}, reply: reply, route: &fleet.Route{Timeout: time.Second, MaxAttempts: 2},
		service: "svc", deadline: now.Add(-time.Nanosecond), firstEventDeadline: now.Add(time.Second),
	}
	e.run(context.Background())
	if reply.status != statusUnavailable || chooser.calls > 1 {
		t.Errorf("status %d after %d choices", reply.status, chooser.calls)
	}
}
