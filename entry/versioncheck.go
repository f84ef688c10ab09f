package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/platform"
	"github.com/wheatweir/wheatweir/resumption"
)

// errNotConfirmed means that the store did not say which servers there are.
var errNotConfirmed = errs.Class("entry: versions not confirmed")

const (
	// versionCheckPause is the minimum time between two checks, for each daemon that there is at least versionCheckPausePerDaemon.
	versionCheckPause          = 50 * time.Millisecond
	versionCheckPausePerDaemon = 2 * time.Millisecond
	// versionCheckRest is for how long after a check that failed none is made.
	versionCheckRest = 500 * time.Millisecond
	// versionCheckTimeout bounds how long a request waits for a check, beside that pause.
	versionCheckTimeout = 500 * time.Millisecond
)

// confirmation says whether the store has confirmed that a service has one version, since a request for that arrived.
type confirmation string

const (
	// notNeeded means that the store was not asked, as the answer would have changed nothing.
	notNeeded    confirmation = "not_needed"
	byStore      confirmation = "store"
	notConfirmed confirmation = "failed"
)

func confirmationOf(err error) confirmation {
	if err != nil {
		return notConfirmed
	}
	return byStore
}

// versionCheck asks the store which servers have come since this daemon last heard of any. What a daemon hears from others, or does
// not hear, cannot show that it is not cut off from them; an answer of the store to a question of its own can. Requests that wait
// share a check.
type versionCheck struct {
	daemon  *Daemon
	tracker *resumption.Tracker
	source  *platform.Collection[*fleet.Instance]
	listing feed.Listing[*fleet.Instance]
	// observed is the place in the store's history up to which the tracker knows the versions of servers, and at the newer one up
	// to which the last check has looked. Only the duty uses the latter.
	observed atomic.Pointer[history.Place]
	at       history.Place

	mutex sync.Mutex
	// next is the check that waits for its turn; nil if nobody has asked for one.
	next *sharedCheck
	// restsUntil is until when no check is made, since the last one failed.
	restsUntil time.Time
	// asked tells the duty that there is one.
	asked chan struct{}
}

// sharedCheck is one check. Its error counts once it is done.
type sharedCheck struct {
	done chan struct{}
	err  error
}

func newVersionCheck(d *Daemon, tracker *resumption.Tracker) *versionCheck {
	c := &versionCheck{daemon: d, tracker: tracker, source: d.store.Servers(), asked: make(chan struct{}, 1)}
	c.source.Skipped = d.unreadable("instances")
	return c
}

// confirm has the tracker know all versions that servers have now. The check begins after the call of confirm, so that its answer
// covers all streams that began before. While the store is known not to answer this daemon, it fails at once.
func (c *versionCheck) confirm(ctx context.Context) error {
	if c.daemon.following.probing.Load() != nil || c.rests() {
		return errNotConfirmed.New("store does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, versionCheckTimeout+c.pause())
	defer cancel()
	check := c.join()
	select {
	case <-check.done:
		return check.err
	case <-ctx.Done():
		return errNotConfirmed.Wrap(context.Cause(ctx))
	}
}

// rests reports whether the last check has failed a moment ago.
func (c *versionCheck) rests() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.daemon.clock.Now().Before(c.restsUntil)
}

// finish hands the result of a check to the requests that wait for it.
func (c *versionCheck) finish(check *sharedCheck, err error) {
	if err != nil {
		c.mutex.Lock()
		c.restsUntil = c.daemon.clock.Now().Add(versionCheckRest)
		c.mutex.Unlock()
	}
	check.err = err
	close(check.done)
}

// join returns the check that waits for its turn.
func (c *versionCheck) join() *sharedCheck {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next == nil {
		c.next = &sharedCheck{done: make(chan struct{})}
		select {
		case c.asked <- struct{}{}:
		default:
		}
	}
	return c.next
}

// begin returns the check whose turn it is. Requests that come later wait for another one.
func (c *versionCheck) begin() *sharedCheck {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	check := c.next
	c.next = nil
	return check
}

func (c *versionCheck) pause() time.Duration {
	return max(versionCheckPause, versionCheckPausePerDaemon*time.Duration(c.daemon.fleet.live.Load()))
}

// run performs the checks, one after the other.
func (c *versionCheck) run() {
	d := c.daemon
	for {
		select {
		case <-c.asked:
		case <-d.ctx.Done():
			return
		}
		if check := c.begin(); check != nil {
			c.finish(check, c.perform(d.ctx))
		}
		sleep(d.ctx, c.pause())
	}
}

// perform asks for the changes of servers since the newest known place, or for all servers if the store no longer has the changes.
func (c *versionCheck) perform(ctx context.Context) error {
	d := c.daemon
	began := d.clock.Now()
	if place := c.observed.Load(); place != nil {
		c.at = history.Newer(c.at, *place)
	}
	batch, err := c.source.Watch(ctx, c.at, lookWait, versionCheckTimeout)
	if listAgain := feed.ErrHistoryGone.Has(err) || err == nil && batch.At.Era != c.at.Era; listAgain {
		batch, err = c.listing.List(ctx, c.source, feed.Newest)
	}
	d.metrics.countRecordCall("confirm", err)
	if err != nil {
		d.log.add("origin", "Versions not confirmed.", "error", err, "took_ms", d.clock.Since(began).Milliseconds())
		return errNotConfirmed.Wrap(err)
	}
	c.at = history.Newer(c.at, batch.At)
	now := d.clock.Now()
	for _, item := range batch.Items {
		if !item.Gone {
			c.tracker.NoteVersion(now, item.Value.Service, item.Value.Software)
		}
	}
	return nil
}
