package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// pollState is the state of polling the reports of one instance.
type pollState struct {
	nextPollAt time.Time
	pending    bool
	// backoffUntil is when a backoff ends that the instance requested from this daemon.
	backoffUntil time.Time
	// unanswered means that the last poll was not answered.
	unanswered bool
	// sent is the last residency report that was broadcast to the other daemons.
	sent ResidencyReport
}

// tickReports polls the reports of all instances, if this daemon sends the orders.
func (n *Node) tickReports(now time.Time) {
	if !n.held {
		return
	}
	engines := map[string]bool{}
	for _, service := range n.services() {
		engines[service.Name] = service.Engine != nil
	}
	for _, item := range n.instances.Items() {
		instance := item.Value
		if !engines[instance.Service] || n.evacuated(instance.Zone) {
			continue
		}
		state := n.reportStateOf(instance.ID)
		if !state.pending && !now.Before(state.nextPollAt) && !now.Before(state.backoffUntil) {
			state.pending = true
			n.enqueue(RequestReport{Instance: instance.ID, Address: instance.Address})
		}
	}
}

// pollInterval returns the interval between two polls of an idle instance. It grows with the number of
// instances, since one daemon polls all of them.
func (n *Node) pollInterval() time.Duration {
	return max(n.settings.ReportInterval, time.Duration(len(n.reports))*n.settings.ReportIntervalPerInstance)
}

func (n *Node) reportStateOf(instance string) *pollState {
	state := n.reports[instance]
	if state == nil {
		state = &pollState{}
		n.reports[instance] = state
	}
	return state
}

// BackOffInstance records that an instance requested a backoff: this daemon sends it neither polls nor
// orders until the given time.
func (n *Node) BackOffInstance(instance string, until time.Time) []Action {
	if _, listed := n.instances.Get(instance); listed {
		n.reportStateOf(instance).backoffUntil = until
		n.residencyTracker.BackOff(instance, until)
	}
	return n.takeActions()
}

// ReportAnswered processes a report, or a poll that was not answered.
func (n *Node) ReportAnswered(askedAt, now time.Time, instance string, report fleet.Report, ok bool) []Action {
	state := n.reports[instance]
	if state == nil {
		return n.takeActions()
	}
	state.pending = false
	state.nextPollAt = now.Add(n.pollInterval())
	if state.unanswered == ok {
		state.unanswered = !ok
		n.logEntry("instances", "Report polls of an instance started or stopped being answered.", "instance", instance, "answered", ok)
	}
	if !ok {
		n.residencyTracker.RecordUnanswered(askedAt, instance)
		return n.takeActions()
	}
	if report.Busy || len(report.Coming) > 0 {
		state.nextPollAt = now.Add(2 * n.settings.ReportDelay)
	}
	n.residencyTracker.Report(askedAt, now, instance, report)
	n.publishResidencyReport(now, askedAt, instance, report.Sequence)
	n.requestPlan(now)
	return n.takeActions()
}
