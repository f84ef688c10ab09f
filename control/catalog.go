package control

import (
	"slices"

	"github.com/wheatweir/wheatweir/api"
)

// catalog holds the objects of the store in their typed form, decoded once for
// each version.
type catalog struct {
	models     map[string]modelEntry
	services   map[string]api.Service
	machines   map[string]api.Machine
	placements map[string]placementEntry
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
		machines:     map[string]api.Machine{},
		placements:   map[string]placementEntry{},
		actingStale:  true,
		plannedStale: true,
	}
}

func (c *catalog) dropDuties() {
	c.actingStale = true
	c.plannedStale = true
}

// learn decodes objects that changed and notes what depends on them.
func (n *Node) learn(changed []api.Key) {
	if len(changed) == 0 {
		return
	}
	n.revision++
	machines := false
	for _, key := range changed {
		object, live := n.store.Get(key)
		if err := n.catalog.take(object, live); err != nil {
			n.decide("config", "Object ignored.", "object", key.String(), "version", object.Version, "error", err)
		}
		machines = machines || key.Kind == api.KindMachine
	}
	n.catalog.dropDuties()
	if machines {
		n.catalog.engines = nil
		n.updateSeeds()
	}
}

func (c *catalog) take(object api.Object, live bool) error {
	switch object.Kind {
	case api.KindModel:
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
		return takeInto(c.services, object, live)
	case api.KindMachine:
		return takeInto(c.machines, object, live)
	case api.KindPlacement:
		if !live {
			c.placements[object.Name] = placementEntry{
				placement: api.Placement{BackEnd: object.Name}, version: object.Version,
			}
			return nil
		}
		record, err := api.Decode[api.Placement](object)
		if err != nil {
			return err
		}
		c.placements[object.Name] = placementEntry{placement: record, version: object.Version}
	}
	return nil
}

func takeInto[T any](known map[string]T, object api.Object, live bool) error {
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
