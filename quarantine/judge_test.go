package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ranThere is a request in tests: its content and the shared parts of its prompt.
type ranThere struct {
	content string
	parts   []string
}

func (r ranThere) attributes() *Attributes {
	attributes := &Attributes{Content: named(r.content)}
	for _, part := range r.parts {
		attributes.Parts = append(attributes.Parts, Part{ID: part, Digest: named(part)})
	}
	return attributes
}

// crashedWith notes a crash with requests that had run for a moment.
func crashedWith(book *Book, now time.Time, server string, requests ...ranThere) Change {
	var victims []Victim
	for _, request := range requests {
		attributes := request.attributes()
		victims = append(victims, Victim{Content: attributes.Content, Parts: attributes.Parts, Began: now.Add(-ran)})
	}
	return book.Crashed(now, now, server, victims)
}

func (b *Book) holdsRequest(now time.Time, request ranThere) bool {
	until, _ := b.RequestHeldUntil(now, request.attributes())
	return !until.IsZero()
}

// TestVerdictsOnParts covers what requests have in common that crash their servers. Each crash lists the requests that
// ran there; a part that ended well in between is not the cause.
func TestVerdictsOnParts(t *testing.T) {
	deadly := func(number int, more ...string) ranThere {
		return ranThere{fmt.Sprint("deadly", number), append([]string{"first", "dead"}, more...)}
	}
	sound := func(number int, more ...string) ranThere {
		return ranThere{fmt.Sprint("sound", number), append([]string{"first"}, more...)}
	}
	same := ranThere{"same", []string{"first", "rare"}}
	cases := []struct {
		name    string
		crashes [][]ranThere
		// good are the parts that end well after each crash.
		good []string
		held []ranThere
		free []ranThere
	}{
		{
			"three crashes", [][]ranThere{{deadly(1), sound(1)}, {deadly(2)}, {deadly(3), sound(2)}}, []string{"first"},
			[]ranThere{deadly(4), {"other", []string{"x", "dead", "y"}}}, []ranThere{sound(4), {"lone", nil}},
		},
		{"two crashes are chance", [][]ranThere{{deadly(1)}, {deadly(2)}}, []string{"first"}, nil, []ranThere{deadly(3)}},
		{
			"a neighbour at some of them", [][]ranThere{{deadly(1), sound(1, "near")}, {deadly(2), sound(2, "near")}, {deadly(3), sound(3, "near")}, {deadly(4)}},
			[]string{"first"}, []ranThere{deadly(5)}, []ranThere{sound(4, "near")},
		},
		{
			"parts that are always together hold only requests with all of them",
			[][]ranThere{{deadly(1, "also")}, {deadly(2, "also")}, {deadly(3, "also")}}, []string{"first"},
			[]ranThere{deadly(4, "also")}, []ranThere{deadly(5), sound(1, "also")},
		},
		{
			"one crash more without one of them tells which it is",
			[][]ranThere{{deadly(1, "also")}, {deadly(2, "also")}, {deadly(3, "also")}, {deadly(4)}}, []string{"first"},
			[]ranThere{deadly(5), deadly(6, "also")}, []ranThere{sound(1, "also")},
		},
		{
			"nothing has ended well yet", [][]ranThere{{deadly(1)}, {deadly(2)}, {deadly(3)}}, nil,
			[]ranThere{deadly(4)}, []ranThere{sound(1), sound(2, "x")},
		},
		{
			"a content that is always the same is the narrower cause", [][]ranThere{{same}, {same}, {same}}, []string{"first"},
			[]ranThere{same}, []ranThere{sound(1, "rare")},
		},
		{
			"the first part", [][]ranThere{{{"1", []string{"dead", "s"}}}, {{"2", []string{"dead", "t"}}}, {{"3", []string{"dead", "s"}}}}, nil,
			[]ranThere{{"4", []string{"dead", "u"}}}, []ranThere{sound(1, "s")},
		},
		{
			"two at once",
			[][]ranThere{{deadly(1)}, {{"a", []string{"first", "worse"}}}, {deadly(2)}, {{"b", []string{"first", "worse"}}}, {deadly(3)}, {{"c", []string{"first", "worse"}}}},
			[]string{"first"}, []ranThere{deadly(4), {"d", []string{"first", "worse"}}}, []ranThere{sound(1)},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := NewBook()
			now := start
			for number, requests := range c.crashes {
				crashedWith(book, now, fmt.Sprint("server", number), requests...)
				for _, good := range c.good {
					book.Served(now, named(good))
				}
				now = now.Add(pace)
			}
			for _, request := range c.held {
				if !book.holdsRequest(now, request) {
					t.Errorf("%v is not held", request)
				}
			}
			for _, request := range c.free {
				if book.holdsRequest(now, request) {
					t.Errorf("%v is held", request)
				}
			}
		})
	}
}

// TestPartThatEndsWellIsReleased covers parts that are held together: a request that has one of them alone and ends
// well clears that one, and the other one is held by itself.
func TestPartThatEndsWellIsReleased(t *testing.T) {
	book := NewBook()
	now := start
	for number := range partCrashLimit {
		now = start.Add(time.Duration(number) * pace)
		crashedWith(book, now, fmt.Sprint("server", number), ranThere{fmt.Sprint(number), []string{"dead", "also"}})
	}
	if together := book.Together(named("dead")); !slices.Equal(together, []Digest{named("also")}) {
		t.Errorf("held together with %v", together)
	}
	change := book.Served(now, named("also"))
	if !slices.Equal(change.Released, []Digest{named("also")}) {
		t.Errorf("released: %v", change.Released)
	}
	if held := book.Held(now, KindPart); !slices.Equal(held, []Digest{named("dead")}) {
		t.Errorf("held: %v", held)
	}
	if held := book.Held(now, KindContent); len(held) > 0 {
		t.Errorf("contents held: %v", held)
	}
}

// TestSuspectsOfARequest covers the order in which turns are taken: what most crashes speak against comes first.
func TestSuspectsOfARequest(t *testing.T) {
	book := NewBook()
	request := ranThere{"content", []string{"first", "dead", "once"}}
	crashedWith(book, start, "one", ranThere{"other", []string{"first", "dead"}})
	crashedWith(book, start.Add(pace), "two", request)
	book.Served(start.Add(pace), named("first"))
	now := start.Add(2 * pace)
	if got, want := book.SuspectsOf(now, request.attributes()), []Digest{named("dead"), named("content"), named("once")}; !slices.Equal(got, want) {
		t.Errorf("suspects %v, want %v", got, want)
	}
	if pending := book.RequestPendingUntil(now, request.attributes()); !pending.IsZero() {
		t.Errorf("pending until %v", pending)
	}
}

// TestUnconfirmedCrashesKeepPartsWaiting covers servers behind relays: requests with a part wait while one more crash,
// which is not confirmed yet, would hold it.
func TestUnconfirmedCrashesKeepPartsWaiting(t *testing.T) {
	book := NewBook()
	for number := range partCrashLimit {
		now := start.Add(time.Duration(number) * pace)
		attributes := ranThere{fmt.Sprint(number), []string{"dead"}}.attributes()
		book.UnconfirmedCrash(now, now, fmt.Sprint(number), []Victim{{Content: attributes.Content, Parts: attributes.Parts, Began: now.Add(-ran)}})
	}
	now := start.Add(partCrashLimit * pace)
	request := ranThere{"new", []string{"dead"}}
	if until := book.RequestPendingUntil(now, request.attributes()); !until.After(now) {
		t.Errorf("pending until %v", until)
	}
	if book.holdsRequest(now, request) {
		t.Error("held by crashes that nobody has confirmed")
	}
}

// TestLongPromptsDoNotFloodNews covers a crash under many requests with long prompts: what is told of it is bounded,
// and the parts of the request that began last, the most likely cause, are told.
func TestLongPromptsDoNotFloodNews(t *testing.T) {
	var victims []Victim
	for number := range 64 {
		request := ranThere{content: fmt.Sprint("content", number)}
		for part := range 32 {
			request.parts = append(request.parts, fmt.Sprint(number, "/", part))
		}
		attributes := request.attributes()
		victims = append(victims, Victim{Content: attributes.Content, Parts: attributes.Parts, Began: start.Add(time.Duration(number-64) * time.Millisecond)})
	}
	change := NewBook().Crashed(start, start, "server", victims)
	told := 0
	lastOnes := 0
	for _, item := range change.News.Items {
		if item.Kind == KindPart {
			told++
		}
		for _, part := range victims[63].Parts {
			if item.Digest == part.Digest {
				lastOnes++
			}
		}
	}
	if told != mostTellingParts || lastOnes != 32 {
		t.Errorf("%d parts are told, %d of them of the last request", told, lastOnes)
	}
}

// TestFloodOfPartsPushesOutNothingThatIsHeld covers parts that never come again, as the turns of sessions are.
func TestFloodOfPartsPushesOutNothingThatIsHeld(t *testing.T) {
	book := NewBook()
	now := start
	for number := range partCrashLimit {
		now = now.Add(pace)
		crashedWith(book, now, fmt.Sprint("server", number), ranThere{fmt.Sprint("d", number), []string{"dead"}})
	}
	for number := range mostContents {
		now = now.Add(time.Millisecond)
		crashedWith(book, now, fmt.Sprint("flood", number), ranThere{fmt.Sprint("c", number), []string{fmt.Sprint("p", number)}})
	}
	if !book.holdsRequest(now, ranThere{"new", []string{"dead"}}) {
		t.Error("a flood of parts has pushed out the one that is held")
	}
	if len(book.records) > mostContents {
		t.Errorf("%d contents and parts are remembered", len(book.records))
	}
}

// TestLateNewsOfACrashDoesNotUndoAGoodEnd covers crashes that are told after a run has ended well that began before
// them, as happens while many servers crash at once: they do not count.
func TestLateNewsOfACrashDoesNotUndoAGoodEnd(t *testing.T) {
	book := NewBook()
	popular := ranThere{"one", []string{"popular"}}
	crashedWith(book, start, "known", popular)
	book.Served(start.Add(time.Second), named("popular"))
	for number := range 2 * mostCrashes {
		at := start.Add(time.Duration(number) * time.Millisecond)
		told := Update{Items: []Item{{Digest: named("popular"), Kind: KindPart, Crashes: []Told{{Server: fmt.Sprint(number), Age: start.Add(2 * time.Second).Sub(at)}}}}}
		book.Learn(start.Add(2*time.Second), told)
	}
	if now := start.Add(2 * time.Second); book.Suspects(now, named("popular")) {
		t.Error("suspected by crashes before its good end")
	}
}

// TestDoubtfulPartsAreTriedAgainSoon covers a part that was in good answers and then at several crashes in a row: nothing
// can clear it while it is held, so it is not held for long.
func TestDoubtfulPartsAreTriedAgainSoon(t *testing.T) {
	book := NewBook()
	now := start
	for number := range partCrashLimit + 1 {
		now = now.Add(pace)
		crashedWith(book, now, fmt.Sprint(number), ranThere{fmt.Sprint(number), []string{"doubtful"}})
		if number == 0 {
			book.Served(now.Add(pace/2), named("doubtful"))
		}
	}
	request := ranThere{"new", []string{"doubtful"}}
	span := doubtfulHoldSpan
	for round := range 3 {
		if !book.holdsRequest(now.Add(span-1), request) || book.holdsRequest(now.Add(span), request) {
			t.Errorf("round %d: not held for %v", round, span)
		}
		now = now.Add(span)
		if !book.Suspects(now, named("doubtful")) {
			t.Errorf("round %d: runs without turns afterwards", round)
		}
		span *= doubtfulGrowth
		now = now.Add(pace)
		crashedWith(book, now, fmt.Sprint("again", round), ranThere{fmt.Sprint("again", round), []string{"doubtful"}})
	}
}

// TestVerdictOutlastsNewsOfForgottenCrashes covers a part under which more servers crashed at once than are remembered.
// Others tell of those that were dropped again and again, a little later each time: the verdict must stand.
func TestVerdictOutlastsNewsOfForgottenCrashes(t *testing.T) {
	book := NewBook()
	for number := range 2 * mostCrashes {
		crashedWith(book, start, fmt.Sprint("burst", number), ranThere{fmt.Sprint(number), []string{"dead"}})
	}
	now := start.Add(pace)
	for number := range partCrashLimit {
		now = now.Add(pace)
		crashedWith(book, now, fmt.Sprint("after", number), ranThere{fmt.Sprint("after", number), []string{"dead"}})
	}
	for round := range 100 {
		now = now.Add(pace / 10)
		for number := range 2 * mostCrashes {
			delayed := time.Duration(round) * 50 * time.Millisecond
			told := Told{Server: fmt.Sprint("burst", number), Age: now.Sub(start) - delayed, Ran: ran}
			book.Learn(now, Update{Items: []Item{{Digest: named("dead"), Kind: KindPart, Crashes: []Told{told}}}})
		}
		if !book.holdsRequest(now, ranThere{"new", []string{"dead"}}) {
			t.Fatalf("released by round %d of news of crashes that were dropped", round)
		}
	}
	if len(book.records[named("dead")].crashes) > mostCrashes {
		t.Error("more crashes are remembered than may be")
	}
}

// TestVerdictOfOthersMakesUpForACrash covers a daemon that has heard of one crash less than others, or of two of them in
// another order: it holds the part that they hold, unless an answer has ended well since.
func TestVerdictOfOthersMakesUpForACrash(t *testing.T) {
	for _, cleared := range []bool{false, true} {
		teller, hearer := NewBook(), NewBook()
		for number := range partCrashLimit {
			now := start.Add(time.Duration(number) * pace)
			change := crashedWith(teller, now, fmt.Sprint(number), ranThere{fmt.Sprint(number), []string{"dead"}})
			if number == 1 {
				hearer.Learn(now, change.News)
			}
		}
		now := start.Add(partCrashLimit * pace)
		told := teller.Evidence(now, named("dead"))
		told.Crashes = told.Crashes[:partCrashLimit-1]
		if cleared {
			hearer.Served(now, named("dead"))
		}
		hearer.Learn(now, Update{Items: []Item{told}})
		if held := hearer.holdsRequest(now, ranThere{"new", []string{"dead"}}); held == cleared {
			t.Errorf("held: %v, cleared: %v", held, cleared)
		}
	}
}
