package residency_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

const service = "llm"

// serviceFor returns the service with an engine and without a client timeout.
func serviceFor(engine *fleet.Engine) *residency.Service {
	return &residency.Service{Name: service, Engine: engine}
}

func engine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 32, MemoryTokens: 100000, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 1,
		Models: []fleet.Model{
			{Name: "big", WeightsMB: 90, Adapters: 6, AdapterMB: 2}, {Name: "mid", WeightsMB: 60, Adapters: 2, AdapterMB: 2},
			{Name: "small", WeightsMB: 40}, {Name: "tiny", WeightsMB: 30}, {Name: "other", WeightsMB: 80},
		},
	}
}

// fakeInstance is the oracle. It holds what it was ordered to hold, in the order in which orders
// arrive. Tests check that this never exceeds its memory and slots.
type fakeInstance struct {
	id       string
	models   map[string][]string
	sequence uint64
	busy     *residency.Order
	late     []residency.Order
	// unresponsive instances answer nothing.
	unresponsive bool
	// software is the version of the instance's software.
	software string
}

// accept handles an order as an instance does.
func (s *fakeInstance) accept(order residency.Order) residency.Answer {
	if s.busy != nil || order.Expected != s.sequence {
		return residency.AnswerBusy
	}
	s.sequence++
	if order.Adapter == "" {
		s.busy = &order
		return residency.AnswerAccepted
	}
	s.apply(order)
	if order.Load {
		return residency.AnswerAccepted
	}
	return residency.AnswerDone
}

func (s *fakeInstance) apply(order residency.Order) {
	switch {
	case order.Adapter == "" && order.Load:
		s.models[order.Model] = nil
	case order.Adapter == "":
		delete(s.models, order.Model)
	case order.Load:
		s.models[order.Model] = append(s.models[order.Model], order.Adapter)
	default:
		s.models[order.Model] = slices.DeleteFunc(s.models[order.Model], func(a string) bool { return a == order.Adapter })
	}
}

// finish completes the order in progress.
func (s *fakeInstance) finish() {
	if s.busy != nil {
		s.apply(*s.busy)
		s.busy = nil
	}
}

func (s *fakeInstance) report() fleet.Report {
	report := fleet.Report{Busy: s.busy != nil, Sequence: s.sequence}
	for model, adapters := range s.models {
		report.Residents = append(report.Residents, fleet.Resident{Model: model, Adapters: slices.Clone(adapters)})
	}
	return report
}

// check fails if an instance holds more than fits, including an order in progress.
func (s *fakeInstance) check(t *rapid.T, e *fleet.Engine) {
	used, adapters := 0.0, 0
	for name, held := range s.models {
		used += e.Model(name).WeightsMB + float64(len(held))*e.Model(name).AdapterMB
		adapters += len(held)
	}
	if s.busy != nil && s.busy.Load {
		used += e.Model(s.busy.Model).WeightsMB
	}
	if used > e.WeightsMB || adapters > e.AdapterSlots {
		t.Fatalf("%s holds %v MB and %d adapters", s.id, used, adapters)
	}
}

func fleetInstances(instances []*fakeInstance) []*fleet.Instance {
	var all []*fleet.Instance
	for i, s := range instances {
		all = append(all, &fleet.Instance{ID: s.id, Service: service, Zone: fmt.Sprint("zone-", i%3), Slots: 32, Software: s.software})
	}
	return all
}

func find(instances []*fakeInstance, id string) *fakeInstance {
	for _, s := range instances {
		if s.id == id {
			return s
		}
	}
	return nil
}

// promptDeployment has a tracker and instances that answer at once.
type promptDeployment struct {
	tracker   *residency.Tracker
	engine    *fleet.Engine
	instances []*fakeInstance
	now       time.Time
	orders    []residency.Order
}

func newPromptDeployment(instances ...*fakeInstance) *promptDeployment {
	c := &promptDeployment{tracker: residency.NewTracker(residency.DefaultSettings()), engine: engine(), instances: instances, now: time.Unix(1000, 0)}
	putAll(c.tracker, fleetInstances(instances))
	return c
}

// run plans for the given duration with a constant demand. Orders complete within a step.
func (c *promptDeployment) run(duration time.Duration, demand map[string]residency.Demand) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(200 * time.Millisecond) {
		for _, s := range c.instances {
			if s.unresponsive {
				c.tracker.RecordUnanswered(c.now, s.id)
				continue
			}
			s.finish()
			c.tracker.Report(c.now, c.now, s.id, s.report())
		}
		for _, order := range append(c.tracker.DueResends(c.now), c.tracker.Plan(c.now, serviceFor(c.engine), demand)...) {
			c.orders = append(c.orders, order)
			c.tracker.RecordSending(c.now, order)
			c.tracker.RecordAnswer(c.now, order, find(c.instances, order.Instance).accept(order))
		}
	}
	for _, s := range c.instances {
		s.finish()
	}
}

// plan makes one plan without demand and records its orders as being sent.
func (c *promptDeployment) plan() []residency.Order {
	orders := c.tracker.Plan(c.now, serviceFor(c.engine), nil)
	for _, order := range orders {
		c.tracker.RecordSending(c.now, order)
	}
	return orders
}

func (c *promptDeployment) replicas(model string) int {
	count := 0
	for _, s := range c.instances {
		if _, held := s.models[model]; held {
			count++
		}
	}
	return count
}

// rarest returns the model with the fewest replicas, and their number.
func (c *promptDeployment) rarest() (string, int) {
	rarest := c.engine.Models[0].Name
	for _, model := range c.engine.Models {
		if c.replicas(model.Name) < c.replicas(rarest) {
			rarest = model.Name
		}
	}
	return rarest, c.replicas(rarest)
}

func fourInstances() []*fakeInstance {
	var instances []*fakeInstance
	for i := range 4 {
		instances = append(instances, &fakeInstance{id: fmt.Sprint("s", i), models: map[string][]string{"big": nil}})
	}
	return instances
}

// putAll adds the instances to the tracker. In these tests none of them is removed.
func putAll(tracker *residency.Tracker, fleetInstances []*fleet.Instance) {
	for _, instance := range fleetInstances {
		tracker.UpsertInstance(instance)
	}
}
