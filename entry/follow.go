package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
)

// follower keeps one collection up to date: a list, then changes, and a list again
// whenever the history is gone, another daemon knows more, or the store was away.
type follower[T any] struct {
	daemon    *Daemon
	name      coordination.Source
	source    feed.Source[T]
	listed    taker[T]
	changed   taker[T]
	at        uint64
	known     bool
	available bool
	// gather is the pause after changes, so that the next call returns several.
	gather time.Duration
}

// gatherInstances is that pause for the list of instances: servers change it one by
// one, and each call is priced. It is far below the time in which a server that
// leaves has to be known. Twice as long for the daemons that watch in case that the
// first ones, firstWatchers in number, are cut off or frozen.
const (
	gatherInstances = 350 * time.Millisecond
	firstWatchers   = 2
)

// taker hands a batch to the node.
type taker[T any] func(*coordination.Node, time.Time, feed.Batch[T]) []coordination.Action

const (
	firstPause = 40 * time.Millisecond
	lastPause  = 600 * time.Millisecond
)

func follow[T any](d *Daemon, name coordination.Source, source feed.Source[T], gather time.Duration, listed, changed taker[T]) {
	f := &follower[T]{daemon: d, name: name, source: source, gather: gather, listed: listed, changed: changed, available: true}
	pause := firstPause
	for d.ctx.Err() == nil {
		if f.step() {
			pause = firstPause
			continue
		}
		// Half of the pause is random, so that daemons do not ask in step.
		sleep(d.ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, lastPause)
	}
}

// step makes one call and reports whether it succeeded.
func (f *follower[T]) step() bool {
	if f.known && !f.daemon.watching.Load() {
		f.rest()
		return true
	}
	take, call := f.listed, f.source.List
	if f.known {
		take, call = f.changed, f.watch
	}
	batch, err := f.interruptible(call)
	if errRefresh.Has(err) {
		f.known = false
		return true
	}
	if err != nil {
		f.failed(err)
		return false
	}
	f.setAvailable(true, nil)
	f.at, f.known = max(f.at, batch.At), true
	f.daemon.events.Put(f.daemon.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
		return take(node, now, batch)
	})
	if len(batch.Items) > 0 {
		sleep(f.daemon.ctx, gatherPause(f.gather, int(f.daemon.rank.Load())))
	}
	return true
}

// gatherPause is the pause after changes at a daemon of a rank.
func gatherPause(gather time.Duration, rank int) time.Duration {
	if rank >= firstWatchers {
		return 2 * gather
	}
	return gather
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
	for !f.daemon.watching.Load() {
		select {
		case <-f.daemon.ctx.Done():
			return
		case <-f.daemon.refresh[f.name]:
			f.known = false
			return
		case <-ticker.C:
		}
	}
	f.known = time.Since(began) < shortRest
}

func (f *follower[T]) watch(ctx context.Context) (feed.Batch[T], error) {
	wait := watchWait(f.daemon.current().WatchWait, int(f.daemon.rank.Load()), rand.Float64())
	return f.source.Watch(ctx, f.at, wait)
}

const (
	// shortWatchers is how many daemons end their watches in time to notice, by the
	// list that follows, that a watch has gone deaf. The others hear of it by them.
	shortWatchers = 3
	// longWatch is how much longer the others' watches wait.
	longWatch = 2.0
	// leastWatch and mostWatch bound the random part of a wait: daemons that began
	// at the same event must not all end at the same moment.
	leastWatch = 0.45
	mostWatch  = 0.85
)

// watchWait is how long one call waits for changes. Limit is the longest time that a
// change may stay unheard.
func watchWait(limit time.Duration, rank int, random float64) time.Duration {
	part := leastWatch + (mostWatch-leastWatch)*random
	if rank >= shortWatchers {
		part *= longWatch
	}
	return time.Duration(part * float64(limit))
}

// interruptible makes a call that ends early when the collection should be listed
// again.
func (f *follower[T]) interruptible(call func(context.Context) (feed.Batch[T], error)) (feed.Batch[T], error) {
	if !f.known {
		return call(f.daemon.ctx)
	}
	ctx, cancel := context.WithCancelCause(f.daemon.ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-f.daemon.refresh[f.name]:
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

// errRefresh ends a watch because the collection should be listed again.
var errRefresh = errs.Class("entry: refresh")

// failed makes the next call a list, which is answered at once or not at all: a
// watch on a silent store would hide its return for as long as the watch waits.
func (f *follower[T]) failed(err error) {
	f.known = false
	if feed.ErrHistoryGone.Has(err) {
		f.daemon.log.add(string(f.name), "History gone; listing again.", "at", f.at)
		return
	}
	f.setAvailable(false, err)
}

func (f *follower[T]) setAvailable(available bool, err error) {
	if f.available == available {
		return
	}
	f.available = available
	f.daemon.log.add(string(f.name), "Store.", "available", available, "at", f.at, "error", err)
	f.daemon.events.Put(f.daemon.ctx, func(node *coordination.Node, _ time.Time) []coordination.Action {
		return node.SourceAvailable(f.name, available)
	})
}
