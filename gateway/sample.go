package gateway

import (
	"bytes"
	"time"

	"github.com/wheatweir/wheatweir/pace"
)

const (
	// eventsOfSample is how many events of a stream end a sample, and leastGaps the least number of times between
	// them that make one when the stream ends before.
	eventsOfSample = 8
	leastGaps      = 4
	// quartile divides the number of times to give the place of the lower quartile.
	quartile = 4
)

// eventEnd ends an event whose lines end with LF.
var eventEnd = []byte("\n\n")

// SampleObserver hears how fast instances work. It is called from several goroutines and must not block.
type SampleObserver interface {
	Sampled(sample pace.Sample)
}

// sampler measures the times between the events of one stream as they are read from the instance. The zero value is
// ready for use; it allocates nothing.
type sampler struct {
	gaps   [eventsOfSample]time.Duration
	count  int
	events int
	lastAt time.Time
	// newline says that the last byte may be the first half of the end of an event.
	newline bool
}

// read takes in a piece of the stream that was read now. It reports whether a sample is complete.
func (s *sampler) read(now time.Time, piece []byte) bool {
	events := s.ends(piece)
	if events == 0 {
		return false
	}
	s.events += events
	if !s.lastAt.IsZero() {
		// Events that are read together have waited for this daemon, or were sent together: the time since the
		// one before is that of all of them.
		s.note(now.Sub(s.lastAt)/time.Duration(events), events)
	}
	s.lastAt = now
	return s.events >= eventsOfSample && s.count >= leastGaps
}

func (s *sampler) note(gap time.Duration, times int) {
	for range min(times, len(s.gaps)-s.count) {
		s.gaps[s.count] = gap
		s.count++
	}
}

// ends counts the ends of events in a piece. One may be cut in two.
func (s *sampler) ends(piece []byte) int {
	if len(piece) == 0 {
		return 0
	}
	count := 0
	if s.newline && piece[0] == '\n' {
		count, piece = 1, piece[1:]
	}
	count += bytes.Count(piece, eventEnd)
	trailing := len(piece) - len(bytes.TrimRight(piece, "\n"))
	s.newline = trailing%len(eventEnd) == 1
	return count
}

// take returns the lower quartile of the times since the last sample, and begins the next one. It reports false if there
// are too few. Longer times hold the prompts of other requests.
func (s *sampler) take() (time.Duration, bool) {
	count := s.count
	s.count, s.events = 0, 0
	if count < leastGaps {
		return 0, false
	}
	gaps := s.gaps[:count]
	for i := range gaps {
		for k := i; k > 0 && gaps[k] < gaps[k-1]; k-- {
			gaps[k], gaps[k-1] = gaps[k-1], gaps[k]
		}
	}
	return gaps[count/quartile], true
}

// sampled tells the observer of a sample of a stream, if there is one.
func (e *exchange) sampled(instance string, s *sampler) {
	if gap, complete := s.take(); complete {
		e.gateway.settings.Samples.Sampled(pace.Sample{Instance: instance, Model: e.request.Model, Gap: gap})
	}
}

// samples reports whether the stream of this request is sampled: streams without a model cannot be compared.
func (e *exchange) samples() bool { return e.gateway.settings.Samples != nil && e.request.Model != "" }
