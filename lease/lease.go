// Package lease is the state machine of one lease that is kept in an external store with conditional
// updates. It does no I/O and reads no clock. The driver passes in the monotonic time, makes the calls
// that it returns and reports their results.
//
// Safety rests on three rules. The holder counts its term from the moment before it sent a renewal that
// succeeded, and stops a margin before the term ends. Another candidate takes over only after it has
// seen the same record unchanged for a whole term of its own clock, by an update on exactly that
// revision. The token of the place at which the holder changed is the fencing token.
//
// After the store was restored from an earlier copy of itself, nobody but the holder takes over the
// lease for a term.
package lease

import (
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// Lease is one candidate's view of the lease.
type Lease struct {
	settings Settings
	self     string
	boot     string

	known          bool
	firstReadDone  bool // the store has answered a read or write, or a renewal was reported
	stored         Stored
	unchangedSince time.Time // since when the stored record is known to be unchanged
	held           bool
	fence          uint64
	validUntil     time.Time
	mayOrderFrom   time.Time // no order before this moment
	hadPredecessor bool      // there was a holder before
	callPending    bool
	calledAt       time.Time
	pending        Call
	// pendingEra is the newest era that was known when the pending call was made.
	pendingEra uint64
	retryAt    time.Time
	leaving    bool
	// yielding means that this candidate could not act as the holder now.
	yielding bool

	// era is the newest known era of the store. An era begins when the store is restored from an earlier copy.
	era      uint64
	eraKnown bool
	// writtenEra is the era of our own last write that succeeded.
	writtenEra uint64
	// eraCountedAt is when the time that Record.EraRenewals counts next begins.
	eraCountedAt time.Time
	// noTakeoverUntil is until when nobody takes over the lease, since a holder of the previous era may
	// still act.
	noTakeoverUntil time.Time
}

// New returns the view of a candidate. Boot must differ between two processes of the same candidate.
func New(self, boot string, settings Settings) *Lease {
	return &Lease{settings: settings, self: self, boot: boot}
}

// Holder returns the last known holder, and whether any record is known.
func (l *Lease) Holder() (string, bool) { return l.stored.Record.Holder, l.known }

// Held reports whether this candidate may act as the holder now.
func (l *Lease) Held(now time.Time) bool {
	return l.held && now.Before(l.validUntil)
}

// LastFence reports whether this candidate was the last holder as far as it knows, even if the term has
// ended, and does not hand the lease back.
func (l *Lease) LastFence() (fence uint64, ok bool) { return l.fence, l.held && !l.handsBack() }

// ValidUntil is when the right of the holder ends unless it is renewed.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// MayOrder reports whether orders may be sent now, and their fencing token. A holder that took over
// from another one waits first, if the settings require it.
func (l *Lease) MayOrder(now time.Time) (fence uint64, ok bool) {
	return l.fence, l.Held(now) && !now.Before(l.mayOrderFrom)
}

// Step returns the call to make now, if any. Eager means that this candidate should try to take the
// lease. A holder renews in any case.
func (l *Lease) Step(now time.Time, eager bool) *Call {
	if l.callPending {
		if now.Sub(l.calledAt) < l.settings.CallTimeout {
			return nil
		}
		l.callPending = false
		l.known = l.known && l.pending.Write == nil
	}
	if now.Before(l.retryAt) {
		return nil
	}
	switch {
	case l.held && l.handsBack() && l.writtenEra < l.era:
		// The store has lost the record of this holder, or that it handed the lease back. Another
		// candidate may hold the lease.
		l.held = false
		return nil
	case l.held && l.handsBack():
		// From here on another candidate may hold the lease, whatever the answer is.
		l.validUntil = now
		return l.call(now, Call{Write: l.releaseRecord(), If: l.stored.At})
	case l.held:
		return l.renew(now)
	case l.handsBack():
		return nil
	case !l.firstReadDone:
		// A candidate that held the lease before it restarted takes it back at once.
		return l.call(now, Call{MayLag: true})
	case !eager && !l.namesSelf():
		return nil
	case !l.known:
		return l.call(now, Call{})
	default:
		return l.takeOver(now)
	}
}

func (l *Lease) renew(now time.Time) *Call {
	renewAt := l.validUntil.Add(l.settings.Margin - l.settings.Term + l.settings.RenewInterval)
	if now.Before(renewAt) && l.writtenEra == l.era {
		return nil
	}
	if !l.known {
		return l.call(now, Call{})
	}
	record := l.renewalRecord()
	switch {
	case l.writtenEra != l.era:
		l.eraCountedAt = now
	case now.Sub(l.eraCountedAt) >= l.settings.RenewInterval:
		// A renewal whose answer was lost is repeated sooner and does not count again.
		record.EraRenewals++
		l.eraCountedAt = now
	}
	return l.call(now, Call{Write: record, If: l.stored.At})
}

func (l *Lease) renewalRecord() *Record {
	record := &Record{Holder: l.self, Boot: l.boot, Fence: l.fence, Renewals: l.stored.Record.Renewals + 1, Era: l.era}
	if l.stored.Record.Era == l.era {
		record.EraRenewals = l.stored.Record.EraRenewals
	}
	return record
}

// releaseRecord returns the record of a lease that nobody holds.
func (l *Lease) releaseRecord() *Record {
	record := l.renewalRecord()
	record.Holder, record.Boot = "", ""
	return record
}

// namesSelf reports whether the record names this candidate. It was written by an earlier process that
// has ended, since two processes of one candidate never run at the same time.
func (l *Lease) namesSelf() bool { return l.known && l.stored.Record.Holder == l.self }

// takeOver tries to become the holder. The known record must have been unchanged for a term, or be
// handed back, missing or our own.
func (l *Lease) takeOver(now time.Time) *Call {
	if now.Before(l.noTakeoverUntil) {
		return nil
	}
	// The holder that a copy shows, or its absence, may differ from the last holder.
	free := !l.stored.fromCopy() && (l.stored.missing() || l.stored.Record.Holder == "" || l.namesSelf())
	if !free && now.Sub(l.unchangedSince) < l.settings.Term {
		return nil
	}
	if !free && now.Sub(l.calledAt) > l.settings.Term/4 && l.pending.Write == nil {
		// The record may have changed since it was read. Another read avoids failing updates that would
		// disturb a holder which renews.
		return l.call(now, Call{})
	}
	record := l.renewalRecord()
	record.Fence = 0
	return l.call(now, Call{Write: record, If: l.stored.At})
}

func (l *Lease) call(now time.Time, call Call) *Call {
	l.callPending = true
	l.calledAt = now
	l.pending, l.pendingEra = call, l.era
	return &call
}

// CallFinished processes the result of the pending call. For OutcomeDone and OutcomeConflict, stored is the
// record as it is in the store.
func (l *Lease) CallFinished(now time.Time, outcome Outcome, stored Stored) {
	if !l.callPending {
		return
	}
	l.callPending = false
	write := l.pending.Write
	if outcome != OutcomeFailed {
		l.EraLearned(now, stored.At.Era)
	}
	switch {
	case outcome != OutcomeFailed && stored.At.Era < l.era, outcome == OutcomeDone && write != nil && l.pendingEra < l.era:
		// The answer, or the condition of the write, belongs to the store before its restore. The
		// present record must be read.
		l.firstReadDone, l.known = true, false
		l.retryAt = now.Add(l.settings.RenewInterval / 4)
	case outcome == OutcomeFailed:
		l.retryAt = now.Add(l.settings.RenewInterval / 4)
		if write != nil {
			// The write may have been done, so the next call must read.
			l.known = false
		}
	case outcome == OutcomeDone && write != nil:
		l.writeSucceeded(stored)
	default:
		l.observe(now, stored)
	}
}

// writeSucceeded processes our own write that succeeded.
func (l *Lease) writeSucceeded(stored Stored) {
	previous := l.stored
	l.firstReadDone = true
	l.recordStored(l.calledAt, stored)
	if stored.Record.Holder != l.self || stored.Record.Boot != l.boot {
		l.held = false
		return
	}
	l.writtenEra = l.era
	if !l.held {
		l.hadPredecessor = !previous.missing()
		other := !previous.missing() && previous.Record.Holder != l.self
		l.becomeHolder(other || previous.fromCopy() || l.calledAt.Sub(l.noTakeoverUntil) < l.settings.Term, stored.At.Token())
	}
	l.validUntil = l.calledAt.Add(l.settings.Term - l.settings.Margin)
}

func (l *Lease) becomeHolder(wait bool, fence uint64) {
	l.held = true
	l.fence = fence
	l.eraCountedAt = l.calledAt
	l.mayOrderFrom = l.calledAt
	if wait {
		l.mayOrderFrom = l.calledAt.Add(l.settings.TakeoverOrderDelay)
	}
}

// observe processes a record that was read, or that a conditional write found instead of the expected
// one.
func (l *Lease) observe(now time.Time, stored Stored) {
	l.firstReadDone = true
	if l.pending.MayLag && stored.At.Before(l.stored.At) {
		// A newer renewal was reported by another daemon in the meantime.
		return
	}
	l.recordStored(now, stored)
	ours := stored.Record.Holder == l.self && stored.Record.Boot == l.boot
	switch {
	case l.held && !ours && l.predates(stored) && l.Held(now):
		// The copy is older than this holder's term, in which nobody else takes over the lease. The
		// next renewal replaces the record.
	case l.held && !ours:
		l.held = false
	case !l.held && ours && !l.handsBack() && !stored.fromCopy():
		// Our own write was done although its answer was lost. How long ago is unknown, so the next
		// renewal starts the term.
		fence := stored.Record.Fence
		if fence == 0 {
			fence = stored.At.Token()
		}
		l.hadPredecessor = true
		l.becomeHolder(true, fence)
		l.mayOrderFrom = now.Add(l.settings.TakeoverOrderDelay)
		l.validUntil = l.calledAt
	}
}

func (l *Lease) recordStored(now time.Time, stored Stored) {
	if !l.known || stored.At != l.stored.At {
		if stored.At != l.stored.At || l.unchangedSince.IsZero() {
			l.unchangedSince = now
		}
	}
	l.stored = stored
	l.known = true
}

// Place is the place of the newest known record.
func (l *Lease) Place() history.Place { return l.stored.At }

// ObserveRenewal records that the holder renewed the lease at the given place, as reported by another daemon.
// That the record is unchanged since then is known without a call to the store.
func (l *Lease) ObserveRenewal(now time.Time, renewal history.Place) {
	l.EraLearned(now, renewal.Era)
	if l.held || !renewal.After(l.stored.At) || renewal.Era < l.era {
		return
	}
	l.firstReadDone = true
	l.stored = Stored{Record: Record{Holder: reportedHolder, Era: renewal.Era}, At: renewal}
	l.unchangedSince = now
	l.known = true
}

// reportedHolder stands for a holder whose record was not read.
const reportedHolder = "(heard)"

// ObserveRelease records that the holder handed the lease back by the write at the given place. The
// lease may be taken without a wait or a read.
func (l *Lease) ObserveRelease(now time.Time, release history.Place) {
	l.EraLearned(now, release.Era)
	if l.held || !release.After(l.stored.At) || release.Era < l.era {
		return
	}
	l.firstReadDone = true
	l.stored = Stored{Record: Record{Era: release.Era}, At: release}
	l.unchangedSince = now
	l.known = true
}

// HadPredecessor reports whether there was an earlier holder, however its term ended.
func (l *Lease) HadPredecessor() bool { return l.hadPredecessor }

// Revoke makes this candidate stop holding the lease at once, because a server reported a higher fencing
// token.
func (l *Lease) Revoke() {
	l.held = false
	l.known = false
}

// Leave makes this candidate hand the lease back and never take it again.
func (l *Lease) Leave() { l.leaving = true }

// Yield makes this candidate hand the lease back, and not take it while yielding is true.
func (l *Lease) Yield(yielding bool) { l.yielding = yielding }

// handsBack reports whether this candidate hands the lease back.
func (l *Lease) handsBack() bool { return l.leaving || l.yielding }

// HandedBack reports whether the lease is no longer held after Leave or Yield.
func (l *Lease) HandedBack() bool { return l.handsBack() && !l.held }

// Left reports whether the lease is no longer held after Leave.
func (l *Lease) Left() bool { return l.leaving && !l.held }

// Released reports whether the newest known record is one that was handed back. A lease that is no
// longer held may have another holder by now. So may a lease that only a copy of the store shows as
// handed back.
func (l *Lease) Released() bool {
	return l.known && !l.stored.missing() && !l.stored.fromCopy() && l.stored.Record.Holder == ""
}
