package entry

import (
	"maps"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// TestRouteTargetsShareRoutes guards against taking a service for the only one that a stream may have begun at, after its route
// was moved, split or joined.
func TestRouteTargetsShareRoutes(t *testing.T) {
	const span = 30 * time.Second
	route := func(prefix string, services ...string) fleet.Route {
		r := fleet.Route{Host: "h", PathPrefix: prefix, Resumable: true}
		for _, service := range services {
			r.Targets = append(r.Targets, fleet.Target{Service: service, Weight: 1})
		}
		return r
	}
	cases := []struct {
		name          string
		before, after []fleet.Route
		shared        map[string]bool
	}{
		{"unchanged", []fleet.Route{route("/a/", "x")}, []fleet.Route{route("/a/", "x")}, map[string]bool{"x": false}},
		{"two services", []fleet.Route{route("/a/", "x", "y")}, []fleet.Route{route("/a/", "x", "y")}, map[string]bool{"x": true, "y": true}},
		{"moved", []fleet.Route{route("/a/", "x")}, []fleet.Route{route("/a/", "y")}, map[string]bool{"x": true, "y": true}},
		{"split", []fleet.Route{route("/a/", "x")}, []fleet.Route{route("/a/", "x"), route("/a/b/", "y")}, map[string]bool{"x": true, "y": true}},
		{"joined", []fleet.Route{route("/a/", "x"), route("/a/b/", "y")}, []fleet.Route{route("/a/", "x")}, map[string]bool{"x": true, "y": true}},
		{"nested for long", []fleet.Route{route("/a/", "x"), route("/a/b/", "y")}, []fleet.Route{route("/a/", "x"), route("/a/b/", "y")}, map[string]bool{"x": false, "y": false}},
		{"another host's", []fleet.Route{route("/a/", "x")}, []fleet.Route{route("/a/", "x"), {Host: "g", PathPrefix: "/a/b/", Resumable: true, Targets: []fleet.Target{{Service: "y"}}}}, map[string]bool{"x": false, "y": false}},
	}
	for _, c := range cases {
		targets, now := routeTargets{}, time.Unix(1e9, 0)
		targets.update(now, span, &fleet.Configuration{Routes: c.before})
		targets.update(now.Add(time.Second), span, &fleet.Configuration{Routes: c.after})
		if got := targets.services(); !maps.Equal(got, c.shared) {
			t.Errorf("%s: %v, want %v", c.name, got, c.shared)
		}
		targets.update(now.Add(time.Second+span), span, &fleet.Configuration{Routes: c.after})
		targets.update(now.Add(2*time.Second+span), span, &fleet.Configuration{Routes: c.after})
		lasting := routeTargets{}
		lasting.update(now, span, &fleet.Configuration{Routes: c.after})
		if got, want := targets.services(), lasting.services(); !maps.Equal(got, want) {
			t.Errorf("%s, a while later: %v, want %v", c.name, got, want)
		}
	}
}
