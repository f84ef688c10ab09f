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
	caller := view.Tenants().ByKey(e.request.Key)
	switch {
	case !required && caller == nil:
		return ""
	case !sure && required:
		return ReasonConfigurationUnsure
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

// recheckKey checks the key again just before the request is sent to an instance: a
// newer configuration may have revoked the key while the request waited or this process
// was suspended. A request that may already have run is not affected.
func (e *exchange) recheckKey() Reason {
	if e.mayHaveRun || e.tenant == nil {
		return ""
	}
	keysCurrent := e.gateway.keysCurrent(e.gateway.Now())
	return e.identify(e.gateway.view.Load(), keysCurrent)
}

// keysCurrent reports whether the local configuration is recent enough to decide which keys are valid.
func (g *Gateway) keysCurrent(now time.Time) bool {
	return g.settings.KeysCurrent == nil || g.settings.KeysCurrent(now)
}

// tenantName returns the name of the request's tenant, or the empty string.
func (e *exchange) tenantName() string {
	if e.tenant == nil {
		return ""
	}
	return e.tenant.Name
}

// refusalStatus returns the HTTP status for rejecting a request that has not run.
func refusalStatus(reason Reason) int {
	switch reason {
	case ReasonNoKey, ReasonUnknownKey:
		return statusUnauthorized
	case ReasonQuota:
		return statusTooManyRequests
	default:
		return statusUnavailable
	}
}
