package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// testDigest returns a digest that identifies a content in tests.
func testDigest(name string) Digest {
	var digest Digest
	copy(digest[:], name)
	return digest
}

// crashInterval is the time between two crashes, runTime how long contents have been running when a server crashes.
const (
	crashInterval = time.Second
	runTime       = 100 * time.Millisecond
)

// crashContents records a crash of a server that had been running the contents of the given names for runTime.
func crashContents(tracker *Tracker, now time.Time, server string, contents ...string) Change {
	var victims []InterruptedRequest
	for _, name := range contents {
		victims = append(victims, InterruptedRequest{Content: testDigest(name), Began: now.Add(-runTime)})
	}
	return tracker.RecordCrash(now, now, server, victims)
}

// crashInSequence records crashes of several servers under one content, the last one now.
func crashInSequence(tracker *Tracker, now time.Time, count int, content string) (last Change) {
	for number := range count {
		last = crashContents(tracker, now.Add(time.Duration(number-count+1)*crashInterval), fmt.Sprint("server", number), content)
	}
	return last
}

func (t *Tracker) holdsContentNamed(now time.Time, name string) bool {
	return !t.HeldUntil(now, testDigest(name)).IsZero()
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name string
		// crashes lists, for each server that crashed, the contents that ran there.
		crashes [][]string
		held    []string
	}{
		{"two crashes do not hold", [][]string{{"a"}, {"a"}}, nil},
		{"three crashes hold", [][]string{{"a"}, {"a"}, {"a"}}, []string{"a"}},
		{"a content present at some of the crashes is not the cause", [][]string{{"a", "b"}, {"a", "b"}, {"a", "c"}}, []string{"a"}},
		{"two contents at the same three crashes are not held yet", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}}, nil},
		{"a fourth crash under one of two contents identifies the cause", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a"}}, []string{"a"}},
		{"two contents at the same four crashes are both held", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, []string{"a", "b"}},
		{"two causes at one crash", [][]string{{"a", "b"}, {"a"}, {"a"}, {"b"}, {"b"}}, []string{"a", "b"}},
		{
			"many contents at one crash, as when a rack fails",
			[][]string{{"a", "b", "c"}, {"d", "e", "f"}, {"a", "e", "g"}}, nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			for number, contents := range c.crashes {
				crashContents(tracker, start.Add(time.Duration(number)*crashInterval), fmt.Sprint("server", number), contents...)
			}
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				if got := tracker.holdsContentNamed(start, name); got != slices.Contains(c.held, name) {
					t.Errorf("%s held: %v", name, got)
				}
			}
		})
	}
}

// TestCrashThatIsToldAgainCountsOnce covers one crash that several daemons observe and report, late and more than once.
func TestCrashThatIsToldAgainCountsOnce(t *testing.T) {
	tracker := NewTracker()
	for number := range 6 {
		now := start.Add(time.Duration(number) * crashInterval)
		crashContents(tracker, now, "server", "a")
		crashContents(tracker, now, "another", "a")
	}
	if tracker.holdsContentNamed(start, "a") {
		t.Error("two crashes that are reported repeatedly count as more than two")
	}
}

// TestServersThatEndTogetherCountAsOne covers a rack failure: a content that many clients send runs on all servers of
// the rack, and no run of it has had the time to succeed since.
func TestServersThatEndTogetherCountAsOne(t *testing.T) {
	tracker := NewTracker()
	for number := range 8 {
		crashContents(tracker, start.Add(time.Duration(number)*runTime/16), fmt.Sprint("server", number), "popular")
	}
	if tracker.holdsContentNamed(start, "popular") {
		t.Error("servers that ended at one moment count as several crashes")
	}
	crashContents(tracker, start.Add(crashInterval), "later", "popular")
	crashContents(tracker, start.Add(2*crashInterval), "latest", "popular")
	if !tracker.holdsContentNamed(start.Add(2*crashInterval), "popular") {
		t.Error("not held although two more servers crashed, each under a run that began after the preceding crash")
	}
}

func TestRunThatEndsWellClearsAContent(t *testing.T) {
	tracker, other := NewTracker(), NewTracker()
	for number := range 2 {
		now := start.Add(time.Duration(number-2) * crashInterval)
		other.Merge(now, crashContents(tracker, now, fmt.Sprint("server", number), "a").Added)
	}
	served := other.RecordSuccess(start, testDigest("a"))
	// The update about the successful run and a third crash can arrive in either order.
	third := crashContents(tracker, start, "server2", "a")
	if len(third.Held) != 1 {
		t.Fatal("not held after three crashes")
	}
	if change := tracker.Merge(start, served.Added); len(change.Released) != 1 || tracker.holdsContentNamed(start, "a") {
		t.Error("still held after a successful run")
	}
	other.Merge(start, third.Added)
	if other.holdsContentNamed(start, "a") {
		t.Error("held by one crash after a successful run")
	}
	if tracker.IsSuspected(start, testDigest("b")) || other.RecordSuccess(start, testDigest("b")).Added.Items != nil {
		t.Error("a content that never ran has a record")
	}
}

// TestHoldingEnds covers the time after a hold has expired: the content may run again, and one further crash holds it
// again.
func TestHoldingEnds(t *testing.T) {
	tracker := NewTracker()
	crashInSequence(tracker, start, 3, "a")
	if until := tracker.HeldUntil(start, testDigest("a")); until != start.Add(HoldDuration) {
		t.Errorf("held until %v", until)
	}
	later := start.Add(HoldDuration)
	if tracker.holdsContentNamed(later, "a") {
		t.Error("the hold does not expire")
	}
	crashContents(tracker, later, "server3", "a")
	if !tracker.holdsContentNamed(later, "a") {
		t.Error("not held again after one further crash")
	}
	tracker.Prune(later.Add(crashRetention))
	if !tracker.Empty() {
		t.Error("the record does not expire")
	}
}

// TestFloodOfContentsPushesOutNothingThatIsHeld covers a client that crashes each server with a different content: the
// tracker stays bounded, and contents that have crashed several servers are not evicted.
func TestFloodOfContentsPushesOutNothingThatIsHeld(t *testing.T) {
	tracker := NewTracker()
	crashInSequence(tracker, start, 3, "a")
	for number := range 2 * maxRecords {
		crashContents(tracker, start.Add(time.Second), fmt.Sprint("other", number), fmt.Sprint("f", number))
	}
	if !tracker.holdsContentNamed(start, "a") {
		t.Error("a held content was evicted")
	}
	if len(tracker.records) > maxRecords || len(tracker.digestsAtCrash) > maxRecords+3 {
		t.Errorf("the book has %d contents and %d servers", len(tracker.records), len(tracker.digestsAtCrash))
	}
}

// TestClearedContentsAreForgottenSoon guards against records of cleared contents that outlive clearedRetention: while
// the tracker has any record, the digest of each request is computed.
func TestClearedContentsAreForgottenSoon(t *testing.T) {
	tracker := NewTracker()
	crashContents(tracker, start, "server", "cleared", "suspect")
	tracker.RecordSuccess(start, testDigest("cleared"))
	later := start.Add(clearedRetention)
	tracker.Prune(later)
	if tracker.records[testDigest("cleared")] != nil || !tracker.IsSuspected(start, testDigest("suspect")) {
		t.Error("the cleared content is still recorded, or the suspected one no longer is")
	}
}

func TestCrashesOfOneContentAreBounded(t *testing.T) {
	tracker := NewTracker()
	now := start
	for number := range 3 * maxCrashesPerRecord {
		now = now.Add(time.Minute)
		crashContents(tracker, now, fmt.Sprint("server", number), "a")
	}
	if count := len(tracker.records[testDigest("a")].crashes); count != maxCrashesPerRecord {
		t.Errorf("the record has %d crashes", count)
	}
	if !tracker.holdsContentNamed(now, "a") {
		t.Error("not held after the last crash")
	}
}

func TestNewestTellsWhatOthersMayLack(t *testing.T) {
	tracker, joined := NewTracker(), NewTracker()
	crashInSequence(tracker, start, 3, "held")
	crashContents(tracker, start, "server9", "old")
	later := start.Add(time.Minute)
	crashContents(tracker, later, "server8", "new")
	joined.Merge(later, tracker.Snapshot(later, time.Second))
	if !joined.holdsContentNamed(later, "held") || !joined.IsSuspected(later, testDigest("new")) || joined.IsSuspected(later, testDigest("old")) {
		t.Error("a daemon that joins does not receive exactly the contents that are held or new")
	}
	if got, want := joined.HeldUntil(later, testDigest("held")), start.Add(HoldDuration); got != want {
		t.Errorf("held until %v, want %v", got, want)
	}
}

// TestOrderOfNewsDoesNotMatter merges the same updates on contents and parts into two trackers in different orders,
// some of them twice: both trackers must hold the same contents and parts.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contents := []string{"a", "b", "c", "d", "e", "f", "g"}
		var updates []Update
		for range rapid.IntRange(1, 25).Draw(t, "updates") {
			name := rapid.SampledFrom(contents).Draw(t, "content")
			kind := KindContent
			if name >= "e" {
				kind = KindPart
			}
			updates = append(updates, Update{Items: []Item{{
				Digest: testDigest(name), Kind: kind,
				Cleared: rapid.IntRange(0, 9).Draw(t, "cleared") == 0, ClearedAge: time.Duration(rapid.IntRange(0, 40).Draw(t, "cleared age")) * 50 * time.Millisecond,
				Crashes: []CrashReport{{
					Server: fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "server")),
					Age:    time.Duration(rapid.IntRange(0, 40).Draw(t, "age")) * 50 * time.Millisecond,
					Ran:    time.Duration(rapid.IntRange(0, 10).Draw(t, "ran")) * 50 * time.Millisecond,
					Void:   rapid.IntRange(0, 9).Draw(t, "void") == 0,
				}},
			}}})
		}
		shuffled := rapid.Permutation(slices.Concat(updates, updates[:len(updates)/2])).Draw(t, "order")
		one, two := NewTracker(), NewTracker()
		for _, update := range updates {
			one.Merge(start, update)
		}
		for _, update := range shuffled {
			two.Merge(start, update)
		}
		for _, name := range contents {
			if one.holdsContentNamed(start, name) != two.holdsContentNamed(start, name) {
				t.Fatalf("%s: %v in one order, %v in another", name, one.holdsContentNamed(start, name), two.holdsContentNamed(start, name))
			}
			if first, second := len(one.HeldWith(testDigest(name))), len(two.HeldWith(testDigest(name))); first != second {
				t.Fatalf("%s: held together with %d others in one order, %d in another", name, first, second)
			}
		}
	})
}

// TestUnconfirmedCrashes covers servers that close new connections. It guards against copies of a content being sent
// while crashes are pending, and against contents being held by unconfirmed crashes.
func TestUnconfirmedCrashes(t *testing.T) {
	victims := func(now time.Time) []InterruptedRequest {
		return []InterruptedRequest{{Content: testDigest("a"), Began: now.Add(-runTime)}}
	}
	tracker, now := NewTracker(), start
	for number := range crashLimit {
		if until := tracker.PendingUntil(now, testDigest("a")); !until.IsZero() {
			t.Fatalf("the run on server %d waits until %v", number, until)
		}
		now = now.Add(crashInterval)
		tracker.RecordUnconfirmedCrash(now, now, fmt.Sprint("server", number), victims(now))
	}
	if tracker.holdsContentNamed(now, "a") || !tracker.IsSuspected(now, testDigest("a")) {
		t.Error("unconfirmed crashes hold the content, or it is not suspected")
	}
	if until := tracker.PendingUntil(now, testDigest("a")); !until.Equal(start.Add(crashInterval + confirmationTimeout)) {
		t.Errorf("the next run waits until %v", until.Sub(start))
	}
	later := start.Add(crashInterval + confirmationTimeout)
	if until := tracker.PendingUntil(later, testDigest("a")); !until.IsZero() {
		t.Errorf("the next run waits until %v after the first crash expired unconfirmed", until.Sub(start))
	}
	if far := now.Add(confirmationTimeout); tracker.IsSuspected(far, testDigest("a")) {
		t.Error("the content is suspected after all crashes expired unconfirmed")
	}
	for number := range crashLimit {
		at := start.Add(time.Duration(number+1) * crashInterval)
		tracker.RecordCrash(now, at, fmt.Sprint("server", number), victims(at))
	}
	if !tracker.holdsContentNamed(now, "a") {
		t.Error("confirmed crashes do not hold the content")
	}
}

// TestSimultaneousUnconfirmedCrashesCountOnce guards against a content waiting because many servers that ran it close
// new connections at the same time.
func TestSimultaneousUnconfirmedCrashesCountOnce(t *testing.T) {
	tracker := NewTracker()
	for number := range 2 * crashLimit {
		victims := []InterruptedRequest{{Content: testDigest("a"), Began: start.Add(-runTime)}}
		tracker.RecordUnconfirmedCrash(start, start, fmt.Sprint("server", number), victims)
	}
	if until := tracker.PendingUntil(start, testDigest("a")); !until.IsZero() {
		t.Errorf("the next run waits for %v", until.Sub(start))
	}
	if change := tracker.RecordSuccess(start, testDigest("a")); change.Added.Empty() || tracker.IsSuspected(start, testDigest("a")) {
		t.Error("a successful run does not clear the content")
	}
}

// TestDurableEvidence guards against evidence being stored too early, or not being removed when the content is cleared.
func TestDurableEvidence(t *testing.T) {
	tracker := NewTracker()
	if change := crashInSequence(tracker, start, durableCrashCount-1, "a"); len(change.Durable) > 0 {
		t.Errorf("durable: %v", change.Durable)
	}
	change := crashInSequence(tracker, start.Add(time.Minute), durableCrashCount, "a")
	if len(change.Durable) != 1 || len(tracker.Durable()) != 1 {
		t.Errorf("durable: %v, in all %v", change.Durable, tracker.Durable())
	}
	change = tracker.RecordSuccess(start.Add(2*time.Minute), testDigest("a"))
	if len(change.NoLongerDurable) != 1 || len(tracker.Durable()) != 0 {
		t.Errorf("no longer durable: %v, left %v", change.NoLongerDurable, tracker.Durable())
	}
}
