package balance

import "time"

// fullUpdateInterval is the time between two messages with all loads: one with changes may have
// been lost. It is far below the time for which the numbers of another daemon count.
const fullUpdateInterval = time.Second

// LoadDeltas works out what to tell other daemons about loads: all of them from time to
// time, in between only what has changed.
type LoadDeltas struct {
	receivers string
	sent      map[string]Load
	fullSentAt   time.Time
}

// Due reports whether all loads have to be told again.
func (t *LoadDeltas) Due(now time.Time) bool { return now.Sub(t.fullSentAt) >= fullUpdateInterval }

// Next returns what to tell now, and whether these are changes only. Receivers names those
// that hear it: others than the last time are told everything. The loads must not be
// changed afterwards.
func (t *LoadDeltas) Next(now time.Time, receivers string, loads map[string]Load) (update map[string]Load, changes bool) {
	told := t.sent
	t.sent = loads
	if receivers != t.receivers || t.Due(now) {
		t.receivers, t.fullSentAt = receivers, now
		return loads, false
	}
	return changedLoads(told, loads), true
}

// changedLoads returns the loads that are not as they were, an empty one for each that is
// gone.
func changedLoads(before, after map[string]Load) map[string]Load {
	changed := map[string]Load{}
	for id, load := range after {
		if before[id] != load {
			changed[id] = load
		}
	}
	for id := range before {
		if _, found := after[id]; !found {
			changed[id] = Load{}
		}
	}
	return changed
}
