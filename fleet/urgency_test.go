package fleet

import (
	"testing"
	"time"
)

// TestYields guards against delaying requests when no urgent request benefits, or when their own target is too short.
func TestYields(t *testing.T) {
	const background = "background"
	route := func(name string, kind RouteKind, priority int, target time.Duration, services ...string) Route {
		targets := make([]Target, 0, len(services))
		for _, service := range services {
			targets = append(targets, Target{Service: service, Weight: 1})
		}
		return Route{Name: name, Kind: kind, Priority: priority, TargetLatency: target, Targets: targets}
	}
	long := route(background, KindStream, 2, 4*time.Second, "svc")
	cases := []struct {
		name   string
		routes []Route
		want   bool
	}{
		{"urgent streams with an eighth of the target", []Route{route("urgent", KindStream, 0, 500*time.Millisecond, "svc"), long}, true},
		{"priority 1 with a quarter of the target", []Route{route("soon", KindStream, 1, time.Second, "svc"), long}, true},
		{"a little over a quarter of the target", []Route{route("soon", KindStream, 1, time.Second+time.Millisecond, "svc"), long}, false},
		{"no urgent route", []Route{route("other", KindStream, 2, 500*time.Millisecond, "svc"), long}, false},
		{"the shortest target is not the urgent one's", []Route{
			route("urgent", KindStream, 0, 2*time.Second, "svc"), route("short", KindStream, 3, time.Second, "svc"), long,
		}, true},
		{"the urgent route has another service as its target", []Route{route("urgent", KindStream, 0, 500*time.Millisecond, "other"), long}, false},
		{"the urgent route has two target services", []Route{route("urgent", KindStream, 0, 500*time.Millisecond, "other", "svc"), long}, true},
		{"short targets only on routes without streams", []Route{route("urgent", KindSafe, 0, 500*time.Millisecond, "svc"), long}, false},
		{"urgent streams without a target", []Route{route("urgent", KindStream, 0, 0, "svc"), long}, false},
		{"no other route", []Route{long}, false},
	}
	for _, c := range cases {
		view := NewView(&Configuration{Version: 1, Routes: c.routes, Services: []Service{{Name: "svc"}}}, nil)
		tested := &c.routes[len(c.routes)-1]
		if got := view.Yields(tested, "svc"); got != c.want {
			t.Errorf("%s: yields %v, want %v", c.name, got, c.want)
		}
		if got := view.WithInstances([]*Instance{{ID: "i", Service: "svc"}}, nil).Yields(tested, "svc"); got != c.want {
			t.Errorf("%s, after a change of the instances: yields %v, want %v", c.name, got, c.want)
		}
	}
	if NewView(nil, nil).Yields(&long, "svc") {
		t.Error("yields without a configuration")
	}
}
