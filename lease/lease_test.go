package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/history"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/lease"
)

const term = 3 * time.Second

// store is the oracle: one record with conditional updates, whose answers may be lost before or after
// the write is done. A read that allows a stale record may get an earlier one. The store may be
// restored from an earlier copy with an earlier record, and then assigns the same revisions again.
type store struct {
	stored   lease.Stored
	era      uint64
	revision uint64
	fences   map[uint64]string
	// lags enables stale answers to reads that allow them. lagging counts these answers, and earlier
	// holds the previous records.
	lags    bool
	lagging int
	earlier []lease.Stored
}

// maxLostWrites is by how many writes a copy may be behind.
const maxLostWrites = 8

// maxLagRecords bounds the number of records by which such a read is stale.
const maxLagRecords = 6

func (s *store) call(call lease.Call) (lease.Outcome, lease.Stored) {
	if call.Write == nil && call.MayLag && s.lags {
		s.lagging++
		records := append(s.earlier, s.stored)
		return lease.OutcomeConflict, records[max(0, len(records)-1-s.lagging%maxLagRecords)]
	}
	if call.Write == nil {
		return lease.OutcomeConflict, s.stored
	}
	if call.If.Revision != s.stored.At.Revision {
		return lease.OutcomeConflict, s.stored
	}
	s.revision++
	s.earlier = append(s.earlier, s.stored)
	s.stored = lease.Stored{Record: *call.Write, At: history.At(s.era, s.revision)}
	return lease.OutcomeDone, s.stored
}

// restore restores the store from an earlier copy, with the record that was written a number of writes ago.
func (s *store) restore(writes int) {
	s.era++
	if number := len(s.earlier) - writes; writes > 0 && number > 0 {
		s.stored = s.earlier[number]
		s.earlier = s.earlier[:number]
	}
	s.stored.At.Era = s.era
	s.revision = s.stored.At.Revision
}

// candidate is one daemon with its own state, which may be paused.
type candidate struct {
	name     string
	lease    *lease.Lease
	paused   bool
	yielding bool
	pending  *lease.Call
}

func newCandidate(name string, boot int) *candidate {
	settings := lease.DefaultSettings(term)
	return &candidate{name: name, lease: lease.New(name, fmt.Sprint(boot), settings)}
}

// TestAtMostOneHolder runs candidates through pauses, restarts, planned stops, times in which they
// yield the lease, lost calls and lost answers. Reports that a lease was handed back may be late, and a
// candidate's first read may return an old record. At no moment do two candidates hold the lease, and
// no two share a token.
func TestAtMostOneHolder(t *testing.T) { testAtMostOneHolder(t, false) }

// TestAtMostOneHolderAcrossRestores is TestAtMostOneHolder with a store that is restored from earlier copies.
// The record may then name an earlier holder, or show the lease as handed back.
func TestAtMostOneHolderAcrossRestores(t *testing.T) { testAtMostOneHolder(t, true) }

func testAtMostOneHolder(t *testing.T, restores bool) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		s := &store{fences: map[uint64]string{}, lags: true}
		now := time.Unix(1000, 0)
		candidates := []*candidate{newCandidate("a", 0), newCandidate("b", 0), newCandidate("c", 0)}
		highest := uint64(0)
		// released holds the places at which the lease was handed back.
		var released []history.Place
		for step := range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			if restores && rapid.IntRange(0, 30).Draw(t, "restore") == 0 {
				s.restore(rapid.IntRange(0, maxLostWrites).Draw(t, "lost writes"))
			}
			for i, c := range candidates {
				switch rapid.IntRange(0, 40).Draw(t, "event") {
				case 0:
					c.paused = !c.paused
				case 1:
					candidates[i] = newCandidate(c.name, step+1)
					continue
				case 2:
					c.lease.Leave()
				case 5:
					// Another candidate has reported the era.
					c.lease.EraLearned(now, s.era)
				case 3, 4:
					if len(released) > 0 {
						c.lease.ObserveRelease(now, rapid.SampledFrom(released).Draw(t, "place"))
					}
				case 6, 7:
					c.yielding = !c.yielding
					c.lease.Yield(c.yielding)
				}
				if !c.paused {
					c.run(t, s, now)
				}
				if c.lease.HandedBack() && c.lease.Released() {
					released = append(released, c.lease.Place())
				}
				if c.lease.Left() {
					candidates[i] = newCandidate(c.name, step+1)
				}
			}
			holders := 0
			for _, c := range candidates {
				fence, may := c.lease.MayOrder(now)
				if c.lease.Held(now) {
					holders++
				}
				if !may {
					continue
				}
				if owner, used := s.fences[fence]; used && owner != c.name {
					t.Fatalf("%s and %s share the token %d", owner, c.name, fence)
				}
				s.fences[fence] = c.name
				if fence < highest {
					t.Fatalf("%s sends orders under token %d after token %d", c.name, fence, highest)
				}
				highest = fence
			}
			if holders > 1 {
				t.Fatalf("%d candidates hold the lease at once", holders)
			}
		}
	})
}

// run makes one call, and sometimes loses it or its answer.
func (c *candidate) run(t *rapid.T, s *store, now time.Time) {
	if c.pending != nil {
		// The answer of a call that was pending during a pause arrives late.
		outcome, stored := s.call(*c.pending)
		c.pending = nil
		c.lease.CallFinished(now, outcome, stored)
	}
	call := c.lease.Step(now, true)
	if call == nil {
		return
	}
	switch rapid.IntRange(0, 9).Draw(t, "fate") {
	case 0:
		c.lease.CallFinished(now, lease.OutcomeFailed, lease.Stored{})
	case 1:
		s.call(*call)
		c.lease.CallFinished(now, lease.OutcomeFailed, lease.Stored{})
	case 2:
		c.pending = call
	default:
		outcome, stored := s.call(*call)
		c.lease.CallFinished(now, outcome, stored)
	}
}

// drive runs one candidate without faults for a duration.
func drive(c *candidate, s *store, now time.Time, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if call := c.lease.Step(now, true); call != nil {
			outcome, stored := s.call(*call)
			c.lease.CallFinished(now, outcome, stored)
		}
	}
	return now
}

func TestTakeover(t *testing.T) {
	cases := []struct {
		name      string
		handBack  bool
		pause     time.Duration
		takeAfter time.Duration
		order     time.Duration
	}{
		{"after a silent death, with a pause before orders", false, term, term, 2 * term},
		{"after a silent death, servers check tokens", false, 0, term, term},
		{"after it was handed back", true, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &store{}
			settings := lease.DefaultSettings(term)
			settings.TakeoverOrderDelay = c.pause
			first := &candidate{lease: lease.New("first", "1", settings)}
			second := &candidate{lease: lease.New("second", "1", settings)}
			now := drive(first, s, time.Unix(1000, 0), 2*time.Second)
			if _, may := first.lease.MayOrder(now); !may {
				t.Fatal("the first candidate may not send orders although it has no predecessor")
			}
			if c.handBack {
				first.lease.Leave()
				now = drive(first, s, now, 200*time.Millisecond)
				if !first.lease.Left() {
					t.Fatal("the lease was not handed back")
				}
			}
			died := now
			ordered := time.Time{}
			taken := time.Time{}
			for ; now.Before(died.Add(4 * term)); now = now.Add(50 * time.Millisecond) {
				drive(second, s, now, 50*time.Millisecond)
				if taken.IsZero() && second.lease.Held(now) {
					taken = now
				}
				if _, may := second.lease.MayOrder(now); may && ordered.IsZero() {
					ordered = now
				}
			}
			const slack = 500 * time.Millisecond
			if got := taken.Sub(died); taken.IsZero() || got < c.takeAfter || got > c.takeAfter+slack {
				t.Errorf("taken after %v, want %v", got, c.takeAfter)
			}
			if got := ordered.Sub(died); ordered.IsZero() || got < c.order || got > c.order+slack {
				t.Errorf("ordered after %v, want %v", got, c.order)
			}
		})
	}
}

// TestHeardRenewalSavesTheWait covers a candidate that receives the holder's renewals from other
// daemons. The term runs from the last one, not from the candidate's own first read.
func TestHeardRenewalSavesTheWait(t *testing.T) {
	s := &store{}
	first := newCandidate("first", 1)
	now := drive(first, s, time.Unix(1000, 0), 2*time.Second)
	second := newCandidate("second", 1)
	second.lease.ObserveRenewal(now, first.lease.Place())
	now = now.Add(term)
	now = drive(second, s, now, 200*time.Millisecond)
	if !second.lease.Held(now) {
		t.Fatal("lease not taken a term after the last reported renewal")
	}
}

// TestRestartedHolderTakesItsLeaseBack covers a holder whose process is killed and restarted, while
// nobody else tries to take the lease.
func TestRestartedHolderTakesItsLeaseBack(t *testing.T) {
	s := &store{}
	now := drive(newCandidate("holder", 1), s, time.Unix(1000, 0), time.Second)
	again := newCandidate("holder", 2)
	for range 4 {
		if call := again.lease.Step(now, false); call != nil {
			outcome, stored := s.call(*call)
			again.lease.CallFinished(now, outcome, stored)
		}
	}
	if fence, may := again.lease.MayOrder(now); !may || fence != s.revision || !again.lease.HadPredecessor() {
		t.Fatalf("fence %d, may order %v at revision %d", fence, may, s.revision)
	}
	other := newCandidate("other", 1)
	for range 4 {
		if call := other.lease.Step(now, false); call != nil {
			if call.Write != nil {
				t.Fatal("a candidate that is not eager takes over the lease of another")
			}
			outcome, stored := s.call(*call)
			other.lease.CallFinished(now, outcome, stored)
		}
	}
}

// TestOldRecordDoesNotHideANewerRenewal covers a candidate whose first read returns an old record after
// a newer renewal was reported to it.
func TestOldRecordDoesNotHideANewerRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCandidate("c", 1)
	if call := c.lease.Step(now, false); call == nil || !call.MayLag {
		t.Fatalf("the first call is %+v", call)
	}
	c.lease.ObserveRenewal(now, history.At(0, 9))
	c.lease.CallFinished(now, lease.OutcomeConflict, lease.Stored{Record: lease.Record{Holder: "b"}, At: history.At(0, 5)})
	if place := c.lease.Place(); place != history.At(0, 9) {
		t.Errorf("place %v after a reported renewal at 9", place)
	}
	if call := c.lease.Step(now.Add(term+time.Millisecond), true); call == nil || call.MayLag || call.Write != nil && call.If != history.At(0, 9) {
		t.Errorf("the call after a term is %+v", call)
	}
}

func TestPausedHolderStops(t *testing.T) {
	s := &store{}
	holder := newCandidate("holder", 1)
	now := drive(holder, s, time.Unix(1000, 0), time.Second)
	if !holder.lease.Held(now) {
		t.Fatal("the lease is not held")
	}
	if now = now.Add(term); holder.lease.Held(now) {
		t.Fatal("the lease is held after a pause of a term")
	}
}

// TestHolderThatHandsBackStopsBeforeTheAnswer covers a planned stop. The write that hands the lease
// back may be done although its answer is lost, and another candidate then takes the lease at once.
func TestHolderThatHandsBackStopsBeforeTheAnswer(t *testing.T) {
	s, now := &store{}, time.Unix(1000, 0)
	leaving, next := newCandidate("a", 0), newCandidate("b", 0)
	now = drive(leaving, s, now, 2*term)
	if !leaving.lease.Held(now) {
		t.Fatal("the first candidate does not hold the lease")
	}
	leaving.lease.Leave()
	call := leaving.lease.Step(now, true)
	if call == nil || call.Write == nil || call.Write.Holder != "" {
		t.Fatalf("call %+v instead of one that hands the lease back", call)
	}
	s.call(*call)
	if leaving.lease.Held(now) {
		t.Error("the candidate still holds the lease that it may have handed back")
	}
	next.lease.ObserveRelease(now, history.At(0, s.revision))
	if now = drive(next, s, now, 100*time.Millisecond); !next.lease.Held(now) {
		t.Error("the next candidate does not take the returned lease at once")
	}
}

// TestCandidateThatStandsAside covers a holder that can't act for a while. It hands the lease back,
// does not take it meanwhile although nobody else does, and takes it afterwards under a new token.
func TestCandidateThatStandsAside(t *testing.T) {
	s, now := &store{}, time.Unix(1000, 0)
	c := newCandidate("a", 0)
	now = drive(c, s, now, 2*term)
	before, held := c.lease.MayOrder(now)
	if !held {
		t.Fatal("the lease is not held")
	}
	c.lease.Yield(true)
	now = drive(c, s, now, 2*term)
	if c.lease.Held(now) || !c.lease.HandedBack() || c.lease.Left() || s.stored.Record.Holder != "" {
		t.Errorf("held %t, handed back %t, left %t, holder %q", c.lease.Held(now), c.lease.HandedBack(), c.lease.Left(), s.stored.Record.Holder)
	}
	c.lease.Yield(false)
	now = drive(c, s, now, term)
	if after, held := c.lease.MayOrder(now); !held || after <= before {
		t.Errorf("held %t under token %d, %d before", held, after, before)
	}
}
