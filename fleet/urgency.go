package fleet

import "time"

const (
	// BackgroundPriority is the highest priority of background requests. The two priorities above it are
	// reserved for callers that wait for the answer.
	BackgroundPriority = 2
	// yieldTargetRatio is the minimum ratio of a route's target latency to the shortest target of the service for
	// the route's requests to yield. Below it, the delay that they can afford does not help urgent requests.
	yieldTargetRatio = 4
)

// urgency summarizes the priorities and latency targets of the routes to one service.
type urgency struct {
	// urgent means that a route has a priority above that of background requests.
	urgent bool
	// shortestTarget is the minimum target latency of the stream routes; zero if none has a target.
	shortestTarget time.Duration
}

// add includes a route to the service.
func (u *urgency) add(route *Route) {
	if route.Priority < BackgroundPriority {
		u.urgent = true
	}
	if route.Kind != KindStream || route.TargetLatency <= 0 {
		return
	}
	if u.shortestTarget == 0 || route.TargetLatency < u.shortestTarget {
		u.shortestTarget = route.TargetLatency
	}
}

// urgencies returns the urgency of each service that is a target of a route.
func urgencies(routes []Route) map[string]urgency {
	byService := map[string]urgency{}
	for i := range routes {
		for _, target := range routes[i].Targets {
			serviceUrgency := byService[target.Service]
			serviceUrgency.add(&routes[i])
			byService[target.Service] = serviceUrgency
		}
	}
	return byService
}

// Yields reports whether background requests of the route yield to urgent ones of the service. They do if there is
// an urgent route and the target latency of this route is at least yieldTargetRatio times the shortest one.
func (v *View) Yields(route *Route, service string) bool {
	serviceUrgency := v.urgencies[service]
	if !serviceUrgency.urgent || serviceUrgency.shortestTarget == 0 {
		return false
	}
	return route.TargetLatency >= yieldTargetRatio*serviceUrgency.shortestTarget
}
