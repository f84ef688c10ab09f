package entry

import (
	"context"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/limiter"
)

// quotas hands the gateway's questions to a limiter. It implements gateway.Quotas.
type quotas struct{ *limiter.Limiter }

func newQuotas(d *Daemon) quotas {
	return quotas{limiter.New(limiter.Ports{
		Self:    d.current().Name,
		Now:     d.clock.Now,
		Address: func(name string) (string, bool) { return d.fleet.peerAddresses.Load().of(name) },
		Send: func(address string, message *limiter.Message) {
			d.peers.Send(address, coordination.Message{From: d.current().Name, TenantLimit: message})
		},
		Subjects: func() limiter.Subjects { return d.gateway.View().Tenants() },
		Log:      func(text string, fields ...any) { d.log.add("quota", text, fields...) },
	})}
}

// Take implements gateway.Quotas.
func (q quotas) Take(ctx context.Context, use gateway.Use) gateway.Allowance {
	outcome := q.Limiter.Take(ctx, requestOf(use))
	return gateway.Allowance{Granted: outcome.Granted, Unsure: outcome.Unsure, RetryAfter: outcome.Wait}
}

// Return implements gateway.Quotas.
func (q quotas) Return(use gateway.Use) { q.Limiter.Return(requestOf(use)) }

func requestOf(use gateway.Use) limiter.Request {
	return limiter.Request{Subject: use.Tenant.Name, Limit: use.Tenant.Limit.Rate(), Cost: use.Cost}
}
