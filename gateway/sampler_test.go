package gateway

import (
	"bytes"
	"testing"
	"time"
)

const event = "data: x\n\n"

// TestSampleIsTheLowerQuartile guards against samples that include the prompt processing of other requests.
func TestSampleIsTheLowerQuartile(t *testing.T) {
	var s sampler
	now := time.Unix(1e9, 0)
	pauses := []time.Duration{0, 30, 10, 90, 11, 80, 12, 70}
	for i, pause := range pauses {
		now = now.Add(pause * time.Millisecond)
		if complete := s.record(now, []byte(event)); complete != (i == len(pauses)-1) {
			t.Errorf("complete is %v after %d events", complete, i+1)
		}
	}
	if got, complete := s.finish(); !complete || got != 11*time.Millisecond {
		t.Errorf("sample %s, complete %v", got, complete)
	}
	for i := range eventsPerSample {
		now = now.Add(5 * time.Millisecond)
		if complete := s.record(now, []byte(event)); complete != (i == eventsPerSample-1) {
			t.Errorf("second sample: complete is %v after %d events", complete, i+1)
		}
	}
	if got, _ := s.finish(); got != 5*time.Millisecond {
		t.Errorf("second sample %s", got)
	}
}

// TestShortStreamsGiveNoSample guards against samples of fewer than four gaps.
func TestShortStreamsGiveNoSample(t *testing.T) {
	now := time.Unix(1e9, 0)
	for events := range 7 {
		var s sampler
		for range events {
			now = now.Add(time.Millisecond)
			s.record(now, []byte(event))
		}
		if _, complete := s.finish(); complete != (events > minGaps) {
			t.Errorf("%d events: complete is %v", events, complete)
		}
	}
}

// TestEventsReadTogetherShareTheirTime guards against gaps of zero between events that arrive together.
func TestEventsReadTogetherShareTheirTime(t *testing.T) {
	var s sampler
	now := time.Unix(1e9, 0)
	s.record(now, []byte(event))
	s.record(now.Add(40*time.Millisecond), []byte(event+event+event+event))
	if got, complete := s.finish(); !complete || got != 10*time.Millisecond {
		t.Errorf("sample %s, complete %v", got, complete)
	}
}

// TestEventsAreCountedAcrossPieces guards against events that are missed or counted twice where a read ends inside an
// event.
func TestEventsAreCountedAcrossPieces(t *testing.T) {
	text := []byte("id: 1\ndata: a\n\ndata: b\n\n\n\n: comment\n\ndata: c\n\n\ndata: d\n\n")
	want := bytes.Count(text, eventTerminator)
	for size := 1; size <= len(text); size++ {
		var s sampler
		got := 0
		for rest := text; len(rest) > 0; {
			piece := rest[:min(size, len(rest))]
			rest = rest[len(piece):]
			got += s.countEnds(piece)
		}
		if got != want {
			t.Errorf("%d events in pieces of %d bytes, want %d", got, size, want)
		}
	}
}

// TestManyEventsAtOnceAreBounded guards against an overflow by a piece with more events than a sample holds.
func TestManyEventsAtOnceAreBounded(t *testing.T) {
	var s sampler
	now := time.Unix(1e9, 0)
	s.record(now, []byte(event))
	if complete := s.record(now.Add(time.Second), bytes.Repeat([]byte(event), 100)); !complete {
		t.Error("not complete")
	}
	if got, complete := s.finish(); !complete || got != 10*time.Millisecond {
		t.Errorf("sample %s, complete %v", got, complete)
	}
}

// TestSamplerDoesNotAllocate guards against allocations for each event of each stream.
func TestSamplerDoesNotAllocate(t *testing.T) {
	var s sampler
	now, piece := time.Unix(1e9, 0), []byte(event)
	allocations := testing.AllocsPerRun(100, func() {
		for range 2 * eventsPerSample {
			now = now.Add(time.Millisecond)
			if s.record(now, piece) {
				s.finish()
			}
		}
	})
	if allocations > 0 {
		t.Errorf("%.0f allocations for %d events", allocations, 2*eventsPerSample)
	}
}

func BenchmarkSampler(b *testing.B) {
	var s sampler
	now, piece := time.Unix(1e9, 0), []byte(event)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if s.record(now, piece) {
			s.finish()
		}
	}
}
