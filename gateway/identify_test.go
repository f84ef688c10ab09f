package gateway_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/tenant"
)

const goodKey = "a key of acme"

// keyedConfiguration has two tenants: acme, with a priority of its own and a limit, and plain, with neither. Its routes
// require keys, except for the public route open.
func keyedConfiguration(version uint64, keys ...string) *fleet.Configuration {
	config := configuration()
	config.Version, config.RequiresKeys = version, true
	acme := tenant.Tenant{Name: "acme", Ranked: true, Priority: 3, Limit: tenant.Limit{PerSecond: 100, Tokens: true, PlainTokens: 7}}
	for _, key := range keys {
		acme.Keys = append(acme.Keys, tenant.DigestOf(key))
	}
	config.Tenants = []tenant.Tenant{acme, {Name: "plain", Keys: []tenant.Digest{tenant.DigestOf("a key of plain")}}}
	open := config.Routes[0]
	open.Name, open.PathPrefix, open.Public = "open", "/open/", true
	config.Routes = append(config.Routes, open)
	return config
}

func keyedView(version uint64, keys ...string) *fleet.View {
	return fleet.NewView(keyedConfiguration(version, keys...), view().Instances("svc"))
}

// recordingQuotas is a gateway.Quotas with a fixed answer that records the calls.
type recordingQuotas struct {
	answer   gateway.Allowance
	taken    []float64
	returned []float64
}

func (l *recordingQuotas) Take(_ context.Context, use gateway.QuotaCharge) gateway.Allowance {
	l.taken = append(l.taken, use.Cost)
	return l.answer
}

func (l *recordingQuotas) Refund(use gateway.QuotaCharge) { l.returned = append(l.returned, use.Cost) }

func keyedGateway(upstream gateway.Upstream, sure func(time.Time) bool, quotas gateway.Quotas) *gateway.Gateway {
	settings := gateway.Settings{
		RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, KeysCurrent: sure, Quotas: quotas,
	}
	g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
	g.SetView(keyedView(1, goodKey))
	return g
}

func keyedRequest(route, key string) *gateway.Request {
	sent := request(route)
	sent.Key = tenant.DigestOf(key)
	return sent
}

func TestKeysDecide(t *testing.T) {
	cases := []struct {
		name, route, key string
		unsure           bool
		status           int
		reason           gateway.Reason
		tenant           string
		priority         int
	}{
		{name: "a key", route: "unsafe", key: goodKey, status: 200, tenant: "acme", priority: 3},
		{name: "a tenant without a priority", route: "unsafe", key: "a key of plain", status: 200, tenant: "plain"},
		{name: "no key", route: "unsafe", status: 401, reason: gateway.ReasonNoKey},
		{name: "an unknown key", route: "unsafe", key: "x", status: 401, reason: gateway.ReasonUnknownKey},
		{name: "a missing route is reported before a missing key", route: "nowhere", status: 404, reason: gateway.ReasonNoRoute},
		{name: "a public route without a key", route: "open", status: 200},
		{name: "a public route with an unknown key", route: "open", key: "x", status: 200},
		{name: "a public route with a key", route: "open", key: goodKey, status: 200, tenant: "acme", priority: 3},
		{name: "an old configuration", route: "unsafe", key: goodKey, unsure: true, status: 503, reason: gateway.ReasonConfigurationUnsure},
		{name: "a key that is not in an old configuration", route: "unsafe", key: "x", unsure: true, status: 503, reason: gateway.ReasonConfigurationUnsure},
		{name: "an old configuration and a public route", route: "open", unsure: true, status: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream, got := &scriptedUpstream{}, &recordingReply{}
			keyedGateway(upstream, func(time.Time) bool { return !c.unsure }, nil).Serve(context.Background(), keyedRequest(c.route, c.key), got)
			if got.status != c.status || got.reason != c.reason {
				t.Fatalf("status %d %q, want %d %q", got.status, got.reason, c.status, c.reason)
			}
			if c.status != 200 {
				if len(upstream.sent) > 0 {
					t.Error("the rejected request was sent")
				}
				return
			}
			if sent := upstream.sent[0]; sent.Tenant != c.tenant || sent.Priority != c.priority {
				t.Errorf("sent for tenant %q at priority %d, want %q %d", sent.Tenant, sent.Priority, c.tenant, c.priority)
			}
		})
	}
}

// TestKeyIsLookedAtAgainAfterAWait guards against a request that is sent although its key was revoked while it waited
// for a model, or although the configuration became too old to decide about keys.
func TestKeyIsLookedAtAgainAfterAWait(t *testing.T) {
	cases := []struct {
		name   string
		change func(g *gateway.Gateway, sure *atomic.Bool)
		status int
	}{
		{"the key is revoked", func(g *gateway.Gateway, _ *atomic.Bool) { g.SetView(withModel(keyedView(2, "another"), "m")) }, 401},
		{"the configuration becomes too old", func(g *gateway.Gateway, sure *atomic.Bool) {
			sure.Store(false)
			g.SetView(withModel(keyedView(1, goodKey), "m"))
		}, 503},
		{"nothing changes but the model", func(g *gateway.Gateway, _ *atomic.Bool) { g.SetView(withModel(keyedView(2, goodKey), "m")) }, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream, got, sure := &scriptedUpstream{}, &recordingReply{}, &atomic.Bool{}
				sure.Store(true)
				g := keyedGateway(upstream, func(time.Time) bool { return sure.Load() }, nil)
				sent := keyedRequest("stream", goodKey)
				sent.Model = "m"
				ended := serveAsync(g, sent, got)
				time.Sleep(300 * time.Millisecond)
				c.change(g, sure)
				<-ended
				if got.status != c.status {
					t.Errorf("status %d, want %d", got.status, c.status)
				}
				if c.status != 200 && len(upstream.sent) > 0 {
					t.Error("the rejected request was sent")
				}
			})
		})
	}
}

// serveAsync starts to serve a request and returns a channel that is closed at its end.
func serveAsync(g *gateway.Gateway, sent *gateway.Request, got *recordingReply) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Serve(context.Background(), sent, got)
	}()
	return ended
}

// withModel returns a copy of the view in which all instances have the model.
func withModel(view *fleet.View, model string) *fleet.View {
	var changed []*fleet.Instance
	for _, instance := range view.Instances("svc") {
		copied := *instance
		copied.Residents = []fleet.Resident{{Model: model}}
		changed = append(changed, &copied)
	}
	return view.WithInstances(changed, nil)
}

func TestQuotasDecide(t *testing.T) {
	cases := []struct {
		name     string
		answer   gateway.Allowance
		answers  []answer
		tokens   bool
		status   int
		taken    []float64
		returned []float64
	}{
		{"granted", gateway.Allowance{Granted: true}, nil, true, 200, []float64{110}, nil},
		{"a request without token counts", gateway.Allowance{Granted: true}, nil, false, 200, []float64{7}, nil},
		{"used up", gateway.Allowance{RetryAfter: time.Second}, nil, true, 429, []float64{110}, nil},
		{"unknown", gateway.Allowance{Unsure: true}, nil, true, 503, []float64{110}, nil},
		{"declined by the instance", gateway.Allowance{Granted: true}, []answer{{status: 503, declined: true}}, true, 503, []float64{110}, []float64{110}},
		{"failed by the instance", gateway.Allowance{Granted: true}, []answer{{err: gateway.ErrUnknown.New("reset")}}, true, 502, []float64{110}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			quotas, got := &recordingQuotas{answer: c.answer}, &recordingReply{}
			sent := keyedRequest("once", goodKey)
			if c.tokens {
				sent.PromptTokens, sent.OutputTokens, sent.TokensDeclared = 100, 10, true
			}
			keyedGateway(&scriptedUpstream{answers: c.answers}, nil, quotas).Serve(context.Background(), sent, got)
			if got.status != c.status || !slices.Equal(quotas.taken, c.taken) || !slices.Equal(quotas.returned, c.returned) {
				t.Errorf("status %d, taken %v, returned %v, want %d %v %v", got.status, quotas.taken, quotas.returned, c.status, c.taken, c.returned)
			}
			if c.status == 429 && got.retryAfter <= 0 {
				t.Error("status 429 without a retry delay")
			}
		})
	}
}

// TestEachRunIsPaidFor guards against a second run of a request that is not charged to the limit.
func TestEachRunIsPaidFor(t *testing.T) {
	quotas, got := &recordingQuotas{answer: gateway.Allowance{Granted: true}}, &recordingReply{}
	upstream := &scriptedUpstream{answers: []answer{{status: 500}, {status: 200, body: "ok"}}}
	keyedGateway(upstream, nil, quotas).Serve(context.Background(), keyedRequest("safe", goodKey), got)
	if got.status != 200 || !slices.Equal(quotas.taken, []float64{7, 7}) || len(quotas.returned) > 0 {
		t.Errorf("status %d, taken %v, returned %v", got.status, quotas.taken, quotas.returned)
	}
}

// TestOldAllowanceIsTakenAnew guards against an expired allowance that is used after a long wait for a model. Many
// waiting requests could otherwise run together, in addition to those allowed in the meantime.
func TestOldAllowanceIsTakenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quotas, got := &recordingQuotas{answer: gateway.Allowance{Granted: true}}, &recordingReply{}
		g := keyedGateway(&scriptedUpstream{}, nil, quotas)
		sent := keyedRequest("stream", goodKey)
		sent.Model = "m"
		ended := serveAsync(g, sent, got)
		time.Sleep(time.Second)
		g.SetView(withModel(keyedView(2, goodKey), "m"))
		<-ended
		if got.status != 200 || !slices.Equal(quotas.taken, []float64{7, 7}) || len(quotas.returned) > 0 {
			t.Errorf("status %d, taken %v, returned %v", got.status, quotas.taken, quotas.returned)
		}
	})
}
