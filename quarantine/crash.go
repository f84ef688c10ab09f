package quarantine

import (
	"maps"
	"slices"
	"time"
)

// crash is one life of a server that ended while a content ran there.
type crash struct {
	at time.Time
	// began is when the first of the runs of the content began that the crash ended.
	began time.Time
	// void says that a run of the content has ended well since: the content was not the cause.
	void bool
	// unconfirmed is set if the server may still run: its address accepts new connections but closes them.
	unconfirmed bool
}

// counts reports whether the crash counts against the content.
func (c crash) counts() bool { return !c.void && !c.unconfirmed }

// pending reports whether the crash may still be confirmed.
func (c crash) pending(now time.Time) bool {
	return !c.void && c.unconfirmed && now.Sub(c.at) < confirmSpan
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// count counts the crashes that tell something each: one run has to begin after the crash of the one before.
// When a rack fails, all its servers end at one moment, and a content that many clients send runs on all of them;
// that is one crash. The most runs in a row are found by taking the ones that end first.
func (r *record) count() { r.counted = r.longestChain(crash.counts) }

// longestChain returns the length of the longest sequence of included crashes in which each run began after the
// preceding crash.
func (r *record) longestChain(included func(crash) bool) int {
	crashes := slices.Collect(maps.Values(r.crashes))
	crashes = slices.DeleteFunc(crashes, func(known crash) bool { return !included(known) })
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	count := 0
	var last time.Time
	for _, known := range crashes {
		if count == 0 || known.began.After(last) {
			count++
			last = known.at
		}
	}
	return count
}
