package route

import (
	"math"
	"time"
)

// Picker selects a candidate by filters and scorers.
type Picker struct {
	filters []Filter
	scorers []Scorer
}

// NewPicker returns a picker with the given filters and scorers.
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
			LocalityScorer{ZoneCost: 0.1, RegionCost: 0.5},
			StateScorer{OldVersionCost: 1, DrainingCost: 1},
		},
	)
}

const (
	// maxScoredCandidates is the number of candidates after which scoring stops if
	// a preferred one was found. The first one is random. This bounds the cost of a
	// choice, and daemons with the same reports do not all choose the same candidate.
	maxScoredCandidates = 6
)

// preference is a class of candidates by how likely they are to accept a request.
// A candidate of a lower class is picked only if none of a higher class is left. It
// would refuse immediately, and since refusals keep its load low, scores alone
// would send it more and more requests.
type preference int

const (
	// notObserved means that no report shows the replica; it may still be loading.
	notObserved preference = iota
	// recentlyUnreachable means that the replica was reported as serving, but the
	// last attempt did not reach it.
	recentlyUnreachable
	// recentlyRefused means that the replica serves but refused a request within failureTTL.
	recentlyRefused
	preferred
)

func preferenceOf(now time.Time, candidate *Candidate) preference {
	if !candidate.Observed {
		return notObserved
	}
	switch candidate.BackEnd.Load.attemptStatus(now) {
	case unreachable:
		return recentlyUnreachable
	case refused:
		return recentlyRefused
	default:
		return preferred
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
	bestScore, bestPreference := math.Inf(1), notObserved
	scored := 0
	for offset := range count {
		candidate := &model.Candidates[(start+offset)%count]
		if !p.allows(request, candidate) {
			continue
		}
		candidatePreference := preferenceOf(now, candidate)
		if candidatePreference < bestPreference {
			continue
		}
		score := p.score(now, request, candidate)
		if score < bestScore || candidatePreference > bestPreference {
			best, bestScore, bestPreference = candidate, score, candidatePreference
		}
		scored++
		if scored >= maxScoredCandidates && bestPreference == preferred {
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

// PickMachine returns the machine of a service with the fewest requests of this
// daemon in progress, or nil. It skips excluded machines. One that recently refused
// a request is picked only if no better one is left, and an unreachable one last.
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
	attemptStatus, bestAttemptStatus := machine.Load.attemptStatus(now), best.Load.attemptStatus(now)
	if attemptStatus != bestAttemptStatus {
		return attemptStatus > bestAttemptStatus
	}
	return machine.Load.InFlight() < best.Load.InFlight()
}
