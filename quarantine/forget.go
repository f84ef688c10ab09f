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

// makesRoomFor reports whether a crash says more than one of those that are remembered. What was dropped before is told
// again by others, as if it had happened a little later each time, so it must not push out what the verdict rests on.
func (r *record) makesRoomFor(server string, said crash) bool {
	if said.at.After(r.lastAt) {
		return true
	}
	r.crashes[server] = said
	lengthens := r.longestChain(crash.counts) > r.counted
	delete(r.crashes, server)
	return lengthens
}

// leastTelling returns the server of the oldest crash without which as many count.
func (r *record) leastTelling() string {
	servers := slices.SortedFunc(maps.Keys(r.crashes), func(one, other string) int { return r.crashes[one].at.Compare(r.crashes[other].at) })
	for _, server := range servers {
		known := r.crashes[server]
		delete(r.crashes, server)
		count := r.longestChain(crash.counts)
		r.crashes[server] = known
		if count == r.counted {
			return server
		}
	}
	return servers[0]
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
