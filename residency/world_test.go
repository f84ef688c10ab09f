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

// plannedFor is the service with an engine, whose clients do not say how long they wait.
func plannedFor(engine *fleet.Engine) *residency.Service {
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

// modelServer is the oracle: it holds what it was ordered to, in the order in
// which orders arrive, and never agrees to hold more than fits.
type modelServer struct {
	id       string
	models   map[string][]string
	sequence uint64
	busy     *residency.Order
	late     []residency.Order
	// silent servers answer nothing.
	silent bool
	// software is the version of the server's software.
	software string
}

// accept takes an order as a server does.
func (s *modelServer) accept(order residency.Order) residency.Answer {
	if s.busy != nil || order.Expected != s.sequence {
		return residency.AnswerBusy
	}
	s.sequence++
	if order.Adapter == "" {
		s.busy = &order
		return residency.AnswerTaken
	}
	s.apply(order)
	if order.Load {
		return residency.AnswerTaken
	}
	return residency.AnswerDone
}

func (s *modelServer) apply(order residency.Order) {
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

// finish ends the order that is under way.
func (s *modelServer) finish() {
	if s.busy != nil {
		s.apply(*s.busy)
		s.busy = nil
	}
}

func (s *modelServer) report() fleet.Report {
	report := fleet.Report{Busy: s.busy != nil, Sequence: s.sequence}
	for model, adapters := range s.models {
		report.Residents = append(report.Residents, fleet.Resident{Model: model, Adapters: slices.Clone(adapters)})
	}
	return report
}

// check fails if a server holds more than fits, an order under way included.
func (s *modelServer) check(t *rapid.T, e *fleet.Engine) {
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

func instances(servers []*modelServer) []*fleet.Instance {
	var all []*fleet.Instance
	for i, s := range servers {
		all = append(all, &fleet.Instance{ID: s.id, Service: service, Zone: fmt.Sprint("zone-", i%3), Slots: 32, Software: s.software})
	}
	return all
}

func find(servers []*modelServer, id string) *modelServer {
	for _, s := range servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// calm is a book over servers that answer at once.
type calm struct {
	book    *residency.Book
	engine  *fleet.Engine
	servers []*modelServer
	now     time.Time
	orders  []residency.Order
}

func newCalm(servers ...*modelServer) *calm {
	c := &calm{book: residency.NewBook(residency.DefaultSettings()), engine: engine(), servers: servers, now: time.Unix(1000, 0)}
	putAll(c.book, instances(servers))
	return c
}

// run plans for a span with a constant demand; orders end within a step.
func (c *calm) run(span time.Duration, demand map[string]residency.Demand) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(200 * time.Millisecond) {
		for _, s := range c.servers {
			if s.silent {
				c.book.Unanswered(c.now, s.id)
				continue
			}
			s.finish()
			c.book.Report(c.now, c.now, s.id, s.report())
		}
		for _, order := range append(c.book.Resend(c.now), c.book.Plan(c.now, plannedFor(c.engine), demand)...) {
			c.orders = append(c.orders, order)
			c.book.Sending(c.now, order)
			c.book.Answered(c.now, order, find(c.servers, order.Instance).accept(order))
		}
	}
	for _, s := range c.servers {
		s.finish()
	}
}

// plan plans once for no demand and notes the orders as on their way.
func (c *calm) plan() []residency.Order {
	orders := c.book.Plan(c.now, plannedFor(c.engine), nil)
	for _, order := range orders {
		c.book.Sending(c.now, order)
	}
	return orders
}

func (c *calm) replicas(model string) int {
	count := 0
	for _, s := range c.servers {
		if _, held := s.models[model]; held {
			count++
		}
	}
	return count
}

// rarest returns the model with the fewest replicas, and their number.
func (c *calm) rarest() (string, int) {
	rarest := c.engine.Models[0].Name
	for _, model := range c.engine.Models {
		if c.replicas(model.Name) < c.replicas(rarest) {
			rarest = model.Name
		}
	}
	return rarest, c.replicas(rarest)
}

func fourServers() []*modelServer {
	var servers []*modelServer
	for i := range 4 {
		servers = append(servers, &modelServer{id: fmt.Sprint("s", i), models: map[string][]string{"big": nil}})
	}
	return servers
}

// putAll takes in the instances that are known, which in these tests are never gone.
func putAll(book *residency.Book, instances []*fleet.Instance) {
	for _, instance := range instances {
		book.Put(instance)
	}
}
