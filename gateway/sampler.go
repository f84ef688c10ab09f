package gateway

import (
	"bytes"
	"time"

	"github.com/wheatweir/wheatweir/pace"
)

const (
	// eventsPerSample is the number of events after which a sample of a stream is complete. minGaps is the minimum
	// number of measured gaps between events for a valid sample, also if the stream ends earlier.
	eventsPerSample = 8
	minGaps         = 4
	// quartileDivisor divides the number of gaps to give the index of the lower quartile.
	quartileDivisor = 4
)

// eventTerminator ends an event whose lines end with LF.
var eventTerminator = []byte("\n\n")

// PaceObserver receives samples of the time that instances take between stream events. AddSample is called from several
// goroutines and must not block.
type PaceObserver interface {
	AddSample(sample pace.Sample)
}

// sampler measures the gaps between the events of one stream as they are read from the instance. The zero value is
// ready for use; it allocates nothing.
type sampler struct {
	gaps   [eventsPerSample]time.Duration
	count  int
	events int
	lastAt time.Time
	// halfTerminator is set if the last byte read may be the first half of an event terminator.
	halfTerminator bool
}

// record processes a piece of the stream that was read now. It reports whether a sample is complete.
func (s *sampler) record(now time.Time, piece []byte) bool {
	events := s.countEnds(piece)
	if events == 0 {
		return false
	}
	s.events += events
	if !s.lastAt.IsZero() {
		// Events that are read together were sent together, or were buffered until this daemon read them. The time
		// since the previous event is therefore divided among all of them.
		s.addGaps(now.Sub(s.lastAt)/time.Duration(events), events)
	}
	s.lastAt = now
	return s.events >= eventsPerSample && s.count >= minGaps
}

func (s *sampler) addGaps(gap time.Duration, times int) {
	for range min(times, len(s.gaps)-s.count) {
		s.gaps[s.count] = gap
		s.count++
	}
}

// countEnds counts the event terminators in a piece. A terminator may be split between two pieces.
func (s *sampler) countEnds(piece []byte) int {
	if len(piece) == 0 {
		return 0
	}
	count := 0
	if s.halfTerminator && piece[0] == '\n' {
		count, piece = 1, piece[1:]
	}
	count += bytes.Count(piece, eventTerminator)
	trailing := len(piece) - len(bytes.TrimRight(piece, "\n"))
	s.halfTerminator = trailing%len(eventTerminator) == 1
	return count
}

// finish returns the lower quartile of the gaps since the last sample, and starts the next sample. It reports false if
// there are too few gaps. The lower quartile is used since longer gaps include the prompt processing of other requests.
func (s *sampler) finish() (time.Duration, bool) {
	count := s.count
	s.count, s.events = 0, 0
	if count < minGaps {
		return 0, false
	}
	gaps := s.gaps[:count]
	for i := range gaps {
		for k := i; k > 0 && gaps[k] < gaps[k-1]; k-- {
			gaps[k], gaps[k-1] = gaps[k-1], gaps[k]
		}
	}
	return gaps[count/quartileDivisor], true
}

// reportSample passes a valid sample of a stream to the observer.
func (e *exchange) reportSample(instance string, s *sampler) {
	if gap, complete := s.finish(); complete {
		e.gateway.settings.Samples.AddSample(pace.Sample{Instance: instance, Model: e.request.Model, Gap: gap})
	}
}

// isSampled reports whether the stream of this request is sampled. Streams without a model cannot be compared.
func (e *exchange) isSampled() bool {
	return e.gateway.settings.Samples != nil && e.request.Model != ""
}
