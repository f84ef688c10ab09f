package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// partCrashLimit is the number of crashed servers from which a part is held. Each of them must have crashed under a
// request that began after the preceding crash.
const partCrashLimit = 3

func (t *Tracker) limitOf(kind Kind) int {
	if kind == KindPart {
		return t.partLimit
	}
	return t.limit
}

// holds reports whether the record holds requests, by itself or together with others.
func (r *record) holds() bool { return r.held || len(r.heldWith) > 0 }

// RequestHeldUntil returns until when a request is not sent to servers, and the content or part that is the cause; the
// zero time if the request is not held.
func (t *Tracker) RequestHeldUntil(now time.Time, attributes *Attributes) (until time.Time, cause Digest) {
	attributes.eachDigest(func(_ Kind, digest Digest) {
		if held := t.HeldUntil(now, digest); held.After(until) {
			until, cause = held, digest
		}
	})
	if !until.IsZero() {
		return until, cause
	}
	for _, part := range attributes.Parts {
		rec := t.records[part.Digest]
		if rec == nil || len(rec.heldWith) == 0 || slices.ContainsFunc(rec.heldWith, func(other Digest) bool { return !attributes.hasPart(other) }) {
			continue
		}
		if held := rec.holdsUntil(now); held.After(until) {
			until, cause = held, part.Digest
		}
	}
	return until, cause
}

// HeldWith returns the parts with which a part is held together; none if it is held by itself or not at all.
func (t *Tracker) HeldWith(part Digest) []Digest {
	if rec := t.records[part]; rec != nil {
		return rec.heldWith
	}
	return nil
}

// SuspectsOf returns the suspected content and parts of a request, those with the most crashes first.
func (t *Tracker) SuspectsOf(now time.Time, attributes *Attributes) []Digest {
	var suspects []Digest
	attributes.eachDigest(func(_ Kind, digest Digest) {
		if t.IsSuspected(now, digest) {
			suspects = append(suspects, digest)
		}
	})
	slices.SortStableFunc(suspects, func(one, other Digest) int {
		return cmp.Or(cmp.Compare(t.records[other].crashCount, t.records[one].crashCount), bytes.Compare(one[:], other[:]))
	})
	return suspects
}

// RequestPendingUntil returns until when a request must wait because it would be held if the pending crashes under its
// content or one of its parts were confirmed; the zero time if it may run.
func (t *Tracker) RequestPendingUntil(now time.Time, attributes *Attributes) (until time.Time) {
	attributes.eachDigest(func(_ Kind, digest Digest) {
		if pending := t.PendingUntil(now, digest); pending.After(until) {
			until = pending
		}
	})
	return until
}

// updateHold decides whether a content or part is held.
func (t *Tracker) updateHold(digest Digest, rec *record) {
	if rec.kind == KindPart {
		rec.held, rec.heldWith = t.holdsPart(digest, rec)
	} else {
		rec.held = t.holdsContent(digest)
	}
}

// holdsPart decides whether a part is held, by itself or together with other parts. A crash does not count against the
// part if another content or part at that crash has more crashes. A content that was present at all crashes of the part
// is the more specific cause, so the part is not held. If several parts were present at the same crashes, any of them
// may be the cause: only requests that have all of them are held. Requests with some of them still run and show which
// one it is.
func (t *Tracker) holdsPart(part Digest, rec *record) (held bool, heldWith []Digest) {
	limit := t.partLimit
	if rec.remoteHoldAt.After(rec.clearedAt) {
		// Daemons receive reports of many crashes at different times, and retain different ones of them.
		limit--
	}
	if rec.crashCount < limit {
		return false, nil
	}
	unexplained, byContent := 0, false
	others := map[Digest]bool{}
	for server, seen := range rec.crashes {
		if !seen.counts() {
			continue
		}
		highest := 0
		for _, other := range t.digestsAtCrash[server] {
			rival := t.records[other]
			if other == part || !rival.crashes[server].counts() {
				continue
			}
			highest = max(highest, rival.crashCount)
			if rival.crashCount == rec.crashCount && t.sameCrashes(part, other) {
				byContent = byContent || rival.kind == KindContent
				others[other] = true
			}
		}
		if highest <= rec.crashCount {
			unexplained++
		}
	}
	switch {
	case unexplained < limit || byContent:
		return false, nil
	case len(others) == 0:
		return true, nil
	}
	for other := range others {
		heldWith = append(heldWith, other)
	}
	return false, heldWith
}

// holdsContent decides whether a content is held: whether enough crashes count against it. A content that runs beside
// the cause is present at some of the crashes; the cause is present at all of its own. So a crash does not count
// against a content if another content at that crash has more crashes. If two contents were present at the same
// crashes, either may be the cause, and one further crash is required. Parts are not considered.
func (t *Tracker) holdsContent(content Digest) bool {
	rec := t.records[content]
	if rec.crashCount < t.limit {
		return false
	}
	unexplained, tied := 0, false
	for server, seen := range rec.crashes {
		if !seen.counts() {
			continue
		}
		highest, same := t.strongestRival(server, content)
		if highest <= rec.crashCount {
			unexplained++
		}
		tied = tied || same
	}
	return unexplained >= t.limit && (!tied || rec.crashCount > t.limit)
}

// strongestRival returns the highest crash count of the other contents at the crash of a server, and whether one of
// them was present at all crashes of the content.
func (t *Tracker) strongestRival(server string, content Digest) (highest int, same bool) {
	for _, other := range t.digestsAtCrash[server] {
		rival := t.records[other]
		if other == content || rival.kind != KindContent || !rival.crashes[server].counts() {
			continue
		}
		highest = max(highest, rival.crashCount)
		same = same || t.sameCrashes(content, other)
	}
	return highest, same
}

// sameCrashes reports whether two contents or parts were present at the same crashes.
func (t *Tracker) sameCrashes(one, other Digest) bool {
	first, second := t.records[one], t.records[other]
	if first.crashCount != second.crashCount {
		return false
	}
	for server, seen := range first.crashes {
		if match, found := second.crashes[server]; seen.counts() && (!found || !match.counts()) {
			return false
		}
	}
	return true
}
