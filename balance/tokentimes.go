package balance

import (
	"math"
	"time"
)

const (
	// defaultOutputTokens is the expected length of an answer whose request states none. If none
	// of a service's requests do, any value gives the same expected run time.
	defaultOutputTokens = 32
	// maxTokenTime bounds the times for a token that count. A longer one is an error: no
	// client waits that long for each token.
	maxTokenTime = time.Second
)

// TokenTimes is what one token takes at the typical instance of a service.
type TokenTimes struct {
	//lint:ignore U1000 the encoder looks at it
	_msgpack struct{} `msgpack:",as_array"`

	// Read is the time to read a prompt token, waiting included.
	Read time.Duration
	// Generate is the run time of answers for each token that their requests expected. Clients
	// state the most that they take, so this is less than the time of a step where answers
	// end earlier.
	Generate time.Duration
	// Output is the mean number of output tokens that requests expect.
	Output int
}

// plausible reports whether all values are there and plausible: they may come from another daemon.
func (t TokenTimes) plausible() bool {
	return t.Output > 0 && t.Read > 0 && t.Read <= maxTokenTime && t.Generate > 0 && t.Generate <= maxTokenTime
}

// expectedOutput is the number of output tokens that a request counts for.
func expectedOutput(stated int) float64 {
	if stated <= 0 {
		return defaultOutputTokens
	}
	return float64(stated)
}

// Generated learns what a token takes from a whole answer: the output tokens that its request
// stated, zero if it stated none, and how long the answer ran from its first token on.
func (f *Forecaster) Generated(candidate *Candidate, outputTokens int, took time.Duration) {
	known := timingsOf(f.services, candidate.Instance.Service)
	known.wholeRunSeconds.add(took.Seconds()/boundedSlowness(candidate.Slowness), serviceSampleWeight)
	known.outputTokens.add(expectedOutput(outputTokens), serviceSampleWeight)
}

// TokenTimes returns what a token takes at the typical instance of a service. Zero means that
// there are not yet enough samples. The time to generate is the ratio of two averages: an average
// of ratios would count short answers as much as long ones.
func (f *Forecaster) TokenTimes(service string) TokenTimes {
	known := f.services[service]
	if known == nil || known.promptTokenSeconds.samples < minAverageSamples || known.wholeRunSeconds.samples < minAverageSamples {
		return TokenTimes{}
	}
	return TokenTimes{
		Read:     time.Duration(known.promptTokenSeconds.value * float64(time.Second)),
		Generate: time.Duration(known.wholeRunSeconds.value / known.outputTokens.value * float64(time.Second)),
		Output:   int(math.Round(known.outputTokens.value)),
	}
}

// TokenTimes returns what a token takes at the typical instance of a service, see Forecaster.
func (t *Tracker) TokenTimes(service string) TokenTimes {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.forecaster.TokenTimes(service)
}
