// Package notice keeps what instances say of themselves in the heads of their answers: that they
// leave, how many requests they take from all daemons together, and that they want nothing from this
// daemon for a while. It does no I/O and reads no clock.
//
// All three bind, unlike what balance.Tracker advises against: who chooses an instance must not
// override them because there is no other one.
package notice

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// departedSpan is how long it is remembered that an instance leaves after it was last listed. Its
	// entry may come back while the store is in trouble.
	departedSpan = time.Hour
	// liftedSpan is how long it is remembered that a limit has ended: older news of it may still come.
	liftedSpan = time.Minute
)

// Book is what instances have said. It is not safe for concurrent use.
type Book struct {
	records map[string]*record
}

// record is what one life of a server has said.
type record struct {
	leaving   bool
	limit     limit
	restUntil time.Time
	// keptSince is when the instance was last listed, or said something.
	keptSince time.Time
}

// limit is the newest that is known of a limit, also that there is none any more.
type limit struct {
	named     bool
	perSecond float64
	// change orders what daemons know: a later one is higher. Zero means that nothing was ever said.
	change uint64
	// learnedAt is when this daemon came to know it.
	learnedAt time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[string]*record{}} }

// Change is what is new of one instance.
type Change struct {
	Instance string
	// Leaving says that it is known from now on that the instance leaves.
	Leaving bool
	// Limited says that it names a limit from now on, of PerSecond, and Lifted that it has none any more.
	Limited   bool
	PerSecond float64
	Lifted    bool
	// RestUntil is when a rest ends that this daemon was asked for; zero if it was not.
	RestUntil time.Time
}

// Empty reports whether nothing is new.
func (c *Change) Empty() bool { return !c.Shared() && c.RestUntil.IsZero() }

// Shared reports whether the other daemons have to know of it.
func (c *Change) Shared() bool { return c.Leaving || c.Limited || c.Lifted }

// Hear takes in what an instance said to this daemon.
func (b *Book) Hear(now time.Time, heard *fleet.Heard) Change {
	change := Change{Instance: heard.Instance}
	said := &heard.Notice
	known := b.records[heard.Instance]
	if known == nil {
		if !said.Leaving && !said.Limit.Named && said.Rest <= 0 {
			return change
		}
		known = &record{}
		b.records[heard.Instance] = known
	}
	known.keptSince = now
	if said.Leaving && !known.leaving {
		known.leaving, change.Leaving = true, true
	}
	if until := now.Add(said.Rest); said.Rest > 0 && until.After(known.restUntil) {
		known.restUntil, change.RestUntil = until, until
	}
	if known.limit.contradicted(heard) {
		known.limit = limit{
			named: said.Limit.Named, perSecond: said.Limit.PerSecond, learnedAt: now,
			change: max(known.limit.change+1, uint64(now.UnixMilli())),
		}
		known.limit.report(&change)
	}
	return change
}

// contradicted reports whether an answer says something else of the limit. One that may be older than
// what is known counts only if it asks for less: answers on different connections overtake each other.
func (l *limit) contradicted(heard *fleet.Heard) bool {
	said := heard.Notice.Limit
	switch {
	case said.Unreadable:
		return false
	case said.Named == l.named && said.PerSecond == l.perSecond:
		return false
	case said.Named && (!l.named || said.PerSecond < l.perSecond):
		return true
	default:
		return heard.SentAt.After(l.learnedAt)
	}
}

func (l *limit) report(change *Change) {
	change.Limited, change.PerSecond, change.Lifted = l.named, l.perSecond, !l.named
}

// later reports whether one daemon's knowledge of a limit goes before another's.
func (l *limit) later(other *limit) bool {
	switch {
	case l.change != other.change:
		return l.change > other.change
	case l.named != other.named:
		return l.named
	default:
		return l.perSecond < other.perSecond
	}
}

// RestUntil returns until when this daemon must send nothing to an instance.
func (b *Book) RestUntil(instance string) time.Time {
	if known := b.records[instance]; known != nil {
		return known.restUntil
	}
	return time.Time{}
}

// Resting returns the instances that want nothing from this daemon now, with until when.
func (b *Book) Resting(now time.Time) map[string]time.Time {
	resting := map[string]time.Time{}
	for instance, known := range b.records {
		if now.Before(known.restUntil) {
			resting[instance] = known.restUntil
		}
	}
	return resting
}

// Leaving reports whether an instance has said that it leaves.
func (b *Book) Leaving(instance string) bool {
	known := b.records[instance]
	return known != nil && known.leaving
}

// LeavingNow returns the instances that have said that they leave, and were listed or said something a moment
// ago.
func (b *Book) LeavingNow(now time.Time) []string {
	var leaving []string
	for instance, known := range b.records {
		if known.leaving && now.Sub(known.keptSince) < toldSpan {
			leaving = append(leaving, instance)
		}
	}
	return leaving
}

// Limit returns how many requests a second an instance takes from all daemons together, if it names a
// limit.
func (b *Book) Limit(instance string) (perSecond float64, limited bool) {
	known := b.records[instance]
	if known == nil || !known.limit.named {
		return 0, false
	}
	return known.limit.perSecond, true
}

// Empty reports whether no instance has said anything that still counts.
func (b *Book) Empty() bool { return len(b.records) == 0 }

// Counts returns how many instances leave, are limited and rest.
func (b *Book) Counts(now time.Time) (leaving, limited, resting int) {
	for _, known := range b.records {
		if known.leaving {
			leaving++
		}
		if known.limit.named {
			limited++
		}
		if now.Before(known.restUntil) {
			resting++
		}
	}
	return leaving, limited, resting
}

// Forget drops what no longer counts. Listed reports whether an instance is in the list.
func (b *Book) Forget(now time.Time, listed func(instance string) bool) {
	for instance, known := range b.records {
		if listed(instance) {
			known.keptSince = now
		}
		if known.forgotten(now) {
			delete(b.records, instance)
		}
	}
}

func (r *record) forgotten(now time.Time) bool {
	switch {
	case now.Before(r.restUntil):
		return false
	case r.leaving || r.limit.named:
		return now.Sub(r.keptSince) >= departedSpan
	default:
		return now.Sub(r.limit.learnedAt) >= liftedSpan
	}
}
