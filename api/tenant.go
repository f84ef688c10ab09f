package api

import (
	"encoding/hex"
	"strings"

	"github.com/wheatweir/wheatweir/tenant"
)

// KindTenant holds a Tenant, written by operators.
const KindTenant Kind = "tenant"

// Units that a limit of a tenant counts.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// Tenant is the configuration of one tenant, written by operators. As soon as there is one, calls
// need a key.
type Tenant struct {
	Name string `json:"name"`
	// Keys are the digests of its keys, in hexadecimal.
	Keys []string `json:"keys,omitempty"`
	// Priority takes the place of that of models and services, if it is set.
	Priority *Priority `json:"priority,omitempty"`
	// PerSecond and Burst are its limit over all daemons, in units; zero means none.
	PerSecond float64 `json:"per_second,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// Unit is UnitRequests or UnitTokens; empty means requests.
	Unit string `json:"unit,omitempty"`
}

// fingerprintLength is how much of a digest names a key to operators.
const fingerprintLength = 8

// KeyDigest returns the form in which a key is kept.
func KeyDigest(key string) string {
	digest := tenant.DigestOf(key)
	return hex.EncodeToString(digest[:])
}

// Fingerprint names a kept key.
func Fingerprint(digest string) string { return digest[:min(len(digest), fingerprintLength)] }

// Validate checks what an operator may write.
func (t *Tenant) Validate() error {
	if t.Name == "" || strings.ContainsAny(t.Name, "/@+: ") {
		return ErrInvalid.New("tenant name %q: use letters, digits, '-', '_' and '.'", t.Name)
	}
	if t.PerSecond < 0 || t.Burst < 0 {
		return ErrInvalid.New("tenant %s: rate %g and burst %g: must not be below zero", t.Name, t.PerSecond, t.Burst)
	}
	if t.Burst > 0 && t.PerSecond == 0 {
		return ErrInvalid.New("tenant %s: a burst needs a rate", t.Name)
	}
	if t.Unit != "" && t.Unit != UnitRequests && t.Unit != UnitTokens {
		return ErrInvalid.New("tenant %s: unit %q: use %s or %s", t.Name, t.Unit, UnitRequests, UnitTokens)
	}
	return nil
}

// plainTokens is what a call counts that does not say how many tokens it may take.
const plainTokens = 200

// Typed returns the tenant as limits and keys are looked up. Keys that cannot be read are left out.
func (t *Tenant) Typed() tenant.Tenant {
	typed := tenant.Tenant{Name: t.Name, Limit: tenant.Limit{
		PerSecond: t.PerSecond, Burst: t.Burst, Tokens: t.Unit == UnitTokens, PlainTokens: plainTokens,
	}}
	if t.Priority != nil {
		typed.Ranked, typed.Priority = true, int(*t.Priority)
	}
	for _, key := range t.Keys {
		var digest tenant.Digest
		if count, err := hex.Decode(digest[:], []byte(key)); err == nil && count == len(digest) {
			typed.Keys = append(typed.Keys, digest)
		}
	}
	return typed
}
