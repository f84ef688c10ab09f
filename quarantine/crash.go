package quarantine

import (
	"maps"
	"slices"
	"time"
)

// crash is the crash of one server process while a content was running there.
type crash struct {
	at time.Time
	// began is the start of the first run of the content that the crash ended.
	began time.Time
	// void is set if a run of the content has been successful since: the content was not the cause.
	void bool
	// unconfirmed is set if the server may still run: its address accepts new connections but closes them.
	unconfirmed bool
}

// counts reports whether the crash counts against the content.
func (c crash) counts() bool { return !c.void && !c.unconfirmed }

// pending reports whether the crash may still be confirmed.
func (c crash) pending(now time.Time) bool {
	return !c.void && c.unconfirmed && now.Sub(c.at) < confirmationTimeout
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// updateCrashCount counts the independent crashes: each run has to begin after the preceding crash. When a rack fails,
// all its servers end at one moment, and a content that many clients send may be running on all of them; that counts as
// one crash.
func (r *record) updateCrashCount() { r.crashCount = r.longestChain(crash.counts) }

// longestChain returns the length of the longest sequence of included crashes in which each run began after the
// preceding crash. Taking the earliest crash at each step gives the longest sequence.
func (r *record) longestChain(included func(crash) bool) int {
	crashes := slices.Collect(maps.Values(r.crashes))
	crashes = slices.DeleteFunc(crashes, func(seen crash) bool { return !included(seen) })
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	count := 0
	var last time.Time
	for _, seen := range crashes {
		if count == 0 || seen.began.After(last) {
			count++
			last = seen.at
		}
	}
	return count
}
