package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/wheatweir/wheatweir/tenant"
)

// View is an immutable snapshot of the configuration and the instances.
type View struct {
	configuration *Configuration
	// all and the lists in byService are sorted by instance ID.
	all       []*Instance
	byService map[string][]*Instance
	routes    map[string][]*Route
	services  map[string]*Service
	urgencies map[string]urgency
	tenants   *tenant.Table
}

// NewView returns a snapshot. The configuration is nil until one has been received.
func NewView(configuration *Configuration, instances []*Instance) *View {
	return (&View{}).WithConfiguration(configuration).WithInstances(instances, nil)
}

// WithConfiguration returns a snapshot with another configuration. Configurations are large
// and rarely change, so the lookup tables are reused if the configuration is the same.
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

// WithInstances returns a snapshot with some instances added or replaced by ID, and others
// removed. There may be thousands of instances, and a few of them change many times per
// second: unchanged entries are copied instead of being rebuilt.
func (v *View) WithInstances(changed []*Instance, removed []string) *View {
	edits := make([]edit, 0, len(changed)+len(removed))
	for _, instance := range changed {
		edits = append(edits, edit{instance.ID, instance})
	}
	for _, id := range removed {
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

// edit adds or replaces the instance with an ID, or removes it if instance is nil.
type edit struct {
	id       string
	instance *Instance
}

// affected returns the services whose instance lists the edits change.
func (v *View) affected(edits []edit) []string {
	services := map[string]bool{}
	for _, e := range edits {
		if previous := v.Instance(e.id); previous != nil {
			services[previous.Service] = true
		}
		if e.instance != nil {
			services[e.instance.Service] = true
		}
	}
	return slices.Collect(maps.Keys(services))
}

// ofService returns the edits to the list of one service. An instance that belongs to another service is removed
// from the list.
func ofService(edits []edit, service string) []edit {
	serviceEdits := slices.Clone(edits)
	for i := range serviceEdits {
		if serviceEdits[i].instance != nil && serviceEdits[i].instance.Service != service {
			serviceEdits[i].instance = nil
		}
	}
	return serviceEdits
}

// apply returns a copy of the list with the edits applied; both are sorted by ID.
func apply(instances []*Instance, edits []edit) []*Instance {
	edited := make([]*Instance, 0, len(instances)+len(edits))
	for _, e := range edits {
		index, found := find(instances, e.id)
		edited = append(edited, instances[:index]...)
		if e.instance != nil {
			edited = append(edited, e.instance)
		}
		if found {
			index++
		}
		instances = instances[index:]
	}
	return append(edited, instances...)
}

// find returns the index of an ID in a list sorted by ID, or the index at which to insert it.
func find(instances []*Instance, id string) (index int, found bool) {
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

// Configuration returns the configuration, or nil if none has been received.
func (v *View) Configuration() *Configuration { return v.configuration }

// Version returns the version of the configuration; zero if none has been received.
func (v *View) Version() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

// Route returns the route of a host (lower case, no port) with the longest
// matching path prefix, or nil.
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

// Tenants returns the table that maps keys to tenants.
func (v *View) Tenants() *tenant.Table { return v.tenants }

// RequiresKeys reports whether requests of a route must carry the key of a tenant.
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
	index, found := find(v.all, id)
	if !found {
		return nil
	}
	return v.all[index]
}

// Instances returns the instances of a service sorted by ID. The slice must not
// be modified.
func (v *View) Instances(service string) []*Instance { return v.byService[service] }

// InstanceCount returns the number of instances of all services.
func (v *View) InstanceCount() int { return len(v.all) }

// All returns the instances of all services sorted by ID. The slice must not be modified.
func (v *View) All() []*Instance { return v.all }
