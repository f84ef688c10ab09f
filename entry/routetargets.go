package entry

import (
	"maps"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// routeKey is what the requests of a route have in common.
type routeKey struct{ host, pathPrefix string }

// routeTargets holds, for each resumable route, the services that its requests have been sent to and when they last were.
// Only the control duty uses it.
type routeTargets map[routeKey]map[string]time.Time

// update takes in a configuration, and forgets what routes led to longer ago than streams may be taken up.
func (r routeTargets) update(now time.Time, span time.Duration, configuration *fleet.Configuration) {
	current := map[routeKey][]fleet.Target{}
	for i := range configuration.Routes {
		if route := &configuration.Routes[i]; route.Resumable {
			current[routeKey{route.Host, route.PathPrefix}] = route.Targets
		}
	}
	r.inherit(current)
	for key, targets := range current {
		for _, target := range targets {
			r.add(key, target.Service, now)
		}
	}
	for key, services := range r {
		maps.DeleteFunc(services, func(_ string, seenAt time.Time) bool { return now.Sub(seenAt) > span })
		if len(services) == 0 {
			delete(r, key)
		}
	}
}

// inherit hands the services of a route to one that is split off, and those of a route that is gone to the one that takes
// over its requests.
func (r routeTargets) inherit(current map[routeKey][]fleet.Target) {
	for key := range current {
		if _, known := r[key]; known {
			continue
		}
		if parent, found := enclosing(r, key); found {
			r.addAll(key, r[parent])
		}
	}
	for key, services := range r {
		if _, remains := current[key]; remains {
			continue
		}
		if heir, found := enclosing(current, key); found {
			r.addAll(heir, services)
		}
	}
}

// enclosing returns the route with the longest prefix of the key's path, other than the key itself.
func enclosing[T any](routes map[routeKey]T, key routeKey) (longest routeKey, found bool) {
	for other := range routes {
		encloses := other != key && other.host == key.host && strings.HasPrefix(key.pathPrefix, other.pathPrefix)
		if encloses && (!found || len(other.pathPrefix) > len(longest.pathPrefix)) {
			longest, found = other, true
		}
	}
	return longest, found
}

func (r routeTargets) addAll(key routeKey, services map[string]time.Time) {
	for service, seenAt := range maps.Clone(services) {
		r.add(key, service, seenAt)
	}
}

func (r routeTargets) add(key routeKey, service string, seenAt time.Time) {
	if r[key] == nil {
		r[key] = map[string]time.Time{}
	}
	if seenAt.After(r[key][service]) {
		r[key][service] = seenAt
	}
}

// services returns the services, with whether one has had a route together with another.
func (r routeTargets) services() map[string]bool {
	shared := map[string]bool{}
	for _, services := range r {
		for service := range services {
			shared[service] = shared[service] || len(services) > 1
		}
	}
	return shared
}
