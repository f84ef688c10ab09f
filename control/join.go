package control

import "time"

// joinState is the progress of a daemon that has just started, or that was paused and
// may have missed updates.
type joinState struct {
	startedAt time.Time
	lastTick  time.Time
	// maxPeerVersion is the highest version up to which another daemon reported to be
	// complete.
	maxPeerVersion uint64
	caughtUp       bool
}

const (
	// aloneWaitFactor times JoinWait is how long a daemon that receives no message of
	// another one waits before it relies on the platform's data alone.
	aloneWaitFactor = 3
	// engineWaitFactor times JoinWait is how long a daemon waits for the state of every
	// engine. An engine that answers no daemon must not keep it from serving with the
	// others.
	engineWaitFactor = 6
)

// tickJoin decides when this daemon is complete enough to serve. A daemon that has just
// started holds no state, and the platform's first answer may be stale. It therefore
// waits until it has everything that the others had when it joined. A daemon that
// detects that it was paused starts over.
func (n *Node) tickJoin(now time.Time) {
	if n.join.startedAt.IsZero() || now.Sub(n.join.lastTick) > n.settings.PauseLimit {
		n.join.startedAt = now
		n.join.caughtUp = false
	}
	n.join.lastTick = now
	if n.join.caughtUp {
		return
	}
	wait := n.settings.JoinWait
	if len(n.detector.Live()) == 1 {
		wait *= aloneWaitFactor
	}
	elapsed := now.Sub(n.join.startedAt)
	through := n.store.Through()
	engines, unknown := len(n.catalog.engineNames()), n.unknownEngines()
	enginesObserved := unknown == 0 || elapsed >= engineWaitFactor*n.settings.JoinWait
	n.join.caughtUp = elapsed >= wait && enginesObserved && through > 0 && through >= n.join.maxPeerVersion
	if n.join.caughtUp {
		n.logDecision("membership", "Caught up with the cluster.", "after_ms", elapsed.Milliseconds(), "through", through,
			"engines", engines, "engines_unknown", unknown)
	}
}

// unknownEngines returns the number of engines whose state is unknown. They are treated
// as down, so requests for artifacts that only they hold are refused for lack of a
// replica.
func (n *Node) unknownEngines() int {
	unknown := 0
	for _, name := range n.catalog.engineNames() {
		if _, observed := n.detector.BackEnd(name); !observed {
			unknown++
		}
	}
	return unknown
}

// CaughtUp reports whether this daemon has at least the state that the others had when
// it started, and has not been paused since.
func (n *Node) CaughtUp(now time.Time) bool {
	return n.join.caughtUp && now.Sub(n.join.lastTick) <= n.settings.PauseLimit
}
