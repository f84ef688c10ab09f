package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// named returns a digest that stands for a content in tests.
func named(name string) Digest {
	var digest Digest
	copy(digest[:], name)
	return digest
}

// pace is the time between two crashes in tests, ran how long contents run until then.
const (
	pace = time.Second
	ran  = 100 * time.Millisecond
)

// crashed notes a crash with the contents of the given names, which had run for a moment.
func crashed(book *Book, now time.Time, server string, contents ...string) Change {
	var victims []Victim
	for _, name := range contents {
		victims = append(victims, Victim{Content: named(name), Began: now.Add(-ran)})
	}
	return book.Crashed(now, now, server, victims)
}

// crashedInTurn notes crashes of several servers under one content, the last one now.
func crashedInTurn(book *Book, now time.Time, count int, content string) (last Change) {
	for number := range count {
		last = crashed(book, now.Add(time.Duration(number-count+1)*pace), fmt.Sprint("server", number), content)
	}
	return last
}

func (b *Book) holds(now time.Time, name string) bool { return !b.HeldUntil(now, named(name)).IsZero() }

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name string
		// crashes lists, for each server that crashed, the contents that ran there.
		crashes [][]string
		held    []string
	}{
		{"two crashes are chance", [][]string{{"a"}, {"a"}}, nil},
		{"three are not", [][]string{{"a"}, {"a"}, {"a"}}, []string{"a"}},
		{"who is there at some of them is a bystander", [][]string{{"a", "b"}, {"a", "b"}, {"a", "c"}}, []string{"a"}},
		{"of two that are there at the same three, one more tells", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}}, nil},
		{"it tells", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a"}}, []string{"a"}},
		{"if it does not, both are held", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, []string{"a", "b"}},
		{"two causes at one crash", [][]string{{"a", "b"}, {"a"}, {"a"}, {"b"}, {"b"}}, []string{"a", "b"}},
		{
			"a crowd at one crash, as when a rack fails",
			[][]string{{"a", "b", "c"}, {"d", "e", "f"}, {"a", "e", "g"}}, nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := NewBook()
			for number, contents := range c.crashes {
				crashed(book, start.Add(time.Duration(number)*pace), fmt.Sprint("server", number), contents...)
			}
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				if got := book.holds(start, name); got != slices.Contains(c.held, name) {
					t.Errorf("%s held: %v", name, got)
				}
			}
		})
	}
}

// TestCrashThatIsToldAgainCountsOnce covers one crash that several daemons see and tell, late and more than once.
func TestCrashThatIsToldAgainCountsOnce(t *testing.T) {
	book := NewBook()
	for number := range 6 {
		now := start.Add(time.Duration(number) * pace)
		crashed(book, now, "server", "a")
		crashed(book, now, "another", "a")
	}
	if book.holds(start, "a") {
		t.Error("two crashes, told again and again, count as more")
	}
}

// TestServersThatEndTogetherCountAsOne covers a rack that fails: what many clients send runs on all of its servers,
// and no run of it has had the time to end well since.
func TestServersThatEndTogetherCountAsOne(t *testing.T) {
	book := NewBook()
	for number := range 8 {
		crashed(book, start.Add(time.Duration(number)*ran/16), fmt.Sprint("server", number), "popular")
	}
	if book.holds(start, "popular") {
		t.Error("servers that ended at one moment count one by one")
	}
	crashed(book, start.Add(pace), "later", "popular")
	crashed(book, start.Add(2*pace), "latest", "popular")
	if !book.holds(start.Add(2*pace), "popular") {
		t.Error("not held although two more servers ended, each under a run that began after the one before")
	}
}

func TestRunThatEndsWellClearsAContent(t *testing.T) {
	book, other := NewBook(), NewBook()
	for number := range 2 {
		now := start.Add(time.Duration(number-2) * pace)
		other.Learn(now, crashed(book, now, fmt.Sprint("server", number), "a").News)
	}
	served := other.Served(start, named("a"))
	// The word of it and a third crash come in either order.
	third := crashed(book, start, "server2", "a")
	if len(third.Held) != 1 {
		t.Fatal("not held after three crashes")
	}
	if change := book.Learn(start, served.News); len(change.Released) != 1 || book.holds(start, "a") {
		t.Error("still held although a run ended well")
	}
	other.Learn(start, third.News)
	if other.holds(start, "a") {
		t.Error("held by one crash since a run ended well")
	}
	if book.Suspects(start, named("b")) || other.Served(start, named("b")).News.Items != nil {
		t.Error("something is known of a content that never ran")
	}
}

// TestHoldingEnds covers the time after a content was held: who sends it then loses one more server.
func TestHoldingEnds(t *testing.T) {
	book := NewBook()
	crashedInTurn(book, start, 3, "a")
	if until := book.HeldUntil(start, named("a")); until != start.Add(HoldSpan) {
		t.Errorf("held until %v", until)
	}
	later := start.Add(HoldSpan)
	if book.holds(later, "a") {
		t.Error("held for ever")
	}
	crashed(book, later, "server3", "a")
	if !book.holds(later, "a") {
		t.Error("not held again after one crash more")
	}
	book.Forget(later.Add(rememberSpan))
	if !book.Empty() {
		t.Error("remembered for ever")
	}
}

// TestFloodOfContentsPushesOutNothingThatIsHeld covers a client that crashes a server with a content of
// its own each time: the book stays bounded, and what has crashed several servers stays in it.
func TestFloodOfContentsPushesOutNothingThatIsHeld(t *testing.T) {
	book := NewBook()
	crashedInTurn(book, start, 3, "a")
	for number := range 2 * mostContents {
		crashed(book, start.Add(time.Second), fmt.Sprint("other", number), fmt.Sprint("f", number))
	}
	if !book.holds(start, "a") {
		t.Error("pushed out")
	}
	if len(book.records) > mostContents || len(book.victims) > mostContents+3 {
		t.Errorf("%d contents and %d servers are remembered", len(book.records), len(book.victims))
	}
}

// TestClearedContentsAreForgottenSoon covers what a crash leaves behind: while anything is remembered, each
// request has its digest computed.
func TestClearedContentsAreForgottenSoon(t *testing.T) {
	book := NewBook()
	crashed(book, start, "server", "cleared", "suspect")
	book.Served(start, named("cleared"))
	later := start.Add(clearedSpan)
	book.Forget(later)
	if book.records[named("cleared")] != nil || !book.Suspects(start, named("suspect")) {
		t.Error("remembered: what was cleared, or not: what was not")
	}
}

func TestCrashesOfOneContentAreBounded(t *testing.T) {
	book := NewBook()
	now := start
	for number := range 3 * mostCrashes {
		now = now.Add(time.Minute)
		crashed(book, now, fmt.Sprint("server", number), "a")
	}
	if count := len(book.records[named("a")].crashes); count != mostCrashes {
		t.Errorf("%d crashes are remembered", count)
	}
	if !book.holds(now, "a") {
		t.Error("not held after the last crash")
	}
}

func TestNewestTellsWhatOthersMayLack(t *testing.T) {
	book, joined := NewBook(), NewBook()
	crashedInTurn(book, start, 3, "held")
	crashed(book, start, "server9", "old")
	later := start.Add(time.Minute)
	crashed(book, later, "server8", "new")
	joined.Learn(later, book.Newest(later, time.Second))
	if !joined.holds(later, "held") || !joined.Suspects(later, named("new")) || joined.Suspects(later, named("old")) {
		t.Error("a daemon that joins hears of something else than what is held or new")
	}
	if got, want := joined.HeldUntil(later, named("held")), start.Add(HoldSpan); got != want {
		t.Errorf("held until %v, want %v", got, want)
	}
}

// TestOrderOfNewsDoesNotMatter gives books the same news of contents and parts in other orders, some of it twice: they
// come to the same verdicts.
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
				Digest: named(name), Kind: kind,
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
			if one.holds(start, name) != two.holds(start, name) {
				t.Fatalf("%s: %v in one order, %v in another", name, one.holds(start, name), two.holds(start, name))
			}
			if first, second := len(one.Together(named(name))), len(two.Together(named(name))); first != second {
				t.Fatalf("%s: held together with %d others in one order, %d in another", name, first, second)
			}
		}
	})
}

// TestUnconfirmedCrashes covers servers that close new connections. It guards against copies being sent while crashes
// are pending, and against contents being held by unconfirmed crashes.
func TestUnconfirmedCrashes(t *testing.T) {
	victims := func(now time.Time) []Victim { return []Victim{{Content: named("a"), Began: now.Add(-ran)}} }
	book, now := NewBook(), start
	for number := range crashLimit {
		if until := book.PendingUntil(now, named("a")); !until.IsZero() {
			t.Fatalf("the run on server %d waits until %v", number, until)
		}
		now = now.Add(pace)
		book.UnconfirmedCrash(now, now, fmt.Sprint("server", number), victims(now))
	}
	if book.holds(now, "a") || !book.Suspects(now, named("a")) {
		t.Error("unconfirmed crashes hold the content, or it is not suspected")
	}
	if until := book.PendingUntil(now, named("a")); !until.Equal(start.Add(pace + confirmSpan)) {
		t.Errorf("the next run waits until %v", until.Sub(start))
	}
	later := start.Add(pace + confirmSpan)
	if until := book.PendingUntil(later, named("a")); !until.IsZero() {
		t.Errorf("the next run waits until %v after the first crash expired unconfirmed", until.Sub(start))
	}
	if far := now.Add(confirmSpan); book.Suspects(far, named("a")) {
		t.Error("the content is suspected after all crashes expired unconfirmed")
	}
	for number := range crashLimit {
		at := start.Add(time.Duration(number+1) * pace)
		book.Crashed(now, at, fmt.Sprint("server", number), victims(at))
	}
	if !book.holds(now, "a") {
		t.Error("confirmed crashes do not hold the content")
	}
}

// TestSimultaneousUnconfirmedCrashesCountOnce guards against a content waiting because many servers that ran it close
// new connections at the same time.
func TestSimultaneousUnconfirmedCrashesCountOnce(t *testing.T) {
	book := NewBook()
	for number := range 2 * crashLimit {
		victims := []Victim{{Content: named("a"), Began: start.Add(-ran)}}
		book.UnconfirmedCrash(start, start, fmt.Sprint("server", number), victims)
	}
	if until := book.PendingUntil(start, named("a")); !until.IsZero() {
		t.Errorf("the next run waits for %v", until.Sub(start))
	}
	if change := book.Served(start, named("a")); change.News.Empty() || book.Suspects(start, named("a")) {
		t.Error("a run that ended well does not clear the content")
	}
}

// TestDurableEvidence guards against evidence being stored too early, or not being removed when the content is cleared.
func TestDurableEvidence(t *testing.T) {
	book := NewBook()
	if change := crashedInTurn(book, start, durableCrashes-1, "a"); len(change.Durable) > 0 {
		t.Errorf("kept: %v", change.Durable)
	}
	change := crashedInTurn(book, start.Add(time.Minute), durableCrashes, "a")
	if len(change.Durable) != 1 || len(book.Durable()) != 1 {
		t.Errorf("kept: %v, in all %v", change.Durable, book.Durable())
	}
	change = book.Served(start.Add(2*time.Minute), named("a"))
	if len(change.NoLongerDurable) != 1 || len(book.Durable()) != 0 {
		t.Errorf("dropped: %v, left %v", change.NoLongerDurable, book.Durable())
	}
}
