package lease

import (
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// Record is the stored form of the lease.
type Record struct {
	// Holder is empty when the lease was handed back.
	Holder string
	// Boot tells two processes of one holder apart.
	Boot string
	// Fence is the token of the holder: that of the place at which it took over.
	// In the store it is zero until the first renewal.
	Fence uint64
	// Renewals makes each renewal a change.
	Renewals uint64
	// Era is that of the store as the writer knew it, and EraRenewals how often the lease was renewed in it.
	Era         uint64
	EraRenewals uint64
}

// Stored is a record with the place of its last change; the place has no revision if there is no
// record yet.
type Stored struct {
	Record Record
	At     history.Place
}

// none reports whether there is no record.
func (s *Stored) none() bool { return s.At.Revision == 0 }

// copied reports whether the record was written in an earlier era than the one whose store shows it: the
// store came back from a copy since, and has lost what was written between the two.
func (s *Stored) copied() bool { return !s.none() && s.Record.Era < s.At.Era }

// Settings of a lease.
type Settings struct {
	// Term is how long a renewal lasts.
	Term time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// OrderPause is how long a holder that took over from another one sends no
	// orders.
	OrderPause time.Duration
	// Margin is how long before the end of the term the holder stops.
	Margin time.Duration
	// CallTimeout is after how long an unanswered call is given up.
	CallTimeout time.Duration
}

// DefaultSettings returns settings for a term, for servers that check no fencing
// token: orders of two holders then must never alternate within a term.
func DefaultSettings(term time.Duration) Settings {
	return Settings{Term: term, RenewEvery: term / 3, OrderPause: term, Margin: term / 6, CallTimeout: term / 4}
}

// Call is what the driver has to do: read the record, or write one.
type Call struct {
	// Write is nil for a read.
	Write *Record
	// If is the place of the record that a write replaces; without a revision it creates.
	If history.Place
	// MayLag allows a stale read, of a record some seconds old, as for the first read of a
	// candidate: whatever it decides by an old record is a write on that record's place,
	// which fails if there is a newer one.
	MayLag bool
}

// Outcome is how a call ended.
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
