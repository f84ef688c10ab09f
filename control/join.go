package control

import "time"

// joinState is how far a daemon has come that has just started, or that was
// paused and cannot know what it missed.
type joinState struct {
	startedAt      time.Time
	lastTick       time.Time
	maxPeerVersion uint64
	caughtUp       bool
}

const (
	// aloneWaitFactor times JoinWait is how long a daemon that hears no other waits
	// before it relies on what the platform alone told it.
	aloneWaitFactor = 3
	// engineWaitFactor times JoinWait is how long a daemon waits for news of every engine:
	// one that never answers anybody must not keep it from serving by the others.
	engineWaitFactor = 6
)

// tickJoin decides when this daemon knows enough to serve. A daemon that has
// just started keeps nothing, and the platform's first answer may be stale, so
// it waits until it has all that the others had when it joined. One that finds
// that it was paused starts over.
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

// unknownEngines returns the number of engines whose state is unknown. They are treated as down, so
// requests for artifacts that only they hold are refused for lack of a replica.
func (n *Node) unknownEngines() int {
	unknown := 0
	for _, name := range n.catalog.engineNames() {
		if _, observed := n.detector.BackEnd(name); !observed {
			unknown++
		}
	}
	return unknown
}

// CaughtUp reports whether this daemon knows at least what the others knew when
// it started, and has not been paused since.
func (n *Node) CaughtUp(now time.Time) bool {
	return n.join.caughtUp && now.Sub(n.join.lastTick) <= n.settings.PauseLimit
}
