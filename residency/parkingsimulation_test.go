package residency_test

import (
	"fmt"
	"math"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

const (
	parkStep = 50 * time.Millisecond
	// parkPlanInterval is the interval between two plans.
	parkPlanInterval = 100 * time.Millisecond
	// parkReportInterval is the interval between two reports of an instance. parkOrderReportDelay
	// is the delay until the next report while an order is in progress.
	parkReportInterval   = time.Second
	parkOrderReportDelay = 150 * time.Millisecond
	// storeLoadTime and localLoadTime are the durations of a load from the weight store and from a
	// local copy.
	storeLoadTime, localLoadTime = 1200 * time.Millisecond, 600 * time.Millisecond
	// idleUnloadTime is the duration of the unload of an idle model. The unload of a model in use
	// waits for its requests and takes busyUnloadTime.
	idleUnloadTime, busyUnloadTime = 100 * time.Millisecond, 1500 * time.Millisecond
	// parkClientTimeout is how long clients wait for a first event.
	parkClientTimeout = 3200 * time.Millisecond
	// parkRequestSeconds is the duration of a request. parkReplicaCapacity is the number of
	// concurrent requests that a replica serves well.
	parkRequestSeconds, parkReplicaCapacity = 2.0, 8.0
	// rateWindowSeconds is the time over which rates are averaged. halfLifeSeconds is the half-life
	// of the average of requests in progress.
	rateWindowSeconds, halfLifeSeconds = 2.0, 4.0
	// clientWaitSeconds is how long requests wait for a model without a replica.
	clientWaitSeconds = 1.6
)

// parkingSimulation simulates instances with room for two models each, and requests for some of the
// models, in virtual time.
type parkingSimulation struct {
	tracker   *residency.Tracker
	service   *residency.Service
	instances []*timedInstance
	now       time.Time
	// requestRate is the number of first requests for each model per second.
	requestRate map[string]float64
	demand      map[string]residency.Demand
	orders      []residency.Order
	// hanging instances never complete their current order.
	hanging map[string]bool
	// plansFrom is when a lease holder begins to plan.
	plansFrom time.Time
	// beforeSend is called with each order, if it is set.
	beforeSend func(order residency.Order)
}

// newParkingSimulation returns instances that hold the given models, with a local copy of each.
func newParkingSimulation(models int, places ...[]int) *parkingSimulation {
	f := &parkingSimulation{
		tracker: residency.NewTracker(residency.DefaultSettings()), now: time.Unix(1000, 0),
		requestRate: map[string]float64{}, demand: map[string]residency.Demand{}, hanging: map[string]bool{},
	}
	engine := &fleet.Engine{Slots: 64, WeightsMB: 200, AdapterSlots: 8, LoadsPerSecond: 16}
	for i := range models {
		engine.Models = append(engine.Models, fleet.Model{Name: modelName(i), WeightsMB: 100, LoadTime: storeLoadTime, WarmTime: localLoadTime, DiskTime: localLoadTime})
	}
	f.service = &residency.Service{Name: service, Engine: engine, ClientTimeout: parkClientTimeout}
	for i, place := range places {
		s := &timedInstance{fakeInstance: fakeInstance{id: fmt.Sprintf("s%02d", i), models: map[string][]string{}}, copies: map[string]bool{}}
		s.instance = &fleet.Instance{ID: s.id, Service: service, Zone: fmt.Sprint("zone-", i%3), Slots: 64}
		for _, model := range place {
			s.models[modelName(model)], s.copies[modelName(model)] = nil, true
		}
		f.instances = append(f.instances, s)
	}
	f.registerInstances()
	return f
}

func modelName(number int) string { return fmt.Sprintf("m%03d", number) }

func (f *parkingSimulation) registerInstances() {
	var all []*fleet.Instance
	for _, s := range f.instances {
		all = append(all, s.instance)
	}
	putAll(f.tracker, all)
}

// run advances the time and calls each, if given, after each step.
func (f *parkingSimulation) run(duration time.Duration, each func()) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(parkStep)
		for _, s := range f.instances {
			f.stepInstance(s)
		}
		f.observe()
		if !f.now.Before(f.plansFrom) && f.now.UnixMilli()%parkPlanInterval.Milliseconds() == 0 {
			f.plan()
		}
		if each != nil {
			each()
		}
	}
}

func (f *parkingSimulation) stepInstance(s *timedInstance) {
	if s.busy != nil && !f.now.Before(s.doneAt) && !f.hanging[s.id] {
		if s.busy.Load {
			s.copies[s.busy.Model] = true
		}
		s.finish()
	}
	if f.now.Before(s.nextReport) {
		return
	}
	report := s.report()
	for name := range s.copies {
		report.AtHand = append(report.AtHand, name)
	}
	f.tracker.Report(f.now, f.now, s.id, report)
	s.nextReport = f.now.Add(parkReportInterval)
	if s.busy != nil {
		s.nextReport = f.now.Add(parkOrderReportDelay)
	}
}

// ready returns the number of instances that serve a model.
func (f *parkingSimulation) ready(model string) int {
	count := 0
	for _, s := range f.instances {
		if s.holds(model) && (s.busy == nil || s.busy.Model != model) {
			count++
		}
	}
	return count
}

// observe updates the demand as the daemons measure it.
func (f *parkingSimulation) observe() {
	for i := range f.service.Engine.Models {
		name := f.service.Engine.Models[i].Name
		smoothed, now := f.demand[name], f.currentDemand(name)
		steps := parkStep.Seconds() / halfLifeSeconds
		if now.Concurrent > smoothed.Concurrent {
			steps *= 6
		}
		smoothed.Concurrent = now.Concurrent + (smoothed.Concurrent-now.Concurrent)*math.Exp2(-steps)
		decay := math.Exp(-parkStep.Seconds() / rateWindowSeconds)
		smoothed.PerSecond = now.PerSecond + (smoothed.PerSecond-now.PerSecond)*decay
		smoothed.RefusedPerSecond = now.RefusedPerSecond + (smoothed.RefusedPerSecond-now.RefusedPerSecond)*decay
		smoothed.Waiting = now.Waiting
		f.demand[name] = smoothed
	}
}

// currentDemand is the demand before smoothing. A share of the requests is refused, and each
// refused first request is retried once.
func (f *parkingSimulation) currentDemand(model string) residency.Demand {
	rate, ready := f.requestRate[model], f.ready(model)
	if rate == 0 {
		return residency.Demand{}
	}
	if ready == 0 {
		waiting := math.Ceil(rate * clientWaitSeconds)
		return residency.Demand{Concurrent: waiting, PerSecond: rate, Waiting: int(waiting)}
	}
	carried := float64(ready) * parkReplicaCapacity / parkRequestSeconds
	refused := math.Sqrt(max(0, 1-carried/rate))
	started := rate * (1 + refused)
	return residency.Demand{Concurrent: started * (1 - refused) * parkRequestSeconds, PerSecond: started, RefusedPerSecond: started * refused}
}

func (f *parkingSimulation) plan() {
	for _, order := range append(f.tracker.DueResends(f.now), f.tracker.Plan(f.now, f.service, f.demand)...) {
		f.orders = append(f.orders, order)
		f.tracker.RecordSending(f.now, order)
		f.tracker.RecordAnswer(f.now, order, f.accept(order))
		if f.beforeSend != nil {
			f.beforeSend(order)
		}
	}
}

func (f *parkingSimulation) instance(id string) *timedInstance {
	for _, s := range f.instances {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (f *parkingSimulation) accept(order residency.Order) residency.Answer {
	s := f.instance(order.Instance)
	answer := s.accept(order)
	if s.busy != nil && answer == residency.AnswerAccepted {
		s.doneAt = f.now.Add(f.orderTime(s, &order))
		s.nextReport = f.now.Add(parkOrderReportDelay)
	}
	return answer
}

func (f *parkingSimulation) orderTime(s *timedInstance, order *residency.Order) time.Duration {
	switch {
	case !order.Load && f.requestRate[order.Model] > 0:
		return busyUnloadTime
	case !order.Load:
		return idleUnloadTime
	case s.copies[order.Model]:
		return localLoadTime
	default:
		return storeLoadTime
	}
}

// takeOver replaces the lease holder by one without a record of its orders and begins to plan
// after a gap.
func (f *parkingSimulation) takeOver(gap time.Duration) {
	f.tracker = residency.NewTracker(residency.DefaultSettings())
	f.registerInstances()
	f.plansFrom = f.now.Add(gap)
	f.tracker.AssumeStoreRateUsed(f.plansFrom, f.service.Engine.LoadsPerSecond)
	for _, s := range f.instances {
		s.nextReport = f.now
	}
}

// serves reports whether the tracker shows a replica that serves a model.
func (f *parkingSimulation) serves(model string) bool {
	for _, s := range f.instances {
		for _, resident := range f.tracker.Residents(s.id) {
			if resident.Model == model && s.holds(model) {
				return true
			}
		}
	}
	return false
}

// timeToServe requests a model from now on and returns how long it takes until it is served.
func (f *parkingSimulation) timeToServe(model string, timeout time.Duration) (time.Duration, bool) {
	f.requestRate[model] = 1
	start, elapsed := f.now, time.Duration(-1)
	for elapsed < 0 && f.now.Sub(start) < timeout {
		f.run(parkStep, nil)
		if f.serves(model) {
			elapsed = f.now.Sub(start)
		}
	}
	return elapsed, elapsed >= 0
}
