package operator

import (
	"context"
	"crypto/rand"
	"slices"
	"strconv"
	"strings"

	"github.com/wheatweir/wheatweir/api"
)

// CreateTenant makes a tenant without keys.
type CreateTenant struct {
	Name     string `parser:"@Word"`
	Priority string `parser:"('priority' @Word)?"`
	Rate     string `parser:"('rate' @Word)?"`
	Burst    string `parser:"('burst' @Word)?"`
	Unit     string `parser:"('unit' @Word)?"`
}

// CreateKey makes a key for a tenant. It is shown once and nowhere kept.
type CreateKey struct {
	Tenant string `parser:"'for' @Word"`
}

// SetTenant changes one property of a tenant.
type SetTenant struct {
	Name     string `parser:"@Word"`
	Property string `parser:"@('priority'|'rate'|'burst'|'unit')"`
	Value    string `parser:"@Word"`
	Version  count  `parser:"('if' 'version' @Word)?"`
}

// DeleteKey takes a key away, by the fingerprint that show tenants gives.
type DeleteKey struct {
	Fingerprint string `parser:"@Word"`
	Tenant      string `parser:"'of' @Word"`
}

func (e *Executor) createTenant(ctx context.Context, command *CreateTenant) (*Result, error) {
	made := api.Tenant{Name: command.Name}
	for property, value := range map[string]string{
		"priority": command.Priority, "rate": command.Rate, "burst": command.Burst, "unit": command.Unit,
	} {
		if value == "" {
			continue
		}
		if err := setTenantProperty(&made, property, value); err != nil {
			return nil, err
		}
	}
	if err := made.Validate(); err != nil {
		return nil, ErrRefused.Wrap(err)
	}
	key := api.Key{Kind: api.KindTenant, Name: command.Name}
	object, err := change(ctx, e, key, 0, func(value *api.Tenant, exists bool) error {
		if exists {
			return ErrRefused.New("tenant %s exists already", command.Name)
		}
		*value = made
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "tenant %s is created; calls need a key from now on", command.Name), nil
}

// noPriority ends a tenant's own rank.
const noPriority = "none"

func setTenantProperty(value *api.Tenant, property, text string) error {
	switch property {
	case "priority":
		if text == noPriority {
			value.Priority = nil
			return nil
		}
		priority, err := api.ParsePriority(text)
		if err != nil {
			return ErrRefused.New("%v, or %s", err, noPriority)
		}
		value.Priority = &priority
	case "unit":
		value.Unit = text
	default:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return ErrRefused.New("%s %q: give a number", property, text)
		}
		if property == "rate" {
			value.PerSecond = number
		} else {
			value.Burst = number
		}
	}
	return nil
}

func (e *Executor) changeTenant(ctx context.Context, name string, ifVersion uint64, mutate func(*api.Tenant) error) (api.Object, error) {
	key := api.Key{Kind: api.KindTenant, Name: name}
	return change(ctx, e, key, ifVersion, func(value *api.Tenant, exists bool) error {
		if !exists {
			return e.unknown(api.KindTenant, "tenant", name)
		}
		if err := mutate(value); err != nil {
			return err
		}
		return ErrRefused.Wrap(value.Validate())
	})
}

func (e *Executor) setTenant(ctx context.Context, command *SetTenant) (*Result, error) {
	object, err := e.changeTenant(ctx, command.Name, uint64(command.Version), func(value *api.Tenant) error {
		return setTenantProperty(value, command.Property, command.Value)
	})
	if err != nil {
		return nil, err
	}
	return done(object, "tenant %s: %s is now %s", command.Name, command.Property, command.Value), nil
}

func (e *Executor) createKey(ctx context.Context, command *CreateKey) (*Result, error) {
	key := rand.Text()
	digest := api.KeyDigest(key)
	object, err := e.changeTenant(ctx, command.Tenant, 0, func(value *api.Tenant) error {
		value.Keys = append(value.Keys, digest)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "tenant %s has a new key, shown only now: %s; its fingerprint is %s", command.Tenant, key, api.Fingerprint(digest)), nil
}

func (e *Executor) deleteKey(ctx context.Context, command *DeleteKey) (*Result, error) {
	object, err := e.changeTenant(ctx, command.Tenant, 0, func(value *api.Tenant) error {
		matches := func(digest string) bool { return strings.HasPrefix(digest, command.Fingerprint) }
		first := slices.IndexFunc(value.Keys, matches)
		if first < 0 {
			return ErrRefused.New("tenant %s has no key %s", command.Tenant, command.Fingerprint)
		}
		if slices.IndexFunc(value.Keys[first+1:], matches) >= 0 {
			return ErrRefused.New("several keys of tenant %s begin with %s; give more of the fingerprint", command.Tenant, command.Fingerprint)
		}
		value.Keys = slices.Delete(value.Keys, first, first+1)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "key %s of tenant %s is deleted", command.Fingerprint, command.Tenant), nil
}
