package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Update is what one book tells another.
type Update struct {
	Items []Item `msgpack:"i"`
}

// Empty reports whether there is nothing to tell.
func (u *Update) Empty() bool { return len(u.Items) == 0 }

// Wait makes what is told older by the time that it has waited.
func (u *Update) Wait(span time.Duration) {
	for i := range u.Items {
		for j := range u.Items[i].Crashes {
			u.Items[i].Crashes[j].Age += span
		}
		u.Items[i].ClearedAge += span
	}
}

// Item is what is told of one content or part.
type Item struct {
	Digest  Digest `msgpack:"c"`
	Kind    Kind   `msgpack:"k,omitempty"`
	Crashes []Told `msgpack:"s"`
	// Cleared says that a run has ended well, the last one ClearedAge ago: no crash before counts.
	Cleared    bool          `msgpack:"e,omitempty"`
	ClearedAge time.Duration `msgpack:"l,omitempty"`
	// Held says that the teller holds the part by these crashes.
	Held bool `msgpack:"h,omitempty"`
}

// clearedAt returns when the last run ended well; the zero time if none has.
func (i *Item) clearedAt(now time.Time) time.Time {
	if !i.Cleared {
		return time.Time{}
	}
	return now.Add(-max(0, i.ClearedAge))
}

// Forgotten reports whether all of the crashes are too long ago to be remembered.
func (i *Item) Forgotten() bool {
	return !slices.ContainsFunc(i.Crashes, func(told Told) bool { return told.Age < rememberSpan })
}

// Told is one crash under a content.
type Told struct {
	// Server is one life of a server.
	Server string `msgpack:"s"`
	// Age is how long ago the server crashed.
	Age time.Duration `msgpack:"a,omitempty"`
	// Ran is how long the content had run there until then.
	Ran time.Duration `msgpack:"r,omitempty"`
	// Void says that a run of the content has ended well since.
	Void bool `msgpack:"v,omitempty"`
	// Unconfirmed is set if the server closes new connections but may still run.
	Unconfirmed bool `msgpack:"u,omitempty"`
}

// crash returns what is told as it is kept.
func (t *Told) crash(now time.Time) crash {
	at := now.Add(-max(0, t.Age))
	return crash{at: at, began: at.Add(-max(0, t.Ran)), void: t.Void, unconfirmed: t.Unconfirmed}
}

// told returns what is kept as it is told.
func (c crash) told(now time.Time, server string) Told {
	return Told{Server: server, Age: now.Sub(c.at), Ran: c.at.Sub(c.began), Void: c.void, Unconfirmed: c.unconfirmed}
}

// mostTold bounds the contents of one update, to some 20 kB.
const mostTold = 256

// Newest returns what a daemon may lack that has just started or has missed a message: all contents
// that are held, and what was learned within a span.
func (b *Book) Newest(now time.Time, span time.Duration) Update {
	var held, fresh []Item
	for content, known := range b.records {
		switch {
		case known.holds():
			held = append(held, known.item(now, content))
		case now.Sub(known.changedAt) < span:
			fresh = append(fresh, known.item(now, content))
		}
	}
	items := slices.Concat(held, fresh)
	return Update{Items: items[:min(len(items), mostTold)]}
}

// Evidence returns all that is known of one content.
func (b *Book) Evidence(now time.Time, content Digest) Item {
	known := b.records[content]
	if known == nil {
		return Item{Digest: content}
	}
	return known.item(now, content)
}

func (r *record) item(now time.Time, content Digest) Item {
	item := Item{Digest: content, Kind: r.kind}
	item.Cleared, item.ClearedAge = r.cleared(now)
	item.Held = r.held && r.kind == KindPart
	for server, known := range r.crashes {
		item.Crashes = append(item.Crashes, known.told(now, server))
	}
	slices.SortFunc(item.Crashes, func(a, b Told) int { return strings.Compare(a.Server, b.Server) })
	return item
}

// Durable returns the contents whose evidence must be kept in the store.
func (b *Book) Durable() []Digest {
	var contents []Digest
	for content, known := range b.records {
		if known.durable {
			contents = append(contents, content)
		}
	}
	return contents
}

// Held returns the contents or parts that are held, by themselves or together with others.
func (b *Book) Held(now time.Time, kind Kind) []Digest {
	var held []Digest
	for content, known := range b.records {
		if known.kind == kind && known.holds() && !known.holdsUntil(now).IsZero() {
			held = append(held, content)
		}
	}
	return held
}
