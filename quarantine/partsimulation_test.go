package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// partFigures are the sums of what happened.
type partFigures struct {
	// ended are servers that ended under deadly requests, late the sends of these later than agreeSpan after the fifth.
	ended, late int
	// sent and served are sound requests of the first route from twice agreeSpan after the last of the first five
	// crashes on; lost are all sound ones that were not served, held those that were held.
	sent, served, lost, held, sound int
}

func (f *partFigures) add(other partFigures) {
	f.ended += other.ended
	f.late += other.late
	f.sent += other.sent
	f.served += other.served
	f.lost += other.lost
	f.held += other.held
	f.sound += other.sound
}

// partSimulation is a fleet in virtual time under one way.
type partSimulation struct {
	way      partWay
	borne    partCase
	random   *rand.Rand
	now      time.Time
	book     *Book
	machines []*partMachine
	waiting  []*partRequest
	later    []told
	next     int
	session  int
	// crashes are the times at which servers ended under each cause, sends those of its requests.
	crashes, sends map[string][]time.Time
	goodAt         map[Digest]time.Time
	turnAt         map[Digest]time.Time
	outcomes       []partOutcome
}

// partOutcome is what became of one sound request of the first route.
type partOutcome struct {
	at     time.Time
	route  string
	served bool
	held   bool
}

func newPartSimulation(chosen partWay, borne partCase, seed uint64) *partSimulation {
	s := &partSimulation{
		way: chosen, borne: borne, random: rand.New(rand.NewPCG(seed, 66)), now: start, book: NewBook(),
		crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}, goodAt: map[Digest]time.Time{}, turnAt: map[Digest]time.Time{},
	}
	s.book.partLimit = chosen.limit
	for range simulatedServers {
		s.machines = append(s.machines, &partMachine{})
	}
	return s
}

func (s *partSimulation) after(span time.Duration, do func(now time.Time)) {
	s.later = append(s.later, told{s.now.Add(span), do})
}

// arrive adds a request with shared parts.
func (s *partSimulation) arrive(parts []string, cause string, content string) {
	s.next++
	if content == "" {
		content = fmt.Sprint("content", s.next)
	}
	request := &partRequest{
		Attributes: Attributes{Content: named(content)}, deadly: cause != "", first: parts[0], arrived: s.now,
		model: s.random.IntN(simulatedServers / serversOfModel),
		runs:  500*time.Millisecond + time.Duration(s.random.Int64N(int64(2500*time.Millisecond))),
	}
	if request.deadly {
		request.first = cause
	}
	for _, part := range parts {
		request.Parts = append(request.Parts, Part{ID: part, Digest: named(part)})
	}
	s.waiting = append(s.waiting, request)
}

func (s *partSimulation) arriveSound() {
	route := s.random.IntN(partRoutes)
	second := someSubject(s.random)
	if s.random.Float64() < partSessionShare {
		s.session++
		second = fmt.Sprint("session", s.session/3)
	}
	s.arrive([]string{routePart(route), second}, "", "")
}

func (s *partSimulation) run() {
	for s.now.Before(start.Add(partSpan)) {
		s.later = slices.DeleteFunc(s.later, func(word told) bool {
			if word.at.After(s.now) {
				return false
			}
			word.apply(s.now)
			return true
		})
		for _, at := range s.borne.racks {
			if s.now.Equal(start.Add(at)) {
				for _, number := range s.random.Perm(simulatedServers)[:simulatedServers/8] {
					s.crash(number, "")
				}
			}
		}
		if s.random.Float64() < arrivalsPerStep {
			s.arriveSound()
		}
		if s.now.Sub(start) >= partFrom {
			for _, prompt := range s.borne.prompts {
				if s.random.Float64() < partRequestsShare {
					cause, parts := prompt(s.random)
					s.arrive(parts, cause, "")
				}
			}
			if s.borne.content && s.now.Sub(start)%deadlyPause == 0 {
				s.arrive([]string{routePart(1), "rare"}, "content", "deadly content")
			}
		}
		s.waiting = slices.DeleteFunc(s.waiting, s.send)
		for number := range s.machines {
			s.work(number)
		}
		s.now = s.now.Add(simulationStep)
	}
}

// holds reports whether a request is held.
func (s *partSimulation) holds(request *partRequest) bool {
	attributes := request.Attributes
	if s.way.contents {
		attributes.Parts = nil
	}
	until, _ := s.book.RequestHeldUntil(s.now, &attributes)
	return !until.IsZero()
}

// suspects returns the suspected digests of a request.
func (s *partSimulation) suspects(request *partRequest) []Digest {
	var list []Digest
	request.digests(func(kind Kind, digest Digest) {
		if (kind == KindContent || !s.way.contents) && s.book.Suspects(s.now, digest) {
			list = append(list, digest)
		}
	})
	return list
}

// mayRun reports whether a request may run now, and takes its turns.
func (s *partSimulation) mayRun(request *partRequest) bool {
	suspects := s.suspects(request)
	if s.way.turns && slices.ContainsFunc(suspects, func(digest Digest) bool { return s.now.Before(s.turnAt[digest]) }) {
		return false
	}
	for _, digest := range suspects {
		s.turnAt[digest] = s.now.Add(turnPause)
	}
	return true
}

// send begins a request, or ends it without a run. It reports whether the request waits no longer.
func (s *partSimulation) send(request *partRequest) bool {
	switch {
	case s.holds(request):
		s.ended(request, false, true)
		return true
	case s.now.Sub(request.arrived) > partPatience:
		s.ended(request, false, false)
		return true
	}
	suspect := s.way.apart && len(s.suspects(request)) > 0
	best := s.choose(request, suspect)
	if best == nil || !s.mayRun(request) {
		return false
	}
	if request.deadly {
		s.sends[request.first] = append(s.sends[request.first], s.now)
	}
	request.began = s.now
	request.tries++
	best.running = append(best.running, request)
	return true
}

// choose returns the server that takes a request: the one of its second part if the load is sticky, or the one with
// the least to do.
func (s *partSimulation) choose(request *partRequest, suspect bool) *partMachine {
	var best *partMachine
	sticky := -1
	if s.borne.sticky {
		sticky = int(request.Parts[1].ID[len(request.Parts[1].ID)-1]) % serversOfModel
	}
	for offset := range serversOfModel {
		candidate := s.machines[request.model*serversOfModel+offset]
		if s.now.Before(candidate.backAt) || suspect && slices.ContainsFunc(candidate.running, func(other *partRequest) bool { return len(s.suspects(other)) > 0 }) {
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

// ended notes what became of a sound request.
func (s *partSimulation) ended(request *partRequest, served, held bool) {
	if !request.deadly {
		s.outcomes = append(s.outcomes, partOutcome{at: request.arrived, route: request.first, served: served, held: held})
	}
}

func (s *partSimulation) work(number int) {
	worker := s.machines[number]
	worker.running = slices.DeleteFunc(worker.running, func(request *partRequest) bool {
		if request.deadly || s.now.Sub(request.began) < request.runs {
			return false
		}
		s.ended(request, true, false)
		request.digests(func(_ Kind, digest Digest) { s.goodAt[digest] = s.now })
		s.after(knownAfter, func(now time.Time) {
			request.digests(func(_ Kind, digest Digest) { s.book.Served(now, digest) })
		})
		return true
	})
	for _, request := range worker.running {
		if request.deadly && s.now.Sub(request.began) >= deadlyAfter {
			s.crash(number, request.first)
			return
		}
	}
}

// crash ends a server with all that it runs.
func (s *partSimulation) crash(number int, cause string) {
	worker := s.machines[number]
	worker.life++
	worker.backAt = s.now.Add(2200*time.Millisecond + time.Duration(s.random.Int64N(int64(3800*time.Millisecond))))
	if cause != "" {
		s.crashes[cause] = append(s.crashes[cause], s.now)
	}
	var update Update
	at := s.now
	server := fmt.Sprint(number, "/", worker.life)
	for _, request := range worker.running {
		crash := Told{Server: server, Ran: s.now.Sub(request.began)}
		request.digests(func(kind Kind, digest Digest) {
			switch {
			case kind == KindContent:
			case s.way.contents, s.way.sound && !s.goodAt[digest].IsZero() && s.now.Sub(s.goodAt[digest]) < soundBefore:
				return
			case s.way.alike:
				kind = KindContent
			}
			update.Items = append(update.Items, Item{Digest: digest, Kind: kind, Crashes: []Told{crash}})
		})
		s.comesBack(request)
	}
	worker.running = nil
	s.after(knownAfter, func(now time.Time) {
		update.Wait(now.Sub(at))
		s.book.Learn(now, update)
	})
}

// comesBack sends a request once more whose answer broke.
func (s *partSimulation) comesBack(request *partRequest) {
	if request.tries > 1 {
		s.ended(request, false, false)
		return
	}
	again := *request
	s.after(deadlyPause, func(now time.Time) {
		again.arrived = now
		s.waiting = append(s.waiting, &again)
	})
}

func (s *partSimulation) figures() partFigures {
	var sum partFigures
	settled := start.Add(partFrom)
	for cause, crashes := range s.crashes {
		sum.ended += len(crashes)
		last := crashes[min(len(crashes), 5)-1]
		if last.After(settled) {
			settled = last
		}
		for _, sent := range s.sends[cause] {
			if sent.After(last.Add(agreeSpan)) {
				sum.late++
			}
		}
	}
	settled = settled.Add(2 * agreeSpan)
	for _, outcome := range s.outcomes {
		sum.sound++
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
