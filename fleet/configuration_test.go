package fleet

import (
	"testing"
	"time"
)

// TestFirstEventPatience guards against a first-event timeout that exceeds the timeout of any client of the service,
// or that includes routes whose clients wait for a complete answer.
func TestFirstEventPatience(t *testing.T) {
	route := func(kind RouteKind, service string, latency, gap, timeout time.Duration) Route {
		return Route{Kind: kind, Timeout: timeout, TargetLatency: latency, TargetGap: gap, Targets: []Target{{Service: "other", Weight: 1}, {Service: service, Weight: 1}}}
	}
	const ms = time.Millisecond
	cases := []struct {
		name   string
		routes []Route
		want   time.Duration
	}{
		{"no route", nil, 0},
		{"routes of another service", []Route{route(KindStream, "b", 500*ms, 400*ms, time.Minute)}, 0},
		{"no stream routes", []Route{route(KindSafe, "a", 500*ms, 0, time.Second)}, 0},
		{"target gap determines the timeout", []Route{route(KindStream, "a", 500*ms, 400*ms, time.Minute)}, 3200 * ms},
		{"target latency determines the timeout", []Route{route(KindStream, "a", 1200*ms, 500*ms, time.Minute)}, 4800 * ms},
		{"minimum of two seconds", []Route{route(KindStream, "a", 100*ms, 0, time.Minute)}, 2 * time.Second},
		{"route timeout is shorter", []Route{route(KindStream, "a", 500*ms, 400*ms, time.Second)}, time.Second},
		{"shortest of several routes", []Route{route(KindStream, "a", 4*time.Second, 400*ms, time.Minute), route(KindStream, "a", 500*ms, 400*ms, time.Minute), route(KindStream, "a", 1500*ms, 400*ms, time.Minute)}, 3200 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			configuration := &Configuration{Routes: c.routes}
			if got := configuration.FirstEventTimeout("a"); got != c.want {
				t.Errorf("first-event timeout %v, want %v", got, c.want)
			}
		})
	}
}
