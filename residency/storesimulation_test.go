package residency_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

const (
	// storeWindow is the window over which loads are counted where they start.
	storeWindow = 5 * time.Second
	// callTimeout is the timeout of a call to an instance.
	callTimeout = 400 * time.Millisecond
	// minLate and maxLate bound how late an order without an answer is executed.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// minPlanInterval and maxPlanInterval bound the interval between two plans.
	minPlanInterval, maxPlanInterval = 25 * time.Millisecond, 200 * time.Millisecond
	// storeHosts run one instance each. There are so many models that there is always one to load.
	storeHosts, storeModels = 18, 100
	// reportLag is the age of the state that an instance reports.
	reportLag = 200 * time.Millisecond
	// diskCopies is the number of local copies for which a disk has room.
	diskCopies = 5
	// listDelay is the delay until the instance list reflects a start or an end.
	listDelay = 3 * time.Second
)

// faults holds the rates of faults of orders and instances. The first three are shares between zero
// and one.
type faults struct {
	notSent, answerLost, late float64
	// maxDelay bounds the transmission delay of an order or answer that is not late.
	maxDelay time.Duration
	// restarts and partitions are the numbers per second, over all instances.
	restarts, partitions float64
	// takeovers is the number per second.
	takeovers float64
}

// storeInstance is an instance that loads from the weight store unless it has a local copy. It
// records when such a load starts.
type storeInstance struct {
	id       string
	host     string
	address  string
	sequence uint64
	resident map[string]bool
	loading  string
	// disk holds the local copies, the oldest first. It outlives the instance: the next one on the
	// same host uses it too.
	disk *[]string
	// published is the latest visible report, which lags behind the state.
	published fleet.Report
	// fence is the highest fencing token that came with an order.
	fence            int
	partitionedUntil time.Time
	// stopped instances answer nothing. Unreachable ones do not refuse orders either.
	stopped, unreachable bool
}

// sentOrder is one order in transit, with the fencing token of its sender.
type sentOrder struct {
	order residency.Order
	fence int
	// started is set if the order started a load from the weight store.
	started bool
}

// startedLoad is a load from the weight store where it started.
type startedLoad struct {
	at   time.Time
	sent *sentOrder
}

// storeSimulation simulates successive lease holders that send orders to instances, in virtual
// time.
type storeSimulation struct {
	now       time.Time
	queue     eventQueue
	random    *rand.Rand
	faults    faults
	engine    *fleet.Engine
	tracker   *residency.Tracker
	fence     int
	plansFrom time.Time
	instances []*storeInstance
	starts    int
	// unanswered holds the orders that their sender has no answer to.
	unanswered map[*sentOrder]bool
	started    []startedLoad
	// orphaned holds the orders without an answer whose load had not started when their sender was
	// replaced.
	orphaned map[*sentOrder]bool
	// clientTimeout is how long clients wait, demand is what they request, and parked is the number
	// of models that were parked.
	clientTimeout time.Duration
	demand        map[string]residency.Demand
	parked        int
}

func newStoreSimulation(seed uint64, faults faults) *storeSimulation {
	w := &storeSimulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		engine:  &fleet.Engine{Slots: 32, WeightsMB: storeModels, AdapterSlots: 4, LoadsPerSecond: 2},
		tracker: residency.NewTracker(residency.DefaultSettings()), fence: 1, unanswered: map[*sentOrder]bool{}, orphaned: map[*sentOrder]bool{},
	}
	for i := range storeModels {
		w.engine.Models = append(w.engine.Models, fleet.Model{Name: fmt.Sprintf("m%03d", i), WeightsMB: 1})
	}
	for i := range storeHosts {
		s := w.start(fmt.Sprint("h", i), &[]string{})
		w.tracker.UpsertInstance(w.instance(s))
	}
	w.planLoop()
	w.faultLoop()
	return w
}

func (w *storeSimulation) instance(s *storeInstance) *fleet.Instance {
	return &fleet.Instance{ID: s.id, Service: service, Address: s.address, Zone: s.host, Slots: 32}
}

func (w *storeSimulation) start(host string, disk *[]string) *storeInstance {
	w.starts++
	s := &storeInstance{id: fmt.Sprint("i", w.starts), host: host, address: host, resident: map[string]bool{}, disk: disk}
	s.published = s.report()
	w.instances = append(w.instances, s)
	w.reportLoop(s)
	return s
}

func (w *storeSimulation) instanceByID(instance string) *storeInstance {
	for _, s := range w.instances {
		if s.id == instance {
			return s
		}
	}
	return nil
}

func (w *storeSimulation) schedule(delay time.Duration, do func()) {
	heap.Push(&w.queue, timedEvent{w.now.Add(delay), w.queue.next, do})
	w.queue.next++
}

func (w *storeSimulation) run(duration time.Duration) {
	end := w.now.Add(duration)
	for len(w.queue.events) > 0 && w.queue.events[0].at.Before(end) {
		event := heap.Pop(&w.queue).(timedEvent)
		w.now = event.at
		event.do()
	}
	w.now = end
}

// randomDuration draws a duration, more often at the bounds, where limits are most likely to be
// violated.
func (w *storeSimulation) randomDuration(lower, upper time.Duration) time.Duration {
	switch w.random.IntN(4) {
	case 0:
		return lower
	case 1:
		return upper
	default:
		return lower + time.Duration(w.random.Int64N(int64(upper-lower)+1))
	}
}

func (w *storeSimulation) chance(share float64) bool { return w.random.Float64() < share }

func (w *storeSimulation) planLoop() {
	if !w.now.Before(w.plansFrom) {
		tracker, fence := w.tracker, w.fence
		planned := &residency.Service{Name: service, Engine: w.engine, ClientTimeout: w.clientTimeout}
		for _, order := range append(tracker.DueResends(w.now), tracker.Plan(w.now, planned, w.demand)...) {
			if strings.HasPrefix(order.Reason, "parked") {
				w.parked++
			}
			tracker.RecordSending(w.now, order)
			w.send(tracker, &sentOrder{order: order, fence: fence})
		}
	}
	w.schedule(w.randomDuration(minPlanInterval, maxPlanInterval), w.planLoop)
}

// send delivers an order to its instance and the answer to the sender, unless a fault prevents it.
func (w *storeSimulation) send(tracker *residency.Tracker, sent *sentOrder) {
	w.unanswered[sent] = true
	answer := func(delay time.Duration, answer residency.Answer) {
		w.schedule(delay, func() {
			if answer != residency.AnswerUnknown {
				delete(w.unanswered, sent)
			}
			tracker.RecordAnswer(w.now, sent.order, answer)
		})
	}
	target := w.instanceByID(sent.order.Instance)
	requestDelay, responseDelay := w.randomDuration(0, w.faults.maxDelay), w.randomDuration(0, w.faults.maxDelay)
	switch {
	case target.stopped && !target.unreachable || w.chance(w.faults.notSent):
		answer(w.randomDuration(0, w.faults.maxDelay), residency.AnswerNotSent)
	case w.chance(w.faults.late):
		w.schedule(w.randomDuration(minLate, maxLate), func() { target.accept(w, sent) })
		answer(callTimeout, residency.AnswerUnknown)
	case target.unreachable || w.now.Before(target.partitionedUntil) || w.chance(w.faults.answerLost) || requestDelay+responseDelay > callTimeout:
		w.schedule(requestDelay, func() { target.accept(w, sent) })
		answer(callTimeout, residency.AnswerUnknown)
	default:
		w.schedule(requestDelay, func() { answer(responseDelay, target.accept(w, sent)) })
	}
}

// accept handles an order as an instance does, and records a load from the weight store.
func (s *storeInstance) accept(w *storeSimulation, sent *sentOrder) residency.Answer {
	order := sent.order
	switch {
	case s.stopped:
		return residency.AnswerUnknown
	case sent.fence < s.fence:
		return residency.AnswerFenced
	}
	s.fence = sent.fence
	switch {
	case s.loading != "" || order.Expected != s.sequence:
		return residency.AnswerBusy
	case order.Load && s.resident[order.Model]:
		return residency.AnswerDone
	}
	s.sequence++
	defer s.publish(w)
	if !order.Load {
		delete(s.resident, order.Model)
		return residency.AnswerAccepted
	}
	if !slices.Contains(*s.disk, order.Model) {
		sent.started = true
		w.started = append(w.started, startedLoad{w.now, sent})
	}
	s.loading = order.Model
	w.schedule(w.randomDuration(100*time.Millisecond, 3*time.Second), func() {
		s.loading = ""
		s.resident[order.Model] = true
		*s.disk = append(slices.DeleteFunc(*s.disk, func(model string) bool { return model == order.Model }), order.Model)
		*s.disk = (*s.disk)[max(0, len(*s.disk)-diskCopies):]
		s.publish(w)
	})
	return residency.AnswerAccepted
}

// publish makes a change visible in reports after reportLag.
func (s *storeInstance) publish(w *storeSimulation) {
	report := s.report()
	w.schedule(reportLag, func() { s.published = report })
}

func (w *storeSimulation) reportLoop(s *storeInstance) {
	requestedAt, tracker := w.now, w.tracker
	switch {
	case s.stopped && !s.unreachable:
		tracker.RecordUnanswered(requestedAt, s.id)
	case s.unreachable || w.now.Before(s.partitionedUntil):
		w.schedule(callTimeout, func() { tracker.RecordUnanswered(requestedAt, s.id) })
	default:
		requestDelay, responseDelay := w.randomDuration(0, callTimeout/2), w.randomDuration(0, callTimeout/2)
		w.schedule(requestDelay, func() {
			report := s.published
			w.schedule(responseDelay, func() { tracker.Report(requestedAt, w.now, s.id, report) })
		})
	}
	if !s.stopped || w.now.Before(s.partitionedUntil) {
		w.schedule(w.randomDuration(callTimeout, time.Second), func() { w.reportLoop(s) })
	}
}

func (s *storeInstance) report() fleet.Report {
	report := fleet.Report{Busy: s.loading != "", Sequence: s.sequence}
	for model := range s.resident {
		report.Residents = append(report.Residents, fleet.Resident{Model: model})
	}
	report.AtHand = slices.Clone(*s.disk)
	return report
}

func (w *storeSimulation) faultLoop() {
	const interval = 100 * time.Millisecond
	live := slices.DeleteFunc(slices.Clone(w.instances), func(s *storeInstance) bool { return s.stopped })
	s := live[w.random.IntN(len(live))]
	switch share := interval.Seconds(); {
	case w.chance(w.faults.restarts * share):
		w.restart(s, w.randomDuration(0, listDelay), w.chance(0.5))
	case w.chance(w.faults.partitions * share):
		w.partition(s, w.randomDuration(time.Second, 20*time.Second))
	case w.chance(w.faults.takeovers * share):
		w.takeOver(w.randomDuration(0, 3*time.Second))
	}
	w.schedule(interval, w.faultLoop)
}

// restart stops an instance. Another one with its disk replaces it. An unreachable one answers
// nothing from then on.
func (w *storeSimulation) restart(s *storeInstance, down time.Duration, unreachable bool) {
	s.stopped, s.unreachable = true, unreachable
	s.partitionedUntil = w.now.Add(listDelay)
	w.schedule(listDelay, func() { w.tracker.RemoveInstance(s.id) })
	w.schedule(down, func() {
		next := w.start(s.host, s.disk)
		w.schedule(w.randomDuration(0, listDelay), func() { w.tracker.UpsertInstance(w.instance(next)) })
	})
}

// partition keeps an instance from answering. If that lasts, the instance list drops it meanwhile.
func (w *storeSimulation) partition(s *storeInstance, duration time.Duration) {
	s.partitionedUntil = w.now.Add(duration)
	if duration > listDelay {
		w.schedule(listDelay, func() { w.tracker.RemoveInstance(s.id) })
		w.schedule(duration, func() {
			if !s.stopped {
				w.tracker.UpsertInstance(w.instance(s))
			}
		})
	}
}

// takeOver replaces the lease holder by one without a record of its orders.
func (w *storeSimulation) takeOver(gap time.Duration) {
	for sent := range w.unanswered {
		if !sent.started {
			w.orphaned[sent] = true
		}
	}
	w.unanswered = map[*sentOrder]bool{}
	w.tracker = residency.NewTracker(residency.DefaultSettings())
	for _, s := range w.instances {
		if !s.stopped {
			w.tracker.UpsertInstance(w.instance(s))
		}
	}
	w.fence++
	w.plansFrom = w.now.Add(gap)
	tracker := w.tracker
	w.schedule(gap, func() { tracker.AssumeStoreRateUsed(w.now, w.engine.LoadsPerSecond) })
}

// peak returns the largest number of loads that started within one window, and the start of that
// window. It can leave out loads whose answer an earlier lease holder did not receive.
func (w *storeSimulation) peak(orphaned bool) (count int, since time.Time) {
	var at []time.Time
	for _, load := range w.started {
		if orphaned || !w.orphaned[load.sent] {
			at = append(at, load.at)
		}
	}
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) > storeWindow {
			first++
		}
		if n := i - first + 1; n > count {
			count, since = n, at[first]
		}
	}
	return count, since
}

// allowed returns the number of loads that may start within one window.
func (w *storeSimulation) allowed() int { return int(w.engine.LoadsPerSecond * storeWindow.Seconds()) }

// timedEvent is one event. Events at the same time keep their order.
type timedEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue struct {
	events []timedEvent
	next   int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if a, b := q.events[i], q.events[j]; !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return q.events[i].order < q.events[j].order
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
