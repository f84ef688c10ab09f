package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
)

// follower keeps one collection up to date: a list, then changes, and a list again
// whenever the history is gone, another daemon knows more, or the store was away.
type follower[T any] struct {
	daemon    *Daemon
	name      coordination.Source
	source    feed.Source[T]
	listed    taker[T]
	changed   taker[T]
	at        history.Place
	known     bool
	available bool
	// catchingUp says that the last watch may have gone deaf, or that another daemon knows
	// more: the next call asks for the changes so far.
	catchingUp bool
	// wanted says that the store has to be asked although this daemon does not watch it.
	wanted bool
	// lostInARow counts the lists that were followed by a history that is gone.
	lostInARow int
	// gather is the pause after changes, so that the next call returns several.
	gather time.Duration
	// listing is the list in progress, and listedOnce says that there was a whole one before.
	listing    feed.Listing[T]
	listedOnce bool
}

// gatherInstances is that pause for the list of instances at the first daemon that watches:
// servers change it one by one, and each call is priced. It is far below the time in which a
// server that leaves has to be known, 2 s. The others watch in case that the first is cut off or
// frozen: the second one pauses twice as long, all further ones gatherMost times as long.
const (
	gatherInstances = 350 * time.Millisecond
	gatherMost      = 3
)

// taker hands a batch to the node.
type taker[T any] func(*coordination.Node, time.Time, feed.Batch[T]) []coordination.Action

const (
	firstPause = 40 * time.Millisecond
	// watcherPause is the longest pause of a daemon that watches, and othersPause that of the
	// others for each daemon that there is.
	watcherPause = 3 * time.Second
	othersPause  = time.Second
	// pauseGrowth is how many times longer each further pause is.
	pauseGrowth = 5
	// longestLostPause leaves most of the 2 s within which changes have to be known.
	longestLostPause = 500 * time.Millisecond
	// probeWait bounds how long a collection waits for the configuration to find the store back.
	probeWait = 5 * time.Second
)

func follow[T any](d *Daemon, name coordination.Source, source feed.Source[T], gather time.Duration, listed, changed taker[T]) {
	f := &follower[T]{daemon: d, name: name, source: source, gather: gather, listed: listed, changed: changed, available: true}
	pause := firstPause
	for d.ctx.Err() == nil {
		if f.step() {
			// A rest while others watch says nothing of the store.
			if f.available {
				pause = firstPause
			}
			continue
		}
		// Half of the pause is random, so that daemons do not ask in step.
		f.pause(pause/2 + rand.N(pause/2) + f.lostPause())
		pause = min(pauseGrowth*pause, longestPause(int(d.fleet.rank.Load()), int(d.fleet.live.Load())))
	}
}

// lostPause is how much longer to wait before a list when the last ones were in vain, as the store had lost its
// history again before the watch that follows: listing again and again costs it most when it has trouble.
func (f *follower[T]) lostPause() time.Duration {
	if f.lostInARow < 2 {
		return 0
	}
	return min(firstPause<<min(f.lostInARow, 8), longestLostPause)
}

// longestPause is the longest time between two calls that the store does not answer. The daemons
// that watch it then ask about twice a second together, and all others once: in an outage a fleet
// asks about as often as in a minute with changes.
func longestPause(rank, live int) time.Duration {
	if rank < coordination.DefaultSettings(0).Watchers {
		return watcherPause
	}
	return max(watcherPause, time.Duration(live)*othersPause)
}

// pause waits before the next call after one that failed, or until another daemon knows more.
// While the store does not answer the configuration's calls, the other collections wait for those.
func (f *follower[T]) pause(span time.Duration) {
	var answered <-chan struct{}
	if probing := f.daemon.following.probing.Load(); probing != nil && !f.probes() {
		answered, span = probing.answered, probeWait
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-answered:
	case <-f.daemon.following.refresh[f.name]:
		f.wanted = true
	case <-f.daemon.ctx.Done():
	}
}

// probe stands for the calls of the configuration to a store that does not answer.
type probe struct {
	// answered is closed when the store answers.
	answered chan struct{}
}

// probes reports whether this collection asks a store that does not answer, for the others too: it
// is the one that has to be in force within the shortest time.
func (f *follower[T]) probes() bool { return f.name == coordination.SourceConfiguration }

func (f *follower[T]) beginProbe() {
	if f.probes() && f.daemon.following.probing.Load() == nil {
		f.daemon.following.probing.Store(&probe{answered: make(chan struct{})})
	}
}

// endProbe lets the others go on.
func (f *follower[T]) endProbe() {
	if !f.probes() {
		return
	}
	if probing := f.daemon.following.probing.Swap(nil); probing != nil {
		close(probing.answered)
	}
}

// step makes one call and reports whether it succeeded.
func (f *follower[T]) step() bool {
	if f.listedOnce && !f.wanted && !f.daemon.following.watching.Load() {
		f.rest()
		return true
	}
	f.wanted = false
	f.noteRefresh()
	watched := f.known
	take, call := f.listed, f.list
	if watched {
		take, call = f.changed, f.watch
	}
	batch, err := f.interruptible(call)
	overdue := f.known && !f.catchingUp && feed.ErrTimeout.Has(err)
	if errRefresh.Has(err) || overdue {
		f.catchUp(overdue)
		return true
	}
	f.catchingUp = false
	if err != nil {
		f.failed(err)
		return false
	}
	f.endProbe()
	f.setAvailable(true, nil)
	if watched && batch.At.Era != f.at.Era {
		f.restored(batch.At)
		return true
	}
	// A list says what holds at its place, so changes are asked for from there, also if the store was
	// further before it came back from a copy.
	if watched {
		f.lostInARow = 0
		batch.At = history.Newer(f.at, batch.At)
	}
	f.at, f.known = batch.At, true
	f.daemon.work.events.Put(f.daemon.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
		return take(node, now, batch)
	})
	if len(batch.Items) > 0 {
		sleep(f.daemon.ctx, gatherPause(f.gather, int(f.daemon.fleet.rank.Load())))
	}
	return true
}

// restored makes the next call a list: the changes since the own place are those of another era, in
// which the store has lost some of what is known here.
func (f *follower[T]) restored(at history.Place) {
	f.known = false
	f.daemon.log.add(string(f.name), "Store came back from a copy; listing again.", "at", f.at, "store_at", at)
}

// list lists everything. The first list of a process may lag by some seconds: the watch goes on
// from its revision, and other daemons tell the rest. When hundreds start at once, these lists
// are most of what the store is asked.
func (f *follower[T]) list(ctx context.Context) (feed.Batch[T], error) {
	freshness := feed.Newest
	if !f.listedOnce {
		freshness = feed.MayLag
	}
	batch, err := f.listing.List(ctx, f.source, freshness)
	f.listedOnce = f.listedOnce || err == nil
	return batch, err
}

// catchUp makes the next call ask for the changes so far. Of an overdue answer the others are
// told: the store may turn away this daemon alone.
func (f *follower[T]) catchUp(overdue bool) {
	f.catchingUp = true
	if !overdue {
		return
	}
	f.daemon.work.events.Put(f.daemon.ctx, func(node *coordination.Node, _ time.Time) []coordination.Action {
		return node.SourceOverdue(f.name)
	})
}

// noteRefresh takes in that another daemon has come to know more since the last call: the
// next one asks for just that.
func (f *follower[T]) noteRefresh() {
	select {
	case <-f.daemon.following.refresh[f.name]:
		f.catchingUp = true
	default:
	}
}

// gatherPause is the pause after changes at a daemon of a rank.
func gatherPause(gather time.Duration, rank int) time.Duration {
	return gather * time.Duration(min(rank+1, gatherMost))
}

// restPoll is the pause between two looks at whether this daemon should watch.
const restPoll = 50 * time.Millisecond

// shortRest is how long a rest may be for the store to have the history since: the
// changes meanwhile are then watched for, else everything is listed.
const shortRest = 5 * time.Second

// rest waits while others watch the store, until this daemon should watch or list.
func (f *follower[T]) rest() {
	ticker := time.NewTicker(restPoll)
	defer ticker.Stop()
	began := time.Now()
	for !f.daemon.following.watching.Load() {
		select {
		case <-f.daemon.ctx.Done():
			return
		case <-f.daemon.following.refresh[f.name]:
			f.known, f.wanted = false, true
			return
		case <-ticker.C:
		}
	}
	f.known = f.known && time.Since(began) < shortRest
	// A look soon shows whether the store is away for all; a long watch would be overdue only after seconds.
	f.catchingUp = f.known && f.daemon.following.othersAway.Load()
}

// interruptible makes a call that ends early when another daemon knows more, unless it is
// one that is answered at once.
func (f *follower[T]) interruptible(call func(context.Context) (feed.Batch[T], error)) (feed.Batch[T], error) {
	if !f.known || f.catchingUp {
		return call(f.daemon.ctx)
	}
	ctx, cancel := context.WithCancelCause(f.daemon.ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-f.daemon.following.refresh[f.name]:
			cancel(errRefresh.New("another daemon knows more"))
		case <-ended:
		}
	}()
	batch, err := call(ctx)
	if err != nil && errRefresh.Has(context.Cause(ctx)) {
		err = context.Cause(ctx)
	}
	return batch, err
}

// errRefresh ends a watch because another daemon knows more.
var errRefresh = errs.Class("entry: refresh")

// failed makes the next call a list, which is answered at once or not at all: a
// watch on a silent store would hide its return for as long as the watch waits.
func (f *follower[T]) failed(err error) {
	f.known = false
	if feed.ErrHistoryGone.Has(err) {
		f.lostInARow++
		f.daemon.log.add(string(f.name), "History gone; listing again.", "at", f.at)
		return
	}
	f.beginProbe()
	f.setAvailable(false, err)
}

func (f *follower[T]) setAvailable(available bool, err error) {
	if f.available == available {
		return
	}
	f.available = available
	f.daemon.log.add(string(f.name), "Store.", "available", available, "at", f.at, "error", err)
	f.daemon.work.events.Put(f.daemon.ctx, func(node *coordination.Node, _ time.Time) []coordination.Action {
		return node.SourceAvailable(f.name, available)
	})
}
