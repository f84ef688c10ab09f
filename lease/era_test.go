package lease_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/lease"
)

// TestHolderGoesOnAfterARestore covers a holder whose record the store has lost. The store then shows
// the record of the holder before it, another record, or none. The holder writes its own record again
// within its term and keeps its token, while another candidate waits. A holder whose term has ended
// waits as well, and gets a higher token.
func TestHolderGoesOnAfterARestore(t *testing.T) {
	for _, c := range []struct {
		name string
		copy lease.Stored
	}{
		{"no record", lease.Stored{}},
		{"another holder", lease.Stored{Record: lease.Record{Holder: "other", Boot: "1", Fence: 1}, At: history.At(0, 1)}},
		{"handed back", lease.Stored{Record: lease.Record{Fence: 1}, At: history.At(0, 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, outage := range []time.Duration{time.Second, 2 * term} {
				s := &store{revision: 40}
				holder, other := newCandidate("holder", 1), newCandidate("other", 1)
				now := drive(holder, s, time.Unix(1000, 0), 2*time.Second)
				now = drive(other, s, now, 100*time.Millisecond)
				before, _ := holder.lease.MayOrder(now)
				now = now.Add(outage)
				s.era, s.revision, s.stored = 1, c.copy.At.Revision, c.copy
				s.stored.At.Era = s.era
				kept := holder.lease.Held(now)
				var took time.Duration
				back := now
				for now.Before(back.Add(3 * term)) {
					now = drive(other, s, now, 50*time.Millisecond)
					now = drive(holder, s, now, 50*time.Millisecond)
					if holder.lease.Held(now) && other.lease.Held(now) {
						t.Fatal("two candidates hold the lease")
					}
					if took == 0 && (holder.lease.Held(now) || other.lease.Held(now)) {
						took = now.Sub(back)
					}
				}
				fence, may := holder.lease.MayOrder(now)
				switch {
				case kept && (!may || fence != before || took > 200*time.Millisecond):
					t.Errorf("the holder continues after %v under token %d (may order: %v), token before: %d", took, fence, may, before)
				case !kept && (took < term || took > term+time.Second):
					t.Errorf("lease taken %v after the restore", took)
				}
				if next, may := other.lease.MayOrder(now); may && next <= before {
					t.Errorf("token %d after token %d", next, before)
				}
			}
		})
	}
}

// TestAnswersOfAnEarlierEraAreNotAskedForInARow covers a candidate that has received an era which the
// store that answers it has not reached yet. It guards against calls in quick succession.
func TestAnswersOfAnEarlierEraAreNotAskedForInARow(t *testing.T) {
	s, c := &store{era: 1}, newCandidate("c", 1)
	now := time.Unix(1000, 0)
	c.lease.EraLearned(now, 2)
	calls := 0
	for end := now.Add(time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		if call := c.lease.Step(now, true); call != nil {
			calls++
			outcome, stored := s.call(*call)
			stored.At.Era = s.era
			c.lease.CallFinished(now, outcome, stored)
		}
	}
	if calls > 5 {
		t.Errorf("%d calls in a second", calls)
	}
}
