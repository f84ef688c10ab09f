package control

import (
	"slices"

	"github.com/wheatweir/wheatweir/api"
)

// catalog holds the objects of the store in typed form. Each version of an object is
// decoded once.
type catalog struct {
	models     map[string]modelEntry
	services   map[string]api.Service
	tenants    map[string]api.Tenant
	machines   map[string]api.Machine
	placements map[string]placementEntry
	// holdersOf maps each model to the back ends whose placement records list it.
	holdersOf map[string]map[string]bool
	// dirty names the models whose routing view is out of date.
	dirty map[string]bool
	// engines caches the sorted names of engine machines.
	engines []string
	// acting caches the engines that this daemon acts for.
	acting      []string
	actingStale bool
	// planned caches the models that this daemon plans for.
	planned      []string
	plannedStale bool
}

type modelEntry struct {
	model   api.Model
	deleted bool
}

type placementEntry struct {
	placement api.Placement
	version   uint64
}

func newCatalog() *catalog {
	return &catalog{
		models:       map[string]modelEntry{},
		services:     map[string]api.Service{},
		tenants:      map[string]api.Tenant{},
		machines:     map[string]api.Machine{},
		placements:   map[string]placementEntry{},
		holdersOf:    map[string]map[string]bool{},
		dirty:        map[string]bool{},
		actingStale:  true,
		plannedStale: true,
	}
}

// invalidateDuties discards the cached assignments of back ends and models to this
// daemon, after the members have changed.
func (c *catalog) invalidateDuties() {
	c.actingStale = true
	c.plannedStale = true
}

// markBackEnd marks the models on a back end for a rebuild of their routing views.
func (c *catalog) markBackEnd(name string) {
	for _, entry := range c.placements[name].placement.Entries {
		c.dirty[entry.Artifact.Model] = true
	}
}

// setPlacement replaces the record of a back end.
func (c *catalog) setPlacement(name string, fresh placementEntry) {
	c.markBackEnd(name)
	for _, entry := range c.placements[name].placement.Entries {
		delete(c.holdersOf[entry.Artifact.Model], name)
	}
	c.placements[name] = fresh
	for _, entry := range fresh.placement.Entries {
		holders := c.holdersOf[entry.Artifact.Model]
		if holders == nil {
			holders = map[string]bool{}
			c.holdersOf[entry.Artifact.Model] = holders
		}
		holders[name] = true
	}
	c.markBackEnd(name)
}

// updateCatalog decodes the changed objects and invalidates what is derived from them.
func (n *Node) updateCatalog(changed []api.Key) {
	if len(changed) == 0 {
		return
	}
	n.revision++
	machines := false
	for _, key := range changed {
		object, live := n.store.Get(key)
		if err := n.catalog.apply(object, live); err != nil {
			n.logDecision("config", "Object could not be decoded; change ignored.", "object", key.String(), "version", object.Version, "error", err)
		}
		machines = machines || key.Kind == api.KindMachine
		n.catalog.plannedStale = n.catalog.plannedStale || key.Kind == api.KindModel
	}
	if machines {
		n.catalog.engines = nil
		n.catalog.actingStale = true
		n.updateSeeds()
	}
}

func (c *catalog) apply(object api.Object, live bool) error {
	switch object.Kind {
	case api.KindModel:
		c.dirty[object.Name] = true
		if !live {
			c.models[object.Name] = modelEntry{model: api.Model{Name: object.Name}, deleted: true}
			return nil
		}
		model, err := api.Decode[api.Model](object)
		if err != nil {
			return err
		}
		c.models[object.Name] = modelEntry{model: model}
	case api.KindService:
		return applyInto(c.services, object, live)
	case api.KindTenant:
		return applyInto(c.tenants, object, live)
	case api.KindMachine:
		c.markBackEnd(object.Name)
		return applyInto(c.machines, object, live)
	case api.KindPlacement:
		if !live {
			c.setPlacement(object.Name, placementEntry{
				placement: api.Placement{BackEnd: object.Name}, version: object.Version,
			})
			return nil
		}
		record, err := api.Decode[api.Placement](object)
		if err != nil {
			return err
		}
		c.setPlacement(object.Name, placementEntry{placement: record, version: object.Version})
	}
	return nil
}

func applyInto[T any](known map[string]T, object api.Object, live bool) error {
	if !live {
		delete(known, object.Name)
		return nil
	}
	value, err := api.Decode[T](object)
	if err != nil {
		return err
	}
	known[object.Name] = value
	return nil
}

// engineNames returns the sorted names of the engines in the machine list.
func (c *catalog) engineNames() []string {
	if c.engines == nil {
		c.engines = []string{}
		for name, machine := range c.machines {
			if machine.Role == api.RoleEngine {
				c.engines = append(c.engines, name)
			}
		}
		slices.Sort(c.engines)
	}
	return c.engines
}

// actingFor returns the engines that this daemon acts for.
func (n *Node) actingFor() []string {
	if n.catalog.actingStale {
		n.catalog.acting = nil
		for _, name := range n.catalog.engineNames() {
			if n.actsForBackEnd(name, n.catalog.machines[name].Zone) {
				n.catalog.acting = append(n.catalog.acting, name)
			}
		}
		n.catalog.actingStale = false
	}
	return n.catalog.acting
}

// planningFor returns the models that this daemon plans for, deleted ones
// included.
func (n *Node) planningFor() []string {
	if n.catalog.plannedStale {
		n.catalog.planned = nil
		for name := range n.catalog.models {
			if n.actsForModel(name) {
				n.catalog.planned = append(n.catalog.planned, name)
			}
		}
		slices.Sort(n.catalog.planned)
		n.catalog.plannedStale = false
	}
	return n.catalog.planned
}
