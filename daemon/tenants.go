package daemon

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/operator"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/tenant"
)

// unsureRetry is when to come back to a daemon that cannot tell whether a limit is used up.
const unsureRetry = 500 * time.Millisecond

func (d *Daemon) newLimiter() *limiter.Limiter {
	return limiter.New(limiter.Ports{
		Self: d.settings.Daemon.Name,
		Address: func(name string) (string, bool) {
			address, known := (*d.peerAddresses.Load())[name]
			return address, known
		},
		Send: func(address string, message *limiter.Message) {
			d.transport.Send(address, control.Message{From: d.transport.Address(), Sender: d.settings.Daemon.Name, Limit: message})
		},
		Subjects: func() limiter.Subjects { return d.tenants.Load() },
		Log:      func(text string, fields ...any) { d.logger.Info(text, append([]any{"part", "quota"}, fields...)...) },
	})
}

// publishTenants hands the tenants and the daemons of now to the request path.
func (d *Daemon) publishTenants(now time.Time) {
	var typed []tenant.Tenant
	for _, entry := range d.node.TenantObjects() {
		typed = append(typed, entry.Value.Typed())
	}
	d.tenants.Store(tenant.NewTable(typed))
	members := d.node.Members()
	addresses := make(map[string]string, len(members))
	for _, known := range members {
		addresses[known.Name] = known.PeerAddress
	}
	d.peerAddresses.Store(&addresses)
	d.publishFleet(now)
	d.limiter.SubjectsChanged(now)
}

// fleetRefresh is how often limits are shared anew without any news: a daemon that has just started
// finds so that its fleet has formed.
const fleetRefresh = 250 * time.Millisecond

// publishFleet hands the daemons of now to those who share out limits.
func (d *Daemon) publishFleet(now time.Time) {
	d.fleetAt = now
	fleet := d.discovery.Fleet(now, d.settings.Daemon.Name, d.node.Members(), d.otherSeeds())
	d.limiter.SetFleet(now, fleet)
}

// otherSeeds is the number of other daemons to join through.
func (d *Daemon) otherSeeds() int {
	count := 0
	for _, seed := range d.settings.Daemon.Seeds {
		if seed != d.transport.Address() {
			count++
		}
	}
	return count
}

// admitTenant finds the tenant of a call and takes what the call uses of its limit. The result is
// a refusal if the call may not be served. Giving back ends a call that did not run.
func (d *Daemon) admitTenant(ctx context.Context, call *caller.Call) (giveBack func(), refusal outcome.Result, admitted bool) {
	tenants := d.tenants.Load()
	if !tenants.HasTenants() {
		return func() {}, outcome.Result{}, true
	}
	known := tenants.ByKey(call.TenantKey)
	if known == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownTenant, 0), false
	}
	call.Tenant = known.Name
	if known.Ranked {
		call.Priority = api.Priority(known.Priority)
	}
	if !known.Limit.Limited() {
		return func() {}, outcome.Result{}, true
	}
	use := limiter.Request{
		Subject: known.Name, Limit: known.Limit.Rate(), Cost: known.Limit.Cost(call.PromptTokens, call.OutputTokens, call.OutputTokens > 0),
	}
	taken := d.limiter.Take(ctx, use)
	switch {
	case taken.Granted:
		return d.returning(use), outcome.Result{}, true
	case taken.Unsure:
		return nil, outcome.Refuse(outcome.ReasonQuotaUnsure, unsureRetry), false
	default:
		return nil, outcome.Refuse(outcome.ReasonQuota, taken.Wait), false
	}
}

// returning returns what gives back an allowance that was taken now, while that may be.
func (d *Daemon) returning(use limiter.Request) func() {
	takenAt := time.Now()
	return func() {
		if time.Since(takenAt) < quota.GrantTTL {
			d.limiter.Refund(use)
		}
	}
}

// tenantRows lists tenants with the fingerprints of their keys.
func tenantRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"tenant", "priority", "rate", "burst", "unit", "keys", "version"}}
	for _, entry := range node.TenantObjects() {
		known := entry.Value
		priority := "none"
		if known.Priority != nil {
			priority = known.Priority.String()
		}
		unit := known.Unit
		if unit == "" {
			unit = api.UnitRequests
		}
		var keys []string
		for _, key := range known.Keys {
			keys = append(keys, api.Fingerprint(key))
		}
		result.Rows = append(result.Rows, []string{
			known.Name, priority, number(known.PerSecond), number(known.Burst), unit, strings.Join(keys, ","), strconv.FormatUint(entry.Version, 10),
		})
	}
	return result
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
