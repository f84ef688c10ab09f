package gateway

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/tenant"
)

// QuotaCharge is the amount of its tenant's limit that one run of a request consumes.
type QuotaCharge struct {
	Tenant *tenant.Tenant
	Cost   float64
}

// Allowance is the result of Quotas.Take.
type Allowance struct {
	Granted bool
	// Unsure says that it could not be determined whether the limit is used up.
	Unsure bool
	// RetryAfter is the time until some of the limit is available again, if it is used up.
	RetryAfter time.Duration
}

// Quotas enforces the limits of tenants. It must be safe for concurrent use.
type Quotas interface {
	Take(ctx context.Context, use QuotaCharge) Allowance
	// Refund returns an amount that was taken a moment ago and is not used.
	Refund(use QuotaCharge)
}

// acquireAllowance charges the next run of the request to its tenant's limit, unless the request holds a valid
// allowance already. It returns the reason why the request may not run, or an empty one.
func (e *exchange) acquireAllowance(ctx context.Context) Reason {
	quotas := e.gateway.settings.Quotas
	if quotas == nil || e.tenant == nil || !e.tenant.Limit.Limited() {
		return ""
	}
	if !e.allowedAt.IsZero() && e.since(e.allowedAt) < quota.GrantTTL {
		return ""
	}
	e.allowedAt = time.Time{}
	e.use = QuotaCharge{Tenant: e.tenant, Cost: e.tenant.Limit.Cost(e.request.PromptTokens, e.request.OutputTokens, e.request.TokensDeclared)}
	allowance := quotas.Take(ctx, e.use)
	switch {
	case allowance.Granted:
		e.allowedAt = e.gateway.Now()
		return ""
	case allowance.Unsure:
		return ReasonQuotaUnsure
	default:
		e.quotaRetryAfter = allowance.RetryAfter
		return ReasonQuota
	}
}

// refundAllowance refunds an allowance that no run has used. An allowance older than
// quota.GrantTTL has expired and is not refunded: a request that used the amount now would exceed the limit, since
// other requests have been allowed in the meantime.
func (e *exchange) refundAllowance() {
	if e.allowedAt.IsZero() || e.since(e.allowedAt) >= quota.GrantTTL {
		return
	}
	e.allowedAt = time.Time{}
	e.gateway.settings.Quotas.Refund(e.use)
}

// refundIfExpiring refunds an allowance that would expire during a pause. The request takes a new one when it
// is sent, so that its tenant is charged only once.
func (e *exchange) refundIfExpiring(pause time.Duration) {
	if !e.allowedAt.IsZero() && e.since(e.allowedAt)+pause >= quota.GrantTTL {
		e.refundAllowance()
	}
}
