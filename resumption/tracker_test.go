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
	one, other := &Answer{Versions: []string{"v1"}}, &Answer{Versions: []string{"v1", "v2"}, Fresh: true}
	cases := []struct {
		name    string
		present []string
		fresh   bool
		named   bool
		answers []*Answer
		known   bool
	}{
		{"one version", []string{"v1"}, true, true, []*Answer{one}, true},
		{"one version, no answers", []string{"v1"}, true, true, nil, true},
		{"two versions", []string{"v1", "v2"}, true, true, []*Answer{one}, false},
		{"another daemon has seen a second version", []string{"v1"}, true, true, []*Answer{one, other}, false},
		{"another daemon has seen only a different version", []string{"v2"}, true, true, []*Answer{one}, false},
		{"isolated, no answers", []string{"v1"}, false, true, nil, false},
		{"isolated, as are all that answer", []string{"v1"}, false, true, []*Answer{one}, false},
		{"isolated, but one that answers is not", []string{"v1"}, false, true, []*Answer{one, {Versions: []string{"v1"}, Fresh: true}}, true},
		{"stream not named by the client", []string{"v1"}, false, false, nil, true},
		{"stream not named by the client, two versions", []string{"v1", "v2"}, true, false, nil, false},
		{"no instance ever seen", nil, true, true, nil, false},
		{"instances that report no version", []string{""}, true, true, nil, true},
	}
	for _, c := range cases {
		tracker := NewTracker()
		tracker.SetVersionWindow(time.Minute)
		tracker.Observe(testStart, "svc", c.present)
		if c.fresh {
			tracker.MarkSynced(testStart)
		}
		if software, known := tracker.Decide(testStart, "svc", c.named, c.answers); known != c.known || known && software != c.present[0] {
			t.Errorf("%s: %q, known %v", c.name, software, known)
		}
	}
}

// TestVersionsCountForAWhile guards against removing a version while the streams that it began may still be resumed.
func TestVersionsCountForAWhile(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(30 * time.Second)
	tracker.Observe(testStart, "svc", []string{"v1"})
	now := testStart.Add(29 * time.Second)
	tracker.Observe(now, "svc", []string{"v2"})
	tracker.MarkSynced(now)
	if _, known := tracker.Decide(now, "svc", true, nil); known {
		t.Error("the previous version was removed while its streams may still be resumed")
	}
	now = now.Add(31 * time.Second)
	tracker.Observe(now, "svc", []string{"v2"})
	tracker.MarkSynced(now)
	if software, known := tracker.Decide(now, "svc", true, nil); !known || software != "v2" {
		t.Errorf("%q, known %v", software, known)
	}
	// The version seen most recently is kept however long ago it was seen.
	if counts := tracker.Counts(); counts.MixedServices != 0 {
		t.Errorf("%+v", counts)
	}
}

// TestFrozenDaemonIsNotFresh guards against a daemon that decides by state from before its process was frozen.
func TestFrozenDaemonIsNotFresh(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(time.Minute)
	tracker.Observe(testStart, "svc", []string{"v1"})
	tracker.MarkSynced(testStart)
	if _, known := tracker.Decide(testStart.Add(5*time.Second), "svc", true, nil); known {
		t.Error("a daemon whose process was frozen decided")
	}
}

// TestSecondVersionTellsOfStreamsBefore guards against streams that began before the second version appeared and that
// no other daemon has recorded.
func TestSecondVersionTellsOfStreamsBefore(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(time.Minute)
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
			tracker.SetVersionWindow(time.Minute)
			var others []Daemon
			for number := range count {
				others = append(others, Daemon{string(rune('a'+number%26)) + string(rune('a'+number/26)), string(rune('a' + number%3))})
			}
			tracker.SetDaemons(others)
			tracker.Observe(testStart, "svc", []string{"v1", "v2"})
			number := 0
			for b.Loop() {
				number++
				tracker.RecordStream(testStart, stream(string(rune('a'+number%1000)), "v1"))
			}
		})
	}
}
