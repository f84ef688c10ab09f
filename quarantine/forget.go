package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Forget drops what is too old.
func (b *Book) Forget(now time.Time) {
	for content, known := range b.records {
		span := rememberSpan
		if known.counted == 0 {
			span = clearedSpan
		}
		if now.Sub(known.lastAt) >= span {
			b.drop(content)
		}
	}
}

// evictedAtOnce is the part of a full book that makes room: the look for what says least is at all
// contents.
const evictedAtOnce = mostContents / 16

// makeRoom drops the contents that say least if the book is full: those with the fewest crashes,
// and of those the ones of the oldest crashes. A flood of contents that crash one server each does not
// drop one that has crashed several.
func (b *Book) makeRoom(now time.Time) {
	if len(b.records) < mostContents {
		return
	}
	b.Forget(now)
	if len(b.records) < mostContents {
		return
	}
	contents := slices.Collect(maps.Keys(b.records))
	slices.SortFunc(contents, func(one, other Digest) int { return b.records[one].compare(b.records[other]) })
	for _, content := range contents[:evictedAtOnce] {
		b.drop(content)
	}
}

// compare orders records by how much they say, the least first.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.counted, other.counted), r.lastAt.Compare(other.lastAt))
}

// oldest returns the server of the oldest crash.
func (r *record) oldest() string {
	oldest := ""
	for server, known := range r.crashes {
		if oldest == "" || known.at.Before(r.crashes[oldest].at) {
			oldest = server
		}
	}
	return oldest
}

func (b *Book) drop(content Digest) {
	for _, server := range slices.Collect(maps.Keys(b.records[content].crashes)) {
		b.dropCrash(content, server)
	}
	delete(b.records, content)
}

func (b *Book) dropCrash(content Digest, server string) {
	known := b.records[content]
	delete(known.crashes, server)
	known.count()
	rest := slices.DeleteFunc(b.victims[server], func(other Digest) bool { return other == content })
	if len(rest) == 0 {
		delete(b.victims, server)
	} else {
		b.victims[server] = rest
	}
}
