package route

import (
	"math"
	"time"
)

// Picker chooses a candidate by filters and scorers.
type Picker struct {
	filters []Filter
	scorers []Scorer
}

// NewPicker returns a picker with the given parts.
func NewPicker(filters []Filter, scorers []Scorer) *Picker {
	return &Picker{filters: filters, scorers: scorers}
}

// DefaultPicker returns the picker that daemons use.
func DefaultPicker(index *PrefixIndex) *Picker {
	return NewPicker(
		[]Filter{NotExcluded{}, HasAdapter{}},
		[]Scorer{
			LoadScorer{HalfLife: 4 * time.Second},
			PrefixScorer{Index: index, Bonus: 0.5},
			PlaceScorer{ZoneCost: 0.1, RegionCost: 0.5},
			StateScorer{OldVersionCost: 1, DrainingCost: 1},
		},
	)
}

const (
	// scoredCandidates is how many candidates are scored; with more, a random
	// window of this length is, which keeps the cost of a choice bounded and
	// keeps daemons that see the same reports from all choosing the same.
	scoredCandidates = 6
)

// trust says how far a candidate can be expected to take a request. A candidate
// of lower trust is picked only if none of higher trust is left: it would refuse
// at once, and since refusals keep its load low, a score alone would send it
// ever more requests.
type trust int

const (
	// notObserved means that no report shows the replica; it may still load.
	notObserved trust = iota
	// unreachedLately means that it serves as far as known, but that the last
	// attempt did not reach it.
	unreachedLately
	// refusedLately means that it serves but turned a request away.
	refusedLately
	trusted
)

func trustOf(now time.Time, candidate *Candidate) trust {
	if !candidate.Observed {
		return notObserved
	}
	switch candidate.BackEnd.Load.standing(now) {
	case unreached:
		return unreachedLately
	case refused:
		return refusedLately
	default:
		return trusted
	}
}

// Pick returns the best candidate for a request, or nil.
func (p *Picker) Pick(now time.Time, model *Model, request *Request) *Candidate {
	count := len(model.Candidates)
	if count == 0 {
		return nil
	}
	start := int(request.Random % uint64(count))
	var best *Candidate
	bestScore, bestTrust := math.Inf(1), notObserved
	scored := 0
	for offset := range count {
		candidate := &model.Candidates[(start+offset)%count]
		if !p.allows(request, candidate) {
			continue
		}
		trust := trustOf(now, candidate)
		if trust < bestTrust {
			continue
		}
		score := p.score(now, request, candidate)
		if score < bestScore || trust > bestTrust {
			best, bestScore, bestTrust = candidate, score, trust
		}
		scored++
		if scored >= scoredCandidates && bestTrust == trusted {
			break
		}
	}
	return best
}

func (p *Picker) allows(request *Request, candidate *Candidate) bool {
	for _, filter := range p.filters {
		if !filter.Allows(request, candidate) {
			return false
		}
	}
	return true
}

func (p *Picker) score(now time.Time, request *Request, candidate *Candidate) float64 {
	total := 0.0
	for _, scorer := range p.scorers {
		total += scorer.Score(now, request, candidate)
	}
	return total
}

// PickMachine returns the machine of a service with the fewest own requests in
// progress that was not excluded, or nil. One that turned a request away lately
// is picked only if no better is left, and one that was not reached after that.
func PickMachine(now time.Time, service *Service, request *Request) *BackEnd {
	count := len(service.Machines)
	var best *BackEnd
	for offset := range count {
		machine := service.Machines[(int(request.Random%uint64(count))+offset)%count]
		if request.Excludes(machine.Load) {
			continue
		}
		if best == nil || betterMachine(now, machine, best) {
			best = machine
		}
	}
	return best
}

func betterMachine(now time.Time, machine, best *BackEnd) bool {
	standing, bestStanding := machine.Load.standing(now), best.Load.standing(now)
	if standing != bestStanding {
		return standing > bestStanding
	}
	return machine.Load.InFlight() < best.Load.InFlight()
}
