package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// partTotals are the sums over the requests and servers of simulations.
type partTotals struct {
	// crashedServers are servers that crashed under crashing requests. late are crashing requests that were sent later
	// than agreementTime after the fifth crash.
	crashedServers, late int
	// sent and served are harmless requests of the first route that arrived later than twice agreementTime after the
	// last of the first five crashes. harmless are all harmless requests, lost those that were not served, and held
	// those that were held.
	sent, served, lost, held, harmless int
}

func (t *partTotals) add(other partTotals) {
	t.crashedServers += other.crashedServers
	t.late += other.late
	t.sent += other.sent
	t.served += other.served
	t.lost += other.lost
	t.held += other.held
	t.harmless += other.harmless
}

// partSimulation is a fleet in virtual time under one policy.
type partSimulation struct {
	policy   partPolicy
	scenario partScenario
	random   *rand.Rand
	now      time.Time
	book     *Tracker
	servers  []*partServer
	waiting  []*partRequest
	events   []event
	next     int
	session  int
	// crashes are the times at which servers crashed under each cause, sends those at which its requests were sent.
	crashes, sends map[string][]time.Time
	servedAt       map[Digest]time.Time
	nextTurnAt     map[Digest]time.Time
	outcomes       []partOutcome
}

// partOutcome is the outcome of one harmless request.
type partOutcome struct {
	at     time.Time
	route  string
	served bool
	held   bool
}

func newPartSimulation(chosen partPolicy, scenario partScenario, seed uint64) *partSimulation {
	s := &partSimulation{
		policy: chosen, scenario: scenario, random: rand.New(rand.NewPCG(seed, 66)), now: start, book: NewTracker(),
		crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}, servedAt: map[Digest]time.Time{}, nextTurnAt: map[Digest]time.Time{},
	}
	s.book.partLimit = chosen.limit
	for range serverCount {
		s.servers = append(s.servers, &partServer{})
	}
	return s
}

func (s *partSimulation) schedule(delay time.Duration, do func(now time.Time)) {
	s.events = append(s.events, event{s.now.Add(delay), do})
}

// arrive adds a request with shared parts.
func (s *partSimulation) arrive(parts []string, cause string, content string) {
	s.next++
	if content == "" {
		content = fmt.Sprint("content", s.next)
	}
	request := &partRequest{
		Attributes: Attributes{Content: testDigest(content)}, crashing: cause != "", first: parts[0], arrived: s.now,
		model: s.random.IntN(serverCount / serversPerModel),
		runs:  500*time.Millisecond + time.Duration(s.random.Int64N(int64(2500*time.Millisecond))),
	}
	if request.crashing {
		request.first = cause
	}
	for _, part := range parts {
		request.Parts = append(request.Parts, Part{ID: part, Digest: testDigest(part)})
	}
	s.waiting = append(s.waiting, request)
}

func (s *partSimulation) arriveHarmless() {
	route := s.random.IntN(partRoutes)
	second := randomSubject(s.random)
	if s.random.Float64() < partSessionShare {
		s.session++
		second = fmt.Sprint("session", s.session/3)
	}
	s.arrive([]string{routePart(route), second}, "", "")
}

func (s *partSimulation) run() {
	for s.now.Before(start.Add(partDuration)) {
		s.events = slices.DeleteFunc(s.events, func(pending event) bool {
			if pending.at.After(s.now) {
				return false
			}
			pending.apply(s.now)
			return true
		})
		for _, at := range s.scenario.racks {
			if s.now.Equal(start.Add(at)) {
				for _, number := range s.random.Perm(serverCount)[:serverCount/8] {
					s.crash(number, "")
				}
			}
		}
		if s.random.Float64() < arrivalsPerStep {
			s.arriveHarmless()
		}
		if s.now.Sub(start) >= partStart {
			for _, prompt := range s.scenario.prompts {
				if s.random.Float64() < partRequestsShare {
					cause, parts := prompt(s.random)
					s.arrive(parts, cause, "")
				}
			}
			if s.scenario.content && s.now.Sub(start)%resendDelay == 0 {
				s.arrive([]string{routePart(1), "rare"}, "content", "deadly content")
			}
		}
		s.waiting = slices.DeleteFunc(s.waiting, s.send)
		for number := range s.servers {
			s.work(number)
		}
		s.now = s.now.Add(simulationStep)
	}
}

// holds reports whether a request is held.
func (s *partSimulation) holds(request *partRequest) bool {
	attributes := request.Attributes
	if s.policy.contentsOnly {
		attributes.Parts = nil
	}
	until, _ := s.book.RequestHeldUntil(s.now, &attributes)
	return !until.IsZero()
}

// suspects returns the suspected digests of a request.
func (s *partSimulation) suspects(request *partRequest) []Digest {
	var list []Digest
	request.eachDigest(func(kind Kind, digest Digest) {
		if (kind == KindContent || !s.policy.contentsOnly) && s.book.IsSuspected(s.now, digest) {
			list = append(list, digest)
		}
	})
	return list
}

// mayRun reports whether a request may run now, and takes its turns if so.
func (s *partSimulation) mayRun(request *partRequest) bool {
	suspects := s.suspects(request)
	if s.policy.turns && slices.ContainsFunc(suspects, func(digest Digest) bool { return s.now.Before(s.nextTurnAt[digest]) }) {
		return false
	}
	for _, digest := range suspects {
		s.nextTurnAt[digest] = s.now.Add(turnInterval)
	}
	return true
}

// send starts a request, or ends it without a run. It reports whether the request no longer waits.
func (s *partSimulation) send(request *partRequest) bool {
	switch {
	case s.holds(request):
		s.recordOutcome(request, false, true)
		return true
	case s.now.Sub(request.arrived) > partSendTimeout:
		s.recordOutcome(request, false, false)
		return true
	}
	suspect := s.policy.isolate && len(s.suspects(request)) > 0
	best := s.choose(request, suspect)
	if best == nil || !s.mayRun(request) {
		return false
	}
	if request.crashing {
		s.sends[request.first] = append(s.sends[request.first], s.now)
	}
	request.began = s.now
	request.tries++
	best.running = append(best.running, request)
	return true
}

// choose returns the server that gets a request: if the load is sticky, the one of its second part if available; else
// the one with the fewest requests.
func (s *partSimulation) choose(request *partRequest, suspect bool) *partServer {
	var best *partServer
	sticky := -1
	if s.scenario.sticky {
		sticky = int(request.Parts[1].ID[len(request.Parts[1].ID)-1]) % serversPerModel
	}
	for offset := range serversPerModel {
		candidate := s.servers[request.model*serversPerModel+offset]
		if s.now.Before(candidate.availableAt) || suspect && slices.ContainsFunc(candidate.running, func(other *partRequest) bool { return len(s.suspects(other)) > 0 }) {
			continue
		}
		if offset == sticky {
			return candidate
		}
		if best == nil || len(candidate.running) < len(best.running) {
			best = candidate
		}
	}
	return best
}

// recordOutcome records the outcome of a harmless request.
func (s *partSimulation) recordOutcome(request *partRequest, served, held bool) {
	if !request.crashing {
		s.outcomes = append(s.outcomes, partOutcome{at: request.arrived, route: request.first, served: served, held: held})
	}
}

func (s *partSimulation) work(number int) {
	worker := s.servers[number]
	worker.running = slices.DeleteFunc(worker.running, func(request *partRequest) bool {
		if request.crashing || s.now.Sub(request.began) < request.runs {
			return false
		}
		s.recordOutcome(request, true, false)
		request.eachDigest(func(_ Kind, digest Digest) { s.servedAt[digest] = s.now })
		s.schedule(reportDelay, func(now time.Time) {
			request.eachDigest(func(_ Kind, digest Digest) { s.book.RecordSuccess(now, digest) })
		})
		return true
	})
	for _, request := range worker.running {
		if request.crashing && s.now.Sub(request.began) >= crashDelay {
			s.crash(number, request.first)
			return
		}
	}
}

// crash ends a server with all its requests.
func (s *partSimulation) crash(number int, cause string) {
	worker := s.servers[number]
	worker.incarnation++
	worker.availableAt = s.now.Add(2200*time.Millisecond + time.Duration(s.random.Int64N(int64(3800*time.Millisecond))))
	if cause != "" {
		s.crashes[cause] = append(s.crashes[cause], s.now)
	}
	var update Update
	at := s.now
	server := fmt.Sprint(number, "/", worker.incarnation)
	for _, request := range worker.running {
		crash := CrashReport{Server: server, Ran: s.now.Sub(request.began)}
		request.eachDigest(func(kind Kind, digest Digest) {
			switch {
			case kind == KindContent:
			case s.policy.contentsOnly, s.policy.exemptServed && !s.servedAt[digest].IsZero() && s.now.Sub(s.servedAt[digest]) < harmlessWindow:
				return
			case s.policy.partsAsContents:
				kind = KindContent
			}
			update.Items = append(update.Items, Item{Digest: digest, Kind: kind, Crashes: []CrashReport{crash}})
		})
		s.resend(request)
	}
	worker.running = nil
	s.schedule(reportDelay, func(now time.Time) {
		update.AddAge(now.Sub(at))
		s.book.Merge(now, update)
	})
}

// resend sends a request once more whose answer was interrupted.
func (s *partSimulation) resend(request *partRequest) {
	if request.tries > 1 {
		s.recordOutcome(request, false, false)
		return
	}
	again := *request
	s.schedule(resendDelay, func(now time.Time) {
		again.arrived = now
		s.waiting = append(s.waiting, &again)
	})
}

func (s *partSimulation) totals() partTotals {
	var sum partTotals
	settled := start.Add(partStart)
	for cause, crashes := range s.crashes {
		sum.crashedServers += len(crashes)
		last := crashes[min(len(crashes), 5)-1]
		if last.After(settled) {
			settled = last
		}
		for _, sent := range s.sends[cause] {
			if sent.After(last.Add(agreementTime)) {
				sum.late++
			}
		}
	}
	settled = settled.Add(2 * agreementTime)
	for _, outcome := range s.outcomes {
		sum.harmless++
		if !outcome.served {
			sum.lost++
		}
		if outcome.held {
			sum.held++
		}
		if outcome.route == routePart(0) && outcome.at.After(settled) {
			sum.sent++
			if outcome.served {
				sum.served++
			}
		}
	}
	return sum
}
