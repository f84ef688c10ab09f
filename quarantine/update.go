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

// Item is what is told of one content.
type Item struct {
	Content Digest `msgpack:"c"`
	Crashes []Told `msgpack:"s"`
}

// Told is one crash under a content.
type Told struct {
	// Server is one life of a server.
	Server string `msgpack:"s"`
	// Age is how long ago the server crashed.
	Age time.Duration `msgpack:"a,omitempty"`
	// Void says that a run of the content has ended well since.
	Void bool `msgpack:"v,omitempty"`
}

// mostTold bounds the contents of one update, to some 20 kB.
const mostTold = 256

// Newest returns what a daemon may lack that has just started or has missed a message: all contents
// that are held, and what was learned within a span.
func (b *Book) Newest(now time.Time, span time.Duration) Update {
	var update Update
	for content, known := range b.records {
		if len(update.Items) == mostTold {
			break
		}
		if known.held || now.Sub(known.changedAt) < span {
			update.Items = append(update.Items, known.item(now, content))
		}
	}
	return update
}

// Evidence returns all that is known of one content.
func (b *Book) Evidence(now time.Time, content Digest) Item {
	known := b.records[content]
	if known == nil {
		return Item{Content: content}
	}
	return known.item(now, content)
}

func (r *record) item(now time.Time, content Digest) Item {
	item := Item{Content: content}
	for server, known := range r.crashes {
		item.Crashes = append(item.Crashes, Told{Server: server, Age: now.Sub(known.at), Void: known.void})
	}
	slices.SortFunc(item.Crashes, func(a, b Told) int { return strings.Compare(a.Server, b.Server) })
	return item
}

// Held returns the contents that are held.
func (b *Book) Held(now time.Time) []Digest {
	var held []Digest
	for content := range b.records {
		if !b.HeldUntil(now, content).IsZero() {
			held = append(held, content)
		}
	}
	return held
}
