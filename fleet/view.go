package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/wheatweir/wheatweir/tenant"
)

// View is an immutable snapshot of configuration and instances.
type View struct {
	configuration *Configuration
	// all and the groups in byService are in the order of the IDs.
	all       []*Instance
	byService map[string][]*Instance
	routes    map[string][]*Route
	services  map[string]*Service
	urgencies map[string]urgency
	tenants   *tenant.Table
}

// NewView builds a snapshot. The configuration is nil until one is known.
func NewView(configuration *Configuration, instances []*Instance) *View {
	return (&View{}).WithConfiguration(configuration).WithInstances(instances, nil)
}

// WithConfiguration returns the snapshot with another configuration. Configurations are
// large and change seldom, so what was worked out for the same one is used again.
func (v *View) WithConfiguration(configuration *Configuration) *View {
	if configuration == v.configuration && v.routes != nil {
		return v
	}
	next := &View{
		configuration: configuration, all: v.all, byService: v.byService,
		routes: map[string][]*Route{}, services: map[string]*Service{},
	}
	if configuration != nil {
		next.addConfiguration(configuration)
	}
	return next
}

// WithInstances returns the snapshot with some instances added or replaced, and others
// gone, by their IDs. There may be thousands of instances, and a few of them change many
// times a second: what did not change is copied, not worked out anew.
func (v *View) WithInstances(changed []*Instance, gone []string) *View {
	edits := make([]edit, 0, len(changed)+len(gone))
	for _, instance := range changed {
		edits = append(edits, edit{instance.ID, instance})
	}
	for _, id := range gone {
		edits = append(edits, edit{id, nil})
	}
	slices.SortFunc(edits, func(a, b edit) int { return strings.Compare(a.id, b.id) })
	next := *v
	next.all = apply(v.all, edits)
	next.byService = maps.Clone(v.byService)
	if next.byService == nil {
		next.byService = map[string][]*Instance{}
	}
	for _, service := range v.affected(edits) {
		next.byService[service] = apply(v.byService[service], ofService(edits, service))
	}
	return &next
}

// edit puts an instance in the place of the one with the same ID, or nothing.
type edit struct {
	id       string
	instance *Instance
}

// affected returns the services that edits add instances to or take them from.
func (v *View) affected(edits []edit) []string {
	services := map[string]bool{}
	for _, e := range edits {
		if before := v.Instance(e.id); before != nil {
			services[before.Service] = true
		}
		if e.instance != nil {
			services[e.instance.Service] = true
		}
	}
	return slices.Collect(maps.Keys(services))
}

// ofService returns the edits as one service sees them: what goes to another one is gone.
func ofService(edits []edit, service string) []edit {
	seen := slices.Clone(edits)
	for i := range seen {
		if seen[i].instance != nil && seen[i].instance.Service != service {
			seen[i].instance = nil
		}
	}
	return seen
}

// apply returns a list with the edits made; both are in the order of the IDs.
func apply(instances []*Instance, edits []edit) []*Instance {
	edited := make([]*Instance, 0, len(instances)+len(edits))
	for _, e := range edits {
		place, found := find(instances, e.id)
		edited = append(edited, instances[:place]...)
		if e.instance != nil {
			edited = append(edited, e.instance)
		}
		if found {
			place++
		}
		instances = instances[place:]
	}
	return append(edited, instances...)
}

// find returns the place of an ID in a list in the order of the IDs.
func find(instances []*Instance, id string) (place int, found bool) {
	return slices.BinarySearchFunc(instances, id, func(instance *Instance, id string) int { return strings.Compare(instance.ID, id) })
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
	v.urgencies = urgencies(configuration.Routes)
	v.tenants = tenant.NewTable(configuration.Tenants)
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

// Tenants finds the tenant of a key.
func (v *View) Tenants() *tenant.Table { return v.tenants }

// RequiresKeys reports whether requests of a route have to carry the key of a tenant.
func (v *View) RequiresKeys(route *Route) bool {
	return v.configuration != nil && v.configuration.RequiresKeys && !route.Public
}

// Services returns all services of the configuration.
func (v *View) Services() []Service {
	if v.configuration == nil {
		return nil
	}
	return v.configuration.Services
}

// Instance returns an instance by its ID, or nil.
func (v *View) Instance(id string) *Instance {
	place, found := find(v.all, id)
	if !found {
		return nil
	}
	return v.all[place]
}

// Instances returns the instances of a service in the order of their IDs. The
// slice must not be changed.
func (v *View) Instances(service string) []*Instance { return v.byService[service] }

// InstanceCount returns how many instances are known.
func (v *View) InstanceCount() int { return len(v.all) }

// All returns all instances in the order of their IDs. The slice must not be changed.
func (v *View) All() []*Instance { return v.all }
