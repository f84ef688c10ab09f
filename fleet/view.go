package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// View is an immutable snapshot of configuration and instances.
type View struct {
	configuration *Configuration
	instances     map[string]*Instance
	byService     map[string][]*Instance
	// routes and services belong to the configuration, and are shared by all views
	// of the same one.
	routes   map[string][]*Route
	services map[string]*Service
}

// NewView builds a snapshot. The configuration is nil until one is known.
func NewView(configuration *Configuration, instances []*Instance) *View {
	return (&View{}).Next(configuration, instances)
}

// Next builds the snapshot that follows. Configurations are large and change seldom,
// so what was worked out for the same one is used again.
func (v *View) Next(configuration *Configuration, instances []*Instance) *View {
	next := &View{
		configuration: configuration,
		instances:     make(map[string]*Instance, len(instances)),
		byService:     map[string][]*Instance{},
	}
	next.addInstances(instances)
	if configuration != nil && configuration == v.configuration {
		next.routes, next.services = v.routes, v.services
		return next
	}
	next.routes, next.services = map[string][]*Route{}, map[string]*Service{}
	if configuration != nil {
		next.addConfiguration(configuration)
	}
	return next
}

func (v *View) addInstances(instances []*Instance) {
	for _, instance := range instances {
		v.instances[instance.ID] = instance
		v.byService[instance.Service] = append(v.byService[instance.Service], instance)
	}
	for _, group := range v.byService {
		slices.SortFunc(group, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (v *View) addConfiguration(configuration *Configuration) {
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		v.routes[route.Host] = append(v.routes[route.Host], route)
	}
	for _, group := range v.routes {
		slices.SortStableFunc(group, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range configuration.Services {
		v.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
}

// Configuration returns the newest configuration, or nil if none is known.
func (v *View) Configuration() *Configuration { return v.configuration }

// Version returns the version of the configuration; zero if none is known.
func (v *View) Version() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

// Route returns the route of a host (lower case, no port) with the longest
// prefix that begins the path, or nil.
func (v *View) Route(host, path string) *Route {
	for _, route := range v.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Services returns all services of the configuration.
func (v *View) Services() []Service {
	if v.configuration == nil {
		return nil
	}
	return v.configuration.Services
}

// Instance returns an instance by its ID, or nil.
func (v *View) Instance(id string) *Instance { return v.instances[id] }

// Instances returns the instances of a service in the order of their IDs. The
// slice must not be changed.
func (v *View) Instances(service string) []*Instance { return v.byService[service] }

// InstanceCount returns how many instances are known.
func (v *View) InstanceCount() int { return len(v.instances) }
