package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/pace"
)

const (
	tickInterval     = 250 * time.Millisecond
	groupSize        = 24
	samplesPerSecond = 6
	service          = "svc"
	// slowFactor, slowDuration and slowCycle describe the periods in which each server is slower, 15 % of the time.
	slowFactor   = 2.5
	slowDuration = 600 * time.Millisecond
	slowCycle    = 4 * time.Second
	// stepTime is the duration of a decoding step of the slower models at a server of speed 1. Each event of a stream
	// has the tokens of stepsPerEvent steps.
	stepTime      = 9470 * time.Microsecond
	stepsPerEvent = 3
	// prefillFraction is the share of gaps that include the prefill of another request, of up to maxPrefill.
	prefillFraction = 0.3
	maxPrefill      = 200 * time.Millisecond
	// gapJitter is the standard deviation of the logarithm of a gap.
	gapJitter     = 0.1
	gapsPerSample = 7
)

// simServer is a simulated model server.
type simServer struct {
	id    string
	speed float64
	// slowFrom and slowUntil bound the current slow period, or the next one.
	slowFrom, slowUntil time.Time
	// cycleStart is the start of the current slowCycle. It is used if simFleet.even is set.
	cycleStart time.Time
	models     []int
	samples    int
}

// simDaemon is a simulated daemon with its Tracker and Sharer.
type simDaemon struct {
	name    string
	zone    int
	tracker *pace.Tracker
	sharer  *pace.Sharer
	place   pace.Role
	stopped bool
}

// traffic counts the messages sent by a daemon, their bytes, and the size of the largest one in bytes.
type traffic struct {
	messages, bytes, largest int
}

// simFleet simulates servers and daemons in virtual time. Messages arrive at the next tick.
type simFleet struct {
	now        time.Time
	random     *rand.Rand
	servers    []*simServer
	known      map[string]bool
	popularity []float64
	homes      [][]int
	daemons    []*simDaemon
	byName     map[string]*simDaemon
	// steady turns slow periods off. With even, each server has exactly one slow period in each slowCycle.
	steady   bool
	even     bool
	inFlight []delivery
	sent     map[string]*traffic
}

type delivery struct {
	from, to string
	update   pace.Update
}

// modelStepFactor returns the duration of a step of a model relative to that of the slower models.
func modelStepFactor(model int) float64 {
	if model%2 == 0 {
		return 0.28
	}
	return 1
}

func modelName(model int) string { return fmt.Sprintf("model-%03d", model) }

// newSimFleet returns a simFleet with two models on each server. Models with low numbers are the most popular ones and
// are on the most servers.
func newSimFleet(seed uint64, daemons, servers, models int) *simFleet {
	f := &simFleet{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), sent: map[string]*traffic{}, known: map[string]bool{}, byName: map[string]*simDaemon{}}
	speeds := []float64{0.7, 0.7, 1.7}
	for i := range servers {
		f.servers = append(f.servers, &simServer{id: fmt.Sprintf("s-%010x~m5t", i*2654435761), speed: speeds[i%len(speeds)], slowUntil: f.now, cycleStart: f.now})
	}
	for _, server := range f.servers {
		f.known[server.id] = true
	}
	total := 0.0
	for model := range models {
		f.popularity = append(f.popularity, 1/float64(model+3))
		total += f.popularity[model]
	}
	for model := range models {
		f.popularity[model] /= total
	}
	f.placeModels(models)
	for i := range daemons {
		f.addDaemon(i)
	}
	f.assignPlaces()
	return f
}

// placeModels puts each model on one server. The remaining places go to the models with the highest popularity for each
// server that they are on.
func (f *simFleet) placeModels(models int) {
	places := f.random.Perm(2 * len(f.servers))
	f.homes = make([][]int, models)
	next := 0
	add := func(model int) {
		server := places[next] % len(f.servers)
		next++
		f.homes[model] = append(f.homes[model], server)
		f.servers[server].models = append(f.servers[server].models, model)
	}
	for model := range models {
		add(model)
	}
	for next < len(places) {
		busiest := 0
		for model := range models {
			if f.popularity[model]/float64(len(f.homes[model])) > f.popularity[busiest]/float64(len(f.homes[busiest])) {
				busiest = model
			}
		}
		add(busiest)
	}
}

func (f *simFleet) addDaemon(number int) *simDaemon {
	tracker := pace.NewTracker()
	d := &simDaemon{name: fmt.Sprint("d", number), zone: number % 3, tracker: tracker, sharer: pace.NewSharer(tracker)}
	f.daemons = append(f.daemons, d)
	f.byName[d.name] = d
	f.sent[d.name] = &traffic{}
	return d
}

// assignPlaces forms groups like package coordination does. The first daemons of each zone are the dispatchers.
func (f *simFleet) assignPlaces() {
	zones := make([][]*simDaemon, 3)
	var live []string
	for _, d := range f.daemons {
		if !d.stopped {
			zones[d.zone] = append(zones[d.zone], d)
			live = append(live, d.name)
		}
	}
	if len(live) <= 11 {
		for _, d := range f.daemons {
			others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == d.name })
			d.setPlace(pace.Role{AllToAll: true, Others: others})
		}
		return
	}
	var dispatchers []string
	for _, zone := range zones {
		for i := range groupCount(zone) {
			dispatchers = append(dispatchers, zone[i].name)
		}
	}
	for _, zone := range zones {
		groups := groupCount(zone)
		for i, d := range zone {
			place := pace.Role{Dispatcher: zone[i%groups].name, Dispatching: i < groups}
			if place.Dispatching {
				place.Others = slices.DeleteFunc(slices.Clone(dispatchers), func(name string) bool { return name == d.name })
				for k := i + groups; k < len(zone); k += groups {
					place.Members = append(place.Members, zone[k].name)
				}
			}
			d.setPlace(place)
		}
	}
}

func groupCount(zone []*simDaemon) int { return (len(zone) + groupSize - 1) / groupSize }

func (d *simDaemon) setPlace(place pace.Role) {
	d.place = place
	d.sharer.SetRole(place)
}

// Service implements pace.Directory.
func (f *simFleet) Service(instance string) (string, bool) {
	return service, f.known[instance]
}

// Serves implements pace.Directory.
func (f *simFleet) Serves(_, _ string) bool { return true }

// run advances the virtual time by span, tick by tick.
func (f *simFleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		f.startSlowPeriods()
		f.deliver()
		for _, d := range f.daemons {
			if d.stopped {
				continue
			}
			for range f.arrivals(samplesPerSecond * tickInterval.Seconds()) {
				d.sharer.AddSample(f.sample())
			}
			f.tick(d)
		}
	}
}

// arrivals draws a Poisson-distributed number of events with the given mean.
func (f *simFleet) arrivals(mean float64) int {
	count := 0
	for left := f.random.ExpFloat64(); left < mean; left += f.random.ExpFloat64() {
		count++
	}
	return count
}

// startSlowPeriods draws the next slow period of each server whose last one has ended.
func (f *simFleet) startSlowPeriods() {
	for _, server := range f.servers {
		for !f.steady && server.slowUntil.Before(f.now) {
			f.nextSlowPeriod(server)
		}
	}
}

func (f *simFleet) nextSlowPeriod(server *simServer) {
	pause := time.Duration(f.random.ExpFloat64() * float64(slowCycle-slowDuration))
	if f.even {
		// The start is uniformly distributed over the next cycle.
		server.cycleStart = server.cycleStart.Add(slowCycle)
		pause = server.cycleStart.Add(time.Duration(f.random.Float64() * float64(slowCycle-slowDuration))).Sub(server.slowUntil)
	}
	server.slowFrom = server.slowUntil.Add(pause)
	server.slowUntil = server.slowFrom.Add(slowDuration)
}

// sample draws the sample of one stream of a random model and server: the lower quartile of its gaps.
func (f *simFleet) sample() pace.Sample {
	model, draw := 0, f.random.Float64()
	for model < len(f.popularity)-1 && draw >= f.popularity[model] {
		draw -= f.popularity[model]
		model++
	}
	server := f.servers[f.homes[model][f.random.IntN(len(f.homes[model]))]]
	server.samples++
	base := stepsPerEvent * stepTime.Seconds() * modelStepFactor(model) / server.speed
	if !f.steady && !f.now.Before(server.slowFrom) {
		base *= slowFactor
	}
	var gaps []float64
	for range gapsPerSample {
		gap := base * math.Exp(gapJitter*f.random.NormFloat64())
		if f.random.Float64() < prefillFraction {
			gap += f.random.Float64() * maxPrefill.Seconds() / server.speed
		}
		gaps = append(gaps, gap)
	}
	slices.Sort(gaps)
	quartile := time.Duration(gaps[gapsPerSample/4] * float64(time.Second))
	return pace.Sample{Instance: server.id, Model: modelName(model), Gap: quartile}
}

func (f *simFleet) tick(d *simDaemon) {
	outgoing, _ := d.sharer.Tick(f.now, f)
	for _, message := range outgoing {
		body, err := msgpack.Marshal(&message.Update)
		if err != nil {
			panic(err)
		}
		sent := f.sent[d.name]
		sent.largest = max(sent.largest, len(body))
		for _, to := range message.To {
			sent.messages++
			sent.bytes += len(body)
			f.inFlight = append(f.inFlight, delivery{from: d.name, to: to, update: message.Update})
		}
	}
}

func (f *simFleet) deliver() {
	inFlight := f.inFlight
	f.inFlight = nil
	for i := range inFlight {
		if d := f.byName[inFlight[i].to]; !d.stopped {
			d.sharer.Receive(f.now, inFlight[i].from, &inFlight[i].update, f)
		}
	}
}

// trueFactor returns the factor that a correct estimate has: the speed of the median server by that of the server.
func (f *simFleet) trueFactor(server *simServer) float64 {
	var speeds []float64
	for _, other := range f.servers {
		speeds = append(speeds, other.speed)
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2] / server.speed
}

// factorError returns the ratio between the estimated and the true factor of a server at a daemon, or its inverse if
// that is larger. 1 means no error.
func (f *simFleet) factorError(d *simDaemon, server *simServer) float64 {
	ratio := d.tracker.Slowness(server.id) / f.trueFactor(server)
	return max(ratio, 1/ratio)
}

func (f *simFleet) dispatchers() []*simDaemon {
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *simDaemon) bool { return d.stopped || !d.place.Dispatching })
}

func (f *simFleet) members() []*simDaemon {
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *simDaemon) bool { return d.stopped || d.place.Dispatching })
}

// fresh returns the state of a daemon of the same name and zone after a restart.
func (f *simFleet) fresh(d *simDaemon) *simDaemon {
	tracker := pace.NewTracker()
	return &simDaemon{name: d.name, zone: d.zone, tracker: tracker, sharer: pace.NewSharer(tracker)}
}
