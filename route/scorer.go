package route

import "time"

// Scorer scores a candidate; lower is better. The scores of all scorers are added.
// A score of one is the cost of a full batch of waiting requests.
type Scorer interface {
	Score(now time.Time, request *Request, candidate *Candidate) float64
}

// LoadScorer scores by expected load per batch slot.
type LoadScorer struct {
	// HalfLife is the age at which the reported load from other daemons counts half.
	HalfLife time.Duration
}

// Score implements Scorer.
func (s LoadScorer) Score(now time.Time, _ *Request, candidate *Candidate) float64 {
	load := candidate.BackEnd.Load
	return load.ExpectedRequests(now, s.HalfLife) / float64(load.Slots())
}

// PrefixScorer favours back ends that recently received the longest matching prefix.
type PrefixScorer struct {
	Index *PrefixIndex
	// Bonus is subtracted from the score if all blocks match, and in proportion if fewer do.
	Bonus float64
}

// Score implements Scorer.
func (s PrefixScorer) Score(_ time.Time, request *Request, candidate *Candidate) float64 {
	matched := s.Index.Match(&request.Prefix, candidate.BackEnd.Load.ID)
	if matched == 0 {
		return 0
	}
	return -s.Bonus * float64(matched) / float64(request.Prefix.Count)
}

// LocalityScorer adds a cost for candidates in another zone, and another for those in
// another region.
type LocalityScorer struct {
	ZoneCost   float64
	RegionCost float64
}

// Score implements Scorer.
func (s LocalityScorer) Score(_ time.Time, request *Request, candidate *Candidate) float64 {
	cost := 0.0
	if request.Zone != candidate.BackEnd.Zone {
		cost += s.ZoneCost
	}
	if request.Region != candidate.BackEnd.Region {
		cost += s.RegionCost
	}
	return cost
}

// StateScorer adds a cost for replicas of a version other than the configured one,
// and for those on a draining back end. They still receive requests that the other
// replicas have no capacity for.
type StateScorer struct {
	OldVersionCost float64
	DrainingCost   float64
}

// Score implements Scorer.
func (s StateScorer) Score(_ time.Time, _ *Request, candidate *Candidate) float64 {
	cost := 0.0
	if !candidate.Serving {
		cost += s.OldVersionCost
	}
	if candidate.Draining {
		cost += s.DrainingCost
	}
	return cost
}
