package lease_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/lease"
)

// TestEraIsNotTakenForOlderThanItIs guards against a candidate that has just started and takes an era of the store for
// older than it is, as the holder wrote its record again after each answer that was lost.
func TestEraIsNotTakenForOlderThanItIs(t *testing.T) {
	s, holder := &store{revision: 40}, newCandidate("holder", 1)
	now := drive(holder, s, time.Unix(1000, 0), 2*time.Second)
	s.era, s.stored.At = 1, history.At(1, s.stored.At.Revision)
	began := now
	for now.Before(began.Add(4 * time.Second)) {
		if call := holder.lease.Step(now, true); call != nil {
			outcome, stored := s.call(*call)
			if call.Write != nil && now.Sub(began) > 500*time.Millisecond && now.Sub(began) < 2*time.Second {
				// The store takes the write, and its answer is lost.
				outcome, stored = lease.OutcomeFailed, lease.Stored{}
			}
			holder.lease.CallFinished(now, outcome, stored)
		}
		started := newCandidate("started", 1)
		call := started.lease.Step(now, false)
		outcome, stored := s.call(*call)
		started.lease.CallFinished(now, outcome, stored)
		if age := started.lease.EraAge(); age > now.Sub(began) {
			t.Fatalf("%v after an era began it is taken for %v old", now.Sub(began), age)
		}
		now = now.Add(50 * time.Millisecond)
	}
}
