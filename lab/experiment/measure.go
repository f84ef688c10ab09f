package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/outcome"
)

// Result is what one policy achieved.
type Result struct {
	Experiment   string `json:"experiment"`
	Policy       string `json:"policy"`
	Seed         uint64 `json:"seed"`
	Partial      bool   `json:"partial,omitempty"`
	Requests     int    `json:"requests"`
	Answered     int    `json:"answered"`
	Accelerators int    `json:"accelerators"`
	// Attainment is the share of requests served within both targets.
	Attainment               float64      `json:"attainment"`
	AttainmentPerAccelerator float64      `json:"attainment_per_accelerator"`
	Moves                    int          `json:"moves"`
	Violations               int          `json:"violations"`
	Tiers                    []TierResult `json:"tiers"`
	Series                   []Sample     `json:"series"`
}

// TierResult is what one tier got. Times are in milliseconds.
type TierResult struct {
	Tier       string  `json:"tier"`
	Requests   int     `json:"requests"`
	Attainment float64 `json:"attainment"`
	FirstP50   float64 `json:"first_token_p50_ms"`
	FirstP95   float64 `json:"first_token_p95_ms"`
	TokenP50   float64 `json:"per_token_p50_ms"`
	TokenP95   float64 `json:"per_token_p95_ms"`
}

// Sample is the state at a moment of a run.
type Sample struct {
	Seconds float64 `json:"seconds"`
	// Attainment is that of the requests which came since the last sample.
	Attainment float64 `json:"attainment"`
	Requests   int     `json:"requests"`
	Moves      int     `json:"moves"`
	// Queue counts requests at engines; MemoryShare is memory in use.
	Queue       int     `json:"queue"`
	MemoryShare float64 `json:"memory_share"`
}

const histogramLimit = int64(time.Hour / time.Microsecond)

// meter collects the results of one run.
type meter struct {
	config *Config
	tiers  []tierMeter
	// windows counts requests and those within targets by the time they came.
	windows []window
}

type tierMeter struct {
	requests, met, answered int
	first, token            *hdrhistogram.Histogram
}

type window struct{ requests, met int }

// sampleEvery is the span of one window.
const sampleEvery = 10 * time.Second

func newMeter(c *Config) *meter {
	m := &meter{config: c, windows: make([]window, int(c.Duration/sampleEvery)+1)}
	for range c.Tiers {
		m.tiers = append(m.tiers, tierMeter{first: hdrhistogram.New(1, histogramLimit, 3), token: hdrhistogram.New(1, histogramLimit, 3)})
	}
	return m
}

// add takes in the result of one request.
func (m *meter) add(a *arrival, result sim.Result) {
	tier := &m.tiers[a.tier]
	targets := &m.config.Tiers[a.tier]
	tier.requests++
	at := &m.windows[int(a.at/sampleEvery)]
	at.requests++
	if result.Kind != outcome.Answered {
		return
	}
	tier.answered++
	perToken := time.Duration(0)
	if a.call.OutputTokens > 1 {
		perToken = (result.LastToken - result.FirstToken) / time.Duration(a.call.OutputTokens-1)
	}
	_ = tier.first.RecordValue(result.FirstToken.Microseconds())
	_ = tier.token.RecordValue(perToken.Microseconds())
	if result.FirstToken <= targets.FirstToken && perToken <= targets.PerToken {
		tier.met++
		at.met++
	}
}

// result sums up. Requests that never ended count as not attained.
func (m *meter) result(policy string, seed uint64, sent int) Result {
	c := m.config
	r := Result{
		Experiment: c.Name, Policy: policy, Seed: seed, Requests: sent, Accelerators: c.World.Engines * c.World.Accelerators,
	}
	met := 0
	for i := range m.tiers {
		tier := &m.tiers[i]
		met += tier.met
		r.Answered += tier.answered
		r.Tiers = append(r.Tiers, TierResult{
			Tier: c.Tiers[i].Name, Requests: tier.requests, Attainment: share(tier.met, tier.requests),
			FirstP50: quantile(tier.first, 50), FirstP95: quantile(tier.first, 95),
			TokenP50: quantile(tier.token, 50), TokenP95: quantile(tier.token, 95),
		})
	}
	r.Attainment = share(met, sent)
	r.AttainmentPerAccelerator = r.Attainment / float64(r.Accelerators)
	return r
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}
