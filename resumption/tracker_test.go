package resumption

import (
	"strconv"
	"testing"
	"time"
)

var testStart = time.Unix(1e9, 0)

func stream(id, software string) Stream {
	return Stream{ID: id, Service: "svc", Software: software, Left: 10 * time.Second}
}

// TestDecide guards against resuming a stream whose version cannot be determined, and against refusing a stream of a
// service that has only one version.
func TestDecide(t *testing.T) {
	one, other := &Answer{Versions: []string{"v1"}}, &Answer{Versions: []string{"v1", "v2"}, Fresh: true, Complete: true}
	whole := &Answer{Versions: []string{"v1"}, Fresh: true, Complete: true}
	cases := []struct {
		name    string
		present []string
		fresh   bool
		// restarted is set if the daemon has just started and has not read the durable record.
		restarted bool
		answers   []*Answer
		known     bool
	}{
		{"one version", []string{"v1"}, true, false, []*Answer{one}, true},
		{"one version, no answers", []string{"v1"}, true, false, nil, true},
		{"two versions, no answers", []string{"v1", "v2"}, true, false, nil, false},
		{"two versions", []string{"v1", "v2"}, true, false, []*Answer{one}, false},
		{"another daemon has seen a second version", []string{"v1"}, true, false, []*Answer{one, other}, false},
		{"another daemon has seen only a different version", []string{"v2"}, true, false, []*Answer{one}, false},
		{"isolated, no answers", []string{"v1"}, false, false, nil, false},
		{"isolated, as are all that answer", []string{"v1"}, false, false, []*Answer{one}, false},
		{"isolated, but one that answers is not", []string{"v1"}, false, false, []*Answer{one, whole}, true},
		{"isolated, and the one that is not has just started", []string{"v1"}, false, false, []*Answer{{Versions: []string{"v1"}, Fresh: true}}, false},
		{"just started, no answers", []string{"v1"}, true, true, nil, false},
		{"just started, as have all that answer", []string{"v1"}, true, true, []*Answer{{Versions: []string{"v1"}, Fresh: true}}, false},
		{"just started, the one that knows more was frozen since", []string{"v1"}, true, true, []*Answer{{Versions: []string{"v1"}, Complete: true}}, false},
		{"just started, but one that answers has not", []string{"v1"}, true, true, []*Answer{one, whole}, true},
		{"just started, and one that has not has seen a second version", []string{"v1"}, true, true, []*Answer{one, other}, false},
		{"no instance ever seen", nil, true, false, nil, false},
		{"instances that report no version", []string{""}, true, false, nil, true},
	}
	for _, c := range cases {
		tracker := NewTracker()
		tracker.SetVersionWindow(testStart, time.Minute)
		tracker.Observe(testStart, "svc", c.present, false)
		if c.fresh {
			tracker.MarkSynced(testStart)
		}
		if !c.restarted {
			tracker.MergeRecord(testStart, testStart, []Shard{{Complete: true}}, false)
		}
		if software, known := tracker.Decide(testStart, "svc", c.answers, true); known != c.known || known && software != c.present[0] {
			t.Errorf("%s: %q, known %v", c.name, software, known)
		}
	}
}

// TestStreamsOfSharedRoutesAreDistributed guards against a stream that is resumed at another service of its route, since no
// other daemon has recorded what began it.
func TestStreamsOfSharedRoutesAreDistributed(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, 30*time.Second)
	tracker.SetDaemons([]Daemon{{"a", "z1"}, {"b", "z2"}})
	tracker.MarkSynced(testStart)
	tracker.MergeRecord(testStart, testStart, nil, true)
	tracker.RecordStream(testStart, stream("s1", "v1"))
	if updates := tracker.Observe(testStart, "svc", []string{"v1"}, true); len(updates) != holdersPerStream {
		t.Errorf("updates %+v on a stream from before the route was shared", updates)
	}
	if updates := tracker.RecordStream(testStart, stream("s2", "v1")); len(updates) != holdersPerStream {
		t.Errorf("updates %+v", updates)
	}
	if software, known := tracker.Decide(testStart, "svc", nil, true); known || !tracker.NeedsRecord(testStart, "svc", nil) {
		t.Errorf("an unknown stream of a shared route resumes at %q", software)
	}
}

// TestVersionsCountForAWhile guards against removing a version while the streams that it began may still be resumed.
func TestVersionsCountForAWhile(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, 30*time.Second)
	tracker.Observe(testStart, "svc", []string{"v1"}, false)
	observe := func(from, until time.Time) {
		for now := from; !now.After(until); now = now.Add(freshWindow / 2) {
			tracker.MarkSynced(now)
		}
	}
	now := testStart.Add(29 * time.Second)
	observe(testStart, now)
	tracker.Observe(now, "svc", []string{"v2"}, false)
	tracker.MarkSynced(now)
	if _, known := tracker.Decide(now, "svc", nil, true); known {
		t.Error("the previous version was removed while its streams may still be resumed")
	}
	observe(now, now.Add(31*time.Second))
	now = now.Add(31 * time.Second)
	tracker.Observe(now, "svc", []string{"v2"}, false)
	tracker.MarkSynced(now)
	if software, known := tracker.Decide(now, "svc", nil, true); !known || software != "v2" {
		t.Errorf("%q, known %v", software, known)
	}
	// The version seen most recently is kept however long ago it was seen.
	if counts := tracker.Counts(); counts.MixedServices != 0 {
		t.Errorf("%+v", counts)
	}
}

// TestShorterWindowWaits guards against removing a version while streams that began within a longer window may be resumed.
func TestShorterWindowWaits(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, 30*time.Second)
	tracker.Observe(testStart, "svc", []string{"v1", "v2"}, false)
	for _, step := range []struct {
		after time.Duration
		mixed int
	}{{0, 1}, {29 * time.Second, 1}, {31 * time.Second, 0}} {
		now := testStart.Add(step.after)
		tracker.SetVersionWindow(now, 5*time.Second)
		tracker.Observe(now, "svc", []string{"v2"}, false)
		if got := tracker.Counts().MixedServices; got != step.mixed {
			t.Errorf("after %v: %d services with several versions", step.after, got)
		}
	}
}

// TestFrozenDaemonIsNotFresh guards against a daemon that decides by state from before its process was frozen.
func TestFrozenDaemonIsNotFresh(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, time.Minute)
	tracker.Observe(testStart, "svc", []string{"v1"}, false)
	tracker.MarkSynced(testStart)
	if _, known := tracker.Decide(testStart.Add(5*time.Second), "svc", nil, true); known {
		t.Error("a daemon whose process was frozen decided")
	}
}

// TestSecondVersionTellsOfStreamsBefore guards against streams that began before the second version appeared and that
// no other daemon has recorded.
func TestSecondVersionTellsOfStreamsBefore(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, time.Minute)
	tracker.SetDaemons([]Daemon{{"a", "z1"}, {"b", "z1"}, {"c", "z2"}})
	if updates := tracker.RecordStream(testStart, stream("s1", "v1")); updates != nil {
		t.Errorf("updates %+v while there is one version", updates)
	}
	tracker.Merge(testStart, []Stream{stream("of another daemon", "v1")})
	sent := map[string]int{}
	for _, update := range tracker.RecordStream(testStart, stream("s2", "v2")) {
		for _, s := range update.Streams {
			sent[s.ID]++
		}
	}
	if sent["s1"] != holdersPerStream || sent["s2"] != holdersPerStream || len(sent) != 2 {
		t.Errorf("streams in updates: %v", sent)
	}
	if updates := tracker.RecordStream(testStart, stream("s3", "v1")); len(updates) != holdersPerStream || tracker.zones[updates[0].Daemon] == tracker.zones[updates[1].Daemon] {
		t.Errorf("updates %+v", updates)
	}
}

// TestBookKeepsItsBounds guards against streams that never expire and against invalid IDs, which clients choose.
func TestBookKeepsItsBounds(t *testing.T) {
	tracker := NewTracker()
	tracker.Merge(testStart, []Stream{stream("", "v1"), stream(string(make([]byte, maxIDBytes+1)), "v1"), {ID: "over", Service: "svc", Left: 0}})
	if counts := tracker.Counts(); counts.Streams != 0 {
		t.Errorf("%d invalid streams recorded", counts.Streams)
	}
	tracker.Merge(testStart, []Stream{stream("twice", "v1"), stream("twice", "v2"), stream("s", "v1")})
	if _, known := tracker.Find(testStart, "twice"); known {
		t.Error("a stream reported with two versions is found")
	}
	if began, known := tracker.Find(testStart, "s"); !known || began != (Began{Service: "svc", Software: "v1"}) {
		t.Errorf("%+v, known %v", began, known)
	}
	tracker.Prune(testStart.Add(time.Minute))
	if counts := tracker.Counts(); counts.Streams != 0 {
		t.Errorf("%d streams left after they expired", counts.Streams)
	}
}

// BenchmarkBegan measures the cost of a stream that is reported to other daemons, by the number of daemons.
func BenchmarkBegan(b *testing.B) {
	for _, count := range []int{30, 100, 300, 985} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			tracker := NewTracker()
			tracker.SetVersionWindow(testStart, time.Minute)
			var others []Daemon
			for number := range count {
				others = append(others, Daemon{string(rune('a'+number%26)) + string(rune('a'+number/26)), string(rune('a' + number%3))})
			}
			tracker.SetDaemons(others)
			tracker.Observe(testStart, "svc", []string{"v1", "v2"}, false)
			number := 0
			for b.Loop() {
				number++
				tracker.RecordStream(testStart, stream(string(rune('a'+number%1000)), "v1"))
			}
		})
	}
}
