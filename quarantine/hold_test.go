package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testRequest is a request: its content and the shared parts of its prompt.
type testRequest struct {
	content string
	parts   []string
}

func (r testRequest) attributes() *Attributes {
	attributes := &Attributes{Content: testDigest(r.content)}
	for _, part := range r.parts {
		attributes.Parts = append(attributes.Parts, Part{ID: part, Digest: testDigest(part)})
	}
	return attributes
}

// crashRequests records a crash of a server that had been running requests for runTime.
func crashRequests(tracker *Tracker, now time.Time, server string, requests ...testRequest) Change {
	var victims []InterruptedRequest
	for _, request := range requests {
		attributes := request.attributes()
		victims = append(victims, InterruptedRequest{Content: attributes.Content, Parts: attributes.Parts, Began: now.Add(-runTime)})
	}
	return tracker.RecordCrash(now, now, server, victims)
}

func (t *Tracker) holdsRequest(now time.Time, request testRequest) bool {
	until, _ := t.RequestHeldUntil(now, request.attributes())
	return !until.IsZero()
}

// TestVerdictsOnParts covers parts that are common to requests that crash their servers. Each crash lists the requests
// that were running there; a part with a successful run in between is not the cause.
func TestVerdictsOnParts(t *testing.T) {
	crashing := func(number int, more ...string) testRequest {
		return testRequest{fmt.Sprint("deadly", number), append([]string{"first", "dead"}, more...)}
	}
	harmless := func(number int, more ...string) testRequest {
		return testRequest{fmt.Sprint("sound", number), append([]string{"first"}, more...)}
	}
	same := testRequest{"same", []string{"first", "rare"}}
	cases := []struct {
		name    string
		crashes [][]testRequest
		// served are the parts that have a successful run after each crash.
		served []string
		held   []testRequest
		free   []testRequest
	}{
		{
			"three crashes", [][]testRequest{{crashing(1), harmless(1)}, {crashing(2)}, {crashing(3), harmless(2)}}, []string{"first"},
			[]testRequest{crashing(4), {"other", []string{"x", "dead", "y"}}}, []testRequest{harmless(4), {"lone", nil}},
		},
		{"two crashes do not hold", [][]testRequest{{crashing(1)}, {crashing(2)}}, []string{"first"}, nil, []testRequest{crashing(3)}},
		{
			"a part that ran beside some of the crashes", [][]testRequest{{crashing(1), harmless(1, "near")}, {crashing(2), harmless(2, "near")}, {crashing(3), harmless(3, "near")}, {crashing(4)}},
			[]string{"first"}, []testRequest{crashing(5)}, []testRequest{harmless(4, "near")},
		},
		{
			"parts that always occur together hold only requests with all of them",
			[][]testRequest{{crashing(1, "also")}, {crashing(2, "also")}, {crashing(3, "also")}}, []string{"first"},
			[]testRequest{crashing(4, "also")}, []testRequest{crashing(5), harmless(1, "also")},
		},
		{
			"one further crash without one of the parts identifies the cause",
			[][]testRequest{{crashing(1, "also")}, {crashing(2, "also")}, {crashing(3, "also")}, {crashing(4)}}, []string{"first"},
			[]testRequest{crashing(5), crashing(6, "also")}, []testRequest{harmless(1, "also")},
		},
		{
			"no part has had a successful run yet", [][]testRequest{{crashing(1)}, {crashing(2)}, {crashing(3)}}, nil,
			[]testRequest{crashing(4)}, []testRequest{harmless(1), harmless(2, "x")},
		},
		{
			"a content at all crashes is the more specific cause", [][]testRequest{{same}, {same}, {same}}, []string{"first"},
			[]testRequest{same}, []testRequest{harmless(1, "rare")},
		},
		{
			"a first part", [][]testRequest{{{"1", []string{"dead", "s"}}}, {{"2", []string{"dead", "t"}}}, {{"3", []string{"dead", "s"}}}}, nil,
			[]testRequest{{"4", []string{"dead", "u"}}}, []testRequest{harmless(1, "s")},
		},
		{
			"two causes at once",
			[][]testRequest{{crashing(1)}, {{"a", []string{"first", "worse"}}}, {crashing(2)}, {{"b", []string{"first", "worse"}}}, {crashing(3)}, {{"c", []string{"first", "worse"}}}},
			[]string{"first"}, []testRequest{crashing(4), {"d", []string{"first", "worse"}}}, []testRequest{harmless(1)},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			now := start
			for number, requests := range c.crashes {
				crashRequests(tracker, now, fmt.Sprint("server", number), requests...)
				for _, served := range c.served {
					tracker.RecordSuccess(now, testDigest(served))
				}
				now = now.Add(crashInterval)
			}
			for _, request := range c.held {
				if !tracker.holdsRequest(now, request) {
					t.Errorf("%v is not held", request)
				}
			}
			for _, request := range c.free {
				if tracker.holdsRequest(now, request) {
					t.Errorf("%v is held", request)
				}
			}
		})
	}
}

// TestPartThatEndsWellIsReleased covers parts that are held together: a successful request that has only one of them
// clears that one, and the other one is then held by itself.
func TestPartThatEndsWellIsReleased(t *testing.T) {
	tracker := NewTracker()
	now := start
	for number := range partCrashLimit {
		now = start.Add(time.Duration(number) * crashInterval)
		crashRequests(tracker, now, fmt.Sprint("server", number), testRequest{fmt.Sprint(number), []string{"dead", "also"}})
	}
	if together := tracker.HeldWith(testDigest("dead")); !slices.Equal(together, []Digest{testDigest("also")}) {
		t.Errorf("held together with %v", together)
	}
	change := tracker.RecordSuccess(now, testDigest("also"))
	if !slices.Equal(change.Released, []Digest{testDigest("also")}) {
		t.Errorf("released: %v", change.Released)
	}
	if held := tracker.Held(now, KindPart); !slices.Equal(held, []Digest{testDigest("dead")}) {
		t.Errorf("held: %v", held)
	}
	if held := tracker.Held(now, KindContent); len(held) > 0 {
		t.Errorf("contents held: %v", held)
	}
}

// TestSuspectsOfARequest covers the order in which turns are taken: the content or part with the most crashes comes
// first.
func TestSuspectsOfARequest(t *testing.T) {
	tracker := NewTracker()
	request := testRequest{"content", []string{"first", "dead", "once"}}
	crashRequests(tracker, start, "one", testRequest{"other", []string{"first", "dead"}})
	crashRequests(tracker, start.Add(crashInterval), "two", request)
	tracker.RecordSuccess(start.Add(crashInterval), testDigest("first"))
	now := start.Add(2 * crashInterval)
	if got, want := tracker.SuspectsOf(now, request.attributes()), []Digest{testDigest("dead"), testDigest("content"), testDigest("once")}; !slices.Equal(got, want) {
		t.Errorf("suspects %v, want %v", got, want)
	}
	if pending := tracker.RequestPendingUntil(now, request.attributes()); !pending.IsZero() {
		t.Errorf("pending until %v", pending)
	}
}

// TestUnconfirmedCrashesKeepPartsWaiting covers servers behind relays: requests with a part wait while the confirmation
// of a pending crash would hold the part.
func TestUnconfirmedCrashesKeepPartsWaiting(t *testing.T) {
	tracker := NewTracker()
	for number := range partCrashLimit {
		now := start.Add(time.Duration(number) * crashInterval)
		attributes := testRequest{fmt.Sprint(number), []string{"dead"}}.attributes()
		tracker.RecordUnconfirmedCrash(now, now, fmt.Sprint(number), []InterruptedRequest{{Content: attributes.Content, Parts: attributes.Parts, Began: now.Add(-runTime)}})
	}
	now := start.Add(partCrashLimit * crashInterval)
	request := testRequest{"new", []string{"dead"}}
	if until := tracker.RequestPendingUntil(now, request.attributes()); !until.After(now) {
		t.Errorf("pending until %v", until)
	}
	if tracker.holdsRequest(now, request) {
		t.Error("held by unconfirmed crashes")
	}
}

// TestLongPromptsDoNotFloodNews covers a crash under many requests with long prompts: the number of reported parts is
// bounded, and the parts of the request that began last, the most likely cause, are reported.
func TestLongPromptsDoNotFloodNews(t *testing.T) {
	var victims []InterruptedRequest
	for number := range 64 {
		request := testRequest{content: fmt.Sprint("content", number)}
		for part := range 32 {
			request.parts = append(request.parts, fmt.Sprint(number, "/", part))
		}
		attributes := request.attributes()
		victims = append(victims, InterruptedRequest{Content: attributes.Content, Parts: attributes.Parts, Began: start.Add(time.Duration(number-64) * time.Millisecond)})
	}
	change := NewTracker().RecordCrash(start, start, "server", victims)
	reported := 0
	ofLast := 0
	for _, item := range change.Added.Items {
		if item.Kind == KindPart {
			reported++
		}
		for _, part := range victims[63].Parts {
			if item.Digest == part.Digest {
				ofLast++
			}
		}
	}
	if reported != maxPartsPerCrash || ofLast != 32 {
		t.Errorf("%d parts are reported, %d of them of the last request", reported, ofLast)
	}
}

// TestFloodOfPartsPushesOutNothingThatIsHeld covers many parts that occur only once, as the turns of sessions do: they
// must not evict a held part.
func TestFloodOfPartsPushesOutNothingThatIsHeld(t *testing.T) {
	tracker := NewTracker()
	now := start
	for number := range partCrashLimit {
		now = now.Add(crashInterval)
		crashRequests(tracker, now, fmt.Sprint("server", number), testRequest{fmt.Sprint("d", number), []string{"dead"}})
	}
	for number := range maxRecords {
		now = now.Add(time.Millisecond)
		crashRequests(tracker, now, fmt.Sprint("flood", number), testRequest{fmt.Sprint("c", number), []string{fmt.Sprint("p", number)}})
	}
	if !tracker.holdsRequest(now, testRequest{"new", []string{"dead"}}) {
		t.Error("a flood of parts has evicted the held part")
	}
	if len(tracker.records) > maxRecords {
		t.Errorf("the book has %d contents and parts", len(tracker.records))
	}
}

// TestLateNewsOfACrashDoesNotUndoAGoodEnd covers crashes that are reported only after a later successful run, as
// happens while many servers crash at once: they do not count.
func TestLateNewsOfACrashDoesNotUndoAGoodEnd(t *testing.T) {
	tracker := NewTracker()
	popular := testRequest{"one", []string{"popular"}}
	crashRequests(tracker, start, "known", popular)
	tracker.RecordSuccess(start.Add(time.Second), testDigest("popular"))
	for number := range 2 * maxCrashesPerRecord {
		at := start.Add(time.Duration(number) * time.Millisecond)
		update := Update{Items: []Item{{Digest: testDigest("popular"), Kind: KindPart, Crashes: []CrashReport{{Server: fmt.Sprint(number), Age: start.Add(2 * time.Second).Sub(at)}}}}}
		tracker.Merge(start.Add(2*time.Second), update)
	}
	if now := start.Add(2 * time.Second); tracker.IsSuspected(now, testDigest("popular")) {
		t.Error("suspected because of crashes before its successful run")
	}
}

// TestDoubtfulPartsAreTriedAgainSoon covers a part that was in a successful answer and then at several crashes in a
// row: nothing can clear it while it is held, so the first holds are short.
func TestDoubtfulPartsAreTriedAgainSoon(t *testing.T) {
	tracker := NewTracker()
	now := start
	for number := range partCrashLimit + 1 {
		now = now.Add(crashInterval)
		crashRequests(tracker, now, fmt.Sprint(number), testRequest{fmt.Sprint(number), []string{"doubtful"}})
		if number == 0 {
			tracker.RecordSuccess(now.Add(crashInterval/2), testDigest("doubtful"))
		}
	}
	request := testRequest{"new", []string{"doubtful"}}
	span := doubtfulHoldDuration
	for round := range 3 {
		if !tracker.holdsRequest(now.Add(span-1), request) || tracker.holdsRequest(now.Add(span), request) {
			t.Errorf("round %d: not held for %v", round, span)
		}
		now = now.Add(span)
		if !tracker.IsSuspected(now, testDigest("doubtful")) {
			t.Errorf("round %d: not suspected after the hold, so it runs without turns", round)
		}
		span *= doubtfulHoldFactor
		now = now.Add(crashInterval)
		crashRequests(tracker, now, fmt.Sprint("again", round), testRequest{fmt.Sprint("again", round), []string{"doubtful"}})
	}
}

// TestVerdictOutlastsNewsOfForgottenCrashes covers a part under which more servers crashed at once than its record
// keeps. Other daemons report the evicted crashes repeatedly, with a slightly later time in each round: the part must
// stay held.
func TestVerdictOutlastsNewsOfForgottenCrashes(t *testing.T) {
	tracker := NewTracker()
	for number := range 2 * maxCrashesPerRecord {
		crashRequests(tracker, start, fmt.Sprint("burst", number), testRequest{fmt.Sprint(number), []string{"dead"}})
	}
	now := start.Add(crashInterval)
	for number := range partCrashLimit {
		now = now.Add(crashInterval)
		crashRequests(tracker, now, fmt.Sprint("after", number), testRequest{fmt.Sprint("after", number), []string{"dead"}})
	}
	for round := range 100 {
		now = now.Add(crashInterval / 10)
		for number := range 2 * maxCrashesPerRecord {
			delayed := time.Duration(round) * 50 * time.Millisecond
			report := CrashReport{Server: fmt.Sprint("burst", number), Age: now.Sub(start) - delayed, Ran: runTime}
			tracker.Merge(now, Update{Items: []Item{{Digest: testDigest("dead"), Kind: KindPart, Crashes: []CrashReport{report}}}})
		}
		if !tracker.holdsRequest(now, testRequest{"new", []string{"dead"}}) {
			t.Fatalf("released in round %d by reports of evicted crashes", round)
		}
	}
	if len(tracker.records[testDigest("dead")].crashes) > maxCrashesPerRecord {
		t.Error("the record has more crashes than the limit")
	}
}

// TestVerdictOfOthersMakesUpForACrash covers a daemon that has received one crash less than others, or two of them in
// another order: it holds the part that they hold, unless there was a successful answer since.
func TestVerdictOfOthersMakesUpForACrash(t *testing.T) {
	for _, cleared := range []bool{false, true} {
		sender, receiver := NewTracker(), NewTracker()
		for number := range partCrashLimit {
			now := start.Add(time.Duration(number) * crashInterval)
			change := crashRequests(sender, now, fmt.Sprint(number), testRequest{fmt.Sprint(number), []string{"dead"}})
			if number == 1 {
				receiver.Merge(now, change.Added)
			}
		}
		now := start.Add(partCrashLimit * crashInterval)
		item := sender.Evidence(now, testDigest("dead"))
		item.Crashes = item.Crashes[:partCrashLimit-1]
		if cleared {
			receiver.RecordSuccess(now, testDigest("dead"))
		}
		receiver.Merge(now, Update{Items: []Item{item}})
		if held := receiver.holdsRequest(now, testRequest{"new", []string{"dead"}}); held == cleared {
			t.Errorf("held: %v, cleared: %v", held, cleared)
		}
	}
}
