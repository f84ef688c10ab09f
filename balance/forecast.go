package balance

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Forecaster predicts when the first token of a request comes at an instance. It learns from
// the outcomes of this daemon how long answers run and how fast prompts are read; it knows
// nothing else of the instances. It is not safe for concurrent use.
type Forecaster struct {
	services  map[string]*pace
	instances map[string]*pace
}

// pace is how fast one instance, or all of a service, works.
type pace struct {
	// run is the time from the first token of an answer to its end, in seconds.
	run average
	// read is the time until the first token for each prompt token to be read, in seconds.
	read average
}

const (
	// serviceWeight and instanceWeight are the weight of the newest sample in the averages of
	// a service and of one instance: about the last 50 and 10 samples count.
	serviceWeight  = 0.02
	instanceWeight = 0.1
	// enoughSamples is how many samples make the average of an instance count by itself. One
	// daemon of many sends each instance few requests.
	enoughSamples = 8
	// readSampleTokens is the least number of prompt tokens to be read from which the reading
	// speed is learned: with fewer, a step of the batch takes longer than reading.
	readSampleTokens = 1000
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
	return &Forecaster{services: map[string]*pace{}, instances: map[string]*pace{}}
}

// First learns from the first token of a request: the load that the instance had when the
// request was sent, without it, the request's own prompt, and how long the token took. In a
// full batch the time says nothing about reading.
func (f *Forecaster) First(instance *fleet.Instance, load Load, promptTokens int, took time.Duration) {
	tokens := load.PromptTokens + promptTokens
	if load.Requests >= instance.Slots || tokens < readSampleTokens {
		return
	}
	f.learn(instance, func(p *pace, weight float64) { p.read.add(took.Seconds()/float64(tokens), weight) })
}

// Run learns how long a whole answer ran from its first token on.
func (f *Forecaster) Run(instance *fleet.Instance, took time.Duration) {
	f.learn(instance, func(p *pace, weight float64) { p.run.add(took.Seconds(), weight) })
}

func (f *Forecaster) learn(instance *fleet.Instance, add func(p *pace, weight float64)) {
	add(paceOf(f.services, instance.Service), serviceWeight)
	add(paceOf(f.instances, instance.ID), instanceWeight)
}

func paceOf(paces map[string]*pace, name string) *pace {
	known := paces[name]
	if known == nil {
		known = &pace{}
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

// FirstToken predicts how long the first token of a request takes at an instance with this
// load, not counting the request itself. Places in the batch come free one by one, evenly over
// the time that answers run; a prompt is read when its request has a place. Zero means that
// nothing is known yet.
func (f *Forecaster) FirstToken(instance *fleet.Instance, load Load, promptTokens int) time.Duration {
	read := f.average(instance, func(p *pace) *average { return &p.read })
	run := f.average(instance, func(p *pace) *average { return &p.run })
	reading := read * float64(load.PromptTokens+promptTokens)
	waiting := 0.0
	if ahead := load.Requests + 1 - instance.Slots; ahead > 0 && instance.Slots > 0 {
		waiting = run*float64(ahead)/float64(instance.Slots) + read*float64(promptTokens)
	}
	return time.Duration(max(reading, waiting) * float64(time.Second))
}

// average is that of the instance if there are enough samples, else that of its service.
func (f *Forecaster) average(instance *fleet.Instance, of func(*pace) *average) float64 {
	if known := f.instances[instance.ID]; known != nil && of(known).samples >= enoughSamples {
		return of(known).value
	}
	if known := f.services[instance.Service]; known != nil {
		return of(known).value
	}
	return 0
}
