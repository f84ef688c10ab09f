package residency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/residency"
)

// TestOrdersKeepEveryLimit plans for instances whose answers are lost, whose orders arrive late and
// whose reports lag. Memory and adapter slots are never overcommitted, the rate limit of the weight
// store is kept, and no model loses its last replica.
func TestOrdersKeepEveryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		tracker := residency.NewTracker(residency.DefaultSettings())
		instances := []*fakeInstance{
			{id: "s1", models: map[string][]string{"big": nil, "mid": nil}}, {id: "s2", models: map[string][]string{"big": nil, "small": nil}},
			{id: "s3", models: map[string][]string{"tiny": nil, "other": nil}}, {id: "s4", models: map[string][]string{}},
		}
		putAll(tracker, fleetInstances(instances))
		now := time.Unix(1000, 0)
		var loads []time.Time
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(20, 600).Draw(t, "pause")) * time.Millisecond)
			for _, s := range instances {
				if rapid.IntRange(0, 2).Draw(t, "finish") == 0 {
					s.finish()
				}
				if len(s.late) > 0 && rapid.Bool().Draw(t, "late") {
					s.accept(s.late[0])
					s.late = s.late[1:]
					s.check(t, e)
				}
				if rapid.Bool().Draw(t, "report") {
					tracker.Report(now, now, s.id, s.report())
				}
			}
			demand := map[string]residency.Demand{}
			for _, model := range e.Models {
				demand[model.Name] = residency.Demand{Concurrent: float64(rapid.IntRange(0, 60).Draw(t, "demand"))}
			}
			if rapid.Bool().Draw(t, "wanted") {
				demand["big"] = residency.Demand{Concurrent: 3, Waiting: 1, Adapters: map[string]int{"a6": 1}}
			}
			before := reachable(instances)
			orders := append(tracker.DueResends(now), tracker.Plan(now, serviceFor(e), demand)...)
			for _, order := range orders {
				tracker.RecordSending(now, order)
				if order.FromStore {
					loads = append(loads, now)
				}
				tracker.RecordAnswer(now, order, deliver(t, find(instances, order.Instance), order))
				find(instances, order.Instance).check(t, e)
			}
			checkRate(t, loads, e.LoadsPerSecond, now)
			for model := range before {
				if !reachable(instances)[model] {
					t.Fatalf("%s lost its last replica", model)
				}
			}
		}
	})
}

// deliver delivers an order to an instance, loses it or its answer, or delays it.
func deliver(t *rapid.T, s *fakeInstance, order residency.Order) residency.Answer {
	switch rapid.IntRange(0, 9).Draw(t, "fate") {
	case 0:
		return residency.AnswerNotSent
	case 1:
		s.accept(order)
		return residency.AnswerUnknown
	case 2:
		s.late = append(s.late, order)
		return residency.AnswerUnknown
	default:
		return s.accept(order)
	}
}

// reachable lists the models that an instance holds and does not unload.
func reachable(instances []*fakeInstance) map[string]bool {
	held := map[string]bool{}
	for _, s := range instances {
		for model := range s.models {
			if s.busy == nil || s.busy.Load || s.busy.Model != model {
				held[model] = true
			}
		}
	}
	return held
}

func checkRate(t *rapid.T, loads []time.Time, perSecond float64, now time.Time) {
	const window = 5 * time.Second
	count := 0
	for _, at := range loads {
		if now.Sub(at) <= window {
			count++
		}
	}
	if float64(count) > perSecond*window.Seconds() {
		t.Fatalf("%d loads from the weight store within %v", count, window)
	}
}

func TestEveryModelBecomesReachable(t *testing.T) {
	c := newPromptDeployment(fourInstances()...)
	c.run(20*time.Second, nil)
	for _, model := range c.engine.Models {
		if c.replicas(model.Name) == 0 {
			t.Errorf("%s has no replica", model.Name)
		}
	}
}

// TestModelOfASilentServerIsLoadedElsewhere covers an instance that stops answering while the
// instance list still has it, as in an outage of the store. The models that only it held become
// reachable again. A short interruption causes no loads.
func TestModelOfASilentServerIsLoadedElsewhere(t *testing.T) {
	for _, c := range []struct {
		silence time.Duration
		moves   bool
	}{{time.Second, false}, {6 * time.Second, true}} {
		deployment := newPromptDeployment(fourInstances()...)
		deployment.run(20*time.Second, nil)
		model, before := deployment.rarest()
		if before == 0 || before > len(deployment.instances)/2 {
			t.Fatalf("%s has %d replicas on %d instances", model, before, len(deployment.instances))
		}
		for _, s := range deployment.instances {
			_, holds := s.models[model]
			s.unresponsive = holds
		}
		deployment.run(c.silence, nil)
		if moved := deployment.replicas(model) > before; moved != c.moves {
			t.Errorf("unresponsive for %v: loaded elsewhere %v", c.silence, moved)
		}
	}
}

func TestEveryAdapterFindsAPlace(t *testing.T) {
	c := newPromptDeployment(fourInstances()...)
	c.run(20*time.Second, nil)
	held := map[string]bool{}
	for _, s := range c.instances {
		for model, adapters := range s.models {
			for _, adapter := range adapters {
				held[model+"/"+adapter] = true
			}
		}
	}
	if len(held) != 8 {
		t.Fatalf("%d of 8 adapters are resident: %v", len(held), held)
	}
}

func TestDemandMovesReplicas(t *testing.T) {
	c := newPromptDeployment(fourInstances()...)
	c.run(20*time.Second, nil)
	c.run(20*time.Second, map[string]residency.Demand{"other": {Concurrent: 60}})
	if got := c.replicas("other"); got < 2 {
		t.Fatalf("%d replicas under demand", got)
	}
	settled := len(c.orders)
	c.run(20*time.Second, map[string]residency.Demand{"other": {Concurrent: 60}})
	if more := len(c.orders) - settled; more > 2 {
		t.Fatalf("%d orders under constant demand: %v", more, c.orders[settled:])
	}
}

func TestOneRequestMovesNothing(t *testing.T) {
	c := newPromptDeployment(fourInstances()...)
	c.run(30*time.Second, nil)
	settled := len(c.orders)
	c.run(10*time.Second, map[string]residency.Demand{"tiny": {Concurrent: 0.9}})
	if len(c.orders) != settled {
		t.Fatalf("orders %v", c.orders[settled:])
	}
}

// TestRoomIsKeptForItsModel guards against memory that was freed for one model and filled with the
// evicted one again before that model could be loaded.
func TestRoomIsKeptForItsModel(t *testing.T) {
	c := newPromptDeployment(fourInstances()...)
	c.run(20*time.Second, nil)
	c.run(10*time.Second, map[string]residency.Demand{"other": {Concurrent: 80}})
	for i, order := range c.orders {
		if order.ReservedFor == "" {
			continue
		}
		for _, next := range c.orders[i+1:] {
			if next.Instance == order.Instance && next.Load && next.Adapter == "" {
				if next.Model != order.ReservedFor {
					t.Fatalf("memory reserved for %s on %s was used for %s", order.ReservedFor, order.Instance, next.Model)
				}
				break
			}
		}
	}
}

// TestLateOrderIsMadeHarmless covers an order without an answer that is executed seconds later. A
// resend with the same sequence number resolves it.
func TestLateOrderIsMadeHarmless(t *testing.T) {
	instance := &fakeInstance{id: "s0", models: map[string][]string{"big": nil}}
	c := newPromptDeployment(instance)
	c.tracker.Report(c.now, c.now, "s0", instance.report())
	orders := c.tracker.Plan(c.now, serviceFor(c.engine), nil)
	if len(orders) != 1 {
		t.Fatalf("orders %v", orders)
	}
	c.tracker.RecordSending(c.now, orders[0])
	c.tracker.RecordAnswer(c.now, orders[0], residency.AnswerUnknown)
	if planned := c.tracker.Plan(c.now, serviceFor(c.engine), nil); len(planned) != 0 {
		t.Fatalf("orders %v before the outcome of the first one is known", planned)
	}
	again := c.tracker.DueResends(c.now.Add(time.Second))
	if len(again) != 1 || again[0].Expected != orders[0].Expected || again[0].Model != orders[0].Model {
		t.Fatalf("sent again: %v", again)
	}
	if instance.accept(again[0]) != residency.AnswerAccepted || instance.accept(orders[0]) != residency.AnswerBusy {
		t.Fatal("the late order was accepted as well")
	}
}

// TestModelOfALimitedServerIsLoadedElsewhere limits the instances that hold a model to a few
// requests. A requested model gets a replica elsewhere. A model without requests is served well
// enough, and no load is spent on it. The limited instances get no further model.
func TestModelOfALimitedServerIsLoadedElsewhere(t *testing.T) {
	for _, c := range []struct {
		limited, requested, moves bool
	}{{true, true, true}, {true, false, false}, {false, true, false}} {
		deployment := newPromptDeployment(fourInstances()...)
		deployment.run(20*time.Second, nil)
		model, before := deployment.rarest()
		held := map[string]int{}
		for _, s := range deployment.instances {
			if _, holds := s.models[model]; holds && c.limited {
				deployment.tracker.SetLimited(s.id, true)
				held[s.id] = len(s.models)
			}
		}
		demand := map[string]residency.Demand{}
		if c.requested {
			demand[model] = residency.Demand{Concurrent: 1, PerSecond: 1}
		}
		deployment.run(20*time.Second, demand)
		if moved := deployment.replicas(model) > before; moved != c.moves {
			t.Errorf("%+v: loaded elsewhere %t", c, moved)
		}
		for id, count := range held {
			if now := len(find(deployment.instances, id).models); now > count {
				t.Errorf("%+v: the limited instance %s got another model", c, id)
			}
		}
	}
}
