// Package notice tracks what instances state about themselves in response headers: that they are leaving, how many
// requests they accept from all daemons together, and for how long this daemon must back off. It does no I/O and
// reads no clock.
//
// All three are binding, unlike the advice of balance.Tracker: the selection of an instance must not override them
// because no other instance is left.
package notice

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// departedTTL is how long the state of a leaving or limited instance is kept after it was last listed. Its
	// entry may return to the list while the store is in trouble.
	departedTTL = time.Hour
	// removedLimitTTL is how long the removal of a limit is kept: older updates with the limit may still arrive.
	removedLimitTTL = time.Minute
)

// Tracker tracks the notices of instances. It is not safe for concurrent use.
type Tracker struct {
	records map[string]*record
}

// record is the state of one run of a server.
type record struct {
	leaving      bool
	limit        limit
	backoffUntil time.Time
	// lastSeenAt is when the instance was last listed, or its last notice arrived.
	lastSeenAt time.Time
}

// limit is the latest known state of a limit, including that it was removed.
type limit struct {
	named     bool
	perSecond float64
	// change orders the states that daemons exchange: a later state has a higher value. Zero means that the
	// instance never stated a limit.
	change uint64
	// receivedAt is when this daemon received the state.
	receivedAt time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{records: map[string]*record{}} }

// Change is a change of the state of one instance.
type Change struct {
	Instance string
	// Leaving means that the instance is known to be leaving from now on.
	Leaving bool
	// Limited means that the instance states a limit from now on, of PerSecond, and LimitRemoved that it no longer has
	// one.
	Limited      bool
	PerSecond    float64
	LimitRemoved bool
	// BackoffUntil is the end of a backoff that the instance requested from this daemon; zero if it requested none.
	BackoffUntil time.Time
}

// Empty reports whether nothing has changed.
func (c *Change) Empty() bool { return !c.MustBroadcast() && c.BackoffUntil.IsZero() }

// MustBroadcast reports whether the change must be sent to the other daemons.
func (c *Change) MustBroadcast() bool { return c.Leaving || c.Limited || c.LimitRemoved }

// Observe records a notice that this daemon received from an instance itself.
func (t *Tracker) Observe(now time.Time, observed *fleet.ObservedNotice) Change {
	change := Change{Instance: observed.Instance}
	stated := &observed.Notice
	entry := t.records[observed.Instance]
	if entry == nil {
		if !stated.Leaving && !stated.Limit.Named && stated.Backoff <= 0 {
			return change
		}
		entry = &record{}
		t.records[observed.Instance] = entry
	}
	entry.lastSeenAt = now
	if stated.Leaving && !entry.leaving {
		entry.leaving, change.Leaving = true, true
	}
	if until := now.Add(stated.Backoff); stated.Backoff > 0 && until.After(entry.backoffUntil) {
		entry.backoffUntil, change.BackoffUntil = until, until
	}
	if entry.limit.supersededBy(observed) {
		entry.limit = limit{
			named: stated.Limit.Named, perSecond: stated.Limit.PerSecond, receivedAt: now,
			change: max(entry.limit.change+1, uint64(now.UnixMilli())),
		}
		entry.limit.fill(&change)
	}
	return change
}

// supersededBy reports whether a response changes the known limit. One that may be older than the known state
// counts only if it lowers the limit: responses on different connections may be reordered.
func (l *limit) supersededBy(observed *fleet.ObservedNotice) bool {
	stated := observed.Notice.Limit
	switch {
	case stated.Unreadable:
		return false
	case stated.Named == l.named && stated.PerSecond == l.perSecond:
		return false
	case stated.Named && (!l.named || stated.PerSecond < l.perSecond):
		return true
	default:
		return observed.SentAt.After(l.receivedAt)
	}
}

func (l *limit) fill(change *Change) {
	change.Limited, change.PerSecond, change.LimitRemoved = l.named, l.perSecond, !l.named
}

// newerThan reports whether this state takes precedence over another daemon's.
func (l *limit) newerThan(other *limit) bool {
	switch {
	case l.change != other.change:
		return l.change > other.change
	case l.named != other.named:
		return l.named
	default:
		return l.perSecond < other.perSecond
	}
}

// BackoffUntil returns until when this daemon must send no requests to an instance.
func (t *Tracker) BackoffUntil(instance string) time.Time {
	if entry := t.records[instance]; entry != nil {
		return entry.backoffUntil
	}
	return time.Time{}
}

// BackingOff returns the instances that have requested a backoff from this daemon, with its end.
func (t *Tracker) BackingOff(now time.Time) map[string]time.Time {
	backingOff := map[string]time.Time{}
	for instance, entry := range t.records {
		if now.Before(entry.backoffUntil) {
			backingOff[instance] = entry.backoffUntil
		}
	}
	return backingOff
}

// Leaving reports whether an instance has stated that it is leaving.
func (t *Tracker) Leaving(instance string) bool {
	entry := t.records[instance]
	return entry != nil && entry.leaving
}

// RecentlyLeaving returns the instances that have stated that they are leaving, and that were listed or sent a notice
// within broadcastWindow.
func (t *Tracker) RecentlyLeaving(now time.Time) []string {
	var leaving []string
	for instance, entry := range t.records {
		if entry.leaving && now.Sub(entry.lastSeenAt) < broadcastWindow {
			leaving = append(leaving, instance)
		}
	}
	return leaving
}

// Limit returns how many requests per second an instance accepts from all daemons together, if it states a limit.
func (t *Tracker) Limit(instance string) (perSecond float64, limited bool) {
	entry := t.records[instance]
	if entry == nil || !entry.limit.named {
		return 0, false
	}
	return entry.limit.perSecond, true
}

// Empty reports whether no state is kept of any instance.
func (t *Tracker) Empty() bool { return len(t.records) == 0 }

// Counts returns how many instances are leaving, are limited and have requested a backoff.
func (t *Tracker) Counts(now time.Time) (leaving, limited, backingOff int) {
	for _, entry := range t.records {
		if entry.leaving {
			leaving++
		}
		if entry.limit.named {
			limited++
		}
		if now.Before(entry.backoffUntil) {
			backingOff++
		}
	}
	return leaving, limited, backingOff
}

// Prune removes expired state. Listed reports whether an instance is in the list of instances.
func (t *Tracker) Prune(now time.Time, listed func(instance string) bool) {
	for instance, entry := range t.records {
		if listed(instance) {
			entry.lastSeenAt = now
		}
		if entry.expired(now) {
			delete(t.records, instance)
		}
	}
}

func (r *record) expired(now time.Time) bool {
	switch {
	case now.Before(r.backoffUntil):
		return false
	case r.leaving || r.limit.named:
		return now.Sub(r.lastSeenAt) >= departedTTL
	default:
		return now.Sub(r.limit.receivedAt) >= removedLimitTTL
	}
}
