package balance

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Request is what the choice of an instance depends on.
type Request struct {
	//lint:ignore U1000 the encoder looks at it
	_msgpack struct{} `msgpack:",as_array"`

	Model   string
	Adapter string
	// Zone is the zone of this daemon, and ZoneCost what an instance of another zone
	// counts against it, as part of a whole batch.
	Zone     string
	ZoneCost float64
	// Affinity is equal for requests that share the start of their prompt; zero
	// if that does not matter.
	Affinity uint64
	// PromptTokens is the prompt of the request itself.
	PromptTokens int
	// PromptLimit is how many prompt tokens an instance may have to read, this prompt
	// included, if it has any others; zero means no limit.
	PromptLimit int
	// Yields says that the request waits while the batch of the chosen instance is full.
	Yields bool
	// MemoryTokens is the memory of each instance; zero if it is not known.
	MemoryTokens int
	// Excluded lists instances that were tried already, or must not get the request.
	Excluded []string
	// OutputTokens is the expected length of the answer; zero if it is not known.
	OutputTokens int
	// TargetGap is the longest pause between two events of a stream; zero if there is none.
	TargetGap time.Duration
	// Tokens is what the daemon of the request has learned of the service, the zero value if that
	// is too little. A dispatcher that sees few requests of a service itself knows it only from
	// here.
	Tokens TokenTimes
	// Pinned says that the request takes up a stream that instances of the version Software began.
	Pinned   bool
	Software string
}

// Candidate is one instance with what is known of it.
type Candidate struct {
	Instance *fleet.Instance
	// Load is what the instance has to do, as far as is known.
	Load Load
	// Available says that nothing speaks against the instance at the moment.
	Available bool
	// Crowded says that the request should wait a little, because even this instance
	// has many prompts to read: one more would hold up the streams that run there. Of a
	// request that yields, it also says that the batch is full.
	Crowded bool
	// Slowness is how long the instance's work takes relative to the typical instance; zero
	// counts as one.
	Slowness float64
	// Of is the number of candidates that it was chosen from.
	Of int
	// By is the daemon that chose it, empty for this one.
	By string
}

func (c *Candidate) crowded(request *Request) bool {
	if request.Yields && c.Full() {
		return true
	}
	if request.PromptLimit == 0 || c.Load.PromptTokens == 0 {
		return false
	}
	return c.Load.PromptTokens+request.PromptTokens > request.PromptLimit
}

// Full reports whether all places in the batch of the instance are taken.
func (c *Candidate) Full() bool {
	return c.Instance.Slots > 0 && c.Load.Requests >= c.Instance.Slots
}

// Filter tells whether an instance may take a request at all.
type Filter interface {
	Allows(request *Request, instance *fleet.Instance) bool
}

// Scorer rates a candidate; lower is better. A score of one is about the cost of
// a whole batch in front of the request.
type Scorer interface {
	Score(request *Request, candidate *Candidate) float64
}

// Picker chooses among candidates.
type Picker struct {
	tracker *Tracker
	filters []Filter
	// evenScorers are the scorers for candidates of about the same speed, uneven those for others.
	evenScorers   []Scorer
	unevenScorers []Scorer
}

// NewPicker returns the picker with all filters and scorers.
func NewPicker(tracker *Tracker) *Picker {
	return &Picker{
		tracker: tracker,
		filters: []Filter{NotLeaving{}, NotExcluded{}, SameSoftware{}, HasModel{}},
		evenScorers:    []Scorer{LoadScorer{}, PromptScorer{}, ZoneScorer{}, AffinityScorer{}},
		unevenScorers:  []Scorer{LoadScorer{}, TimeScorer{}, ZoneScorer{}, AffinityScorer{}},
	}
}

// Pick returns the best candidate, or nil if no instance may take the request.
// Candidates that something speaks against are used only if there is no other.
func (p *Picker) Pick(now time.Time, instances []*fleet.Instance, request *Request) *Candidate {
	allowed := p.allowed(instances, request)
	ids := make([]string, len(allowed))
	for i, instance := range allowed {
		ids[i] = instance.ID
	}
	statuses := p.tracker.statuses(now, ids, request.Model, request.Adapter, make([]status, 0, len(ids)))
	scorers, request := p.scorersFor(allowed, statuses, request)
	// All candidates share one place in memory, which the scorers make escape.
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
	best.Of = count
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

// initialCandidateCapacity is how many instances room is made for at first.
const initialCandidateCapacity = 8

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

// scorersFor returns the scorers for a choice and the request as they need it. Candidates of uneven
// speed are scored by time, once it is known what a token takes.
func (p *Picker) scorersFor(allowed []*fleet.Instance, statuses []status, request *Request) ([]Scorer, *Request) {
	if !p.tracker.fillSlowness(allowed, statuses) {
		return p.evenScorers, request
	}
	if request.Tokens.plausible() {
		return p.unevenScorers, request
	}
	learned := p.tracker.TokenTimes(allowed[0].Service)
	if !learned.plausible() {
		return p.evenScorers, request
	}
	timed := *request
	timed.Tokens = learned
	return p.unevenScorers, &timed
}

// totalScore is the score of a candidate.
func totalScore(scorers []Scorer, request *Request, candidate *Candidate) float64 {
	sum := 0.0
	for _, scorer := range scorers {
		sum += scorer.Score(request, candidate)
	}
	return sum
}
