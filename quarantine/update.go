package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Update carries evidence from one tracker to another.
type Update struct {
	Items []Item `msgpack:"i"`
}

// Empty reports whether the update has no items.
func (u *Update) Empty() bool { return len(u.Items) == 0 }

// AddAge adds to all ages the time for which the update has waited.
func (u *Update) AddAge(span time.Duration) {
	for i := range u.Items {
		for j := range u.Items[i].Crashes {
			u.Items[i].Crashes[j].Age += span
		}
		u.Items[i].ClearedAge += span
	}
}

// Item is the evidence against one content or part.
type Item struct {
	Digest  Digest        `msgpack:"c"`
	Kind    Kind          `msgpack:"k,omitempty"`
	Crashes []CrashReport `msgpack:"s"`
	// Cleared is set if a run was successful. The last such run ended ClearedAge ago; no crash before it counts.
	Cleared    bool          `msgpack:"e,omitempty"`
	ClearedAge time.Duration `msgpack:"l,omitempty"`
	// Held is set if the sender holds the part for these crashes.
	Held bool `msgpack:"h,omitempty"`
}

// clearedAt returns when the last successful run ended; the zero time if there was none.
func (i *Item) clearedAt(now time.Time) time.Time {
	if !i.Cleared {
		return time.Time{}
	}
	return now.Add(-max(0, i.ClearedAge))
}

// Expired reports whether all crashes are older than the retention period.
func (i *Item) Expired() bool {
	return !slices.ContainsFunc(i.Crashes, func(report CrashReport) bool { return report.Age < crashRetention })
}

// CrashReport reports one crash under a content.
type CrashReport struct {
	// Server identifies one run of a server process; a restarted server has another ID.
	Server string `msgpack:"s"`
	// Age is how long ago the server crashed.
	Age time.Duration `msgpack:"a,omitempty"`
	// Ran is how long the content had been running there when the server crashed.
	Ran time.Duration `msgpack:"r,omitempty"`
	// Void is set if a run of the content has been successful since.
	Void bool `msgpack:"v,omitempty"`
	// Unconfirmed is set if the server closes new connections but may still run.
	Unconfirmed bool `msgpack:"u,omitempty"`
}

// crash converts a report into a crash with absolute times.
func (t *CrashReport) crash(now time.Time) crash {
	at := now.Add(-max(0, t.Age))
	return crash{at: at, began: at.Add(-max(0, t.Ran)), void: t.Void, unconfirmed: t.Unconfirmed}
}

// report converts a crash into a report with ages.
func (c crash) report(now time.Time, server string) CrashReport {
	return CrashReport{Server: server, Age: now.Sub(c.at), Ran: c.at.Sub(c.began), Void: c.void, Unconfirmed: c.unconfirmed}
}

// maxUpdateItems limits an update to some 20 kB.
const maxUpdateItems = 256

// Snapshot returns the evidence that a daemon may lack that has just started or has missed a message: all records that
// hold requests, and those that changed within the span.
func (t *Tracker) Snapshot(now time.Time, span time.Duration) Update {
	var held, fresh []Item
	for content, rec := range t.records {
		switch {
		case rec.holds():
			held = append(held, rec.item(now, content))
		case now.Sub(rec.changedAt) < span:
			fresh = append(fresh, rec.item(now, content))
		}
	}
	items := slices.Concat(held, fresh)
	return Update{Items: items[:min(len(items), maxUpdateItems)]}
}

// Evidence returns the whole evidence against one content.
func (t *Tracker) Evidence(now time.Time, content Digest) Item {
	rec := t.records[content]
	if rec == nil {
		return Item{Digest: content}
	}
	return rec.item(now, content)
}

func (r *record) item(now time.Time, content Digest) Item {
	item := Item{Digest: content, Kind: r.kind}
	item.Cleared, item.ClearedAge = r.cleared(now)
	item.Held = r.held && r.kind == KindPart
	for server, seen := range r.crashes {
		item.Crashes = append(item.Crashes, seen.report(now, server))
	}
	slices.SortFunc(item.Crashes, func(a, b CrashReport) int { return strings.Compare(a.Server, b.Server) })
	return item
}

// Durable returns the contents whose evidence must be kept in the store.
func (t *Tracker) Durable() []Digest {
	var contents []Digest
	for content, rec := range t.records {
		if rec.durable {
			contents = append(contents, content)
		}
	}
	return contents
}

// Held returns the contents or parts that are held, by themselves or together with others.
func (t *Tracker) Held(now time.Time, kind Kind) []Digest {
	var held []Digest
	for content, rec := range t.records {
		if rec.kind == kind && rec.holds() && !rec.holdsUntil(now).IsZero() {
			held = append(held, content)
		}
	}
	return held
}
