package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Prune removes expired records.
func (t *Tracker) Prune(now time.Time) {
	for content, rec := range t.records {
		retention := crashRetention
		if rec.crashCount == 0 {
			retention = clearedRetention
		}
		if now.Sub(rec.lastCrashAt) >= retention {
			t.removeRecord(content)
		}
	}
}

// evictionBatch is the number of records that a full tracker evicts at once, since an eviction has to sort all records.
const evictionBatch = maxRecords / 16

// evictIfFull evicts the weakest records if the tracker is full: those with the fewest crashes, and of those the ones
// with the oldest crashes. A flood of contents that crash one server each does not evict one that has crashed several.
func (t *Tracker) evictIfFull(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.Prune(now)
	if len(t.records) < maxRecords {
		return
	}
	contents := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(contents, func(one, other Digest) int { return t.records[one].compareEvidence(t.records[other]) })
	for _, content := range contents[:evictionBatch] {
		t.removeRecord(content)
	}
}

// compareEvidence orders records by the strength of their evidence, the weakest first.
func (r *record) compareEvidence(other *record) int {
	return cmp.Or(cmp.Compare(r.crashCount, other.crashCount), r.lastCrashAt.Compare(other.lastCrashAt))
}

// acceptsWhenFull reports whether a full record replaces one of its crashes by the reported one. Other daemons report
// evicted crashes again, each time with a slightly later time, so these must not evict the crashes on which the hold
// depends.
func (r *record) acceptsWhenFull(server string, reported crash) bool {
	if reported.at.After(r.lastCrashAt) {
		return true
	}
	r.crashes[server] = reported
	lengthens := r.longestChain(crash.counts) > r.crashCount
	delete(r.crashes, server)
	return lengthens
}

// leastRelevantCrash returns the server of the oldest crash whose removal does not lower the crash count.
func (r *record) leastRelevantCrash() string {
	servers := slices.SortedFunc(maps.Keys(r.crashes), func(one, other string) int { return r.crashes[one].at.Compare(r.crashes[other].at) })
	for _, server := range servers {
		removed := r.crashes[server]
		delete(r.crashes, server)
		count := r.longestChain(crash.counts)
		r.crashes[server] = removed
		if count == r.crashCount {
			return server
		}
	}
	return servers[0]
}

func (t *Tracker) removeRecord(content Digest) {
	for _, server := range slices.Collect(maps.Keys(t.records[content].crashes)) {
		t.removeCrash(content, server)
	}
	delete(t.records, content)
}

func (t *Tracker) removeCrash(content Digest, server string) {
	rec := t.records[content]
	delete(rec.crashes, server)
	rec.updateCrashCount()
	rest := slices.DeleteFunc(t.digestsAtCrash[server], func(other Digest) bool { return other == content })
	if len(rest) == 0 {
		delete(t.digestsAtCrash, server)
	} else {
		t.digestsAtCrash[server] = rest
	}
}
