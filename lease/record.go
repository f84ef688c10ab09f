package lease

import (
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// Record is the stored form of the lease.
type Record struct {
	// Holder is empty when the lease was handed back.
	Holder string
	// Boot distinguishes two processes of one holder.
	Boot string
	// Fence is the fencing token of the holder, given by the place at which it took over. In the store
	// it is zero until the first renewal.
	Fence uint64
	// Renewals makes each renewal a change.
	Renewals uint64
	// Era is the era of the store that the writer knew, and EraRenewals counts the renewals in it that
	// followed the one before by RenewInterval at least.
	Era         uint64
	EraRenewals uint64
}

// Stored is a record with the place of its last change. The place has no revision if there is no record
// yet.
type Stored struct {
	Record Record
	At     history.Place
}

// missing reports whether there is no record.
func (s *Stored) missing() bool { return s.At.Revision == 0 }

// fromCopy reports whether the record was written in an earlier era than that of the store which
// returned it. The store was restored from an earlier copy since, and has lost what was written between the two.
func (s *Stored) fromCopy() bool { return !s.missing() && s.Record.Era < s.At.Era }

// Settings of a lease.
type Settings struct {
	// Term is how long a renewal lasts.
	Term time.Duration
	// RenewInterval is the interval between two renewals.
	RenewInterval time.Duration
	// TakeoverOrderDelay is how long a holder that took over from another one sends no orders.
	TakeoverOrderDelay time.Duration
	// Margin is how long before the end of the term the holder stops.
	Margin time.Duration
	// CallTimeout is the timeout of a call.
	CallTimeout time.Duration
}

// DefaultSettings returns settings for a term, for servers that check no fencing token: orders of two
// holders then must never alternate within a term.
func DefaultSettings(term time.Duration) Settings {
	return Settings{Term: term, RenewInterval: term / 3, TakeoverOrderDelay: term, Margin: term / 6, CallTimeout: term / 4}
}

// Call is a call for the driver to make: a read of the record, or a write.
type Call struct {
	// Write is nil for a read.
	Write *Record
	// If is the place of the record that a write replaces. Without a revision the write creates the
	// record.
	If history.Place
	// MayLag allows a stale read of a record that is some seconds old, as for the first read of a
	// candidate. A decision on an old record leads to a write on that record's place, which fails if
	// there is a newer record.
	MayLag bool
}

// Outcome is the result of a call.
type Outcome uint8

// Outcomes of calls.
const (
	// OutcomeDone means that the call succeeded.
	OutcomeDone Outcome = iota
	// OutcomeConflict means that a write found another revision.
	OutcomeConflict
	// OutcomeFailed means that the call had no effect or an unknown one.
	OutcomeFailed
)
