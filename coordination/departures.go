package coordination

import (
	"maps"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// departureSpan is how long it is remembered that an instance is gone. Copies that the store comes
	// back from are some seconds old.
	departureSpan = time.Minute
	// saidSpan is the same for one that has said itself that it leaves: its entry may come and go while
	// the store is in trouble.
	saidSpan = time.Hour
	// shownSpan is how long an instance that had gone is not used after a copy has shown it again. The
	// entry of a server that has ended lapses before, after 3.6 s at the users' sites; one that stays is of
	// a server that lives.
	shownSpan = 10 * time.Second
)

// departures remembers which instances are leaving or gone while their entries may show them as ready: after
// the store has come back from a copy, or because the instance says in its answers that it leaves and its entry is
// late. Whoever knew that an instance leaves goes on to keep requests from it.
type departures struct {
	byInstance map[string]departure
}

// departure is what was last known of an instance that leaves.
type departure struct {
	// era is that of the store that told of it.
	era  uint64
	gone bool
	at   time.Time
	// said says that the instance has said itself that it leaves. No entry takes that back.
	said bool
	// shownAt is when a copy showed a gone instance again; zero if none did.
	shownAt time.Time
}

func newDepartures() departures { return departures{byInstance: map[string]departure{}} }

// note takes in what became of an instance. Restored says that a copy shows it, from which the store came
// back: that it is ready there is no news.
func (d *departures) note(now time.Time, item *feed.Item[*fleet.Instance], restored bool) {
	known, departed := d.byInstance[item.Name]
	switch {
	case item.Gone:
		d.byInstance[item.Name] = departure{era: item.Place.Era, gone: true, at: now, said: known.said}
	case item.Value.Leaving:
		d.byInstance[item.Name] = departure{era: item.Place.Era, at: now, said: known.said}
	case !departed, known.said:
	case restored:
		known.shownAt = now
		d.byInstance[item.Name] = known
	case known.gone || known.era == item.Place.Era:
		// Its server has written that since.
		delete(d.byInstance, item.Name)
	}
}

// say notes that an instance has said itself that it leaves. It reports whether that is news.
func (d *departures) say(now time.Time, instance string, listed bool) bool {
	known := d.byInstance[instance]
	if known.said {
		return false
	}
	known.said, known.gone, known.at = true, !listed, now
	d.byInstance[instance] = known
	return true
}

// departed reports whether an instance is leaving or gone although the list may show it as ready.
func (d *departures) departed(instance string) bool {
	_, departed := d.byInstance[instance]
	return departed
}

// leaving reports whether an instance said that it leaves and is not known to be gone.
func (d *departures) leaving(instance string) bool {
	known, departed := d.byInstance[instance]
	return departed && !known.gone
}

// asDeparted is an instance as it is in use: one that has departed is leaving.
func (d *departures) asDeparted(listed *fleet.Instance) *fleet.Instance {
	if listed.Leaving || !d.departed(listed.ID) {
		return listed
	}
	copied := *listed
	copied.Leaving = true
	return &copied
}

// expire forgets what is too old to matter, and returns the instances that may be used again.
func (d *departures) expire(now time.Time) []string {
	var again []string
	maps.DeleteFunc(d.byInstance, func(instance string, known departure) bool {
		switch {
		case !known.gone:
			// Until the list says that it is gone.
			return false
		case known.said:
			return now.Sub(known.at) >= saidSpan
		case !known.shownAt.IsZero():
			if now.Sub(known.shownAt) < shownSpan {
				return false
			}
			again = append(again, instance)
			return true
		default:
			return now.Sub(known.at) >= departureSpan
		}
	})
	return again
}

// InstanceLeaves takes in that an instance has said itself that it leaves.
func (n *Node) InstanceLeaves(now time.Time, instance string) []Action {
	listed, found := n.instances.Get(instance)
	if n.departures.say(now, instance, found) && found {
		n.changed[instance] = true
		n.book.Put(n.inUse(listed))
		if n.held {
			n.planSoon(now)
		}
	}
	return n.take()
}

// departuresPause is the time between two looks for departures that are too old.
const departuresPause = time.Second

// tickDepartures takes instances into use that a copy has shown again and whose entries have stayed.
func (n *Node) tickDepartures(now time.Time) {
	if now.Sub(n.departuresAt) < departuresPause {
		return
	}
	n.departuresAt = now
	for _, id := range n.departures.expire(now) {
		if listed, found := n.instances.Get(id); found {
			n.changed[id] = true
			n.book.Put(n.inUse(listed))
			n.decide("instances", "Stays listed after a restore; in use again.", "instance", id)
		}
	}
}
