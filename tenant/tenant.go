// Package tenant determines which tenant of the deployment a request belongs to, by the API
// key that it carries. Keys are stored as digests only, so neither a snapshot of this daemon's
// memory nor a message to another daemon discloses a valid key.
package tenant

import (
	"crypto/sha256"

	"github.com/wheatweir/wheatweir/quota"
)

// Tenant is one customer of the deployment.
type Tenant struct {
	Name string `msgpack:"n"`
	// Keys are the digests of the tenant's API keys.
	Keys []Digest `msgpack:"k,omitempty"`
	// Ranked reports whether Priority takes precedence over the priority of a request's route.
	Ranked bool `msgpack:"r,omitempty"`
	// Priority is the priority of the tenant's requests; zero is the highest.
	Priority int `msgpack:"p,omitempty"`
	// Limit bounds the tenant's use across all daemons.
	Limit Limit `msgpack:"l"`
}

// Limit bounds the use of one tenant.
type Limit struct {
	// PerSecond is the rate in units per second; zero means no limit.
	PerSecond float64 `msgpack:"s,omitempty"`
	// Burst is how many additional units may be used at once after an idle period.
	Burst float64 `msgpack:"b,omitempty"`
	// Tokens sets the unit to one token; otherwise it is one request.
	Tokens bool `msgpack:"t,omitempty"`
	// PlainTokens is the cost of a request that does not state its number of tokens.
	PlainTokens float64 `msgpack:"p,omitempty"`
}

// Limited reports whether a limit is set.
func (l *Limit) Limited() bool { return l.PerSecond > 0 }

// Rate returns the limit as a quota, in the tenant's units.
func (l *Limit) Rate() quota.Limit { return quota.Limit{PerSecond: l.PerSecond, Burst: l.Burst} }

// Cost returns the cost of one request, in units. The token counts are the size of the prompt
// and the maximum size of the output; tokensKnown is set if the request stated them.
func (l *Limit) Cost(promptTokens, outputTokens int, tokensKnown bool) float64 {
	switch {
	case !l.Tokens:
		return 1
	case tokensKnown:
		return float64(promptTokens) + float64(outputTokens)
	default:
		return l.PlainTokens
	}
}

// Digest is the SHA-256 digest of a key. The zero value means no key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key; that of the empty key is the zero value.
func DigestOf(key string) Digest {
	if key == "" {
		return Digest{}
	}
	return sha256.Sum256([]byte(key))
}

// Table maps keys and names to tenants. It is immutable; the zero value and nil are empty.
type Table struct {
	byKey   map[Digest]*Tenant
	byName  map[string]*Tenant
	limited []string
	// shared holds the names of tenants that list a key of an earlier tenant.
	shared []string
}

// NewTable returns a table of the given tenants, which must not change afterwards. A key that
// several tenants list belongs to the first, so that a mistake in a later tenant's entry does
// not take a key from an earlier tenant.
func NewTable(tenants []Tenant) *Table {
	table := &Table{byKey: map[Digest]*Tenant{}, byName: map[string]*Tenant{}}
	for i := range tenants {
		table.add(&tenants[i])
	}
	return table
}

func (t *Table) add(tenant *Tenant) {
	t.byName[tenant.Name] = tenant
	if tenant.Limit.Limited() {
		t.limited = append(t.limited, tenant.Name)
	}
	clash := false
	for _, key := range tenant.Keys {
		owner, taken := t.byKey[key]
		switch {
		case key == Digest{}:
		case !taken:
			t.byKey[key] = tenant
		case owner != tenant:
			clash = true
		}
	}
	if clash {
		t.shared = append(t.shared, tenant.Name)
	}
}

// ByKey returns the tenant that owns a key, or nil.
func (t *Table) ByKey(key Digest) *Tenant {
	if t == nil {
		return nil
	}
	return t.byKey[key]
}

// ByName returns the tenant with the given name, or nil.
func (t *Table) ByName(name string) *Tenant {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// HasTenants reports whether the table has any tenants.
func (t *Table) HasTenants() bool { return t != nil && len(t.byName) > 0 }

// Rate returns the limit of the tenant with the given name, if there is one.
func (t *Table) Rate(name string) (limit quota.Limit, known bool) {
	found := t.ByName(name)
	if found == nil {
		return quota.Limit{}, false
	}
	return found.Limit.Rate(), true
}

// Limited returns the names of the tenants that have a limit, in the order given to NewTable.
func (t *Table) Limited() []string {
	if t == nil {
		return nil
	}
	return t.limited
}

// Shared returns the names of tenants that list a key of an earlier tenant.
func (t *Table) Shared() []string {
	if t == nil {
		return nil
	}
	return t.shared
}
