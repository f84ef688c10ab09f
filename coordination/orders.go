package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/residency"
)

// rankPause is how much later each further candidate tries to take the lease.
const rankPause = 300 * time.Millisecond

// releasedRankPause is the same for a lease that was handed back: nobody has to be waited
// for, and two that try at once do no harm.
const releasedRankPause = 60 * time.Millisecond

func (n *Node) tickLease(now time.Time) {
	if !n.Known() {
		return
	}
	_, _, ordering := n.mayOrder(now)
	held := n.lease.Held(now) || ordering
	if held != n.held {
		n.held = held
		n.leaseChanged(now)
	}
	if held {
		n.lastHolder = now
	}
	if call := n.lease.Step(now, n.eager(now)); call != nil {
		n.do(CallLease{Call: *call})
	}
}

// eager reports whether this daemon should try to take the lease: nobody was
// heard to hold it for a while. The candidates try one after the other, in an
// order that all compute alike.
func (n *Node) eager(now time.Time) bool {
	if n.releasedFence > 0 && n.releasedFence >= n.holderFence {
		return now.Sub(n.releasedAt) >= time.Duration(n.Rank())*releasedRankPause
	}
	silence := now.Sub(n.lastHolder)
	quiet := n.settings.Lease.Term / 2
	if n.holderName == "" {
		// At the first start there is nobody to wait for.
		quiet = rankPause
	}
	return silence >= quiet+time.Duration(n.Rank())*rankPause
}

// Rank is this daemon's place among the live ones, in an order that all compute
// alike.
func (n *Node) Rank() int {
	if revision := n.detector.Revision(); revision != n.rankAt {
		n.rank, n.rankAt = n.newRank(), revision
	}
	return n.rank
}

func (n *Node) newRank() int {
	self := n.detector.Self()
	rank := 0
	for _, name := range n.detector.Live() {
		if other, _ := n.detector.Lookup(name); name != n.self && other.Before(&self, "lease/") {
			rank++
		}
	}
	return rank
}

func (n *Node) leaseChanged(now time.Time) {
	fence, _, may := n.mayOrder(now)
	n.decide("lease", "Changed.", "held", n.held, "fence", fence, "may_order", may, "store_away", n.storeAway())
	if !n.held {
		return
	}
	n.holderName = n.self
	n.book.Resume()
	for id := range n.reports {
		delete(n.reports, id)
	}
	// A predecessor may have used up the weight store's rate a moment ago.
	if n.lease.Succeeded() {
		n.demandDueAt = now.Add(n.demandWait())
		n.inherit(now)
	}
}

// demandWait is how long a new holder waits for the demand for models. In a small fleet
// it has heard all along; in a large one daemons tell it the holder only, and a plan without
// demand would take away the replicas that are needed most.
func (n *Node) demandWait() time.Duration {
	others := len(n.others())
	if others <= n.settings.SharePeers {
		return 0
	}
	return demandRounds * n.demandPause(others)
}

// demandRounds is how many times each daemon tells of its demand in that time: one message
// may be lost, or have gone to the holder before.
const demandRounds = 2

// hearsDemand reports whether a new holder has heard the demand. It then counts in full:
// what was seen so far is not a trend.
func (n *Node) hearsDemand(now time.Time) bool {
	if n.demandDueAt.IsZero() {
		return true
	}
	if now.Before(n.demandDueAt) {
		return false
	}
	n.demandDueAt = time.Time{}
	n.demand.adopt()
	return true
}

// loadsPerSecond is the rate of the weight store.
func (n *Node) loadsPerSecond() float64 {
	rate := 0.0
	for _, service := range n.services() {
		if service.Engine != nil {
			rate = max(rate, service.Engine.LoadsPerSecond)
		}
	}
	return rate
}

func (n *Node) services() []fleet.Service {
	if n.configuration == nil {
		return nil
	}
	return n.configuration.Services
}

// LeaseAnswered takes in the end of a call for the lease.
func (n *Node) LeaseAnswered(now time.Time, outcome lease.Outcome, stored lease.Stored) []Action {
	left := n.lease.Left()
	n.lease.Answered(now, outcome, stored)
	if !left && n.lease.Left() && n.lease.Released() {
		n.spreadReleased(now)
	}
	n.tickLease(now)
	return n.take()
}

// planSoon plans now, or at the next tick if the last plan was a moment ago: reports
// and answers of many servers come together, and each plan looks at all of them.
func (n *Node) planSoon(now time.Time) {
	if now.Sub(n.plannedAt) < n.planPause() {
		n.planDue = true
		return
	}
	n.plan(now)
}

// planPause is the least time between two plans: each looks at all servers, and with many
// of them there is always a report to plan for.
func (n *Node) planPause() time.Duration {
	return max(n.settings.PlanPause, time.Duration(len(n.reports))*n.settings.PlanServerPause)
}

// plan decides which orders to send, if this daemon may send any.
func (n *Node) plan(now time.Time) {
	n.plannedAt, n.planDue = now, false
	n.plans++
	fence, until, may := n.mayOrder(now)
	if !may || !n.hearsDemand(now) {
		return
	}
	n.demand.tick(now, n.settings.DemandHalfLife, n.peers)
	orders := n.book.Resend(now)
	for i := range n.configuration.Services {
		service := &n.configuration.Services[i]
		if service.Engine != nil {
			orders = append(orders, n.book.Plan(now, service.Name, service.Engine, n.demand.of(service.Name))...)
		}
	}
	for _, order := range orders {
		n.book.Sending(now, order)
	}
	if slices.ContainsFunc(orders, func(order residency.Order) bool { return order.FromStore }) {
		// All hear of these loads before they begin, see hearLoads.
		n.spread(now)
	}
	for _, order := range orders {
		if !order.Load {
			// Nobody sends requests any more for what is about to go.
			n.tellFact(now, now, order.Instance, order.Expected)
		}
		n.decide("orders", "Sent.", "instance", order.Instance, "load", order.Load, "model", order.Model, "adapter", order.Adapter,
			"expected", order.Expected, "fence", fence, "reason", order.Reason)
		n.do(SendOrder{Order: order, Fence: fence, Until: until})
	}
}

// OrderAnswered takes in the end of an order.
func (n *Node) OrderAnswered(now time.Time, order residency.Order, answer residency.Answer) []Action {
	n.book.Answered(now, order, answer)
	if answer == residency.AnswerDone {
		n.tellFact(now, now, order.Instance, order.Expected+1)
	}
	if answer != residency.AnswerTaken && answer != residency.AnswerDone {
		n.decide("orders", "Not taken.", "instance", order.Instance, "model", order.Model, "adapter", order.Adapter, "answer", answer.String())
	}
	if answer == residency.AnswerFenced {
		n.lease.Lost()
	}
	if state := n.reports[order.Instance]; state != nil {
		state.next = now.Add(n.settings.ReportSoon)
	}
	n.planSoon(now)
	return n.take()
}

// reportState is when to ask one model server next.
type reportState struct {
	next   time.Time
	asking bool
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
		if !engines[instance.Service] {
			continue
		}
		state := n.reports[instance.ID]
		if state == nil {
			state = &reportState{}
			n.reports[instance.ID] = state
		}
		if !state.asking && !now.Before(state.next) {
			state.asking = true
			n.do(AskReport{Instance: instance.ID, Address: instance.Address})
		}
	}
}

// ReportAnswered takes in a report, or that there was none.
func (n *Node) ReportAnswered(askedAt, now time.Time, instance string, report fleet.Report, ok bool) []Action {
	state := n.reports[instance]
	if state == nil {
		return n.take()
	}
	state.asking = false
	state.next = now.Add(n.settings.ReportEvery)
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
	n.book.Report(askedAt, instance, report)
	n.tellFact(now, askedAt, instance, report.Sequence)
	n.planSoon(now)
	return n.take()
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

// sendAll sends a message to several daemons.
func (n *Node) sendAll(names []string, message Message) {
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		if other, found := n.detector.Lookup(name); found && name != n.self {
			addresses = append(addresses, other.PeerAddress)
		}
	}
	if len(addresses) > 0 {
		n.do(Broadcast{Addresses: addresses, Message: message})
	}
}
