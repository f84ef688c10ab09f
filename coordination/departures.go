package coordination

import (
	"maps"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// departureTTL is how long the departure of an instance is remembered. The copies from which the
	// store is restored are some seconds old.
	departureTTL = time.Minute
	// announcedDepartureTTL is the same for an instance that has announced itself that it leaves. Its
	// entry may come and go while the store is failing.
	announcedDepartureTTL = time.Hour
	// relistedDelay is how long an instance that was gone stays out of use after a restored copy has
	// listed it again. The entry of a server that has ended expires earlier, after 3.6 s in production.
	// An entry that remains belongs to a running server.
	relistedDelay = 10 * time.Second
)

// departureTracker tracks the instances that are leaving or gone although their entries may show them as
// ready. That happens after the store was restored from an earlier copy, or when an instance announces in its
// responses that it leaves and its entry is late. A daemon that recorded the departure continues to
// send the instance no requests.
type departureTracker struct {
	byInstance map[string]departure
}

// departure is the last known state of an instance that leaves or is gone.
type departure struct {
	// era is the era of the store that reported the departure.
	era  uint64
	gone bool
	at   time.Time
	// announced means that the instance itself has announced that it leaves. No entry revokes that.
	announced bool
	// relistedAt is when a restored copy listed a gone instance again; zero if none did.
	relistedAt time.Time
}

func newDepartureTracker() departureTracker {
	return departureTracker{byInstance: map[string]departure{}}
}

// record processes a change of an instance. Restored means that the change comes from an earlier copy
// from which the store was restored. That the copy shows an instance as ready is then no new information.
func (d *departureTracker) record(now time.Time, item *feed.Item[*fleet.Instance], restored bool) {
	known, departed := d.byInstance[item.Name]
	switch {
	case item.Gone:
		d.byInstance[item.Name] = departure{era: item.Place.Era, gone: true, at: now, announced: known.announced}
	case item.Value.Leaving:
		d.byInstance[item.Name] = departure{era: item.Place.Era, at: now, announced: known.announced}
	case !departed, known.announced:
	case restored:
		known.relistedAt = now
		d.byInstance[item.Name] = known
	case known.gone || known.era == item.Place.Era:
		// The server has written this entry since it was known to leave.
		delete(d.byInstance, item.Name)
	}
}

// announce records that an instance has announced that it leaves. It reports whether that was unknown.
func (d *departureTracker) announce(now time.Time, instance string, listed bool) bool {
	known := d.byInstance[instance]
	if known.announced {
		return false
	}
	known.announced, known.gone, known.at = true, !listed, now
	d.byInstance[instance] = known
	return true
}

// departed reports whether an instance is leaving or gone, even if the list shows it as ready.
func (d *departureTracker) departed(instance string) bool {
	_, departed := d.byInstance[instance]
	return departed
}

// leaving reports whether an instance is known to leave and not known to be gone.
func (d *departureTracker) leaving(instance string) bool {
	known, departed := d.byInstance[instance]
	return departed && !known.gone
}

// withDeparture returns an instance in the state for use: a departed one is leaving.
func (d *departureTracker) withDeparture(listed *fleet.Instance) *fleet.Instance {
	if listed.Leaving || !d.departed(listed.ID) {
		return listed
	}
	copied := *listed
	copied.Leaving = true
	return &copied
}

// expire removes the departures that are too old to matter, and returns the instances that may be used
// again.
func (d *departureTracker) expire(now time.Time) []string {
	var reusable []string
	maps.DeleteFunc(d.byInstance, func(instance string, known departure) bool {
		switch {
		case !known.gone:
			// The departure is kept until the list reports that the instance is gone.
			return false
		case known.announced:
			return now.Sub(known.at) >= announcedDepartureTTL
		case !known.relistedAt.IsZero():
			if now.Sub(known.relistedAt) < relistedDelay {
				return false
			}
			reusable = append(reusable, instance)
			return true
		default:
			return now.Sub(known.at) >= departureTTL
		}
	})
	return reusable
}

// InstanceLeaving records that an instance has announced in a response that it leaves.
func (n *Node) InstanceLeaving(now time.Time, instance string) []Action {
	listed, found := n.instances.Get(instance)
	if n.departureTracker.announce(now, instance, found) && found {
		n.changed[instance] = true
		n.residencyTracker.UpsertInstance(n.inUse(listed))
		if n.held {
			n.requestPlan(now)
		}
	}
	return n.takeActions()
}

// departuresExpiryInterval is the interval between two checks for expired departures.
const departuresExpiryInterval = time.Second

// tickDepartures takes instances back into use that a restored copy has listed again and whose entries
// have remained.
func (n *Node) tickDepartures(now time.Time) {
	if now.Sub(n.departuresAt) < departuresExpiryInterval {
		return
	}
	n.departuresAt = now
	for _, id := range n.departureTracker.expire(now) {
		if listed, found := n.instances.Get(id); found {
			n.changed[id] = true
			n.residencyTracker.UpsertInstance(n.inUse(listed))
			n.logEntry("instances", "Instance still listed after a restore of the store; back in use.", "instance", id)
		}
	}
}
