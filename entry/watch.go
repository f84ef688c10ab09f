package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
)

// watch asks for changes. Without an answer in time the connection is taken for silent.
func (f *follower[T]) watch(ctx context.Context) (feed.Batch[T], error) {
	limit := f.watchLimit()
	wait, patience := watchWait(limit, int(f.daemon.fleet.rank.Load()), rand.Float64()), answerPatience(limit)
	if f.catchingUp {
		wait, patience = lookWait, lookPatience
	}
	return f.source.Watch(ctx, f.at, wait, patience)
}

// watchLimit is the longest time that a change may stay unheard.
func (f *follower[T]) watchLimit() time.Duration {
	settings := f.daemon.current()
	if f.name == coordination.SourceEvacuations {
		return settings.EvacuateWithin
	}
	return settings.WatchWait
}

const (
	// lookWait is the wait of a call for the changes so far, and lookPatience how long its
	// answer may take: a call that goes unanswered as well says that the store is away.
	lookWait     = time.Millisecond
	lookPatience = 700 * time.Millisecond
)

// watchParts are the waits of the first daemons, as parts of the time that a change may
// stay unheard. When all watches go deaf at one moment, the first of these to end finds
// out, by the call that follows, and the other daemons hear of it by that one. What is
// left of the limit after the first wait is for an answer that is overdue, the call that
// follows, and the news to reach all daemons, which takes 0.8 s with 71 of them. The
// second and third stand in for daemons before them that are lost at the same moment.
var watchParts = [...]float64{0.35, 0.6, 0.85}

const (
	// longWatchPart is the same for all further daemons.
	longWatchPart = 1.75
	// shortWatchers is how many daemons end their watches in time.
	shortWatchers = len(watchParts)
	// answerPart is how long an answer may be overdue before its connection is taken for
	// silent, as a part of the limit.
	answerPart = 0.15
	// leastDraw is the least that chance leaves of a wait: daemons of one rank, which
	// there may be while they know each other badly, must not all end at the same moment.
	leastDraw = 0.9
)

// watchWait is how long one call waits for changes. Limit is the longest time that a
// change may stay unheard.
func watchWait(limit time.Duration, rank int, random float64) time.Duration {
	part := longWatchPart
	if rank < shortWatchers {
		part = watchParts[rank]
	}
	return time.Duration(part * (leastDraw + (1-leastDraw)*random) * float64(limit))
}

// answerPatience is how long after its wait a call may be answered.
func answerPatience(limit time.Duration) time.Duration {
	return time.Duration(answerPart * float64(limit))
}
