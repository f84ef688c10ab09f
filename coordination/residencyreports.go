package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/fleet"
)

// timedReport is the newest residency report of an instance that is known here, with the time of the report.
type timedReport struct {
	ResidencyReport
	at time.Time
}

// goneTTL is how long it is remembered that an instance is gone, unless the list shows it again. A
// server that can't reach the store for a while is removed from the list.
const goneTTL = time.Minute

// reportTracker is a cache of the newest residency report of each instance.
type reportTracker struct {
	byInstance map[string]timedReport
	// gone holds the time at which instances were removed. Reports of other daemons on these instances
	// are outdated and ignored.
	gone map[string]time.Time
	// digest is equal at daemons that hold the same reports.
	digest uint64
}

func newReportTracker() reportTracker {
	return reportTracker{byInstance: map[string]timedReport{}, gone: map[string]time.Time{}}
}

func (b *reportTracker) put(report timedReport) {
	b.drop(report.Instance)
	b.byInstance[report.Instance] = report
	b.digest ^= report.hash()
}

func (b *reportTracker) drop(instance string) {
	if known, found := b.byInstance[instance]; found {
		b.digest ^= known.hash()
		delete(b.byInstance, instance)
	}
}

// markGone records that an instance is gone.
func (b *reportTracker) markGone(now time.Time, instance string) {
	b.drop(instance)
	maps.DeleteFunc(b.gone, func(_ string, since time.Time) bool { return now.Sub(since) > goneTTL })
	b.gone[instance] = now
}

func (f *timedReport) hash() uint64 { return xxhash.Sum64String(f.Instance) * (2*f.Sequence + 1) }

// mergeResidencyReport merges a residency report of an instance.
func (n *Node) mergeResidencyReport(report ResidencyReport, at time.Time) {
	if _, gone := n.residencyReports.gone[report.Instance]; gone {
		return
	}
	known, found := n.residencyReports.byInstance[report.Instance]
	if found && (report.Sequence < known.Sequence || report.Sequence == known.Sequence && at.Before(known.at)) {
		return
	}
	n.residencyReports.put(timedReport{ResidencyReport: report, at: at})
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

// ResidencyReportOf returns the newest residency report of an instance, if one is known here.
func (n *Node) ResidencyReportOf(instance string) (ResidencyReport, bool) {
	known, found := n.residencyReports.byInstance[instance]
	return known.ResidencyReport, found
}

// HasResidencyReport reports whether a residency report of an instance is known here.
func (n *Node) HasResidencyReport(instance string) bool {
	_, found := n.residencyReports.byInstance[instance]
	return found
}

// TakeView returns the current snapshot, and whether it differs from the last one.
func (n *Node) TakeView() (*fleet.View, bool) {
	before := n.view
	if n.instances.Synced() && n.evacuationsSynced() {
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
	known, found := n.residencyReports.byInstance[listed.ID]
	if !found || known.at.Add(maxListLag).Before(n.listedAt[listed.ID]) {
		return listed
	}
	copied := *listed
	copied.Residents = known.Residents
	return &copied
}

// publishResidencyReport broadcasts the residents of an instance to the other daemons, if they have changed.
func (n *Node) publishResidencyReport(now, at time.Time, instance string, sequence uint64) {
	state := n.reports[instance]
	report := ResidencyReport{Instance: instance, Sequence: sequence, Residents: n.residencyTracker.Residents(instance)}
	n.mergeResidencyReport(report, at)
	if state == nil || report.Sequence == state.sent.Sequence && sameResidents(report.Residents, state.sent.Residents) {
		return
	}
	state.sent = report
	n.holderUpdates.due[instance] = true
	if now.Sub(n.holderUpdates.sentAt) >= n.settings.MinHolderUpdateInterval {
		n.sendHolderUpdate(now)
	}
}

// allResidencyReports returns the residency reports of all instances.
func (n *Node) allResidencyReports(now time.Time) []ResidencyReport {
	residencyReports := make([]ResidencyReport, 0, len(n.residencyReports.byInstance))
	for instance := range n.residencyReports.byInstance {
		residencyReports = append(residencyReports, n.residencyReportWithAge(now, instance))
	}
	slices.SortFunc(residencyReports, func(a, b ResidencyReport) int { return cmp.Compare(a.Instance, b.Instance) })
	return residencyReports
}

// residencyReportWithAge returns a residency report with its present age.
func (n *Node) residencyReportWithAge(now time.Time, instance string) ResidencyReport {
	known := n.residencyReports.byInstance[instance]
	report := known.ResidencyReport
	report.Age = now.Sub(known.at)
	return report
}
