// Package tenant tells which tenant of the deployment a request belongs to, by the API key
// that it carries. Keys are kept as digests only: neither a snapshot of this daemon's memory
// nor a message to another daemon shows a key that would be accepted.
package tenant

import (
	"crypto/sha256"

	"github.com/wheatweir/wheatweir/quota"
)

// Tenant is one customer of the deployment.
type Tenant struct {
	Name string `msgpack:"n"`
	// Keys are the digests of the keys that belong to the tenant.
	Keys []Digest `msgpack:"k,omitempty"`
	// Ranked says that Priority takes precedence over that of a request's route.
	Ranked bool `msgpack:"r,omitempty"`
	// Priority is the rank of the tenant's requests; zero is the highest.
	Priority int `msgpack:"p,omitempty"`
	// Limit bounds what the tenant may use over all daemons.
	Limit Limit `msgpack:"l"`
}

// Limit bounds the use of one tenant.
type Limit struct {
	// PerSecond is the rate, in units; zero means that there is no limit.
	PerSecond float64 `msgpack:"s,omitempty"`
	// Burst is how many units more may be used at once after a rest.
	Burst float64 `msgpack:"b,omitempty"`
	// Tokens says that a unit is one token; otherwise it is one request.
	Tokens bool `msgpack:"t,omitempty"`
	// PlainTokens is what a request counts that does not say its number of tokens.
	PlainTokens float64 `msgpack:"p,omitempty"`
}

// Limited reports whether there is a limit at all.
func (l *Limit) Limited() bool { return l.PerSecond > 0 }

// Rate is what the tenant may use in its units.
func (l *Limit) Rate() quota.Limit { return quota.Limit{PerSecond: l.PerSecond, Burst: l.Burst} }

// Cost is what one request counts, in units. Tokens are those of the prompt and the most that
// the answer may have; told says that the request named them.
func (l *Limit) Cost(promptTokens, outputTokens int, told bool) float64 {
	switch {
	case !l.Tokens:
		return 1
	case told:
		return float64(promptTokens) + float64(outputTokens)
	default:
		return l.PlainTokens
	}
}

// Digest stands for a key. The zero value stands for none.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key; that of the empty key is the zero value.
func DigestOf(key string) Digest {
	if key == "" {
		return Digest{}
	}
	return sha256.Sum256([]byte(key))
}

// Table finds the tenant of a key. It is immutable; the zero value and nil know no tenant.
type Table struct {
	byKey   map[Digest]*Tenant
	byName  map[string]*Tenant
	limited []string
	// shared are the names of tenants that list a key of an earlier one.
	shared []string
}

// NewTable returns the table of a list of tenants, which must not change afterwards. A key that
// several of them list belongs to the first, so that a mistake in one tenant's entry takes
// nothing from another.
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

// Of returns the tenant that holds a key, or nil.
func (t *Table) Of(key Digest) *Tenant {
	if t == nil {
		return nil
	}
	return t.byKey[key]
}

// Named returns the tenant with a name, or nil.
func (t *Table) Named(name string) *Tenant {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Any reports whether there is a tenant at all.
func (t *Table) Any() bool { return t != nil && len(t.byName) > 0 }

// Rate returns the limit of the tenant with a name, if there is such a tenant.
func (t *Table) Rate(name string) (limit quota.Limit, known bool) {
	found := t.Named(name)
	if found == nil {
		return quota.Limit{}, false
	}
	return found.Limit.Rate(), true
}

// Limited returns the names of the tenants that have a limit, in the order of the list.
func (t *Table) Limited() []string {
	if t == nil {
		return nil
	}
	return t.limited
}

// Shared returns the names of tenants that list a key of an earlier one.
func (t *Table) Shared() []string {
	if t == nil {
		return nil
	}
	return t.shared
}
