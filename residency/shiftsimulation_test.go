package residency_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// shiftSimulation is a fluid model of many instances under a demand that moves along the list of
// models. Requests are not discrete but a flow, which the replicas of a model share equally.
type shiftSimulation struct {
	tracker        *residency.Tracker
	engine         *fleet.Engine
	durationFactor []float64
	instances      []*timedInstance
	random         *rand.Rand
	now            time.Time
	start          time.Time

	// perSecond is the flow of requests. shiftBy is the number of positions that each shift moves
	// it. shifts holds the start times of the shifts, in seconds from the start of the traffic.
	perSecond float64
	shiftBy   float64
	shifts    []float64
	busyCount int

	smoothed map[string]float64
	offered  float64
	served   float64
	loads    int
}

// timedInstance is an instance whose orders take time.
type timedInstance struct {
	fakeInstance
	// downUntil is when a crashed instance restarts.
	downUntil  time.Time
	doneAt     time.Time
	nextReport time.Time
	copies     map[string]bool
	instance   *fleet.Instance
}

const (
	// shiftSeconds is the duration of a shift of the demand.
	shiftSeconds = 8.0
	// baseRequestSeconds is the duration of a request for a model with durationFactor one.
	baseRequestSeconds = 1.5
	// instanceCapacity is the number of concurrent requests (as without delays) that an instance
	// serves well. Prompt processing delays all other requests long before the slots are full.
	instanceCapacity = 6.0
	simStep          = 100 * time.Millisecond
	// shiftLocalLoadTime is the duration of a load from a local copy.
	shiftLocalLoadTime = 1400 * time.Millisecond
)

func newShiftSimulation(seed uint64, instances, models, busyCount, slots int, loadsPerSecond, perSecond, shiftBy float64, loadTime time.Duration, shifts []float64) *shiftSimulation {
	f := &shiftSimulation{
		tracker: residency.NewTracker(residency.DefaultSettings()), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		perSecond: perSecond, shiftBy: shiftBy, shifts: shifts, busyCount: busyCount, smoothed: map[string]float64{},
	}
	f.start = f.now.Add(13 * time.Second)
	f.engine = &fleet.Engine{Slots: slots, MemoryTokens: 60000, WeightsMB: 200000, AdapterSlots: 8, LoadsPerSecond: loadsPerSecond}
	for i := range models {
		model := fleet.Model{Name: fmt.Sprintf("m%03d", i), WeightsMB: 72700, WarmTime: shiftLocalLoadTime, DiskTime: shiftLocalLoadTime}
		durationFactor := 1.0
		switch {
		case i == 0 || i%6 == 5:
			model.WeightsMB, durationFactor = 65100, 0.11
		case i%3 == 0:
			model.WeightsMB, durationFactor = 42700, 0.6
		}
		if i%2 == 0 && i <= busyCount {
			model.Adapters, model.AdapterMB = 12+240/(i+2), 40
		}
		model.LoadTime = time.Duration(model.WeightsMB / 72700 * float64(loadTime))
		f.engine.Models = append(f.engine.Models, model)
		f.durationFactor = append(f.durationFactor, durationFactor)
	}
	f.place(instances, models)
	return f
}

// place puts each model without demand on one instance, and fills the remaining room with the busy
// models.
func (f *shiftSimulation) place(instances, models int) {
	for i := range instances {
		s := &timedInstance{fakeInstance: fakeInstance{id: fmt.Sprintf("s%03d", i), models: map[string][]string{}}, copies: map[string]bool{}}
		s.instance = &fleet.Instance{ID: s.id, Service: service, Zone: fmt.Sprint("zone-", i%3), Slots: f.engine.Slots}
		f.instances = append(f.instances, s)
	}
	place := func(model int) {
		for range 20 {
			s := f.instances[f.random.IntN(instances)]
			if name := f.engine.Models[model].Name; len(s.models) < 2 && !s.holds(name) {
				s.models[name], s.copies[name] = nil, true
				return
			}
		}
	}
	for model := range models {
		if model >= f.busyCount {
			place(model)
		}
	}
	for range instances {
		model, drawn := 0, f.random.Float64()
		for weight := f.weight(0, 0); drawn > weight && model < f.busyCount-1; weight = f.weight(model, 0) {
			drawn -= weight
			model++
		}
		place(model)
	}
	f.registerInstances()
}

// registerInstances adds all instances to the tracker.
func (f *shiftSimulation) registerInstances() {
	var all []*fleet.Instance
	for _, s := range f.instances {
		all = append(all, s.instance)
	}
	putAll(f.tracker, all)
}

// crash stops a share of the instances for a while. They restart empty, as new instances, with the
// local copies on their disks.
func (f *shiftSimulation) crash(share float64, duration time.Duration) {
	for _, number := range f.random.Perm(len(f.instances))[:int(share*float64(len(f.instances)))] {
		s := f.instances[number]
		s.downUntil = f.now.Add(duration)
		s.models, s.busy, s.sequence = map[string][]string{}, nil, 0
		s.id += "+"
		renamed := *s.instance
		renamed.ID = s.id
		s.instance = &renamed
	}
	f.registerInstances()
}

func (s *timedInstance) holds(model string) bool {
	_, held := s.models[model]
	return held
}

// weight is the share of the flow that a model has after the demand has moved by some positions.
// The first model takes a quarter, the others take ever less.
func (f *shiftSimulation) weight(model int, moved float64) float64 {
	rank := func(position int) float64 {
		if position < 0 || position >= f.busyCount {
			return 0
		}
		total := 0.0
		for i := range f.busyCount {
			total += zipf(i)
		}
		return zipf(position) / total
	}
	whole := math.Floor(moved)
	part := moved - whole
	return (1-part)*rank(model-int(whole)) + part*rank(model-int(whole)-1)
}

func zipf(position int) float64 {
	if position == 0 {
		return 2.7
	}
	return 1 / math.Pow(float64(position), 0.42)
}

// share is the share of the flow that a model has now. A shift takes from the old positions and
// adds to the new ones at the same time.
func (f *shiftSimulation) share(model int) float64 {
	at := f.now.Sub(f.start).Seconds()
	if at < 0 {
		return 0
	}
	share, base := 0.0, 0.0
	part := 0.0
	for _, begin := range f.shifts {
		switch {
		case at >= begin+shiftSeconds:
			base += f.shiftBy
		case at > begin:
			part = (at - begin) / shiftSeconds
		}
	}
	share = (1-part)*f.weight(model, base) + part*f.weight(model, base+f.shiftBy)
	return share
}

// step advances the time by a tenth of a second.
func (f *shiftSimulation) step() {
	f.now = f.now.Add(simStep)
	for _, s := range f.instances {
		if f.now.Before(s.downUntil) {
			f.tracker.RecordUnanswered(f.now, s.id)
			continue
		}
		if s.busy != nil && !f.now.Before(s.doneAt) {
			s.copies[s.busy.Model] = true
			s.finish()
		}
		if !f.now.Before(s.nextReport) {
			report := s.report()
			for name := range s.copies {
				report.AtHand = append(report.AtHand, name)
			}
			f.tracker.Report(f.now, f.now, s.id, report)
			s.nextReport = f.now.Add(time.Second)
			if s.busy != nil {
				s.nextReport = f.now.Add(240 * time.Millisecond)
			}
		}
	}
	f.serve()
	if f.now.UnixMilli()%200 == 0 {
		f.plan()
	}
}

// demand is the demand as the daemons measure it.
func (f *shiftSimulation) demand() map[string]residency.Demand {
	demand := map[string]residency.Demand{}
	for i := range f.engine.Models {
		name := f.engine.Models[i].Name
		demand[name] = residency.Demand{Concurrent: f.smoothed[name], PerSecond: f.perSecond * f.share(i)}
	}
	return demand
}

func (f *shiftSimulation) plan() {
	for _, order := range f.tracker.Plan(f.now, serviceFor(f.engine), f.demand()) {
		f.tracker.RecordSending(f.now, order)
		f.tracker.RecordAnswer(f.now, order, f.order(order))
	}
}

func (f *shiftSimulation) order(order residency.Order) residency.Answer {
	for _, s := range f.instances {
		if s.id != order.Instance {
			continue
		}
		if f.now.Before(s.downUntil) {
			return residency.AnswerNotSent
		}
		answer := s.accept(order)
		if s.busy != nil && answer == residency.AnswerAccepted && order.Adapter == "" {
			s.doneAt = f.now.Add(f.orderTime(s, order))
			s.nextReport = f.now.Add(120 * time.Millisecond)
			if order.Load {
				f.loads++
			}
		}
		return answer
	}
	return residency.AnswerNotSent
}

// orderTime is the duration of an order. An unload waits for the requests in progress, and a load
// from a local copy is much faster.
func (f *shiftSimulation) orderTime(s *timedInstance, order residency.Order) time.Duration {
	switch {
	case !order.Load:
		return 1500 * time.Millisecond
	case s.copies[order.Model]:
		return shiftLocalLoadTime
	default:
		return f.engine.Model(order.Model).LoadTime
	}
}

// serve computes how much of the flow reaches an instance that is not full.
func (f *shiftSimulation) serve() {
	load := map[string]float64{}
	hosts := map[string][]*timedInstance{}
	for _, s := range f.instances {
		for name := range s.models {
			if !f.now.Before(s.downUntil) && (s.busy == nil || s.busy.Model != name) {
				hosts[name] = append(hosts[name], s)
			}
		}
	}
	concurrent := make([]float64, len(f.engine.Models))
	for i := range f.engine.Models {
		name := f.engine.Models[i].Name
		concurrent[i] = f.perSecond * f.share(i) * baseRequestSeconds * f.durationFactor[i]
		for _, s := range hosts[name] {
			load[s.id] += concurrent[i] / float64(len(hosts[name]))
		}
	}
	for i := range f.engine.Models {
		name := f.engine.Models[i].Name
		served := 0.0
		for _, s := range hosts[name] {
			part := concurrent[i] / float64(len(hosts[name]))
			served += part * min(1, instanceCapacity/max(load[s.id], 1e-9))
		}
		flow := f.perSecond * f.share(i)
		f.offered += flow
		if concurrent[i] > 0 {
			f.served += flow * served / concurrent[i]
		}
		// Requests that are not served in time stay longer.
		observed := concurrent[i] + 1.5*(concurrent[i]-served)
		f.smoothed[name] += (observed - f.smoothed[name]) * (1 - math.Exp2(-simStep.Seconds()/0.7))
	}
}

// TestPlacementFollowsAMovingDemand simulates two large deployments and requires that most requests
// reach an instance that is not full.
func TestPlacementFollowsAMovingDemand(t *testing.T) {
	for _, c := range []struct {
		name                                string
		instances, models, busyCount, slots int
		loadsPerSecond, rate, shiftBy       float64
		loadTime                            time.Duration
		minServed                           float64
	}{
		{"many small instances, two models each", 112, 155, 22, 12, 16, 330, 2, 8600 * time.Millisecond, 0.87},
		{"fewer larger instances, one model each", 60, 74, 8, 32, 8.5, 270, 1, 1600 * time.Millisecond, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			offered, served, loads := 0.0, 0.0, 0
			for seed := range uint64(4) {
				f := newShiftSimulation(seed, c.instances, c.models, c.busyCount, c.slots, c.loadsPerSecond, c.rate, c.shiftBy, c.loadTime, []float64{1, 14, 24})
				for f.now.Before(f.start.Add(34 * time.Second)) {
					at := f.now.Sub(f.start)
					f.step()
					if at == 3*time.Second || at == 14*time.Second {
						f.crash(0.2, 3*time.Second)
					}
				}
				offered += f.offered
				served += f.served
				loads += f.loads
			}
			t.Logf("%.3f of all requests reach an instance that is not full, %d loads a day", served/offered, loads/4)
			if served/offered < c.minServed {
				t.Errorf("%.3f of all requests reach an instance that is not full, want %.2f", served/offered, c.minServed)
			}
		})
	}
}
