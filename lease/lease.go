// Package lease is the state machine of one lease that is kept in an external
// store with conditional updates. It does no I/O and reads no clock: the driver
// tells it the steady time, carries out the calls it asks for and reports their
// answers.
//
// Safety rests on three rules. The holder counts its term from the moment before
// it sent a renewal that succeeded, and stops a margin before the term is over.
// Another candidate takes over only after it has seen the same record unchanged
// for a whole term of its own clock, by an update on exactly that revision. The
// token of the place at which the holder changed is the fencing token. After the store has come back from
// an earlier copy of itself, nobody but the holder takes the lease for a term.
package lease

import (
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// Lease is the view that one candidate has of the lease.
type Lease struct {
	settings Settings
	self     string
	boot     string

	known      bool
	read       bool // the store was asked at least once
	stored     Stored
	unchanged  time.Time // since when the stored record is known to be unchanged
	held       bool
	fence      uint64
	validUntil time.Time
	firstOrder time.Time // no order before this moment
	succeeded  bool      // there was a holder before
	calling    bool
	calledAt   time.Time
	pending    Call
	// pendingEra is the newest era that was known when the pending call was made.
	pendingEra uint64
	retryAt    time.Time
	leaving    bool
	// aside says that this candidate could not act as the holder now.
	aside bool

	// era is the newest era of the store that is known.
	era      uint64
	eraKnown bool
	// writtenEra is that of the last write of our own that succeeded.
	writtenEra uint64
	// closedUntil is until when nobody takes the lease, as a holder of the era before may still act.
	closedUntil time.Time
}

// New returns the view of a candidate. Boot must differ between two processes
// of the same candidate.
func New(self, boot string, settings Settings) *Lease {
	return &Lease{settings: settings, self: self, boot: boot}
}

// Holder returns the last known holder, and whether any record is known.
func (l *Lease) Holder() (string, bool) { return l.stored.Record.Holder, l.known }

// Held reports whether this candidate may act as the holder now.
func (l *Lease) Held(now time.Time) bool {
	return l.held && now.Before(l.validUntil)
}

// Retained reports whether this candidate held the lease last, as far as it knows,
// even if the term is over, and does not hand it back.
func (l *Lease) Retained() (fence uint64, ok bool) { return l.fence, l.held && !l.yields() }

// ValidUntil is when the right of the holder ends unless it is renewed.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// MayOrder reports whether orders may be sent now, and their fencing token. A
// holder that took over from another one waits first, if the settings say so.
func (l *Lease) MayOrder(now time.Time) (fence uint64, ok bool) {
	return l.fence, l.Held(now) && !now.Before(l.firstOrder)
}

// Step returns the call to make now, if any. Eager says that this candidate
// should try to take the lease; a holder renews in any case.
func (l *Lease) Step(now time.Time, eager bool) *Call {
	if l.calling {
		if now.Sub(l.calledAt) < l.settings.CallTimeout {
			return nil
		}
		l.calling = false
		l.known = l.known && l.pending.Write == nil
	}
	if now.Before(l.retryAt) {
		return nil
	}
	switch {
	case l.held && l.yields() && l.writtenEra < l.era:
		// The store has lost that this candidate held the lease, or handed it back: another one may hold it.
		l.held = false
		return nil
	case l.held && l.yields():
		// From here on another one may hold it, whatever becomes of the answer.
		l.validUntil = now
		return l.call(now, Call{Write: l.handedBack(), If: l.stored.At})
	case l.held:
		return l.renew(now)
	case l.yields():
		return nil
	case !l.read:
		// Whoever held the lease before it restarted takes it back at once.
		return l.call(now, Call{MayLag: true})
	case !eager && !l.mine():
		return nil
	case !l.known:
		return l.call(now, Call{})
	default:
		return l.take(now)
	}
}

func (l *Lease) renew(now time.Time) *Call {
	renewAt := l.validUntil.Add(l.settings.Margin - l.settings.Term + l.settings.RenewEvery)
	if now.Before(renewAt) && l.writtenEra == l.era {
		return nil
	}
	if !l.known {
		return l.call(now, Call{})
	}
	record := l.own()
	if l.writtenEra == l.era {
		record.EraRenewals++
	}
	return l.call(now, Call{Write: record, If: l.stored.At})
}

func (l *Lease) own() *Record {
	record := &Record{Holder: l.self, Boot: l.boot, Fence: l.fence, Renewals: l.stored.Record.Renewals + 1, Era: l.era}
	if l.stored.Record.Era == l.era {
		record.EraRenewals = l.stored.Record.EraRenewals
	}
	return record
}

// handedBack is the record of a lease that nobody holds.
func (l *Lease) handedBack() *Record {
	record := l.own()
	record.Holder, record.Boot = "", ""
	return record
}

// mine reports whether the record names an earlier process of this candidate, which
// has ended: two processes of one candidate do not run side by side.
func (l *Lease) mine() bool { return l.known && l.stored.Record.Holder == l.self }

// take tries to become the holder once the known record has been unchanged for
// a term, or was handed back, never existed or is our own.
func (l *Lease) take(now time.Time) *Call {
	if now.Before(l.closedUntil) {
		return nil
	}
	// Who is named by a copy, or nobody, may not be who held the lease last.
	free := !l.stored.copied() && (l.stored.none() || l.stored.Record.Holder == "" || l.mine())
	if !free && now.Sub(l.unchanged) < l.settings.Term {
		return nil
	}
	if !free && now.Sub(l.calledAt) > l.settings.Term/4 && l.pending.Write == nil {
		// The record may have moved since it was read: look once more, so that
		// a holder that renews is not disturbed by failing updates.
		return l.call(now, Call{})
	}
	record := l.own()
	record.Fence = 0
	return l.call(now, Call{Write: record, If: l.stored.At})
}

func (l *Lease) call(now time.Time, call Call) *Call {
	l.calling = true
	l.calledAt = now
	l.pending, l.pendingEra = call, l.era
	return &call
}

// Answered takes in the end of the call under way. For OutcomeDone and
// OutcomeConflict, stored is the record as it is in the store.
func (l *Lease) Answered(now time.Time, outcome Outcome, stored Stored) {
	if !l.calling {
		return
	}
	l.calling = false
	write := l.pending.Write
	if outcome != OutcomeFailed {
		l.EraLearned(now, stored.At.Era)
	}
	switch {
	case outcome != OutcomeFailed && stored.At.Era < l.era, outcome == OutcomeDone && write != nil && l.pendingEra < l.era:
		// It is of the store as it was before, or its condition was: what holds now has to be read.
		l.read, l.known = true, false
		l.retryAt = now.Add(l.settings.RenewEvery / 4)
	case outcome == OutcomeFailed:
		l.retryAt = now.Add(l.settings.RenewEvery / 4)
		if write != nil {
			// The write may have been done: the next call has to read.
			l.known = false
		}
	case outcome == OutcomeDone && write != nil:
		l.written(stored)
	default:
		l.observe(now, stored)
	}
}

// written takes in a write of our own that succeeded.
func (l *Lease) written(stored Stored) {
	previous := l.stored
	l.read = true
	l.learn(l.calledAt, stored)
	if stored.Record.Holder != l.self || stored.Record.Boot != l.boot {
		l.held = false
		return
	}
	l.writtenEra = l.era
	if !l.held {
		l.succeeded = !previous.none()
		other := !previous.none() && previous.Record.Holder != l.self
		l.begin(other || previous.copied() || l.calledAt.Sub(l.closedUntil) < l.settings.Term, stored.At.Token())
	}
	l.validUntil = l.calledAt.Add(l.settings.Term - l.settings.Margin)
}

func (l *Lease) begin(wait bool, fence uint64) {
	l.held = true
	l.fence = fence
	l.firstOrder = l.calledAt
	if wait {
		l.firstOrder = l.calledAt.Add(l.settings.OrderPause)
	}
}

// observe takes in a record that was read, or found in the way of a write.
func (l *Lease) observe(now time.Time, stored Stored) {
	l.read = true
	if l.pending.MayLag && stored.At.Before(l.stored.At) {
		// A renewal was heard of meanwhile.
		return
	}
	l.learn(now, stored)
	ours := stored.Record.Holder == l.self && stored.Record.Boot == l.boot
	switch {
	case l.held && !ours && l.predates(stored) && l.Held(now):
		// The copy is older than this holder's term, in which nobody else takes the lease: the next
		// renewal replaces it.
	case l.held && !ours:
		l.held = false
	case !l.held && ours && !l.yields() && !stored.copied():
		// A write of ours was done although its answer was lost. How long ago
		// is not known, so the next renewal starts the term.
		fence := stored.Record.Fence
		if fence == 0 {
			fence = stored.At.Token()
		}
		l.succeeded = true
		l.begin(true, fence)
		l.firstOrder = now.Add(l.settings.OrderPause)
		l.validUntil = l.calledAt
	}
}

func (l *Lease) learn(now time.Time, stored Stored) {
	if !l.known || stored.At != l.stored.At {
		if stored.At != l.stored.At || l.unchanged.IsZero() {
			l.unchanged = now
		}
	}
	l.stored = stored
	l.known = true
}

// Place is that of the newest record that is known.
func (l *Lease) Place() history.Place { return l.stored.At }

// Heard takes in that the holder renewed the lease at the given place. That
// the record is unchanged since now can then be told without asking the store.
func (l *Lease) Heard(now time.Time, renewal history.Place) {
	l.EraLearned(now, renewal.Era)
	if l.held || !renewal.After(l.stored.At) || renewal.Era < l.era {
		return
	}
	l.read = true
	l.stored = Stored{Record: Record{Holder: heardHolder, Era: renewal.Era}, At: renewal}
	l.unchanged = now
	l.known = true
}

// heardHolder stands for a holder whose record was not read.
const heardHolder = "(heard)"

// HeardReleased takes in that the holder handed the lease back by the write with the
// given place: it may be taken without waiting or asking the store.
func (l *Lease) HeardReleased(now time.Time, release history.Place) {
	l.EraLearned(now, release.Era)
	if l.held || !release.After(l.stored.At) || release.Era < l.era {
		return
	}
	l.read = true
	l.stored = Stored{Record: Record{Era: release.Era}, At: release}
	l.unchanged = now
	l.known = true
}

// Succeeded reports whether there was a holder before this one, whatever it did.
func (l *Lease) Succeeded() bool { return l.succeeded }

// Lost makes this candidate give up the lease at once: a server told of a higher
// fencing token.
func (l *Lease) Lost() {
	l.held = false
	l.known = false
}

// Leave makes this candidate hand the lease back and not take it again.
func (l *Lease) Leave() { l.leaving = true }

// StandAside makes this candidate hand the lease back, and not take it as long as aside holds.
func (l *Lease) StandAside(aside bool) { l.aside = aside }

// yields reports whether this candidate hands the lease back.
func (l *Lease) yields() bool { return l.leaving || l.aside }

// HandedBack reports whether the lease is not held any more after Leave or StandAside.
func (l *Lease) HandedBack() bool { return l.yields() && !l.held }

// Left reports whether the lease is not held any more after Leave.
func (l *Lease) Left() bool { return l.leaving && !l.held }

// Released reports whether the newest record that is known is one that was handed back.
// A lease that is not held any more may be another holder's by now, and so may one of which a copy of the
// store shows that it was handed back.
func (l *Lease) Released() bool {
	return l.known && !l.stored.none() && !l.stored.copied() && l.stored.Record.Holder == ""
}
