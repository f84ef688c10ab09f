package brittle

import (
	"testing"
	"time"
)

// TestWordsOfOthers guards against a daemon that does not take in what others were told of brittle servers, and against old
// words that go round for ever or come back after the end.
func TestWordsOfOthers(t *testing.T) {
	start := time.Unix(1e9, 0)
	b := NewBook()
	said := Word{Service: "s", Named: true, Refusals: 4, Age: time.Second}
	if b.Learn(start, said) != Begins || b.Services() != 1 {
		t.Fatal("the word is not taken in")
	}
	if b.Learn(start, said) != Nothing {
		t.Error("the same word is news again")
	}
	more := said
	more.Refusals, more.Age = 6, 0
	if b.Learn(start, more) != Begins {
		t.Error("another number of refusals is no news")
	}
	if update := b.Newest(start.Add(3 * time.Second)); len(update.Words) != 1 || update.Words[0].Refusals != 6 || update.Words[0].Age != 3*time.Second {
		t.Errorf("told %+v", update)
	}
	// The end, as an answer to this daemon says, of a request that was sent later.
	ended := start.Add(5 * time.Second)
	if b.Hear(ended, "s", ended, false, 0) != Ends {
		t.Fatal("it does not end")
	}
	if b.Learn(ended.Add(time.Second), Word{Service: "s", Named: true, Refusals: 6, Age: 3 * time.Second}) != Nothing {
		t.Error("a word from before the end brings it back")
	}
	if b.Learn(ended.Add(time.Second), Word{Service: "s", Named: true, Refusals: 6}) != Begins {
		t.Error("it cannot begin again")
	}
	if b.Learn(ended.Add(2*time.Second), Word{Service: "s"}) != Ends {
		t.Error("the end that others heard of is not taken in")
	}
	for _, bad := range []Word{{Service: "x", Named: true, Age: -time.Second}, {Service: "x", Named: true, Refusals: -1}, {Service: "x", Named: true, Age: time.Hour}} {
		if b.Learn(ended, bad) != Nothing {
			t.Errorf("taken in: %+v", bad)
		}
	}
	// A word that nobody hears again is forgotten by all.
	b.Learn(start, said)
	b.Forget(start.Add(silentSpan), func(string) bool { return true })
	if b.Services() != 0 {
		t.Error("a word goes round for ever")
	}
}
