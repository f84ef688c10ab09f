package lease_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/lease"
)

// TestHolderGoesOnAfterARestore covers a holder whose record the store has lost, with that of the holder
// before it, or any record, in its place: it writes its own again within its term and keeps its token, while
// another candidate waits. One whose term is over waits as well, and gets a token that is higher.
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
						t.Fatal("two hold it")
					}
					if took == 0 && (holder.lease.Held(now) || other.lease.Held(now)) {
						took = now.Sub(back)
					}
				}
				fence, may := holder.lease.MayOrder(now)
				switch {
				case kept && (!may || fence != before || took > 200*time.Millisecond):
					t.Errorf("the holder goes on after %v under %d (%v), before it was %d", took, fence, may, before)
				case !kept && (took < term || took > term+time.Second):
					t.Errorf("taken %v after the store was back", took)
				}
				if next, may := other.lease.MayOrder(now); may && next <= before {
					t.Errorf("the token %d after %d", next, before)
				}
			}
		})
	}
}

// TestAnswersOfAnEarlierEraAreNotAskedForInARow covers a candidate that has heard of an era before the store
// that answers it.
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
			c.lease.Answered(now, outcome, stored)
		}
	}
	if calls > 5 {
		t.Errorf("%d calls in a second", calls)
	}
}
