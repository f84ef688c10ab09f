package lease

import "time"

// EraLearned records an era of the store. A newer era means that the store was restored from an earlier copy,
// and the known record may be gone. A holder whose term has not ended writes its own record again.
// Nobody else takes over the lease for a term, whatever record the copy shows. By then the term of any
// earlier holder has ended.
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
	l.stored, l.known, l.unchangedSince = Stored{}, false, time.Time{}
	l.noTakeoverUntil = now.Add(l.settings.Term)
	if !l.Held(now) {
		l.held = false
	}
}

// EraAge is the minimum age of the store's era, as given by its lease record.
func (l *Lease) EraAge() time.Duration {
	if l.stored.missing() || l.stored.At.Era != l.era || l.stored.fromCopy() {
		return 0
	}
	return time.Duration(l.stored.Record.EraRenewals) * l.settings.RenewInterval
}

// predates reports whether a record, or its absence, belongs to a copy made before our own last write.
func (l *Lease) predates(stored Stored) bool {
	return l.writtenEra < stored.At.Era && (stored.missing() || stored.fromCopy())
}
