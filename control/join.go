package control

import "time"

// joinState is how far a daemon has come that has just started, or that was
// paused and cannot know what it missed.
type joinState struct {
	began    time.Time
	lastTick time.Time
	heard    uint64
	caughtUp bool
}

// aloneFactor times JoinWait is how long a daemon that hears no other waits
// before it relies on what the platform alone told it.
const aloneFactor = 3

// tickJoin decides when this daemon knows enough to serve. A daemon that has
// just started keeps nothing, and the platform's first answer may be stale, so
// it waits until it has all that the others had when it joined. One that finds
// that it was paused starts over.
func (n *Node) tickJoin(now time.Time) {
	if n.join.began.IsZero() || now.Sub(n.join.lastTick) > n.settings.PauseLimit {
		n.join.began = now
		n.join.caughtUp = false
	}
	n.join.lastTick = now
	if n.join.caughtUp {
		return
	}
	wait := n.settings.JoinWait
	if len(n.detector.Live()) == 1 {
		wait *= aloneFactor
	}
	through := n.store.Through()
	n.join.caughtUp = now.Sub(n.join.began) >= wait && through > 0 && through >= n.join.heard
}

// CaughtUp reports whether this daemon knows at least what the others knew when
// it started, and has not been paused since.
func (n *Node) CaughtUp(now time.Time) bool {
	return n.join.caughtUp && now.Sub(n.join.lastTick) <= n.settings.PauseLimit
}
