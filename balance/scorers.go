package balance

import "github.com/cespare/xxhash/v2"

// LoadScorer prefers instances with few requests relative to their slots.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return float64(candidate.Load.Requests) / float64(max(1, candidate.Instance.Slots))
}

// promptMemoryShare is the share of an instance's memory at which unread prompts cost as much as a
// whole batch, because reading a prompt delays all other requests.
const promptMemoryShare = 1.0 / 16

// PromptScorer prefers instances with few prompt tokens still to be read.
type PromptScorer struct{}

// Score implements Scorer.
func (PromptScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.MemoryTokens == 0 {
		return 0
	}
	return float64(candidate.Load.PromptTokens) / (promptMemoryShare * float64(request.MemoryTokens))
}

// ZoneScorer prefers instances in this daemon's zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(request *Request, candidate *Candidate) float64 {
	if candidate.Instance.Zone == request.Zone {
		return 0
	}
	return request.ZoneCost
}

// affinityWeight is the largest score difference for a cached prompt.
const affinityWeight = 0.08

// AffinityScorer ranks the instances by a hash of the instance and the affinity. Requests that
// share a prompt prefer the same instances, where the prompt is cached, and other requests are
// spread.
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
