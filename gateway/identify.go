package gateway

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/tenant"
)

// identify finds the tenant of the request. It returns why the request may not be served, or
// nothing. Sure says that a key that the snapshot knows is valid still; it must have been
// looked at before the snapshot was taken.
func (e *exchange) identify(view *fleet.View, sure bool) Reason {
	required := view.RequiresKeys(e.route)
	caller := view.Tenants().Of(e.request.Key)
	switch {
	case !required && caller == nil:
		return ""
	case !sure && required:
		return ReasonUnsure
	case e.request.Key == tenant.Digest{}:
		return ReasonNoKey
	case caller == nil:
		return ReasonUnknownKey
	}
	e.tenant = caller
	e.priority = e.route.Priority
	if caller.Ranked {
		e.priority = caller.Priority
	}
	return ""
}

// identifyAgain looks at the key once more, just before the request goes to an instance: a
// newer configuration may have taken the key away while the request waited or this process
// stood still. What runs already may go on.
func (e *exchange) identifyAgain() Reason {
	if e.mayHaveRun || e.tenant == nil {
		return ""
	}
	sure := e.gateway.sure(e.gateway.Now())
	return e.identify(e.gateway.view.Load(), sure)
}

// sure reports whether the configuration here is new enough to tell which keys are valid.
func (g *Gateway) sure(now time.Time) bool {
	return g.settings.KeysSure == nil || g.settings.KeysSure(now)
}

// tenantName is the name of the request's tenant, or empty.
func (e *exchange) tenantName() string {
	if e.tenant == nil {
		return ""
	}
	return e.tenant.Name
}

// statusOf is the status of a refusal of a request that has not run.
func statusOf(reason Reason) int {
	switch reason {
	case ReasonNoKey, ReasonUnknownKey:
		return statusUnauthorized
	case ReasonQuota:
		return statusTooManyRequests
	default:
		return statusUnavailable
	}
}
