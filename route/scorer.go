package route

import "time"

// Scorer rates a candidate; lower is better. Scores of all scorers are summed.
// One unit is the cost of a whole batch of waiting requests.
type Scorer interface {
	Score(now time.Time, request *Request, candidate *Candidate) float64
}

// LoadScorer rates by expected load for each batch slot.
type LoadScorer struct {
	// HalfLife is the age at which a report of others' load counts half.
	HalfLife time.Duration
}

// Score implements Scorer.
func (s LoadScorer) Score(now time.Time, _ *Request, candidate *Candidate) float64 {
	load := candidate.BackEnd.Load
	return load.Expected(now, s.HalfLife) / float64(load.Slots())
}

// PrefixScorer favours the back end that last got the longest known prefix.
type PrefixScorer struct {
	Index *PrefixIndex
	// Bonus is taken off the score for a match of all blocks.
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

// PlaceScorer adds a cost for leaving the zone, and another for leaving the
// region.
type PlaceScorer struct {
	ZoneCost   float64
	RegionCost float64
}

// Score implements Scorer.
func (s PlaceScorer) Score(_ time.Time, request *Request, candidate *Candidate) float64 {
	cost := 0.0
	if request.Zone != candidate.BackEnd.Zone {
		cost += s.ZoneCost
	}
	if request.Region != candidate.BackEnd.Region {
		cost += s.RegionCost
	}
	return cost
}

// StateScorer adds a cost for replicas that hold a version other than the
// configured one, or whose back end is to be emptied. They still take what the
// others cannot.
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
