package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

func (n *Node) services() []fleet.Service {
	if n.configuration == nil {
		return nil
	}
	return n.configuration.Services
}

// loadsPerSecond returns the maximum rate of loads from the weight store.
func (n *Node) loadsPerSecond() float64 {
	rate := 0.0
	for _, service := range n.services() {
		if service.Engine != nil {
			rate = max(rate, service.Engine.LoadsPerSecond)
		}
	}
	return rate
}

// planSoon plans now, or at a later tick if the last plan is too recent. Reports and answers of
// many instances arrive together, and each plan examines all instances.
func (n *Node) planSoon(now time.Time) {
	if now.Sub(n.plannedAt) < n.planInterval() {
		n.planDue = true
		return
	}
	n.plan(now)
}

// planInterval is the minimum interval between two plans. It grows with the number of instances,
// since each plan examines all of them, and with many there is always a new report to plan for.
func (n *Node) planInterval() time.Duration {
	return max(n.settings.PlanPause, time.Duration(len(n.reports))*n.settings.PlanServerPause)
}

// plan decides which orders to send, and sends them if this daemon may.
func (n *Node) plan(now time.Time) {
	n.plannedAt, n.planDue = now, false
	n.plans++
	fence, until, may := n.mayOrder(now)
	if !may || !n.demandCollected(now) {
		return
	}
	n.demand.tick(now, n.settings.DemandHalfLife, n.peers)
	orders := n.book.Resend(now)
	for i := range n.configuration.Services {
		service := &n.configuration.Services[i]
		if service.Engine != nil {
			orders = append(orders, n.book.Plan(now, n.plannerService(service), n.demand.of(service.Name))...)
		}
	}
	for _, order := range orders {
		n.book.Sending(now, order)
		if !order.Load {
			n.publishUnload(now, order)
		}
		n.decide("orders", "Sent.", "instance", order.Instance, "load", order.Load, "model", order.Model, "adapter", order.Adapter,
			"from_store", order.FromStore, "expected", order.Expected, "fence", fence, "reason", order.Reason)
		n.do(SendOrder{Order: order, Fence: fence, Until: until})
	}
}

// plannerService converts a service into the planner's representation.
func (n *Node) plannerService(service *fleet.Service) *residency.Service {
	return &residency.Service{Name: service.Name, Engine: service.Engine, Patience: n.configuration.FirstEventPatience(service.Name)}
}

// ParkedModels returns the number of parked models, which have no replica because they are idle,
// among those that this daemon places.
func (n *Node) ParkedModels() int {
	if !n.held {
		return 0
	}
	return n.book.Parked()
}

// publishUnload notifies all daemons, before the order is sent, not to send requests for what is
// about to be unloaded. It does not wait for the interval after the last update, since the instance
// may decline such requests as soon as it has the order.
func (n *Node) publishUnload(now time.Time, order residency.Order) {
	n.tellFact(now, now, order.Instance, order.Expected)
	if n.spreading.due[order.Instance] {
		n.spread(now)
	}
}

// OrderAnswered processes the outcome of an order.
func (n *Node) OrderAnswered(now time.Time, order residency.Order, answer residency.Answer) []Action {
	n.book.Answered(now, order, answer)
	if answer == residency.AnswerDone {
		n.tellFact(now, now, order.Instance, order.Expected+1)
	}
	if answer != residency.AnswerTaken && answer != residency.AnswerDone {
		n.decide("orders", "Order not confirmed by the instance.", "instance", order.Instance, "model", order.Model, "adapter", order.Adapter, "answer", answer.String())
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
