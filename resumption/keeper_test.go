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

// TestDecide guards against a stream that goes on although nobody can know which version began it, and against one that is
// refused although there is only one.
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
		{"one version, nobody answers", []string{"v1"}, true, true, nil, true},
		{"two versions", []string{"v1", "v2"}, true, true, []*Answer{one}, false},
		{"another daemon has seen a second one", []string{"v1"}, true, true, []*Answer{one, other}, false},
		{"another daemon has only seen another one", []string{"v2"}, true, true, []*Answer{one}, false},
		{"cut off, nobody answers", []string{"v1"}, false, true, nil, false},
		{"cut off, as all that answer", []string{"v1"}, false, true, []*Answer{one}, false},
		{"cut off, one that answers is not", []string{"v1"}, false, true, []*Answer{one, {Versions: []string{"v1"}, Fresh: true}}, true},
		{"a client that does not name the stream", []string{"v1"}, false, false, nil, true},
		{"such a client, two versions", []string{"v1", "v2"}, true, false, nil, false},
		{"no server was ever seen", nil, true, true, nil, false},
		{"servers that say no version", []string{""}, true, true, nil, true},
	}
	for _, c := range cases {
		k := NewKeeper()
		k.SetSpan(time.Minute)
		k.Observe(testStart, "svc", c.present)
		if c.fresh {
			k.SetFresh(testStart)
		}
		if software, known := k.Decide(testStart, "svc", c.named, c.answers); known != c.known || known && software != c.present[0] {
			t.Errorf("%s: %q, known %v", c.name, software, known)
		}
	}
}

// TestVersionsCountForAWhile guards against a version that is forgotten while streams that it began may be taken up.
func TestVersionsCountForAWhile(t *testing.T) {
	k := NewKeeper()
	k.SetSpan(30 * time.Second)
	k.Observe(testStart, "svc", []string{"v1"})
	now := testStart.Add(29 * time.Second)
	k.Observe(now, "svc", []string{"v2"})
	k.SetFresh(now)
	if _, known := k.Decide(now, "svc", true, nil); known {
		t.Error("the version before is forgotten while its streams last")
	}
	now = now.Add(31 * time.Second)
	k.Observe(now, "svc", []string{"v2"})
	k.SetFresh(now)
	if software, known := k.Decide(now, "svc", true, nil); !known || software != "v2" {
		t.Errorf("%q, known %v", software, known)
	}
	// Nothing has been seen for long: the last version counts on.
	if counts := k.Counts(); counts.Mixed != 0 {
		t.Errorf("%+v", counts)
	}
}

// TestFrozenDaemonIsNotFresh guards against a daemon that decides by what it knew before it was frozen.
func TestFrozenDaemonIsNotFresh(t *testing.T) {
	k := NewKeeper()
	k.SetSpan(time.Minute)
	k.Observe(testStart, "svc", []string{"v1"})
	k.SetFresh(testStart)
	if _, known := k.Decide(testStart.Add(5*time.Second), "svc", true, nil); known {
		t.Error("a daemon that was frozen decides")
	}
}

// TestSecondVersionTellsOfStreamsBefore guards against streams that began before the second version came, and that nobody
// else knows.
func TestSecondVersionTellsOfStreamsBefore(t *testing.T) {
	k := NewKeeper()
	k.SetSpan(time.Minute)
	k.SetDaemons([]Daemon{{"a", "z1"}, {"b", "z1"}, {"c", "z2"}})
	if tells := k.Began(testStart, stream("s1", "v1")); tells != nil {
		t.Errorf("told %+v while there is one version", tells)
	}
	k.Take(testStart, []Stream{stream("of another daemon", "v1")})
	told := map[string]int{}
	for _, tell := range k.Began(testStart, stream("s2", "v2")) {
		for _, s := range tell.Streams {
			told[s.ID]++
		}
	}
	if told["s1"] != keepers || told["s2"] != keepers || len(told) != 2 {
		t.Errorf("told %v", told)
	}
	if tells := k.Began(testStart, stream("s3", "v1")); len(tells) != keepers || k.zones[tells[0].Daemon] == k.zones[tells[1].Daemon] {
		t.Errorf("told %+v", tells)
	}
}

// TestBookKeepsItsBounds guards against streams that are kept for ever or without number, and IDs that clients made up.
func TestBookKeepsItsBounds(t *testing.T) {
	k := NewKeeper()
	k.Take(testStart, []Stream{stream("", "v1"), stream(string(make([]byte, longestID+1)), "v1"), {ID: "over", Service: "svc", Left: 0}})
	if counts := k.Counts(); counts.Streams != 0 {
		t.Errorf("%d streams are kept", counts.Streams)
	}
	k.Take(testStart, []Stream{stream("twice", "v1"), stream("twice", "v2"), stream("s", "v1")})
	if _, known := k.Find(testStart, "twice"); known {
		t.Error("a stream of two versions is known")
	}
	if began, known := k.Find(testStart, "s"); !known || began != (Began{Service: "svc", Software: "v1"}) {
		t.Errorf("%+v, known %v", began, known)
	}
	k.Forget(testStart.Add(time.Minute))
	if counts := k.Counts(); counts.Streams != 0 {
		t.Errorf("%d streams are kept for ever", counts.Streams)
	}
}

// BenchmarkBegan measures what a stream costs that is told to others, by the number of daemons.
func BenchmarkBegan(b *testing.B) {
	for _, count := range []int{30, 100, 300, 985} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			k := NewKeeper()
			k.SetSpan(time.Minute)
			var others []Daemon
			for number := range count {
				others = append(others, Daemon{string(rune('a'+number%26)) + string(rune('a'+number/26)), string(rune('a' + number%3))})
			}
			k.SetDaemons(others)
			k.Observe(testStart, "svc", []string{"v1", "v2"})
			number := 0
			for b.Loop() {
				number++
				k.Began(testStart, stream(string(rune('a'+number%1000)), "v1"))
			}
		})
	}
}
