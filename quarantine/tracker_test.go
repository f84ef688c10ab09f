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
func crashContents(book *Book, now time.Time, server string, contents ...string) Change {
	var victims []Victim
	for _, name := range contents {
		victims = append(victims, Victim{Content: testDigest(name), Began: now.Add(-runTime)})
	}
	return book.Crashed(now, now, server, victims)
}

// crashInSequence records crashes of several servers under one content, the last one now.
func crashInSequence(book *Book, now time.Time, count int, content string) (last Change) {
	for number := range count {
		last = crashContents(book, now.Add(time.Duration(number-count+1)*crashInterval), fmt.Sprint("server", number), content)
	}
	return last
}

func (b *Book) holdsContentNamed(now time.Time, name string) bool {
	return !b.HeldUntil(now, testDigest(name)).IsZero()
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
			book := NewBook()
			for number, contents := range c.crashes {
				crashContents(book, start.Add(time.Duration(number)*crashInterval), fmt.Sprint("server", number), contents...)
			}
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				if got := book.holdsContentNamed(start, name); got != slices.Contains(c.held, name) {
					t.Errorf("%s held: %v", name, got)
				}
			}
		})
	}
}

// TestCrashThatIsToldAgainCountsOnce covers one crash that several daemons observe and report, late and more than once.
func TestCrashThatIsToldAgainCountsOnce(t *testing.T) {
	book := NewBook()
	for number := range 6 {
		now := start.Add(time.Duration(number) * crashInterval)
		crashContents(book, now, "server", "a")
		crashContents(book, now, "another", "a")
	}
	if book.holdsContentNamed(start, "a") {
		t.Error("two crashes that are reported repeatedly count as more than two")
	}
}

// TestServersThatEndTogetherCountAsOne covers a rack failure: a content that many clients send runs on all servers of the
// rack, and no run of it has had the time to succeed since.
func TestServersThatEndTogetherCountAsOne(t *testing.T) {
	book := NewBook()
	for number := range 8 {
		crashContents(book, start.Add(time.Duration(number)*runTime/16), fmt.Sprint("server", number), "popular")
	}
	if book.holdsContentNamed(start, "popular") {
		t.Error("servers that ended at one moment count as several crashes")
	}
	crashContents(book, start.Add(crashInterval), "later", "popular")
	crashContents(book, start.Add(2*crashInterval), "latest", "popular")
	if !book.holdsContentNamed(start.Add(2*crashInterval), "popular") {
		t.Error("not held although two more servers crashed, each under a run that began after the preceding crash")
	}
}

func TestRunThatEndsWellClearsAContent(t *testing.T) {
	book, other := NewBook(), NewBook()
	for number := range 2 {
		now := start.Add(time.Duration(number-2) * crashInterval)
		other.Learn(now, crashContents(book, now, fmt.Sprint("server", number), "a").News)
	}
	served := other.Served(start, testDigest("a"))
	// The update about the successful run and a third crash can arrive in either order.
	third := crashContents(book, start, "server2", "a")
	if len(third.Held) != 1 {
		t.Fatal("not held after three crashes")
	}
	if change := book.Learn(start, served.News); len(change.Released) != 1 || book.holdsContentNamed(start, "a") {
		t.Error("still held after a successful run")
	}
	other.Learn(start, third.News)
	if other.holdsContentNamed(start, "a") {
		t.Error("held by one crash after a successful run")
	}
	if book.Suspects(start, testDigest("b")) || other.Served(start, testDigest("b")).News.Items != nil {
		t.Error("a content that never ran has a record")
	}
}

// TestHoldingEnds covers the time after a hold has expired: the content may run again, and one further crash holds it
// again.
func TestHoldingEnds(t *testing.T) {
	book := NewBook()
	crashInSequence(book, start, 3, "a")
	if until := book.HeldUntil(start, testDigest("a")); until != start.Add(HoldSpan) {
		t.Errorf("held until %v", until)
	}
	later := start.Add(HoldSpan)
	if book.holdsContentNamed(later, "a") {
		t.Error("the hold does not expire")
	}
	crashContents(book, later, "server3", "a")
	if !book.holdsContentNamed(later, "a") {
		t.Error("not held again after one further crash")
	}
	book.Forget(later.Add(crashRetention))
	if !book.Empty() {
		t.Error("the record does not expire")
	}
}

// TestFloodOfContentsPushesOutNothingThatIsHeld covers a client that crashes each server with a different content: the
// book stays bounded, and contents that have crashed several servers are not evicted.
func TestFloodOfContentsPushesOutNothingThatIsHeld(t *testing.T) {
	book := NewBook()
	crashInSequence(book, start, 3, "a")
	for number := range 2 * maxRecords {
		crashContents(book, start.Add(time.Second), fmt.Sprint("other", number), fmt.Sprint("f", number))
	}
	if !book.holdsContentNamed(start, "a") {
		t.Error("a held content was evicted")
	}
	if len(book.records) > maxRecords || len(book.digestsAtCrash) > maxRecords+3 {
		t.Errorf("the book has %d contents and %d servers", len(book.records), len(book.digestsAtCrash))
	}
}

// TestClearedContentsAreForgottenSoon guards against records of cleared contents that outlive clearedRetention: while the
// book has any record, the digest of each request is computed.
func TestClearedContentsAreForgottenSoon(t *testing.T) {
	book := NewBook()
	crashContents(book, start, "server", "cleared", "suspect")
	book.Served(start, testDigest("cleared"))
	later := start.Add(clearedRetention)
	book.Forget(later)
	if book.records[testDigest("cleared")] != nil || !book.Suspects(start, testDigest("suspect")) {
		t.Error("the cleared content is still recorded, or the suspected one no longer is")
	}
}

func TestCrashesOfOneContentAreBounded(t *testing.T) {
	book := NewBook()
	now := start
	for number := range 3 * maxCrashesPerRecord {
		now = now.Add(time.Minute)
		crashContents(book, now, fmt.Sprint("server", number), "a")
	}
	if count := len(book.records[testDigest("a")].crashes); count != maxCrashesPerRecord {
		t.Errorf("the record has %d crashes", count)
	}
	if !book.holdsContentNamed(now, "a") {
		t.Error("not held after the last crash")
	}
}

func TestNewestTellsWhatOthersMayLack(t *testing.T) {
	book, joined := NewBook(), NewBook()
	crashInSequence(book, start, 3, "held")
	crashContents(book, start, "server9", "old")
	later := start.Add(time.Minute)
	crashContents(book, later, "server8", "new")
	joined.Learn(later, book.Newest(later, time.Second))
	if !joined.holdsContentNamed(later, "held") || !joined.Suspects(later, testDigest("new")) || joined.Suspects(later, testDigest("old")) {
		t.Error("a daemon that joins does not receive exactly the contents that are held or new")
	}
	if got, want := joined.HeldUntil(later, testDigest("held")), start.Add(HoldSpan); got != want {
		t.Errorf("held until %v, want %v", got, want)
	}
}

// TestOrderOfNewsDoesNotMatter merges the same updates on contents and parts into two books in different orders, some of
// them twice: both books must hold the same contents and parts.
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
				Crashes: []Told{{
					Server: fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "server")),
					Age:    time.Duration(rapid.IntRange(0, 40).Draw(t, "age")) * 50 * time.Millisecond,
					Ran:    time.Duration(rapid.IntRange(0, 10).Draw(t, "ran")) * 50 * time.Millisecond,
					Void:   rapid.IntRange(0, 9).Draw(t, "void") == 0,
				}},
			}}})
		}
		shuffled := rapid.Permutation(slices.Concat(updates, updates[:len(updates)/2])).Draw(t, "order")
		one, two := NewBook(), NewBook()
		for _, update := range updates {
			one.Learn(start, update)
		}
		for _, update := range shuffled {
			two.Learn(start, update)
		}
		for _, name := range contents {
			if one.holdsContentNamed(start, name) != two.holdsContentNamed(start, name) {
				t.Fatalf("%s: %v in one order, %v in another", name, one.holdsContentNamed(start, name), two.holdsContentNamed(start, name))
			}
			if first, second := len(one.Together(testDigest(name))), len(two.Together(testDigest(name))); first != second {
				t.Fatalf("%s: held together with %d others in one order, %d in another", name, first, second)
			}
		}
	})
}

// TestUnconfirmedCrashes covers servers that close new connections. It guards against copies of a content being sent while
// crashes are pending, and against contents being held by unconfirmed crashes.
func TestUnconfirmedCrashes(t *testing.T) {
	victims := func(now time.Time) []Victim { return []Victim{{Content: testDigest("a"), Began: now.Add(-runTime)}} }
	book, now := NewBook(), start
	for number := range crashLimit {
		if until := book.PendingUntil(now, testDigest("a")); !until.IsZero() {
			t.Fatalf("the run on server %d waits until %v", number, until)
		}
		now = now.Add(crashInterval)
		book.UnconfirmedCrash(now, now, fmt.Sprint("server", number), victims(now))
	}
	if book.holdsContentNamed(now, "a") || !book.Suspects(now, testDigest("a")) {
		t.Error("unconfirmed crashes hold the content, or it is not suspected")
	}
	if until := book.PendingUntil(now, testDigest("a")); !until.Equal(start.Add(crashInterval + confirmationTimeout)) {
		t.Errorf("the next run waits until %v", until.Sub(start))
	}
	later := start.Add(crashInterval + confirmationTimeout)
	if until := book.PendingUntil(later, testDigest("a")); !until.IsZero() {
		t.Errorf("the next run waits until %v after the first crash expired unconfirmed", until.Sub(start))
	}
	if far := now.Add(confirmationTimeout); book.Suspects(far, testDigest("a")) {
		t.Error("the content is suspected after all crashes expired unconfirmed")
	}
	for number := range crashLimit {
		at := start.Add(time.Duration(number+1) * crashInterval)
		book.Crashed(now, at, fmt.Sprint("server", number), victims(at))
	}
	if !book.holdsContentNamed(now, "a") {
		t.Error("confirmed crashes do not hold the content")
	}
}

// TestSimultaneousUnconfirmedCrashesCountOnce guards against a content waiting because many servers that ran it close
// new connections at the same time.
func TestSimultaneousUnconfirmedCrashesCountOnce(t *testing.T) {
	book := NewBook()
	for number := range 2 * crashLimit {
		victims := []Victim{{Content: testDigest("a"), Began: start.Add(-runTime)}}
		book.UnconfirmedCrash(start, start, fmt.Sprint("server", number), victims)
	}
	if until := book.PendingUntil(start, testDigest("a")); !until.IsZero() {
		t.Errorf("the next run waits for %v", until.Sub(start))
	}
	if change := book.Served(start, testDigest("a")); change.News.Empty() || book.Suspects(start, testDigest("a")) {
		t.Error("a successful run does not clear the content")
	}
}

// TestDurableEvidence guards against evidence being stored too early, or not being removed when the content is cleared.
func TestDurableEvidence(t *testing.T) {
	book := NewBook()
	if change := crashInSequence(book, start, durableCrashCount-1, "a"); len(change.Durable) > 0 {
		t.Errorf("durable: %v", change.Durable)
	}
	change := crashInSequence(book, start.Add(time.Minute), durableCrashCount, "a")
	if len(change.Durable) != 1 || len(book.Durable()) != 1 {
		t.Errorf("durable: %v, in all %v", change.Durable, book.Durable())
	}
	change = book.Served(start.Add(2*time.Minute), testDigest("a"))
	if len(change.NoLongerDurable) != 1 || len(book.Durable()) != 0 {
		t.Errorf("no longer durable: %v, left %v", change.NoLongerDurable, book.Durable())
	}
}
