package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// reportState is when to ask one model server next.
type reportState struct {
	next   time.Time
	asking bool
	// restUntil is when a rest ends that the server asked this daemon for.
	restUntil time.Time
	// unanswered says that the last question was not answered.
	unanswered bool
	// sent is the last fact that was told to the other daemons.
	sent Fact
}

// tickReports asks model servers, if this daemon sends the orders.
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
		state := n.reportOf(instance.ID)
		if !state.asking && !now.Before(state.next) && !now.Before(state.restUntil) {
			state.asking = true
			n.do(AskReport{Instance: instance.ID, Address: instance.Address})
		}
	}
}

// reportPause is the time between two questions to a model server that is at rest: one daemon asks all of them.
func (n *Node) reportPause() time.Duration {
	return max(n.settings.ReportEvery, time.Duration(len(n.reports))*n.settings.ReportCost)
}

func (n *Node) reportOf(instance string) *reportState {
	state := n.reports[instance]
	if state == nil {
		state = &reportState{}
		n.reports[instance] = state
	}
	return state
}

// InstanceRests takes in that an instance wants nothing from this daemon for a while: no questions and no
// orders either.
func (n *Node) InstanceRests(instance string, until time.Time) []Action {
	if _, listed := n.instances.Get(instance); listed {
		n.reportOf(instance).restUntil = until
		n.book.LeaveAlone(instance, until)
	}
	return n.take()
}

// ReportAnswered takes in a report, or that there was none.
func (n *Node) ReportAnswered(askedAt, now time.Time, instance string, report fleet.Report, ok bool) []Action {
	state := n.reports[instance]
	if state == nil {
		return n.take()
	}
	state.asking = false
	state.next = now.Add(n.reportPause())
	if state.unanswered == ok {
		state.unanswered = !ok
		n.decide("instances", "Question to a model server.", "instance", instance, "answered", ok)
	}
	if !ok {
		n.book.Unanswered(askedAt, instance)
		return n.take()
	}
	if report.Busy || len(report.Coming) > 0 {
		state.next = now.Add(2 * n.settings.ReportSoon)
	}
	n.book.Report(askedAt, now, instance, report)
	n.tellFact(now, askedAt, instance, report.Sequence)
	n.planSoon(now)
	return n.take()
}
