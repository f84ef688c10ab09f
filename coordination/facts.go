package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
)

// fact is the newest report of a model server that is known here.
type fact struct {
	Fact
	at time.Time
}

// goneSpan is how long it is remembered that an instance is gone, unless the list shows it again:
// a server that does not reach the store for a while is taken off it.
const goneSpan = time.Minute

// factBook holds the newest fact of each instance.
type factBook struct {
	byInstance map[string]fact
	// gone holds since when instances are known to be gone: what others still tell of
	// them is no news.
	gone map[string]time.Time
	// digest is equal at daemons that know the same facts.
	digest uint64
}

func newFactBook() factBook {
	return factBook{byInstance: map[string]fact{}, gone: map[string]time.Time{}}
}

func (b *factBook) put(told fact) {
	b.drop(told.Instance)
	b.byInstance[told.Instance] = told
	b.digest ^= told.hash()
}

func (b *factBook) drop(instance string) {
	if known, found := b.byInstance[instance]; found {
		b.digest ^= known.hash()
		delete(b.byInstance, instance)
	}
}

// lose notes that an instance is gone.
func (b *factBook) lose(now time.Time, instance string) {
	b.drop(instance)
	maps.DeleteFunc(b.gone, func(_ string, since time.Time) bool { return now.Sub(since) > goneSpan })
	b.gone[instance] = now
}

func (f *fact) hash() uint64 { return xxhash.Sum64String(f.Instance) * (2*f.Sequence + 1) }

// learn takes in a fact about a model server.
func (n *Node) learn(told Fact, at time.Time) {
	if _, gone := n.facts.gone[told.Instance]; gone {
		return
	}
	known, found := n.facts.byInstance[told.Instance]
	if found && (told.Sequence < known.Sequence || told.Sequence == known.Sequence && at.Before(known.at)) {
		return
	}
	n.facts.put(fact{Fact: told, at: at})
	if !found || !sameResidents(known.Residents, told.Residents) {
		n.changed[told.Instance] = true
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
	known, found := n.facts.byInstance[instance]
	return known.Fact, found
}

// KnowsReport reports whether a report of an instance is known here.
func (n *Node) KnowsReport(instance string) bool {
	_, found := n.facts.byInstance[instance]
	return found
}

// TakeView returns a new snapshot if anything has changed since the last one.
func (n *Node) TakeView() (*fleet.View, bool) {
	before := n.view
	if n.instances.Known() && n.evacuationsKnown() {
		n.view = n.view.WithConfiguration(n.configuration)
	}
	if len(n.changed) > 0 {
		n.view = n.view.WithInstances(n.takeChanged())
	}
	return n.view, n.view != before
}

// takeChanged returns the instances that changed since the last snapshot, and the IDs of
// those that are gone.
func (n *Node) takeChanged() (changed []*fleet.Instance, gone []string) {
	for id := range n.changed {
		if listed, found := n.instances.Get(id); found {
			changed = append(changed, n.merged(listed))
		} else {
			gone = append(gone, id)
		}
	}
	clear(n.changed)
	return changed, gone
}

// listLag is how much older than a report the list may be when it arrives.
const listLag = 1500 * time.Millisecond

// merged is an instance with what its newest report says it holds. A report is
// believed over the list unless the list told something new well after it.
func (n *Node) merged(listed *fleet.Instance) *fleet.Instance {
	listed = n.inUse(listed)
	known, found := n.facts.byInstance[listed.ID]
	if !found || known.at.Add(listLag).Before(n.listedAt[listed.ID]) {
		return listed
	}
	copied := *listed
	copied.Residents = known.Residents
	return &copied
}

// tellFact tells the other daemons what a server serves, if that is news.
func (n *Node) tellFact(now, at time.Time, instance string, sequence uint64) {
	state := n.reports[instance]
	told := Fact{Instance: instance, Sequence: sequence, Residents: n.book.Residents(instance)}
	n.learn(told, at)
	if state == nil || told.Sequence == state.sent.Sequence && sameResidents(told.Residents, state.sent.Residents) {
		return
	}
	state.sent = told
	n.spreading.due[instance] = true
	if now.Sub(n.spreading.sentAt) >= n.settings.SpreadSoon {
		n.spread(now)
	}
}

// allFacts lists what is known of all model servers.
func (n *Node) allFacts(now time.Time) []Fact {
	facts := make([]Fact, 0, len(n.facts.byInstance))
	for instance := range n.facts.byInstance {
		facts = append(facts, n.agedFact(now, instance))
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Instance, b.Instance) })
	return facts
}

// agedFact is a fact with its present age.
func (n *Node) agedFact(now time.Time, instance string) Fact {
	known := n.facts.byInstance[instance]
	told := known.Fact
	told.Age = now.Sub(known.at)
	return told
}
