package lease

import "time"

// EraLearned takes in an era of the store. With a newer one the store has come back from a copy, and the
// record that is known may be gone. A holder whose term runs writes its own again. For a term nobody else
// takes the lease, whatever the copy says of it: until then the term of a holder of before is over.
func (l *Lease) EraLearned(now time.Time, era uint64) {
	if l.eraKnown && era <= l.era {
		return
	}
	rose := l.eraKnown
	l.era, l.eraKnown = era, true
	if !rose {
		l.writtenEra = era
		return
	}
	l.stored, l.known, l.unchanged = Stored{}, false, time.Time{}
	l.closedUntil = now.Add(l.settings.Term)
	if !l.Held(now) {
		l.held = false
	}
}

// EraAge is how long the era of the store has lasted at least, as its record of the lease tells.
func (l *Lease) EraAge() time.Duration {
	if l.stored.none() || l.stored.At.Era != l.era || l.stored.copied() {
		return 0
	}
	return time.Duration(l.stored.Record.EraRenewals) * l.settings.RenewEvery
}

// predates reports whether a record, or that there is none, is of a copy from before the last write of our
// own.
func (l *Lease) predates(stored Stored) bool {
	return l.writtenEra < stored.At.Era && (stored.none() || stored.copied())
}
