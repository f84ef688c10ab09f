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

// requestPlan plans now, or at a later tick if the last plan is too recent. Reports and answers of
// many instances arrive together, and each plan examines all instances.
func (n *Node) requestPlan(now time.Time) {
	if now.Sub(n.plannedAt) < n.planInterval() {
		n.planDue = true
		return
	}
	n.plan(now)
}

// planInterval is the minimum interval between two plans. It grows with the number of instances,
// since each plan examines all of them, and with many there is always a new report to plan for.
func (n *Node) planInterval() time.Duration {
	return max(n.settings.MinPlanInterval, time.Duration(len(n.reports))*n.settings.PlanIntervalPerInstance)
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
	orders := n.residencyTracker.DueResends(now)
	for i := range n.configuration.Services {
		service := &n.configuration.Services[i]
		if service.Engine != nil {
			orders = append(orders, n.residencyTracker.Plan(now, n.plannerService(service), n.demand.of(service.Name))...)
		}
	}
	for _, order := range orders {
		n.residencyTracker.RecordSending(now, order)
		if !order.Load {
			n.publishUnload(now, order)
		}
		n.logEntry("orders", "Sent.", "instance", order.Instance, "load", order.Load, "model", order.Model, "adapter", order.Adapter,
			"from_store", order.FromStore, "expected", order.Expected, "fence", fence, "reason", order.Reason)
		n.enqueue(SendOrder{Order: order, Fence: fence, Until: until})
	}
}

// plannerService converts a service into the planner's representation.
func (n *Node) plannerService(service *fleet.Service) *residency.Service {
	return &residency.Service{Name: service.Name, Engine: service.Engine, ClientTimeout: n.configuration.FirstEventTimeout(service.Name)}
}

// ParkedModels returns the number of parked models, which have no replica because they are idle,
// among those that this daemon places.
func (n *Node) ParkedModels() int {
	if !n.held {
		return 0
	}
	return n.residencyTracker.ParkedCount()
}

// publishUnload notifies all daemons, before the order is sent, not to send requests for what is
// about to be unloaded. It does not wait for the interval after the last update, since the instance
// may decline such requests as soon as it has the order.
func (n *Node) publishUnload(now time.Time, order residency.Order) {
	n.publishResidencyReport(now, now, order.Instance, order.Expected)
	if n.holderUpdates.due[order.Instance] {
		n.sendHolderUpdate(now)
	}
}

// OrderAnswered processes the outcome of an order.
func (n *Node) OrderAnswered(now time.Time, order residency.Order, answer residency.Answer) []Action {
	n.residencyTracker.RecordAnswer(now, order, answer)
	if answer == residency.AnswerDone {
		n.publishResidencyReport(now, now, order.Instance, order.Expected+1)
	}
	if answer != residency.AnswerAccepted && answer != residency.AnswerDone {
		n.logEntry("orders", "Order not confirmed by the instance.", "instance", order.Instance, "model", order.Model, "adapter", order.Adapter, "answer", answer.String())
	}
	if answer == residency.AnswerFenced {
		n.lease.Revoke()
	}
	if state := n.reports[order.Instance]; state != nil {
		state.nextPollAt = now.Add(n.settings.ReportDelay)
	}
	n.requestPlan(now)
	return n.takeActions()
}
