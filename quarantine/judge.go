package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// partCrashLimit is how many servers have to crash under a part before it is held, each under a request that began after
// the crash before.
const partCrashLimit = 3

func (b *Book) limitOf(kind Kind) int {
	if kind == KindPart {
		return b.partLimit
	}
	return b.limit
}

// holds reports whether the record holds requests, by itself or together with others.
func (r *record) holds() bool { return r.held || len(r.together) > 0 }

// RequestHeldUntil returns until when a request is kept from servers, and what it is kept for; the zero time if it is
// not kept.
func (b *Book) RequestHeldUntil(now time.Time, attributes *Attributes) (until time.Time, cause Digest) {
	attributes.digests(func(_ Kind, digest Digest) {
		if held := b.HeldUntil(now, digest); held.After(until) {
			until, cause = held, digest
		}
	})
	if !until.IsZero() {
		return until, cause
	}
	for _, part := range attributes.Parts {
		known := b.records[part.Digest]
		if known == nil || len(known.together) == 0 || slices.ContainsFunc(known.together, func(other Digest) bool { return !attributes.has(other) }) {
			continue
		}
		if held := known.holdsUntil(now); held.After(until) {
			until, cause = held, part.Digest
		}
	}
	return until, cause
}

// Together returns the parts with which a part is held together; none if it is held by itself or not at all.
func (b *Book) Together(part Digest) []Digest {
	if known := b.records[part]; known != nil {
		return known.together
	}
	return nil
}

// SuspectsOf returns the suspected content and parts of a request, those with the most crashes first.
func (b *Book) SuspectsOf(now time.Time, attributes *Attributes) []Digest {
	var suspects []Digest
	attributes.digests(func(_ Kind, digest Digest) {
		if b.Suspects(now, digest) {
			suspects = append(suspects, digest)
		}
	})
	slices.SortStableFunc(suspects, func(one, other Digest) int {
		return cmp.Or(cmp.Compare(b.records[other].counted, b.records[one].counted), bytes.Compare(one[:], other[:]))
	})
	return suspects
}

// RequestPendingUntil returns until when a request must wait because it would be held if the pending crashes under its
// content or one of its parts were confirmed; the zero time if it may run.
func (b *Book) RequestPendingUntil(now time.Time, attributes *Attributes) (until time.Time) {
	attributes.digests(func(_ Kind, digest Digest) {
		if pending := b.PendingUntil(now, digest); pending.After(until) {
			until = pending
		}
	})
	return until
}

// judge decides whether a content or part is held.
func (b *Book) judge(digest Digest, known *record) {
	if known.kind == KindPart {
		known.held, known.together = b.judgePart(digest, known)
	} else {
		known.held = b.guilty(digest)
	}
}

// judgePart decides whether a part is held, by itself or together with other parts. A crash does not count against it if
// something else that was there was at more crashes. A content that was at all of its crashes is the narrower cause. Of
// several parts that were at the same crashes any may be the cause: requests that have all of them are held, and those
// that have some tell which one it is.
func (b *Book) judgePart(part Digest, known *record) (held bool, together []Digest) {
	limit := b.partLimit
	if known.heldElsewhereAt.After(known.clearedAt) {
		// Daemons hear of many crashes at different times, and remember different ones of them.
		limit--
	}
	if known.counted < limit {
		return false, nil
	}
	unexplained, byContent := 0, false
	others := map[Digest]bool{}
	for server, seen := range known.crashes {
		if !seen.counts() {
			continue
		}
		most := 0
		for _, other := range b.victims[server] {
			rival := b.records[other]
			if other == part || !rival.crashes[server].counts() {
				continue
			}
			most = max(most, rival.counted)
			if rival.counted == known.counted && b.sameCrashes(part, other) {
				byContent = byContent || rival.kind == KindContent
				others[other] = true
			}
		}
		if most <= known.counted {
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
		together = append(together, other)
	}
	return false, together
}

// guilty decides whether a content is held: whether it was there at enough crashes. What runs beside the cause of several crashes is there at
// some of them; the cause is there at all of its own. So a crash does not count against a content if
// another one, which was there too, was there at more crashes. Of two that were there at the same
// ones either may be the cause: then one crash more is waited for. Parts say nothing for or against a content.
func (b *Book) guilty(content Digest) bool {
	known := b.records[content]
	if known.counted < b.limit {
		return false
	}
	unexplained, tied := 0, false
	for server, seen := range known.crashes {
		if !seen.counts() {
			continue
		}
		most, same := b.strongest(server, content)
		if most <= known.counted {
			unexplained++
		}
		tied = tied || same
	}
	return unexplained >= b.limit && (!tied || known.counted > b.limit)
}

// strongest returns the most crashes that another content at a crash was there at, and whether one
// of these was there at all the crashes of the content.
func (b *Book) strongest(server string, content Digest) (most int, same bool) {
	for _, other := range b.victims[server] {
		rival := b.records[other]
		if other == content || rival.kind != KindContent || !rival.crashes[server].counts() {
			continue
		}
		most = max(most, rival.counted)
		same = same || b.sameCrashes(content, other)
	}
	return most, same
}

// sameCrashes reports whether two contents or parts were there at the same crashes.
func (b *Book) sameCrashes(one, other Digest) bool {
	first, second := b.records[one], b.records[other]
	if first.counted != second.counted {
		return false
	}
	for server, seen := range first.crashes {
		if known, found := second.crashes[server]; seen.counts() && (!found || !known.counts()) {
			return false
		}
	}
	return true
}
