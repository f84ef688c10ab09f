package balance

import "time"

// fullUpdateInterval is the time between two messages with all loads, because a message with
// changes may have been lost. It is far below peerTTL, the time for which the loads of another
// daemon count.
const fullUpdateInterval = time.Second

// LoadDeltas computes the load updates for other daemons: all loads at intervals of
// fullUpdateInterval, and only the changed ones in between.
type LoadDeltas struct {
	receivers  string
	sent       map[string]Load
	fullSentAt time.Time
}

// FullUpdateDue reports whether the next update has to contain all loads.
func (t *LoadDeltas) FullUpdateDue(now time.Time) bool {
	return now.Sub(t.fullSentAt) >= fullUpdateInterval
}

// Next returns the next update, and whether it contains changes only. The string receivers
// identifies the set of receivers: a different set from the last time gets all loads. The caller
// must not modify the loads afterwards.
func (t *LoadDeltas) Next(now time.Time, receivers string, loads map[string]Load) (update map[string]Load, changes bool) {
	sent := t.sent
	t.sent = loads
	if receivers != t.receivers || t.FullUpdateDue(now) {
		t.receivers, t.fullSentAt = receivers, now
		return loads, false
	}
	return changedLoads(sent, loads), true
}

// changedLoads returns the loads that differ, with a zero Load for each instance that is no longer
// there.
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
