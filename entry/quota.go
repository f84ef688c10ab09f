package entry

import (
	"context"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/limiter"
)

// quotas hands the gateway's questions about tenants to a limiter. It implements gateway.Quotas.
type quotas struct{ *limiter.Limiter }

func newQuotas(d *Daemon) quotas {
	ports := d.limiterPorts("quota", func(message *limiter.Message) coordination.Message {
		return coordination.Message{TenantLimit: message}
	})
	ports.Subjects = func() limiter.Subjects { return d.gateway.View().Tenants() }
	return quotas{limiter.New(ports)}
}

// limiterPorts returns what a limiter needs of its daemon, but for the subjects. Wrap makes a message of the
// limiter one between daemons.
func (d *Daemon) limiterPorts(part string, wrap func(message *limiter.Message) coordination.Message) limiter.Ports {
	return limiter.Ports{
		Self:    d.current().Name,
		Now:     d.clock.Now,
		Address: func(name string) (string, bool) { return d.fleet.peerAddresses.Load().of(name) },
		Send: func(address string, message *limiter.Message) {
			wrapped := wrap(message)
			wrapped.From = d.current().Name
			d.peers.Send(address, wrapped)
		},
		Log: func(text string, fields ...any) { d.log.add(part, text, fields...) },
	}
}

// Take implements gateway.Quotas.
func (q quotas) Take(ctx context.Context, use gateway.QuotaCharge) gateway.Allowance {
	outcome := q.Limiter.Take(ctx, requestOf(use))
	return gateway.Allowance{Granted: outcome.Granted, Unsure: outcome.Unsure, RetryAfter: outcome.Wait}
}

// Refund implements gateway.Quotas.
func (q quotas) Refund(use gateway.QuotaCharge) { q.Limiter.Refund(requestOf(use)) }

func requestOf(use gateway.QuotaCharge) limiter.Request {
	return limiter.Request{Subject: use.Tenant.Name, Limit: use.Tenant.Limit.Rate(), Cost: use.Cost}
}
