package balance

import "time"

// Forecaster predicts when the first token of a request comes at an instance. It learns from
// the outcomes of this daemon how long answers run and how fast prompts are read. The averages of
// a service are those of its typical instance: each sample counts as the time that the typical
// instance would have taken. It is not safe for concurrent use.
type Forecaster struct {
	services  map[string]*timings
	instances map[string]*timings
}

// timings is how fast one instance, or all of a service, works.
type timings struct {
	// runSeconds is the time from the first token of an answer to its end, in seconds.
	runSeconds average
	// promptTokenSeconds is the time until the first token for each prompt token to be promptTokenSeconds, in seconds.
	promptTokenSeconds average
	// wholeRunSeconds and output are the run and the expected tokens of whole answers, see Generated.
	// They are learned for services only.
	wholeRunSeconds average
	outputTokens average
}

const (
	// serviceSampleWeight and instanceWeight are the weight of the newest sample in the averages of
	// a service and of one instance: about the last 50 and 10 samples count.
	serviceSampleWeight  = 0.02
	instanceSampleWeight = 0.1
	// minAverageSamples is how many samples make the average of an instance count by itself. One
	// daemon of many sends each instance few requests.
	minAverageSamples = 8
	// minReadTokens is the least number of prompt tokens to be read from which the reading
	// speed is learned: with fewer, a step of the batch takes longer than reading.
	minReadTokens = 1000
)

// average is an exponential average that starts as the mean of its first samples.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	a.samples++
	a.value += max(weight, 1/float64(a.samples)) * (sample - a.value)
}

// NewForecaster returns a forecaster that has seen nothing yet.
func NewForecaster() *Forecaster {
	return &Forecaster{services: map[string]*timings{}, instances: map[string]*timings{}}
}

// First learns from the first token of a request: the instance that took it, with the load that
// it had when the request was sent, the request's own prompt, and how long the token took. In a
// full batch the time says nothing about reading.
func (f *Forecaster) First(candidate *Candidate, promptTokens int, took time.Duration) {
	tokens := candidate.Load.PromptTokens + promptTokens
	if candidate.Load.Requests >= candidate.Instance.Slots || tokens < minReadTokens {
		return
	}
	f.record(candidate, took.Seconds()/float64(tokens), func(p *timings) *average { return &p.promptTokenSeconds })
}

// Run learns how long a whole answer ran from its first token on.
func (f *Forecaster) Run(candidate *Candidate, took time.Duration) {
	f.record(candidate, took.Seconds(), func(p *timings) *average { return &p.runSeconds })
}

// record adds a sample to the averages of the instance and of its service.
func (f *Forecaster) record(candidate *Candidate, sample float64, of func(*timings) *average) {
	typical := sample / boundedSlowness(candidate.Slowness)
	of(timingsOf(f.services, candidate.Instance.Service)).add(typical, serviceSampleWeight)
	of(timingsOf(f.instances, candidate.Instance.ID)).add(sample, instanceSampleWeight)
}

func timingsOf(paces map[string]*timings, name string) *timings {
	known := paces[name]
	if known == nil {
		known = &timings{}
		paces[name] = known
	}
	return known
}

// Forget drops what was learned of instances that are gone.
func (f *Forecaster) Forget(present func(id string) bool) {
	for id := range f.instances {
		if !present(id) {
			delete(f.instances, id)
		}
	}
}

// FirstToken predicts how long the first token of a request takes at a candidate, whose load does
// not count the request itself. Places in the batch come free one by one, evenly over
// the time that answers run; a prompt is read when its request has a place. Zero means that
// nothing is known yet.
func (f *Forecaster) FirstToken(candidate *Candidate, promptTokens int) time.Duration {
	instance, load := candidate.Instance, candidate.Load
	read := f.average(candidate, func(p *timings) *average { return &p.promptTokenSeconds })
	run := f.average(candidate, func(p *timings) *average { return &p.runSeconds })
	reading := read * float64(load.PromptTokens+promptTokens)
	waiting := 0.0
	if ahead := load.Requests + 1 - instance.Slots; ahead > 0 && instance.Slots > 0 {
		waiting = run*float64(ahead)/float64(instance.Slots) + read*float64(promptTokens)
	}
	return time.Duration(max(reading, waiting) * float64(time.Second))
}

// average is that of the instance if there are enough samples, else that of its service at the
// instance's slowness.
func (f *Forecaster) average(candidate *Candidate, of func(*timings) *average) float64 {
	instance := candidate.Instance
	if known := f.instances[instance.ID]; known != nil && of(known).samples >= minAverageSamples {
		return of(known).value
	}
	if known := f.services[instance.Service]; known != nil {
		return of(known).value * boundedSlowness(candidate.Slowness)
	}
	return 0
}
