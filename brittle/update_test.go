package brittle

import (
	"testing"
	"time"
)

// TestWordsOfOthers guards against a daemon that does not merge reports of others on brittle services, and against old
// reports that circulate forever or take effect again after the end.
func TestWordsOfOthers(t *testing.T) {
	start := time.Unix(1e9, 0)
	b := NewTracker()
	report := Entry{Service: "s", Named: true, Refusals: 4, Age: time.Second}
	if b.Merge(start, report) != Started || b.Count() != 1 {
		t.Fatal("the report is not merged")
	}
	if b.Merge(start, report) != Unchanged {
		t.Error("the same report is new again")
	}
	changed := report
	changed.Refusals, changed.Age = 6, 0
	if b.Merge(start, changed) != Started {
		t.Error("another number of refusals is ignored")
	}
	if update := b.Snapshot(start.Add(3 * time.Second)); len(update.Entries) != 1 || update.Entries[0].Refusals != 6 || update.Entries[0].Age != 3*time.Second {
		t.Errorf("snapshot %+v", update)
	}
	// An answer to a later request of this daemon reports the end.
	ended := start.Add(5 * time.Second)
	if b.Observe(ended, "s", ended, false, 0) != Ended {
		t.Fatal("the service is still brittle")
	}
	if b.Merge(ended.Add(time.Second), Entry{Service: "s", Named: true, Refusals: 6, Age: 3 * time.Second}) != Unchanged {
		t.Error("a report from before the end makes the service brittle again")
	}
	if b.Merge(ended.Add(time.Second), Entry{Service: "s", Named: true, Refusals: 6}) != Started {
		t.Error("a later report does not make the service brittle again")
	}
	if b.Merge(ended.Add(2*time.Second), Entry{Service: "s"}) != Ended {
		t.Error("the end that another daemon reports is not merged")
	}
	for _, invalid := range []Entry{{Service: "x", Named: true, Age: -time.Second}, {Service: "x", Named: true, Refusals: -1}, {Service: "x", Named: true, Age: time.Hour}} {
		if b.Merge(ended, invalid) != Unchanged {
			t.Errorf("merged: %+v", invalid)
		}
	}
	// A report that is not repeated expires on all daemons.
	b.Merge(start, report)
	b.Prune(start.Add(serviceTTL), func(string) bool { return true })
	if b.Count() != 0 {
		t.Error("a report circulates forever")
	}
}
