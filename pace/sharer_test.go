package pace_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/pace"
)

// addSamples records count samples of an instance in a sharer.
func addSamples(s *pace.Sharer, instance string, gap time.Duration, count int) {
	for range count {
		s.AddSample(pace.Sample{Instance: instance, Model: "m", Gap: gap})
	}
}

// entriesTo returns the number of samples in the messages to a daemon.
func entriesTo(outgoing []pace.Outgoing, to string) int {
	count := 0
	for _, message := range outgoing {
		for _, name := range message.To {
			for i := range message.Update.Entries {
				if name == to {
					count += message.Update.Entries[i].Count
				}
			}
		}
	}
	return count
}

// TestSamplesCountOnce guards against samples that return to a daemon that has already counted them. Dispatchers
// forward only samples of their own group, and members receive factors instead of samples.
func TestSamplesCountOnce(t *testing.T) {
	known := directory{"a": true, "b": true}
	s := pace.NewSharer(pace.NewTracker())
	s.SetRole(pace.Role{Dispatcher: "self", Dispatching: true, Members: []string{"member"}, Others: []string{"other"}})
	addSamples(s, "a", 10*time.Millisecond, 3)
	s.Receive(start, "member", &pace.Update{Entries: []pace.Entry{newEntry("a", "m", 0.01, 5), newEntry("b", "m", 0.02, 7)}}, known)
	s.Receive(start, "other", &pace.Update{Entries: []pace.Entry{newEntry("b", "m", 0.02, 11)}}, known)
	outgoing, _ := s.Tick(start.Add(time.Second), known)
	if got := entriesTo(outgoing, "other"); got != 3+5+7 {
		t.Errorf("the other dispatcher receives %d samples, want those of this group", got)
	}
	if got := entriesTo(outgoing, "member"); got != 0 {
		t.Errorf("a member receives %d samples", got)
	}
	outgoing, _ = s.Tick(start.Add(3*time.Second), known)
	if got := entriesTo(outgoing, "other"); got != 0 {
		t.Errorf("%d samples are sent twice", got)
	}
}

// TestMembersTakeNoSamples guards against a member that records samples of other daemons. The factors that it receives
// already include them.
func TestMembersTakeNoSamples(t *testing.T) {
	known, tracker := directory{"a": true}, pace.NewTracker()
	s := pace.NewSharer(tracker)
	s.SetRole(pace.Role{Dispatcher: "d"})
	s.Receive(start, "x", &pace.Update{Entries: []pace.Entry{newEntry("a", "m", 0.01, 20)}}, known)
	if s.Tick(start, known); tracker.Summary().Count != 0 {
		t.Errorf("%+v", tracker.Summary())
	}
}

// TestToldFactorReplacesOwnSamples guards against own samples that count in addition to a received factor that already
// includes them, and against a received factor that later samples don't change.
func TestToldFactorReplacesOwnSamples(t *testing.T) {
	known, tracker := directory{"a": true, "b": true, "c": true}, pace.NewTracker()
	record := func(at time.Time, gap float64) {
		tracker.Record(at, []pace.Entry{newEntry("a", "m", gap, 20), newEntry("b", "m", 0.01, 20), newEntry("c", "m", 0.01, 20)}, known)
	}
	record(start, 0.04)
	code := pace.EncodeFactor(2)
	tracker.MergeFactors(map[string]uint8{"a": code, "b": pace.EncodeFactor(1), "c": pace.EncodeFactor(1), "gone": code}, known, false)
	tracker.Estimate()
	if got := tracker.Slowness("a"); math.Abs(got-2) > 0.25 {
		t.Errorf("factor %.2f after 2 was received", got)
	}
	for second := range 40 {
		record(start.Add(time.Duration(second)*time.Second), 0.03)
		tracker.Estimate()
	}
	if got := tracker.Slowness("a"); math.Abs(got-3) > 0.3 {
		t.Errorf("factor %.2f after many samples of 3", got)
	}
	tracker.MergeFactors(map[string]uint8{"a": 0}, known, false)
	tracker.Estimate()
	if got := tracker.Slowness("a"); math.Abs(got-3) > 0.3 || tracker.Summary().Count != 3 {
		t.Errorf("factor %.2f after the code for no factor, %+v", got, tracker.Summary())
	}
}

// TestUpdatesAreBounded guards against messages with more than MaxEntries entries or MaxFactors factors, sent or
// received.
func TestUpdatesAreBounded(t *testing.T) {
	known, tracker := directory{}, pace.NewTracker()
	s := pace.NewSharer(tracker)
	s.SetRole(pace.Role{AllToAll: true, Others: []string{"other"}})
	var received pace.Update
	for i := range 3 * pace.MaxFactors {
		id := fmt.Sprintf("i%04d", i)
		known[id] = true
		addSamples(s, id, 10*time.Millisecond, 4)
		received.Entries = append(received.Entries, newEntry(id, "m", 0.01, 4))
	}
	other := pace.NewTracker()
	sharer := pace.NewSharer(other)
	sharer.SetRole(pace.Role{AllToAll: true})
	sharer.Receive(start, "x", &received, known)
	if sharer.Tick(start, known); other.Summary().Count != pace.MaxEntries {
		t.Errorf("%d entries of %d are accepted from a message", other.Summary().Count, len(received.Entries))
	}
	sent := 0
	for tick := range 100 {
		outgoing, _ := s.Tick(start.Add(time.Duration(tick)*100*time.Millisecond), known)
		for _, message := range outgoing {
			sent++
			if count := len(message.Update.Entries); count > pace.MaxEntries {
				t.Errorf("a message has %d entries", count)
			}
		}
	}
	if sent > 10 {
		t.Errorf("%d messages in ten seconds", sent)
	}
	first, last := tracker.Factors("")
	second, _ := tracker.Factors(last)
	if len(first) != pace.MaxFactors || len(second) != pace.MaxFactors {
		t.Errorf("%d and %d factors", len(first), len(second))
	}
	for id := range second {
		if first[id] != 0 {
			t.Fatalf("%s is returned twice", id)
		}
	}
}

// TestBadSamplesAreDropped guards against samples without a model or with a gap out of range.
func TestBadSamplesAreDropped(t *testing.T) {
	known := directory{"a": true}
	s := pace.NewSharer(pace.NewTracker())
	s.SetRole(pace.Role{AllToAll: true, Others: []string{"other"}})
	for _, gap := range []time.Duration{0, -time.Second, 2*time.Second + 1} {
		addSamples(s, "a", gap, 1)
	}
	s.AddSample(pace.Sample{Instance: "a", Gap: time.Millisecond})
	if outgoing, _ := s.Tick(start, known); len(outgoing) > 0 {
		t.Errorf("%+v", outgoing)
	}
}

// TestConcurrentUse guards against data races between the request path, received messages and the estimate. It needs
// the race detector.
func TestConcurrentUse(t *testing.T) {
	known, tracker := directory{"a": true, "b": true}, pace.NewTracker()
	s := pace.NewSharer(tracker)
	update := pace.Update{Entries: []pace.Entry{newEntry("b", "m", 0.02, 2)}, Factors: map[string]uint8{"a": 128}}
	const rounds = 200
	place := pace.Role{Dispatching: true, Members: []string{"member"}, Others: []string{"other"}}
	s.SetRole(place)
	uses := []func(now time.Time){
		func(time.Time) { addSamples(s, "a", 10*time.Millisecond, 1) },
		func(now time.Time) { s.Receive(now, "member", &update, known) },
		func(now time.Time) { s.Tick(now, known) },
		func(time.Time) { s.SetRole(place) },
		func(time.Time) { tracker.Prune(func(string) bool { return true }) },
		func(time.Time) { tracker.Slowness("a"); tracker.Summary(); tracker.Factors("") },
	}
	var group sync.WaitGroup
	for _, use := range uses {
		group.Go(func() {
			for round := range rounds {
				use(start.Add(time.Duration(round) * 100 * time.Millisecond))
			}
		})
	}
	group.Wait()
	if s.Tick(start.Add(time.Hour), known); tracker.Summary().Count != 2 {
		t.Errorf("%+v", tracker.Summary())
	}
}
