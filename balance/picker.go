package balance

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Request is the input of the choice of an instance.
type Request struct {
	//lint:ignore U1000 read by the msgpack encoder
	_msgpack struct{} `msgpack:",as_array"`

	Model   string
	Adapter string
	// Zone is the zone of this daemon. ZoneCost is the score added for an instance of another zone,
	// as a fraction of a whole batch.
	Zone     string
	ZoneCost float64
	// Affinity is equal for requests that share the start of their prompt; zero if they need not go
	// to the same instance.
	Affinity uint64
	// PromptTokens is the length of the request's own prompt.
	PromptTokens int
	// PromptLimit is the maximum number of prompt tokens that an instance may have to read, this
	// prompt included, if it has any others. Zero means no limit.
	PromptLimit int
	// Yields means that the request waits at its daemon while the batch of the chosen instance is
	// full.
	Yields bool
	// MemoryTokens is the memory of each instance in tokens; zero if it is not known.
	MemoryTokens int
	// Excluded lists instances that the request was sent to before, or must not reach.
	Excluded []string
	// OutputTokens is the expected length of the answer; zero if it is not known.
	OutputTokens int
	// TargetGap is the longest acceptable gap between two events of a stream; zero if there is no
	// target.
	TargetGap time.Duration
	// Tokens holds the token times that the daemon of the request has measured for the service, or
	// the zero value if it has too few samples. A dispatcher that handles few requests of a service
	// itself has no other source.
	Tokens TokenTimes
	// Pinned means that the request resumes a stream that instances of the version Software began.
	Pinned   bool
	Software string
}

// Candidate is an instance that may take a request, with its state.
type Candidate struct {
	Instance *fleet.Instance
	// Load is the known load of the instance.
	Load Load
	// Available reports whether the instance is neither ejected, stalled nor in a backoff, and not
	// avoided by avoidQuorum other daemons.
	Available bool
	// Crowded means that the request should be delayed, because even this instance has many prompts
	// to read. One more would stall the streams that run there. For a request that yields, it also
	// means that the batch is full.
	Crowded bool
	// Slowness is how long the instance's work takes relative to the typical instance. Zero counts
	// as one.
	Slowness float64
	// CandidateCount is the number of candidates that this one was chosen from.
	CandidateCount int
	// By is the daemon that made the choice; empty for this one.
	By string
}

// crowded reports whether the request should be delayed, as Crowded describes.
func (c *Candidate) crowded(request *Request) bool {
	if request.Yields && c.Full() {
		return true
	}
	if request.PromptLimit == 0 || c.Load.PromptTokens == 0 {
		return false
	}
	return c.Load.PromptTokens+request.PromptTokens > request.PromptLimit
}

// Full reports whether all slots in the batch of the instance are taken.
func (c *Candidate) Full() bool {
	return c.Instance.Slots > 0 && c.Load.Requests >= c.Instance.Slots
}

// Filter decides whether an instance may take a request at all.
type Filter interface {
	Allows(request *Request, instance *fleet.Instance) bool
}

// Scorer rates a candidate; lower is better. A score of one is about the cost of a whole batch
// ahead of the request.
type Scorer interface {
	Score(request *Request, candidate *Candidate) float64
}

// Picker chooses an instance among candidates.
type Picker struct {
	tracker *Tracker
	filters []Filter
	// evenScorers are used for candidates of about the same speed, and unevenScorers for others.
	evenScorers   []Scorer
	unevenScorers []Scorer
}

// NewPicker returns a Picker with all filters and scorers.
func NewPicker(tracker *Tracker) *Picker {
	return &Picker{
		tracker:       tracker,
		filters:       []Filter{NotLeaving{}, NotExcluded{}, SameSoftware{}, HasModel{}},
		evenScorers:   []Scorer{LoadScorer{}, PromptScorer{}, ZoneScorer{}, AffinityScorer{}},
		unevenScorers: []Scorer{LoadScorer{}, TimeScorer{}, ZoneScorer{}, AffinityScorer{}},
	}
}

// Pick returns the best candidate, or nil if no instance may take the request. Candidates that are
// not available are chosen only if there are no others.
func (p *Picker) Pick(now time.Time, instances []*fleet.Instance, request *Request) *Candidate {
	allowed := p.allowed(instances, request)
	ids := make([]string, len(allowed))
	for i, instance := range allowed {
		ids[i] = instance.ID
	}
	statuses := p.tracker.statuses(now, ids, request.Model, request.Adapter, make([]status, 0, len(ids)))
	scorers, request := p.scorersFor(allowed, statuses, request)
	// All candidates share one variable. The scorers are interfaces, so a variable for each
	// candidate would be allocated on the heap.
	var candidate, best Candidate
	bestScore := 0.0
	count := 0
	for i, instance := range allowed {
		if statuses[i].missing {
			continue
		}
		count++
		candidate = Candidate{
			Instance: instance, Load: statuses[i].load, Available: statuses[i].available, Slowness: statuses[i].slowness,
		}
		score := totalScore(scorers, request, &candidate)
		if count == 1 || better(&candidate, score, &best, bestScore) {
			best, bestScore = candidate, score
		}
	}
	if count == 0 {
		return nil
	}
	best.CandidateCount = count
	best.Crowded = best.crowded(request)
	return &best
}

// allowed returns the instances that all filters allow.
func (p *Picker) allowed(instances []*fleet.Instance, request *Request) []*fleet.Instance {
	allowed := make([]*fleet.Instance, 0, initialCandidateCapacity)
	for _, instance := range instances {
		if p.Allows(request, instance) {
			allowed = append(allowed, instance)
		}
	}
	return allowed
}

// initialCandidateCapacity is the initial capacity of the list of allowed instances.
const initialCandidateCapacity = 8

// better reports whether candidate a is to be preferred to b: available ones first, then lower
// scores.
func better(a *Candidate, scoreA float64, b *Candidate, scoreB float64) bool {
	if a.Available != b.Available {
		return a.Available
	}
	return scoreA < scoreB
}

// Allows reports whether an instance may take a request at all.
func (p *Picker) Allows(request *Request, instance *fleet.Instance) bool {
	for _, filter := range p.filters {
		if !filter.Allows(request, instance) {
			return false
		}
	}
	return true
}

// scorersFor returns the scorers for a choice, and the request with the token times that they need.
// Candidates of uneven speed are scored by time if the token times are known.
func (p *Picker) scorersFor(allowed []*fleet.Instance, statuses []status, request *Request) ([]Scorer, *Request) {
	if !p.tracker.fillSlowness(allowed, statuses) {
		return p.evenScorers, request
	}
	if request.Tokens.plausible() {
		return p.unevenScorers, request
	}
	measured := p.tracker.TokenTimes(allowed[0].Service)
	if !measured.plausible() {
		return p.evenScorers, request
	}
	timed := *request
	timed.Tokens = measured
	return p.unevenScorers, &timed
}

// totalScore returns the sum of the scores of a candidate.
func totalScore(scorers []Scorer, request *Request, candidate *Candidate) float64 {
	sum := 0.0
	for _, scorer := range scorers {
		sum += scorer.Score(request, candidate)
	}
	return sum
}
