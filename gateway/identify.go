package gateway

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/tenant"
)

// identify determines the tenant of the request. It returns the reason why the request may not be served, or
// an empty one. The parameter sure says that the configuration is recent enough for its keys to be still valid. It must
// have been determined before the view was loaded.
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

// identifyAgain checks the key again just before the request is sent to an instance: a
// newer configuration may have revoked the key while the request waited or this process
// was suspended. A request that may already have run is not affected.
func (e *exchange) identifyAgain() Reason {
	if e.mayHaveRun || e.tenant == nil {
		return ""
	}
	sure := e.gateway.sure(e.gateway.Now())
	return e.identify(e.gateway.view.Load(), sure)
}

// sure reports whether the local configuration is recent enough to decide which keys are valid.
func (g *Gateway) sure(now time.Time) bool {
	return g.settings.KeysSure == nil || g.settings.KeysSure(now)
}

// tenantName returns the name of the request's tenant, or the empty string.
func (e *exchange) tenantName() string {
	if e.tenant == nil {
		return ""
	}
	return e.tenant.Name
}

// statusOf returns the HTTP status for rejecting a request that has not run.
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
