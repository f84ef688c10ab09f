package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
)

// EvacuationListing is the list of all evacuated zones at a place in the store's history. During an
// evacuation, which the operator orders, no requests go to the instances of a zone.
type EvacuationListing struct {
	At    history.Place      `msgpack:"a"`
	Zones []ListedEvacuation `msgpack:"z,omitempty"`
}

// ListedEvacuation is one evacuated zone and the place of its evacuation in the history.
type ListedEvacuation struct {
	Zone  string        `msgpack:"z"`
	Place history.Place `msgpack:"p"`
}

// EvacuationsListed processes a full list of the evacuated zones.
func (n *Node) EvacuationsListed(now time.Time, batch feed.Batch[fleet.Evacuation]) []Action {
	n.replaceEvacuations(now, originStore, batch)
	return n.takeActions()
}

// EvacuationsChanged processes evacuations that were ordered or revoked.
func (n *Node) EvacuationsChanged(now time.Time, batch feed.Batch[fleet.Evacuation]) []Action {
	n.recordEra(now, originStore, batch.At.Era)
	n.evacuationsChanged(now, originStore, n.evacuations.Apply(batch))
	return n.takeActions()
}

// replaceEvacuations processes a full list. After a restore of the store, evacuations that the list
// lacks are kept until the operator has had time to write them again.
func (n *Node) replaceEvacuations(now time.Time, from origin, batch feed.Batch[fleet.Evacuation]) {
	n.recordEra(now, from, batch.At.Era)
	n.recordFirstList(SourceEvacuations, batch.At)
	changed := n.evacuations.Replace(batch)
	if n.evacuations.HasEarlierEra() {
		n.eras.earlierUntil = now.Add(rewriteWindow)
	}
	n.evacuationsChanged(now, from, changed)
}

// evacuationsChanged takes the instances of evacuated zones out of use, and those of zones whose
// evacuation was revoked back into use.
func (n *Node) evacuationsChanged(now time.Time, from origin, changed []feed.Item[fleet.Evacuation]) {
	for _, item := range changed {
		n.logEntry("evacuations", "Changed.", "zone", item.Name, "evacuated", !item.Gone, "at", item.Place, "from", string(from))
		for _, listed := range n.instances.Items() {
			if listed.Value.Zone != item.Name {
				continue
			}
			n.changed[listed.Name] = true
			n.residencyTracker.UpsertInstance(n.inUse(listed.Value))
			if item.Gone {
				n.assumeCold(listed.Value)
			}
		}
	}
	if len(changed) > 0 && n.held {
		n.requestPlan(now)
	}
}

func (n *Node) evacuated(zone string) bool {
	_, evacuated := n.evacuations.Get(zone)
	return evacuated
}

// EvacuatedZones returns the number of evacuated zones.
func (n *Node) EvacuatedZones() int { return len(n.evacuations.Items()) }

// inUse returns an instance in the state for use: one that has departed or whose zone is evacuated
// counts as leaving.
func (n *Node) inUse(listed *fleet.Instance) *fleet.Instance {
	inUse := n.departureTracker.withDeparture(listed)
	if inUse.Leaving || !n.evacuated(listed.Zone) {
		return inUse
	}
	copied := *inUse
	copied.Leaving, copied.Evacuated = true, true
	return &copied
}

// evacuationsSynced reports whether requests may be served as far as evacuations are concerned. A daemon
// that the store does not answer receives the evacuations from others.
func (n *Node) evacuationsSynced() bool {
	return !n.settings.FollowsEvacuations || n.evacuations.Synced() || n.sources[SourceEvacuations].unavailable
}

// evacuationListing returns the list sent to other daemons. It contains all evacuated zones, since
// there are few.
func (n *Node) evacuationListing() *EvacuationListing {
	listing := &EvacuationListing{At: n.evacuations.At()}
	for _, item := range n.evacuations.Items() {
		if item.Place.Era == listing.At.Era {
			listing.Zones = append(listing.Zones, ListedEvacuation{Zone: item.Name, Place: item.Place})
		}
	}
	return listing
}

// mergeEvacuations merges the evacuated zones that another daemon sent.
func (n *Node) mergeEvacuations(now time.Time, from origin, listing *EvacuationListing) {
	batch := feed.Batch[fleet.Evacuation]{At: listing.At}
	for _, listed := range listing.Zones {
		batch.Items = append(batch.Items, feed.Item[fleet.Evacuation]{
			Name: listed.Zone, Place: listed.Place, Value: fleet.Evacuation{Zone: listed.Zone},
		})
	}
	n.replaceEvacuations(now, from, batch)
}
