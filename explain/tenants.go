package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/wheatweir/wheatweir/gateway"
)

// TenantShare is how the requests of one tenant ended.
type TenantShare struct {
	Tenant   string `json:"tenant"`
	Requests int    `json:"requests"`
	InTime   int    `json:"in_time"`
	// OverLimit counts those that were refused because the tenant had used its limit up.
	OverLimit int `json:"over_limit"`
}

// overLimit is the cause of a refusal above a limit, as lossCause names it.
var overLimit = string(gateway.StepRefused) + " " + string(gateway.ReasonQuota)

// addTenant counts a request for its tenant; requests without one are left out.
func addTenant(shares map[string]*TenantShare, known *attempt) {
	if known.tenant == "" {
		return
	}
	share := shares[known.tenant]
	if share == nil {
		share = &TenantShare{Tenant: known.tenant}
		shares[known.tenant] = share
	}
	share.Requests++
	switch {
	case known.cause == "":
		share.InTime++
	case known.cause == overLimit:
		share.OverLimit++
	}
}

// sortedTenants lists the tenants with the most requests first.
func sortedTenants(shares map[string]*TenantShare) []TenantShare {
	var sorted []TenantShare
	for _, share := range shares {
		sorted = append(sorted, *share)
	}
	slices.SortFunc(sorted, func(a, b TenantShare) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Tenant, b.Tenant))
	})
	return sorted
}

// writeTenants writes a line for each tenant.
func writeTenants(w io.Writer, tenants []TenantShare) error {
	for _, share := range tenants {
		_, err := fmt.Fprintf(w, "tenant %-20s %6d requests, %6d in time, %6d over the limit\n", share.Tenant, share.Requests, share.InTime, share.OverLimit)
		if err != nil {
			return ErrRead.Wrap(err)
		}
	}
	return nil
}
