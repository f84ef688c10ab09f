package balance

import (
	"math"
	"time"
)

const (
	// defaultOutputTokens is the expected length of an answer whose request states none. If no
	// request of a service states one, any value gives the same expected run time.
	defaultOutputTokens = 32
	// maxTokenTime is the longest plausible time for a token. A longer one is an error, because no
	// client waits that long for each token.
	maxTokenTime = time.Second
)

// TokenTimes holds the time for one token at the typical instance of a service.
type TokenTimes struct {
	//lint:ignore U1000 read by the msgpack encoder
	_msgpack struct{} `msgpack:",as_array"`

	// Read is the time to read a prompt token, waiting included.
	Read time.Duration
	// Generate is the run time of answers for each output token that their requests expected.
	// Clients state the maximum that they accept, so it is less than the time of a step where
	// answers end earlier.
	Generate time.Duration
	// Output is the mean number of output tokens that requests expect.
	Output int
}

// plausible reports whether all values are present and in range. They may come from another daemon.
func (t TokenTimes) plausible() bool {
	return t.Output > 0 && t.Read > 0 && t.Read <= maxTokenTime && t.Generate > 0 && t.Generate <= maxTokenTime
}

// expectedOutput returns the number of output tokens to expect for the number that a request
// states.
func expectedOutput(stated int) float64 {
	if stated <= 0 {
		return defaultOutputTokens
	}
	return float64(stated)
}

// ObserveGeneration records the token time of a complete answer: the output tokens that its request stated,
// zero if it stated none, and how long the answer ran from its first token on.
func (f *Forecaster) ObserveGeneration(candidate *Candidate, outputTokens int, took time.Duration) {
	averages := timingsOf(f.services, candidate.Instance.Service)
	averages.wholeRunSeconds.add(took.Seconds()/boundedSlowness(candidate.Slowness), serviceSampleWeight)
	averages.expectedTokens.add(expectedOutput(outputTokens), serviceSampleWeight)
}

// TokenTimes returns the token times of a service, or the zero value if there are too few samples.
// The time to generate is the ratio of two averages. An average of ratios would weigh short answers
// as much as long ones.
func (f *Forecaster) TokenTimes(service string) TokenTimes {
	averages := f.services[service]
	if averages == nil || averages.promptTokenSeconds.samples < minAverageSamples || averages.wholeRunSeconds.samples < minAverageSamples {
		return TokenTimes{}
	}
	return TokenTimes{
		Read:     time.Duration(averages.promptTokenSeconds.value * float64(time.Second)),
		Generate: time.Duration(averages.wholeRunSeconds.value / averages.expectedTokens.value * float64(time.Second)),
		Output:   int(math.Round(averages.expectedTokens.value)),
	}
}

// TokenTimes returns the token times of a service, see Forecaster.TokenTimes.
func (t *Tracker) TokenTimes(service string) TokenTimes {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.forecaster.TokenTimes(service)
}
