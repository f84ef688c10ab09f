package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load of this simulation is that of the deployment of the incident: 18 servers, 90 streams a second that run for
// 0.5 to 3 s, five servers for each of the busiest models, and servers that restart within 2.2 to 6 s. A crashing
// request crashes its server 80 ms after it began. A client resends a request once whose answer was interrupted; a
// crashing request is resent 0.7 s later, as long as it is not held. Daemons receive the report of a crash 50 ms later.
const (
	serverCount        = 18
	serversPerModel    = 5
	arrivalsPerStep    = 0.9
	simulationStep     = 10 * time.Millisecond
	simulationDuration = 30 * time.Second
	crashDelay         = 80 * time.Millisecond
	resendDelay        = 700 * time.Millisecond
	reportDelay        = 50 * time.Millisecond
)

// policy is a rule that decides which contents are held.
type policy struct {
	name string
	// held reports whether a content is held by the records of the tracker.
	held func(book *Tracker, content Digest) bool
	// isolateFrom is the number of crashes from which a content is isolated: it is sent only to servers without another
	// isolated content, and has one run at a time. Zero disables isolation.
	isolateFrom int
	// limit is the number of crashes from which a content is held.
	limit int
}

func heldByCount(tracker *Tracker, content Digest) bool {
	rec := tracker.records[content]
	return rec != nil && rec.crashCount >= tracker.limit
}

func heldByBook(tracker *Tracker, content Digest) bool {
	rec := tracker.records[content]
	return rec != nil && rec.held
}

// policies begin with the one in use.
var policies = []policy{
	{name: "3 crashes that others don't explain", held: heldByBook, limit: crashLimit},
	{name: "3 crashes", held: heldByCount, limit: crashLimit},
	{name: "2 crashes that others don't explain", held: heldByBook, limit: 2},
	{name: "2 crashes", held: heldByCount, limit: 2},
	{name: "3 crashes, isolated after 1", held: heldByCount, isolateFrom: 1, limit: 3},
	{name: "2 crashes, isolated after 1", held: heldByCount, isolateFrom: 1, limit: 2},
	{name: "3 crashes, isolated after 2", held: heldByCount, isolateFrom: 2, limit: 3},
	{name: "3 unexplained, isolated after 2", held: heldByBook, isolateFrom: 2, limit: 3},
}

// simRequest is one request of the simulation.
type simRequest struct {
	content  Digest
	crashing bool
	tries    int
	model    int
	began    time.Time
	runs     time.Duration
}

// simServer is one server of the simulation.
type simServer struct {
	// incarnation counts the restarts of the server.
	incarnation int
	availableAt time.Time
	running     []*simRequest
}

// event is a change that takes effect at a later time, on all daemons.
type event struct {
	at    time.Time
	apply func(now time.Time)
}

// simulation is a fleet in virtual time under one policy.
type simulation struct {
	policy policy
	random *rand.Rand
	now    time.Time
	book   *Tracker
	// maxTries is the number of times that a harmless request is sent.
	maxTries int
	servers  []*simServer
	waiting  []*simRequest
	resends  []event
	events   []event
	next     int
	totals   totals
}

type totals struct {
	// crashedServers are servers that crashed under crashing requests, bystanders the harmless requests that these
	// crashes interrupted. harmlessHeld are harmless requests that were held, and interrupted all harmless requests
	// that a crash interrupted.
	crashedServers, bystanders, harmlessHeld, interrupted int
}

func (t *totals) add(other totals) {
	t.crashedServers += other.crashedServers
	t.bystanders += other.bystanders
	t.harmlessHeld += other.harmlessHeld
	t.interrupted += other.interrupted
}

func newSimulation(chosen policy, seed uint64, maxTries int) *simulation {
	s := &simulation{policy: chosen, random: rand.New(rand.NewPCG(seed, 39)), now: start, maxTries: maxTries, book: NewTracker()}
	s.book.limit = chosen.limit
	for range serverCount {
		s.servers = append(s.servers, &simServer{})
	}
	return s
}

func (s *simulation) content() Digest {
	s.next++
	return testDigest(fmt.Sprint("content ", s.next))
}

func (s *simulation) schedule(after time.Duration, do func(now time.Time)) {
	s.events = append(s.events, event{s.now.Add(after), do})
}

// run simulates the load. Crashing contents arrive from 2 s on; at the times of racks, an eighth of the servers crash.
func (s *simulation) run(crashing int, racks ...time.Duration) {
	for range crashing {
		request := &simRequest{content: s.content(), crashing: true, model: 0}
		s.resends = append(s.resends, event{start.Add(2 * time.Second), func(time.Time) { s.waiting = append(s.waiting, request) }})
	}
	for s.now.Before(start.Add(simulationDuration)) {
		s.applyDue(&s.events)
		s.applyDue(&s.resends)
		for _, at := range racks {
			if s.now.Equal(start.Add(at)) {
				for _, number := range s.random.Perm(serverCount)[:serverCount/8] {
					s.crash(number, false)
				}
			}
		}
		for range s.arrivals() {
			s.waiting = append(s.waiting, &simRequest{
				content: s.content(), model: s.random.IntN(serverCount / serversPerModel),
				runs: 500*time.Millisecond + time.Duration(s.random.Int64N(int64(2500*time.Millisecond))),
			})
		}
		s.waiting = slices.DeleteFunc(s.waiting, s.send)
		for number := range s.servers {
			s.work(number)
		}
		s.now = s.now.Add(simulationStep)
	}
}

func (s *simulation) arrivals() int {
	if s.random.Float64() < arrivalsPerStep {
		return 1
	}
	return 0
}

func (s *simulation) applyDue(list *[]event) {
	*list = slices.DeleteFunc(*list, func(pending event) bool {
		if pending.at.After(s.now) {
			return false
		}
		pending.apply(s.now)
		return true
	})
}

// send starts a request, or rejects it if its content is held. It reports whether the request no longer waits.
func (s *simulation) send(request *simRequest) bool {
	if s.policy.held(s.book, request.content) {
		if !request.crashing {
			s.totals.harmlessHeld++
		}
		return true
	}
	suspect := s.isIsolated(request.content)
	var best *simServer
	for offset := range serversPerModel {
		candidate := s.servers[request.model*serversPerModel+offset]
		if s.now.Before(candidate.availableAt) || suspect && s.runsIsolated(candidate) {
			continue
		}
		if best == nil || len(candidate.running) < len(best.running) {
			best = candidate
		}
	}
	if best == nil || suspect && s.runsOnAnyServer(request.content) {
		return false
	}
	request.began = s.now
	request.tries++
	best.running = append(best.running, request)
	return true
}

// isIsolated reports whether a content is sent only to servers without another isolated content.
func (s *simulation) isIsolated(content Digest) bool {
	rec := s.book.records[content]
	return s.policy.isolateFrom > 0 && rec != nil && rec.crashCount >= s.policy.isolateFrom
}

func (s *simulation) runsIsolated(candidate *simServer) bool {
	return slices.ContainsFunc(candidate.running, func(other *simRequest) bool { return s.isIsolated(other.content) })
}

func (s *simulation) runsOnAnyServer(content Digest) bool {
	return slices.ContainsFunc(s.servers, func(candidate *simServer) bool {
		return slices.ContainsFunc(candidate.running, func(other *simRequest) bool { return other.content == content })
	})
}

// work ends the completed requests of a server, and crashes a server that runs a crashing request.
func (s *simulation) work(number int) {
	worker := s.servers[number]
	worker.running = slices.DeleteFunc(worker.running, func(request *simRequest) bool {
		if request.crashing || s.now.Sub(request.began) < request.runs {
			return false
		}
		content := request.content
		s.schedule(reportDelay, func(now time.Time) { s.book.RecordSuccess(now, content) })
		return true
	})
	ends := func(request *simRequest) bool { return request.crashing && s.now.Sub(request.began) >= crashDelay }
	if slices.ContainsFunc(worker.running, ends) {
		s.crash(number, true)
	}
}

// crash ends a server with all its requests.
func (s *simulation) crash(number int, crashing bool) {
	worker := s.servers[number]
	worker.incarnation++
	worker.availableAt = s.now.Add(2200*time.Millisecond + time.Duration(s.random.Int64N(int64(3800*time.Millisecond))))
	var interrupted []InterruptedRequest
	for _, request := range worker.running {
		interrupted = append(interrupted, InterruptedRequest{Content: request.content, Began: request.began})
		s.resend(request)
		if !request.crashing {
			s.totals.interrupted++
			if crashing {
				s.totals.bystanders++
			}
		}
	}
	worker.running = nil
	if crashing {
		s.totals.crashedServers++
	}
	server := fmt.Sprint(number, "/", worker.incarnation)
	at := s.now
	s.schedule(reportDelay, func(now time.Time) { s.book.RecordCrash(now, at, server, interrupted) })
}

// resend sends a request again whose answer was interrupted.
func (s *simulation) resend(request *simRequest) {
	delay := 20 * time.Millisecond
	switch {
	case request.crashing:
		delay = resendDelay
	case request.tries >= s.maxTries:
		return
	}
	again := *request
	s.resends = append(s.resends, event{s.now.Add(delay), func(time.Time) { s.waiting = append(s.waiting, &again) }})
}

// load is the workload of a fleet in a simulation.
type load struct {
	name     string
	crashing int
	// tries is the number of times that a harmless request is sent: by its client, which resends an interrupted request
	// once, and by daemons, which resume a stream once where its route allows that.
	tries int
	racks []time.Duration
	// maxHeldPerMille is how many of a thousand interrupted harmless requests may be held.
	maxHeldPerMille int
}

var rackFailures = []time.Duration{4 * time.Second, 4500 * time.Millisecond, 5 * time.Second}

var loads = []load{
	{"one", 1, 2, nil, 0},
	{"one, streams resumed", 1, 4, nil, 1},
	{"three, streams resumed", 3, 4, nil, 1},
	{"none, an eighth crashes three times", 0, 4, rackFailures, 0},
	{"two, an eighth crashes three times", 2, 4, rackFailures, 3},
}

// simulatePolicy simulates a load with several seeds and returns the sum of the totals.
func simulatePolicy(chosen policy, workload load, seeds int) totals {
	var sum totals
	for seed := range uint64(seeds) {
		simulated := newSimulation(chosen, seed, workload.tries)
		simulated.run(workload.crashing, workload.racks...)
		sum.add(simulated.totals)
	}
	return sum
}

// TestHarmlessContentsAreHardlyEverHeld bounds the effects of the policy in use: a crashing request crashes as many
// servers as the limit, and one more if another content was present at each of these crashes. Hardly any harmless
// request is held.
func TestHarmlessContentsAreHardlyEverHeld(t *testing.T) {
	const seeds = 10
	for _, workload := range loads {
		t.Run(workload.name, func(t *testing.T) {
			sum := simulatePolicy(policies[0], workload, seeds)
			if limit := workload.crashing * (crashLimit + 1) * seeds; sum.crashedServers > limit {
				t.Errorf("%d servers crashed, want at most %d", sum.crashedServers, limit)
			}
			if 1000*sum.harmlessHeld > workload.maxHeldPerMille*sum.interrupted {
				t.Errorf("%d of %d interrupted harmless requests are held", sum.harmlessHeld, sum.interrupted)
			}
		})
	}
}

// BenchmarkWays compares policies that decide which contents are held, on the same seeds.
func BenchmarkWays(b *testing.B) {
	for _, workload := range loads {
		for _, chosen := range policies {
			b.Run(workload.name+"/"+chosen.name, func(b *testing.B) {
				seeds := 0
				var sum totals
				for b.Loop() {
					seeds += 40
					sum.add(simulatePolicy(chosen, workload, 40))
				}
				b.ReportMetric(float64(sum.crashedServers)/float64(seeds), "ended")
				b.ReportMetric(float64(sum.bystanders)/float64(seeds), "bystanders")
				b.ReportMetric(float64(sum.harmlessHeld)/float64(seeds), "harmless-held")
			})
		}
	}
}
