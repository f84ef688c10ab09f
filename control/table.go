package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/placement"
	"github.com/wheatweir/wheatweir/route"
)

// observationTTL is the maximum age of a report that counts as an observation of what an
// engine serves.
const observationTTL = 150 * time.Second

// Revision changes whenever Table would return something else.
func (n *Node) Revision() uint64 { return n.revision + n.detector.Revision() }

// Table returns the routing view of the present state. Only the models whose back ends
// changed are rebuilt; the others are shared with the last table.
func (n *Node) Table(now time.Time) *route.Table {
	n.markChangedHealth(now)
	for name := range n.catalog.dirty {
		n.rebuildView(now, name)
	}
	clear(n.catalog.dirty)
	table := &route.Table{
		Models:   maps.Clone(n.views),
		Services: make(map[string]*route.Service, len(n.catalog.services)),
	}
	for name, service := range n.catalog.services {
		table.Services[name] = n.serviceView(service)
	}
	return table
}

// markChangedHealth marks the back ends whose health or boot changed, or whose report
// has expired, since the last table.
func (n *Node) markChangedHealth(now time.Time) {
	for _, name := range n.catalog.engineNames() {
		state := n.backEnd(name)
		health := n.health(name)
		expired := state.known && now.Sub(state.at) >= observationTTL
		entry, _ := n.detector.BackEnd(name)
		if health != state.health || entry.Boot != state.viewedBoot || expired && !state.expired {
			state.health, state.viewedBoot = health, entry.Boot
			state.expired = expired
			n.catalog.markBackEnd(name)
		}
	}
}

func (n *Node) rebuildView(now time.Time, name string) {
	entry, found := n.catalog.models[name]
	if !found || entry.deleted {
		delete(n.views, name)
		return
	}
	view := &route.Model{Spec: entry.model}
	for _, holder := range sortedNames(n.catalog.holdersOf[name]) {
		n.addCandidates(now, view, holder)
	}
	n.views[name] = view
}

// addCandidates adds the replicas of a model on one back end. A back end that is leaving
// is excluded, whatever its placement record contains.
func (n *Node) addCandidates(now time.Time, model *route.Model, name string) {
	if n.health(name) != placement.Up {
		return
	}
	record := n.catalog.placements[name].placement
	var backEnd *route.BackEnd
	state := n.backEnds[name]
	fresh := n.currentReport(name) != nil && now.Sub(state.at) < observationTTL
	for i := range record.Entries {
		entry := &record.Entries[i]
		if entry.Artifact.Model != model.Spec.Name || entry.Artifact.Adapter != "" || entry.Phase != api.PhaseHeld {
			continue
		}
		if backEnd == nil {
			backEnd = n.backEndView(name)
		}
		model.Candidates = append(model.Candidates, route.Candidate{
			BackEnd:  backEnd,
			Version:  entry.Artifact.Version,
			Serving:  entry.Artifact.Version == model.Spec.Serving,
			Observed: fresh && state.report.Serves(entry.Artifact),
			Draining: record.Emptying(),
			Adapters: adaptersOn(&record, entry.Artifact, fresh, state),
		})
	}
}

// adaptersOn returns the adapters that the engine was observed to hold. Without a recent
// observation it returns those that the placement record lists.
func adaptersOn(record *api.Placement, weights api.Artifact, fresh bool, state *backEndState) []string {
	var names []string
	for i := range record.Entries {
		entry := &record.Entries[i]
		if entry.Artifact.Adapter == "" || entry.Artifact.Base() != weights || entry.Phase != api.PhaseHeld {
			continue
		}
		if !fresh || state.report.Serves(entry.Artifact) {
			names = append(names, entry.Artifact.Adapter)
		}
	}
	return names
}

func (n *Node) backEndView(name string) *route.BackEnd {
	machine := n.catalog.machines[name]
	return &route.BackEnd{Name: name, Address: machine.Address, Zone: machine.Zone, Region: machine.Region, Load: n.loads.Get(name)}
}

func (n *Node) serviceView(service api.Service) *route.Service {
	view := &route.Service{Spec: service}
	for _, name := range service.Machines {
		machine, found := n.catalog.machines[name]
		if !found || machine.State == api.MachineLeaving {
			continue
		}
		view.Machines = append(view.Machines, &route.BackEnd{
			Name: name, Address: machine.Address, Zone: machine.Zone, Load: n.loads.Get(name),
		})
	}
	return view
}

// Addresses returns the caller addresses for a model in a zone: those of the model's
// homes. Daemons that are leaving are not among them.
func (n *Node) Addresses(model, zone string) []string {
	var addresses []string
	for _, home := range n.Homes(model, zone) {
		addresses = append(addresses, home.CallerAddress)
	}
	return addresses
}

// BackEndStatus is the state of a back end that is shown to operators.
type BackEndStatus struct {
	Machine   api.Machine
	Health    placement.Health
	Placement api.Placement
	Version   uint64
	Report    *api.Report
	ActedFor  bool
}

// BackEndStatuses returns the state of every engine, sorted by name.
func (n *Node) BackEndStatuses() []BackEndStatus {
	var all []BackEndStatus
	for _, name := range n.catalog.engineNames() {
		machine := n.catalog.machines[name]
		known := n.catalog.placements[name]
		status := BackEndStatus{
			Machine: machine, Health: n.health(name), Placement: known.placement.Clone(), Version: known.version,
			ActedFor: n.actsForBackEnd(name, machine.Zone),
		}
		if state := n.backEnds[name]; state != nil && state.known {
			report := state.report
			status.Report = &report
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b BackEndStatus) int { return strings.Compare(a.Machine.Name, b.Machine.Name) })
	return all
}

// Versioned is a configuration value with its object version.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// ModelObjects returns all models, sorted by name.
func (n *Node) ModelObjects() []Versioned[api.Model] {
	var all []Versioned[api.Model]
	for _, name := range sortedNames(n.catalog.models) {
		entry := n.catalog.models[name]
		if !entry.deleted {
			all = append(all, Versioned[api.Model]{entry.model, n.store.Version(api.Key{Kind: api.KindModel, Name: name})})
		}
	}
	return all
}

// ServiceObjects returns all services, sorted by name.
func (n *Node) ServiceObjects() []Versioned[api.Service] {
	var all []Versioned[api.Service]
	for _, name := range sortedNames(n.catalog.services) {
		all = append(all, Versioned[api.Service]{n.catalog.services[name], n.store.Version(api.Key{Kind: api.KindService, Name: name})})
	}
	return all
}

// TenantObjects returns all tenants, sorted by name.
func (n *Node) TenantObjects() []Versioned[api.Tenant] {
	var all []Versioned[api.Tenant]
	for _, name := range sortedNames(n.catalog.tenants) {
		all = append(all, Versioned[api.Tenant]{n.catalog.tenants[name], n.store.Version(api.Key{Kind: api.KindTenant, Name: name})})
	}
	return all
}

// Learned merges an object that an operator's command has just written through this
// daemon.
func (n *Node) Learned(object api.Object) []Action {
	n.mergeObject(object)
	return n.takeActions()
}

// Machines returns this daemon's replica of the platform's machine list, sorted by name.
func (n *Node) Machines() []api.Machine {
	var all []api.Machine
	for _, name := range sortedNames(n.catalog.machines) {
		all = append(all, n.catalog.machines[name])
	}
	return all
}
