// Package fleet defines the operator's configuration (routes, services, models)
// and the live back-end instances, as an entry daemon uses them. All types are
// plain values; a View is an immutable snapshot that the request path reads
// without locks.
package fleet

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/tenant"
)

// RouteKind determines whether requests of a route may run more than once.
type RouteKind uint8

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered with a stream of events.
	KindStream
)

var routeKindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name used in logs.
func (k RouteKind) String() string { return routeKindNames[k] }

// Target is a weighted destination service of a route.
type Target struct {
	Service string
	// Weight is the share of requests relative to the weights of the other targets.
	Weight int
}

// Route defines how requests to a host under a path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time that the daemon may hold a request.
	Timeout time.Duration
	// TargetLatency is the maximum latency at which an answer counts in full.
	TargetLatency time.Duration
	// TargetGap is the target for the maximum interval between two events of a stream.
	TargetGap time.Duration
	// Priority of the route's requests; zero is the highest.
	Priority int
	// Targets holds at least one service.
	Targets []Target
	// MaxAttempts is the maximum number of instances that one request may be sent to.
	MaxAttempts int
	// Resumable streams may continue on another instance after a failure.
	Resumable bool
	// Public routes are served without a tenant key even if Configuration.RequiresKeys is set.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Clients of the platform wait for the first event of a stream for the maximum of minFirstEventTimeout, the target
// latency times firstEventTargetFactor and the target gap times firstEventGapFactor.
const (
	minFirstEventTimeout   = 2 * time.Second
	firstEventTargetFactor = 4
	firstEventGapFactor    = 8
)

// FirstEventTimeout returns how long clients of the route wait for the first event of a stream, according to the
// platform's documentation. Clients of other kinds of routes wait until the route's timeout.
func (r *Route) FirstEventTimeout() time.Duration {
	if r.Kind != KindStream {
		return r.Timeout
	}
	return max(minFirstEventTimeout, firstEventTargetFactor*r.TargetLatency, firstEventGapFactor*r.TargetGap)
}

// SendsTo reports whether the service is a target of the route.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service })
}

// Model is a model served by the engines of a service.
type Model struct {
	Name string
	// WeightsMB is the accelerator memory of the weights, in megabytes.
	WeightsMB float64
	// LoadTime, WarmTime and DiskTime are the durations of a load from the weight
	// store, from the server's main memory and from its disk.
	LoadTime time.Duration
	WarmTime time.Duration
	DiskTime time.Duration
	// Adapters is the number of adapters; they are named a1, a2 and so on.
	Adapters int
	// AdapterMB is the accelerator memory of each adapter, in megabytes.
	AdapterMB float64
}

// Engine describes the model servers of a service. All servers of a service are identical.
type Engine struct {
	// Slots is the batch size in requests.
	Slots int
	// MemoryTokens is the memory for prompts and generated output, in tokens.
	MemoryTokens int
	// WeightsMB is the accelerator memory for weights and adapters, in megabytes.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters loaded at a time.
	AdapterSlots int
	// LoadsPerSecond is the limit that the weight store sets on model loads of all servers together.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns a model by its name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of interchangeable instances.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one instance, from all callers together.
	MaxConnections int
	// ColdSpan is how long an instance is cold after its start. A cold instance can serve only ColdPerSecond
	// requests per second. Both are zero if instances have their full capacity from the start.
	ColdSpan      time.Duration
	ColdPerSecond float64
	// HealthPath is the path at which an instance answers whether it is healthy; empty if there is none.
	HealthPath string
	// Engine is nil for a service without models.
	Engine *Engine
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	// Version never decreases.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys means that requests must carry the key of a tenant, except on
	// public routes.
	RequiresKeys bool
	Tenants      []tenant.Tenant
}

// FirstEventTimeout returns the minimum time that clients of the service's stream routes wait for the first event.
// It is zero if no stream route has the service as a target.
func (c *Configuration) FirstEventTimeout(service string) time.Duration {
	shortest, found := time.Duration(0), false
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind != KindStream || !route.SendsTo(service) {
			continue
		}
		firstEventTimeout := min(route.FirstEventTimeout(), route.Timeout)
		if !found || firstEventTimeout < shortest {
			shortest, found = firstEventTimeout, true
		}
	}
	return shortest
}
