package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
)

// fact is the newest residency report of an instance that is known here, with the time of the report.
type fact struct {
	Fact
	at time.Time
}

// goneTTL is how long it is remembered that an instance is gone, unless the list shows it again. A
// server that can't reach the store for a while is removed from the list.
const goneTTL = time.Minute

// factBook is a cache of the newest residency report of each instance.
type factBook struct {
	byInstance map[string]fact
	// gone holds the time at which instances were removed. Reports of other daemons on these instances
	// are outdated and ignored.
	gone map[string]time.Time
	// digest is equal at daemons that hold the same reports.
	digest uint64
}

func newFactBook() factBook {
	return factBook{byInstance: map[string]fact{}, gone: map[string]time.Time{}}
}

func (b *factBook) put(report fact) {
	b.drop(report.Instance)
	b.byInstance[report.Instance] = report
	b.digest ^= report.hash()
}

func (b *factBook) drop(instance string) {
	if known, found := b.byInstance[instance]; found {
		b.digest ^= known.hash()
		delete(b.byInstance, instance)
	}
}

// lose records that an instance is gone.
func (b *factBook) lose(now time.Time, instance string) {
	b.drop(instance)
	maps.DeleteFunc(b.gone, func(_ string, since time.Time) bool { return now.Sub(since) > goneTTL })
	b.gone[instance] = now
}

func (f *fact) hash() uint64 { return xxhash.Sum64String(f.Instance) * (2*f.Sequence + 1) }

// learn merges a residency report of an instance.
func (n *Node) learn(report Fact, at time.Time) {
	if _, gone := n.facts.gone[report.Instance]; gone {
		return
	}
	known, found := n.facts.byInstance[report.Instance]
	if found && (report.Sequence < known.Sequence || report.Sequence == known.Sequence && at.Before(known.at)) {
		return
	}
	n.facts.put(fact{Fact: report, at: at})
	if !found || !sameResidents(known.Residents, report.Residents) {
		n.changed[report.Instance] = true
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

// FactOf returns the newest residency report of an instance, if one is known here.
func (n *Node) FactOf(instance string) (Fact, bool) {
	known, found := n.facts.byInstance[instance]
	return known.Fact, found
}

// KnowsReport reports whether a residency report of an instance is known here.
func (n *Node) KnowsReport(instance string) bool {
	_, found := n.facts.byInstance[instance]
	return found
}

// TakeView returns the current snapshot, and whether it differs from the last one.
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

// takeChanged returns the instances that changed since the last snapshot, and the IDs of those that are
// gone.
func (n *Node) takeChanged() (changed []*fleet.Instance, gone []string) {
	for id := range n.changed {
		if listed, found := n.instances.Get(id); found {
			changed = append(changed, n.withReportedResidents(listed))
		} else {
			gone = append(gone, id)
		}
	}
	clear(n.changed)
	return changed, gone
}

// maxListLag is by how much a list may be older than a report that was made before the list arrives.
const maxListLag = 1500 * time.Millisecond

// withReportedResidents returns an instance with the residents of its newest report. The report takes
// precedence over the list, unless the list brought a change well after the report.
func (n *Node) withReportedResidents(listed *fleet.Instance) *fleet.Instance {
	listed = n.inUse(listed)
	known, found := n.facts.byInstance[listed.ID]
	if !found || known.at.Add(maxListLag).Before(n.listedAt[listed.ID]) {
		return listed
	}
	copied := *listed
	copied.Residents = known.Residents
	return &copied
}

// tellFact broadcasts the residents of an instance to the other daemons, if they have changed.
func (n *Node) tellFact(now, at time.Time, instance string, sequence uint64) {
	state := n.reports[instance]
	report := Fact{Instance: instance, Sequence: sequence, Residents: n.book.Residents(instance)}
	n.learn(report, at)
	if state == nil || report.Sequence == state.sent.Sequence && sameResidents(report.Residents, state.sent.Residents) {
		return
	}
	state.sent = report
	n.spreading.due[instance] = true
	if now.Sub(n.spreading.sentAt) >= n.settings.SpreadSoon {
		n.spread(now)
	}
}

// allFacts returns the residency reports of all instances.
func (n *Node) allFacts(now time.Time) []Fact {
	facts := make([]Fact, 0, len(n.facts.byInstance))
	for instance := range n.facts.byInstance {
		facts = append(facts, n.agedFact(now, instance))
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Instance, b.Instance) })
	return facts
}

// agedFact returns a residency report with its present age.
func (n *Node) agedFact(now time.Time, instance string) Fact {
	known := n.facts.byInstance[instance]
	report := known.Fact
	report.Age = now.Sub(known.at)
	return report
}
