package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// fact is the newest report of a model server that is known here.
type fact struct {
	Fact
	at time.Time
}

// learn takes in a fact about a model server.
func (n *Node) learn(told Fact, at time.Time) {
	known, found := n.facts[told.Instance]
	if found && (told.Sequence < known.Sequence || told.Sequence == known.Sequence && at.Before(known.at)) {
		return
	}
	n.facts[told.Instance] = fact{Fact: told, at: at}
	if !found || !sameResidents(known.Residents, told.Residents) {
		n.viewStale = true
	}
}

func sameResidents(a, b []fleet.Resident) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Model != b[i].Model || len(a[i].Adapters) != len(b[i].Adapters) {
			return false
		}
		for j := range a[i].Adapters {
			if a[i].Adapters[j] != b[i].Adapters[j] {
				return false
			}
		}
	}
	return true
}

// FactOf returns what the newest report of an instance said, if one is known here.
func (n *Node) FactOf(instance string) (Fact, bool) {
	known, found := n.facts[instance]
	return known.Fact, found
}

// KnowsReport reports whether a report of an instance is known here.
func (n *Node) KnowsReport(instance string) bool {
	_, found := n.facts[instance]
	return found
}

// TakeView returns a new snapshot if anything has changed since the last one.
func (n *Node) TakeView() (*fleet.View, bool) {
	if !n.viewStale {
		return nil, false
	}
	n.viewStale = false
	instances := make([]*fleet.Instance, 0)
	for _, item := range n.instances.Items() {
		instances = append(instances, n.merged(item.Value))
	}
	configuration := n.configuration
	if !n.instances.Known() {
		configuration = nil
	}
	n.view = n.view.Next(configuration, instances)
	return n.view, true
}

// listLag is how much older than a report the list may be when it arrives.
const listLag = 1500 * time.Millisecond

// merged is an instance with what its newest report says it holds. A report is
// believed over the list unless the list told something new well after it.
func (n *Node) merged(listed *fleet.Instance) *fleet.Instance {
	known, found := n.facts[listed.ID]
	if !found || known.at.Add(listLag).Before(n.listedAt[listed.ID]) {
		return listed
	}
	copied := *listed
	copied.Residents = known.Residents
	return &copied
}
