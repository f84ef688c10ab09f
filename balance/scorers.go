package balance

import "github.com/cespare/xxhash/v2"

// LoadScorer prefers instances with few requests for their slots.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return float64(candidate.Load.Requests) / float64(max(1, candidate.Instance.Slots))
}

// promptMemoryShare is the part of an instance's memory that, as prompts still to be
// read, weighs as much as a whole batch: reading holds up every other request.
const promptMemoryShare = 1.0 / 16

// PromptScorer prefers instances with few prompts still to be read.
type PromptScorer struct{}

// Score implements Scorer.
func (PromptScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.MemoryTokens == 0 {
		return 0
	}
	return float64(candidate.Load.PromptTokens) / (promptMemoryShare * float64(request.MemoryTokens))
}

// ZoneScorer prefers this daemon's zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(request *Request, candidate *Candidate) float64 {
	if candidate.Instance.Zone == request.Zone {
		return 0
	}
	return request.ZoneCost
}

// affinityWeight is what a kept prompt is worth at most.
const affinityWeight = 0.08

// AffinityScorer gives requests that share a prompt a common order of
// instances, so that they meet where the prompt is kept, and spreads the others.
type AffinityScorer struct{}

// Score implements Scorer.
func (AffinityScorer) Score(request *Request, candidate *Candidate) float64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(candidate.Instance.ID)
	var key [8]byte
	for i := range key {
		key[i] = byte(request.Affinity >> (8 * i))
	}
	_, _ = hash.Write(key[:])
	return affinityWeight * float64(hash.Sum64()>>11) / float64(1<<53)
}
