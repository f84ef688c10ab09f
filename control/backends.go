package control

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/placement"
)

// backEndState is this daemon's state of one back end. The field known is true once a
// report has been received, and at is when the last report or load update was.
type backEndState struct {
	report api.Report
	known  bool
	at     time.Time
	// expired means that the report is too old to count as an observation in the routing
	// view.
	expired bool
	// viewedBoot and health are the boot and health that the routing view was built
	// with.
	viewedBoot string
	health     placement.Health
	polling    bool
	nextPoll   time.Time
	failures   int
	orders     map[orderKey]time.Time
	sent       sentReportState
	// requesters are the peer addresses to which the report of the next poll is sent.
	requesters []string
}

type orderKey struct {
	kind     api.OrderKind
	artifact api.Artifact
	fence    uint64
}

func (n *Node) backEnd(name string) *backEndState {
	state := n.backEnds[name]
	if state == nil {
		state = &backEndState{orders: map[orderKey]time.Time{}}
		n.backEnds[name] = state
	}
	return state
}

// tickPolls polls the engines that this daemon acts for.
func (n *Node) tickPolls(now time.Time) {
	for _, name := range n.actingFor() {
		n.pollIfDue(now, name)
	}
	n.deleteOrphanRecords(now)
}

func (n *Node) pollIfDue(now time.Time, name string) {
	state := n.backEnd(name)
	if state.polling || now.Before(state.nextPoll) {
		return
	}
	machine, found := n.catalog.machines[name]
	if !found {
		return
	}
	state.polling = true
	state.nextPoll = now.Add(n.jitter(n.settings.PollInterval))
	n.emit(Poll{BackEnd: name, Address: machine.Address})
}

// PollAnswered handles the answer to Poll.
func (n *Node) PollAnswered(now time.Time, answer PollAnswer) []Action {
	state := n.backEnd(answer.BackEnd)
	state.polling = false
	machine, found := n.catalog.machines[answer.BackEnd]
	acting := found && n.actsForBackEnd(answer.BackEnd, machine.Zone)
	if answer.Err != CallOK {
		state.requesters = nil
		if acting {
			n.pollFailed(answer.BackEnd, state)
		}
		return n.takeActions()
	}
	state.failures = 0
	n.mergeReport(now, answer.Report)
	n.answerRequesters(state)
	if acting {
		n.observeHealth(&answer.Report)
		n.reconcile(now, answer.BackEnd, machine, state)
		n.distributeReport(now, answer.BackEnd, state)
	}
	return n.takeActions()
}

// pollFailed counts polls that failed in a row. Only the daemon that acts for a back end
// marks it down, because others may be unable to reach it. Until then it has other
// daemons poll the back end too, as the fault may be in its own connection.
func (n *Node) pollFailed(name string, state *backEndState) {
	state.failures++
	if state.failures < n.settings.PollFailures {
		n.requestPolls(name)
		return
	}
	entry, observed := n.detector.BackEnd(name)
	if observed && n.detector.ObserveBackEnd(name, entry.Boot, member.BackEndDown) {
		n.revision++
		n.logDecision("placement", "Back end is down.", "back_end", name, "failed_polls", state.failures)
	}
}

// mergeReport stores a report if it is newer than the stored one, and returns whether it
// was.
func (n *Node) mergeReport(now time.Time, report api.Report) bool {
	state := n.backEnd(report.BackEnd)
	if state.known && !reportNewer(&report, &state.report) {
		return false
	}
	if !state.known || state.expired || !sameStructure(&state.report, &report) {
		n.revision++
		n.catalog.markBackEnd(report.BackEnd)
	}
	state.report = report
	state.known = true
	state.expired = false
	n.recordLoad(now, state)
	return true
}

// observeHealth publishes to the members the health that a report shows.
func (n *Node) observeHealth(report *api.Report) {
	health := member.BackEndUp
	if report.Leaving || n.catalog.machines[report.BackEnd].State == api.MachineLeaving {
		health = member.BackEndLeaving
	}
	if n.detector.ObserveBackEnd(report.BackEnd, report.Boot, health) {
		n.logDecision("placement", "Back end state changed.", "back_end", report.BackEnd, "state", health, "boot", report.Boot)
	}
}

func (n *Node) recordLoad(now time.Time, state *backEndState) {
	state.at = now
	report := &state.report
	n.loads.Get(report.BackEnd).SetReport(report.Running+report.Waiting, report.Slots, now)
}

func reportNewer(report, known *api.Report) bool {
	if report.Boot != known.Boot {
		return report.Boot > known.Boot
	}
	return report.Sequence > known.Sequence
}

// sameStructure reports whether two reports differ in load only.
func sameStructure(a, b *api.Report) bool {
	return a.Boot == b.Boot && a.Leaving == b.Leaving && a.Slots == b.Slots && slices.Equal(a.Residents, b.Residents)
}

// reconcile moves the engine towards its placement record.
func (n *Node) reconcile(now time.Time, name string, machine api.Machine, state *backEndState) {
	known, found := n.catalog.placements[name]
	if !found {
		return
	}
	leaving := n.health(name) == placement.Leaving
	if leaving != known.placement.Leaving {
		record := known.placement.Clone()
		record.BackEnd = name
		record.Leaving = leaving
		if n.write(now, record, known.version, false) {
			n.logDecision("placement", "Leaving flag in placement record of back end changed.", "back_end", name, "leaving", leaving)
		}
		return
	}
	result := placement.Reconcile(known.placement, known.version, machine.ChecksFence, &state.report, n.loadSlots())
	if result.RecordChanged {
		if n.write(now, result.Record, known.version, false) {
			n.logDecision("placement", "Released artifacts removed from placement record.", "back_end", name, "fence", state.report.Fence)
		}
		return
	}
	n.sendOrders(now, name, machine, state, result.Orders)
}

// loadSlots returns how many loads may run at once on one back end, from this daemon's
// share of the weight store's slots.
func (n *Node) loadSlots() int {
	engines := max(len(n.catalog.engineNames()), 1)
	mine := len(n.actingFor())
	perBackEnd := n.settings.WeightStoreSlots * mine / engines / max(mine, 1)
	return max(perBackEnd, 1)
}

func (n *Node) sendOrders(now time.Time, name string, machine api.Machine, state *backEndState, orders []api.Order) {
	for key, sent := range state.orders {
		if now.Sub(sent) > n.settings.OrderRetry {
			delete(state.orders, key)
		}
	}
	for _, order := range orders {
		key := orderKey{order.Kind, order.Artifact, order.Fence}
		if _, waiting := state.orders[key]; waiting {
			continue
		}
		state.orders[key] = now
		n.logDecision("placement", "Order sent.", "order", string(order.Kind), "artifact", order.Artifact.String(), "back_end", name, "fence", order.Fence)
		n.emit(SendOrder{BackEnd: name, Address: machine.Address, Order: order})
	}
}

// deleteOrphanRecords deletes placement records of machines that were removed from the
// machine list.
func (n *Node) deleteOrphanRecords(now time.Time) {
	if now.Before(n.nextPlan) || len(n.catalog.machines) == 0 {
		return
	}
	for _, name := range sortedNames(n.catalog.placements) {
		known := n.catalog.placements[name]
		key := api.Key{Kind: api.KindMachine, Name: name}
		orphaned := n.store.Version(key) != 0 && n.catalog.machines[name].Name == ""
		if !orphaned || known.version == 0 || !n.recordExists(name) || !n.actsForBackEnd(name, "") {
			continue
		}
		if n.write(now, known.placement, known.version, true) {
			n.logDecision("placement", "Placement record removed.", "back_end", name, "reason", "machine gone")
		}
	}
}

func (n *Node) recordExists(name string) bool {
	_, live := n.store.Get(api.Key{Kind: api.KindPlacement, Name: name})
	return live
}
