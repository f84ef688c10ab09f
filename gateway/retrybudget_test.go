package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

// TestEachServicePaysForItsOwnRetries guards against retries at a service whose instances fail that are paid for by the requests
// for another service.
func TestEachServicePaysForItsOwnRetries(t *testing.T) {
	const requests = 50
	made := &fleet.Configuration{Version: 1}
	var instances []*fleet.Instance
	for _, name := range []string{"sound", "failing"} {
		made.Services = append(made.Services, fleet.Service{Name: name})
		made.Routes = append(made.Routes, fleet.Route{
			Name: name, Host: "host", PathPrefix: "/" + name + "/", Kind: fleet.KindSafe, Timeout: 5 * time.Second, MaxAttempts: 2,
			Targets: []fleet.Target{{Service: name, Weight: 1}},
		})
		instances = append(instances, &fleet.Instance{ID: name + "-1", Service: name, Slots: 4}, &fleet.Instance{ID: name + "-2", Service: name, Slots: 4})
	}
	upstream := &scriptedUpstream{}
	settings := gateway.Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
	budgets := retry.NewBudgets(retry.Settings{Share: 0.2, Floor: requests})
	g := gateway.New(settings, upstream, balance.NewTracker(), budgets, &recordingDemand{}, discardObserver{})
	g.SetView(fleet.NewView(made, instances))
	for range requests {
		g.Serve(context.Background(), request("sound"), &recordingReply{})
	}
	before := len(upstream.sent)
	for range requests {
		upstream.answers = []answer{{status: 500}, {status: 500}}
		g.Serve(context.Background(), request("failing"), &recordingReply{})
	}
	// A retry for a fifth of the requests; the sum of the shares may be below it by a rounding.
	if retries := len(upstream.sent) - before - requests; retries < requests/5-1 || retries > requests/5 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
}

// TestRetryThatIsNotSentCostsNothing guards against a request that loses its retry to an instance that could not be reached.
func TestRetryThatIsNotSentCostsNothing(t *testing.T) {
	settings := gateway.Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
	upstream := &scriptedUpstream{}
	budgets := retry.NewBudgets(retry.Settings{Floor: 1, Initial: 1})
	g := gateway.New(settings, upstream, balance.NewTracker(), budgets, &recordingDemand{}, discardObserver{})
	g.SetView(view("m"))
	for number, want := range []int{200, 502} {
		upstream.answers = []answer{{status: 500}, {err: gateway.ErrNotSent.New("refused")}, {status: 200, body: "whole"}}
		reply := &recordingReply{}
		g.Serve(context.Background(), request("safe"), reply)
		if reply.status != want {
			t.Errorf("request %d: status %d (%s), want %d with a single token for both", number, reply.status, reply.reason, want)
		}
	}
}
