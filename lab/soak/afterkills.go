package soak

import (
	"fmt"
	"slices"
	"time"
)

// noteTouch notes, at the end of a request, whether its daemon was in touch until then, unless it ran. The mutex is held.
func (r *record) noteTouch(sent *sentRequest) {
	if len(sent.runs) == 0 {
		sent.inTouch = sent.inTouch && r.inTouchSince(sent.daemon, sent.at.Add(-contact))
	}
}

// inTouchSince reports whether neither a daemon nor its links nor the store was disturbed since a moment. The mutex is held.
func (r *record) inTouchSince(daemon *daemon, since time.Time) bool {
	return r.storeStableSince(since) && daemon.calmSince(since) && daemon.linksSound()
}

// linksSound reports whether the daemon's links are sound.
func (d *daemon) linksSound() bool {
	for _, proxy := range []*proxy{d.peerProxy, d.storeProxy} {
		if proxy == nil {
			continue
		}
		if state, _ := proxy.state(); state != linkSound {
			return false
		}
	}
	return true
}

// TakeUps counts the streams that clients took up after a kill of all daemons or most of them, or after a crash of half of the
// engines, while servers of their versions served.
type TakeUps struct {
	// Taken is how many were taken up at daemons in touch, WentOn how many of these went on there.
	Taken  int `json:"taken"`
	WentOn int `json:"went_on"`
	// OtherTaken and OtherWentOn count the streams that were taken up at other daemons only.
	OtherTaken  int `json:"other_taken"`
	OtherWentOn int `json:"other_went_on"`
	// New is how many new streams were sent to daemons in touch after it, Begun how many of these began.
	New   int `json:"new"`
	Begun int `json:"begun"`
}

// String tells the counts in one line.
func (t TakeUps) String() string {
	return fmt.Sprintf("%d of %d streams taken up at daemons in touch went on, %d of %d at others; %d of %d new ones began",
		t.WentOn, t.Taken, t.OtherWentOn, t.OtherTaken, t.Begun, t.New)
}

// takenUp is what came of the take-ups of one stream.
type takenUp struct{ inTouch, wentOn, otherWentOn bool }

// takeUpsAfterKills counts streams after kills. The mutex is held.
func (r *record) takeUpsAfterKills() TakeUps { return r.takeUpsAfter(r.kills) }

// takeUpsAfter counts streams after some moments. The mutex is held.
func (r *record) takeUpsAfter(moments []time.Time) TakeUps {
	var counts TakeUps
	streams := map[string]takenUp{}
	for _, sent := range r.order {
		if !sent.resumable || !sent.ended && !sent.abandoned {
			continue
		}
		ran := len(sent.runs) > 0
		if sent.Resumes == "" {
			if sent.inTouch && anyBetween(moments, sent.at.Add(-lastingPatience), sent.at) {
				counts.New++
				counts.Begun += count(ran)
			}
			continue
		}
		first := r.requests[sent.Resumes]
		if sent.versionServers < leastVersionServers || !anyBetween(moments, first.at, sent.at) {
			continue
		}
		stream := streams[first.ID]
		stream.inTouch = stream.inTouch || sent.inTouch
		stream.wentOn = stream.wentOn || sent.inTouch && ran
		stream.otherWentOn = stream.otherWentOn || ran
		streams[first.ID] = stream
	}
	for _, stream := range streams {
		if stream.inTouch {
			counts.Taken++
			counts.WentOn += count(stream.wentOn)
		} else {
			counts.OtherTaken++
			counts.OtherWentOn += count(stream.otherWentOn)
		}
	}
	return counts
}

func count(counts bool) int {
	if counts {
		return 1
	}
	return 0
}

// anyBetween reports whether any of some moments is between two others.
func anyBetween(moments []time.Time, from, until time.Time) bool {
	return slices.ContainsFunc(moments, func(at time.Time) bool { return at.After(from) && at.Before(until) })
}

// checkTakeUpsAfter checks that of the streams that were taken up at daemons in touch after some moments the share that went on is
// at least half of that of the new streams that began. The mutex is held.
func (r *record) checkTakeUpsAfter(promise string, moments []time.Time) {
	counts := r.takeUpsAfter(moments)
	if r.untimed || counts.Taken < leastTakeUps || counts.New < leastTakeUps {
		return
	}
	r.checked[promise]++
	if 2*counts.WentOn*counts.New < counts.Begun*counts.Taken {
		r.violate(promise, "", "%s", counts)
	}
}
