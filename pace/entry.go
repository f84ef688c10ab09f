package pace

import (
	"math"
	"time"
)

const (
	// maxSampleGap is the longest gap between two events that is used as a sample. Longer gaps come from stalled
	// streams.
	maxSampleGap = 2 * time.Second
	// minSampleGap is the smallest valid mean of merged samples. Shorter gaps are raised to it.
	minSampleGap = time.Microsecond
	// maxMergedSamples bounds the count of a merged entry. The estimate rests on about windowSamples samples, so more
	// would not change it.
	maxMergedSamples = 3 * windowSamples
	// MaxEntries bounds the entries of an Update.
	MaxEntries = 64
)

// Sample is a representative gap between two events of one stream.
type Sample struct {
	Instance string
	Model    string
	Gap      time.Duration
}

// Entry holds one or more merged samples of an instance and a model.
type Entry struct {
	Instance string `msgpack:"i"`
	Model    string `msgpack:"m"`
	// Log is the mean of the natural logarithms of the gaps in seconds.
	Log float32 `msgpack:"l"`
	// Count is the number of samples.
	Count int `msgpack:"n"`
}

// Update is the message between daemons about the pace of instances.
type Update struct {
	// Entries are samples, at most MaxEntries.
	Entries []Entry `msgpack:"e,omitempty"`
	// Factors are the sender's estimates by instance, at most MaxFactors. EncodeFactor describes the encoding.
	Factors map[string]uint8 `msgpack:"f,omitempty"`
	// FactorsMissing reports that the sender has not received any factors since its start.
	FactorsMissing bool `msgpack:"a,omitempty"`
}

// newEntry returns a sample as an entry. It reports false for a sample without a model, or with a gap that is not
// positive or exceeds maxSampleGap.
func newEntry(sample Sample) (Entry, bool) {
	if sample.Gap <= 0 || sample.Gap > maxSampleGap || sample.Model == "" {
		return Entry{}, false
	}
	log := math.Log(max(sample.Gap, minSampleGap).Seconds())
	return Entry{Instance: sample.Instance, Model: sample.Model, Log: float32(log), Count: 1}, true
}

var (
	minLogSeconds = float32(math.Log(minSampleGap.Seconds()))
	maxLogSeconds = float32(math.Log(maxSampleGap.Seconds()))
)

// valid reports whether an entry can be the mean of valid samples. NaN as the logarithm fails both comparisons.
func (e *Entry) valid() bool {
	return e.Instance != "" && e.Model != "" && e.Count > 0 && e.Log >= minLogSeconds && e.Log <= maxLogSeconds
}
