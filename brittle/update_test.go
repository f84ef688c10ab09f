package brittle

import (
	"testing"
	"time"
)

// TestWordsOfOthers guards against a daemon that does not merge reports of others on brittle services, and against old
// reports that circulate forever or take effect again after the end.
func TestWordsOfOthers(t *testing.T) {
	start := time.Unix(1e9, 0)
	b := NewBook()
	report := Word{Service: "s", Named: true, Refusals: 4, Age: time.Second}
	if b.Learn(start, report) != Begins || b.Services() != 1 {
		t.Fatal("the report is not merged")
	}
	if b.Learn(start, report) != Nothing {
		t.Error("the same report is new again")
	}
	changed := report
	changed.Refusals, changed.Age = 6, 0
	if b.Learn(start, changed) != Begins {
		t.Error("another number of refusals is ignored")
	}
	if update := b.Newest(start.Add(3 * time.Second)); len(update.Words) != 1 || update.Words[0].Refusals != 6 || update.Words[0].Age != 3*time.Second {
		t.Errorf("snapshot %+v", update)
	}
	// An answer to a later request of this daemon reports the end.
	ended := start.Add(5 * time.Second)
	if b.Hear(ended, "s", ended, false, 0) != Ends {
		t.Fatal("the service is still brittle")
	}
	if b.Learn(ended.Add(time.Second), Word{Service: "s", Named: true, Refusals: 6, Age: 3 * time.Second}) != Nothing {
		t.Error("a report from before the end makes the service brittle again")
	}
	if b.Learn(ended.Add(time.Second), Word{Service: "s", Named: true, Refusals: 6}) != Begins {
		t.Error("a later report does not make the service brittle again")
	}
	if b.Learn(ended.Add(2*time.Second), Word{Service: "s"}) != Ends {
		t.Error("the end that another daemon reports is not merged")
	}
	for _, invalid := range []Word{{Service: "x", Named: true, Age: -time.Second}, {Service: "x", Named: true, Refusals: -1}, {Service: "x", Named: true, Age: time.Hour}} {
		if b.Learn(ended, invalid) != Nothing {
			t.Errorf("merged: %+v", invalid)
		}
	}
	// A report that is not repeated expires on all daemons.
	b.Learn(start, report)
	b.Forget(start.Add(serviceTTL), func(string) bool { return true })
	if b.Services() != 0 {
		t.Error("a report circulates forever")
	}
}
