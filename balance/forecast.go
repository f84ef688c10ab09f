package balance

import "time"

// Forecaster predicts when the first token of a request arrives from an instance. It is fed with
// the outcomes of this daemon's requests: how long answers run and how fast prompts are read. The
// averages of a service are those of its typical instance, so each sample is divided by the
// slowness of its instance. It is not safe for concurrent use.
type Forecaster struct {
	services  map[string]*timings
	instances map[string]*timings
}

// timings holds the average times of one instance, or of all instances of a service.
type timings struct {
	// runSeconds is the time from the first token of an answer to its end.
	runSeconds average
	// promptTokenSeconds is the time until the first token, divided by the number of prompt tokens
	// to be read.
	promptTokenSeconds average
	// wholeRunSeconds and expectedTokens are the run time and the expected output tokens of
	// complete answers, recorded by ObserveGeneration. They are kept for services only.
	wholeRunSeconds average
	expectedTokens  average
}

const (
	// serviceSampleWeight and instanceSampleWeight are the weights of the newest sample in the
	// averages of a service and of one instance. About the last 50 and 10 samples count.
	serviceSampleWeight  = 0.02
	instanceSampleWeight = 0.1
	// minAverageSamples is the number of samples from which the average of an instance is used
	// instead of that of its service. Each daemon of a large fleet sends few requests to each
	// instance.
	minAverageSamples = 8
	// minReadTokens is the number of prompt tokens to be read from which a sample of the reading
	// speed is recorded. With fewer, a step of the batch takes longer than reading.
	minReadTokens = 1000
)

// average is an exponential moving average that starts as the mean of its first samples.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	a.samples++
	a.value += max(weight, 1/float64(a.samples)) * (sample - a.value)
}

// NewForecaster returns a Forecaster without samples.
func NewForecaster() *Forecaster {
	return &Forecaster{services: map[string]*timings{}, instances: map[string]*timings{}}
}

// ObserveFirstToken records how long the first token of a request took. The candidate holds the load of the
// instance when the request was sent, and promptTokens is the request's own prompt. Samples of a
// full batch are ignored, because they include the wait for a slot.
func (f *Forecaster) ObserveFirstToken(candidate *Candidate, promptTokens int, took time.Duration) {
	tokens := candidate.Load.PromptTokens + promptTokens
	if candidate.Load.Requests >= candidate.Instance.Slots || tokens < minReadTokens {
		return
	}
	f.record(candidate, took.Seconds()/float64(tokens), func(t *timings) *average { return &t.promptTokenSeconds })
}

// ObserveRun records how long a complete answer ran from its first token on.
func (f *Forecaster) ObserveRun(candidate *Candidate, took time.Duration) {
	f.record(candidate, took.Seconds(), func(t *timings) *average { return &t.runSeconds })
}

// record adds a sample to the averages of the instance and of its service.
func (f *Forecaster) record(candidate *Candidate, sample float64, field func(*timings) *average) {
	typical := sample / boundedSlowness(candidate.Slowness)
	field(timingsOf(f.services, candidate.Instance.Service)).add(typical, serviceSampleWeight)
	field(timingsOf(f.instances, candidate.Instance.ID)).add(sample, instanceSampleWeight)
}

// timingsOf returns the timings of a name, and creates them if there are none.
func timingsOf(byName map[string]*timings, name string) *timings {
	averages := byName[name]
	if averages == nil {
		averages = &timings{}
		byName[name] = averages
	}
	return averages
}

// Prune removes the averages of instances that are not present.
func (f *Forecaster) Prune(present func(id string) bool) {
	for id := range f.instances {
		if !present(id) {
			delete(f.instances, id)
		}
	}
}

// PredictFirstToken predicts how long the first token of a request takes at a candidate, whose load must
// not include the request itself. Slots of the batch are assumed to become free one by one, evenly
// over the run time of answers. A prompt is read when its request has a slot. Zero means that there
// are no samples.
func (f *Forecaster) PredictFirstToken(candidate *Candidate, promptTokens int) time.Duration {
	instance, load := candidate.Instance, candidate.Load
	promptTokenSeconds := f.average(candidate, func(t *timings) *average { return &t.promptTokenSeconds })
	runSeconds := f.average(candidate, func(t *timings) *average { return &t.runSeconds })
	reading := promptTokenSeconds * float64(load.PromptTokens+promptTokens)
	waiting := 0.0
	if ahead := load.Requests + 1 - instance.Slots; ahead > 0 && instance.Slots > 0 {
		waiting = runSeconds*float64(ahead)/float64(instance.Slots) + promptTokenSeconds*float64(promptTokens)
	}
	return time.Duration(max(reading, waiting) * float64(time.Second))
}

// average returns the average of the instance if it has enough samples. Otherwise it returns that
// of its service, multiplied by the slowness of the instance.
func (f *Forecaster) average(candidate *Candidate, field func(*timings) *average) float64 {
	instance := candidate.Instance
	if averages := f.instances[instance.ID]; averages != nil && field(averages).samples >= minAverageSamples {
		return field(averages).value
	}
	if averages := f.services[instance.Service]; averages != nil {
		return field(averages).value * boundedSlowness(candidate.Slowness)
	}
	return 0
}
