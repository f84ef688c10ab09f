package notice

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/fleet"
)

var start = time.Unix(1000, 0)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func limited(sent int, perSecond float64) *fleet.ObservedNotice {
	return &fleet.ObservedNotice{Instance: "i", SentAt: at(sent), Notice: fleet.Notice{Limit: fleet.LimitNotice{Named: true, PerSecond: perSecond}}}
}

func withoutLimit(sent int) *fleet.ObservedNotice {
	return &fleet.ObservedNotice{Instance: "i", SentAt: at(sent)}
}

// TestLimitFollowsTheNewestAnswer covers reordered responses: one that may be older neither removes nor raises a
// limit, but may lower it.
func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	type step struct {
		now       int
		observed  *fleet.ObservedNotice
		limited   bool
		perSecond float64
	}
	unreadable := withoutLimit(60)
	unreadable.Notice.Limit.Unreadable = true
	cases := []struct {
		name  string
		steps []step
	}{
		{"stated and removed", []step{{10, limited(0, 2), true, 2}, {30, withoutLimit(20), false, 0}}},
		{"not removed by a response to an earlier request", []step{{10, limited(0, 2), true, 2}, {30, withoutLimit(5), true, 2}}},
		{"lowered", []step{{10, limited(0, 2), true, 2}, {30, limited(5, 1), true, 1}}},
		{"raised", []step{{10, limited(0, 2), true, 2}, {30, limited(20, 3), true, 3}}},
		{"not raised by an older response", []step{{10, limited(0, 2), true, 2}, {30, limited(5, 3), true, 2}}},
		{"stated again", []step{{10, limited(0, 2), true, 2}, {30, withoutLimit(20), false, 0}, {50, limited(40, 1), true, 1}}},
		{"a limit that cannot be read changes nothing", []step{{10, limited(0, 2), true, 2}, {70, unreadable, true, 2}}},
		{"a limit of zero", []step{{10, limited(0, 0), true, 0}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			for i, s := range c.steps {
				tracker.Observe(at(s.now), s.observed)
				if perSecond, isLimited := tracker.Limit("i"); isLimited != s.limited || perSecond != s.perSecond {
					t.Errorf("step %d: limited %t to %v", i, isLimited, perSecond)
				}
			}
		})
	}
}

// TestShorterRestDoesNotEndALongerOne covers an instance that requests a second, shorter backoff.
func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	tracker := NewTracker()
	backoff := func(duration time.Duration) *fleet.ObservedNotice {
		return &fleet.ObservedNotice{Instance: "i", Notice: fleet.Notice{Backoff: duration}}
	}
	tracker.Observe(at(0), backoff(3*time.Second))
	tracker.Observe(at(100), backoff(time.Second))
	tracker.Observe(at(200), withoutLimit(150))
	if until := tracker.BackoffUntil("i"); !until.Equal(at(3000)) {
		t.Errorf("backoff until %v, want %v", until, at(3000))
	}
}

// TestWordOfAnInstanceOutlastsTheList covers instances that are missing from the list for a while.
func TestWordOfAnInstanceOutlastsTheList(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(at(0), &fleet.ObservedNotice{Instance: "leaves", Notice: fleet.Notice{Leaving: true}})
	tracker.Observe(at(0), &fleet.ObservedNotice{Instance: "rests", Notice: fleet.Notice{Backoff: 10 * time.Second}})
	tracker.Observe(at(0), limited(0, 2))
	noneListed := func(string) bool { return false }
	tracker.Prune(at(9000), noneListed)
	if _, isLimited := tracker.Limit("i"); !tracker.Leaving("leaves") || tracker.BackoffUntil("rests").IsZero() || !isLimited {
		t.Error("state removed before it expired")
	}
	tracker.Prune(at(0).Add(2*departedTTL), noneListed)
	if !tracker.Empty() {
		t.Error("state kept after it expired")
	}
}

// TestDaemonsAgreeOnLimits has daemons receive responses of a server that changes its limit, and exchange updates
// in any order. In the end all of them have the limit of the last response.
func TestDaemonsAgreeOnLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var last *fleet.ObservedNotice
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := 100 * (i + 1)
			observed := withoutLimit(now - 1)
			if random.IntN(3) > 0 {
				observed = limited(now-1, float64(1+random.IntN(3)))
			}
			one := trackers[random.IntN(len(trackers))]
			one.Observe(at(now), observed)
			if random.IntN(2) == 0 {
				trackers[random.IntN(len(trackers))].Merge(at(now), one.Recent(at(now)))
			}
			last = observed
		}
		// All daemons exchange updates, and the last limit is stated once more.
		for i, one := range trackers {
			for _, other := range trackers {
				one.Merge(at(4_000+i), other.Recent(at(4_000)))
			}
		}
		trackers[0].Observe(at(4_200), &fleet.ObservedNotice{Instance: "i", SentAt: at(4_100), Notice: last.Notice})
		for _, one := range trackers {
			for _, other := range trackers {
				one.Merge(at(4_201), other.Recent(at(4_201)))
			}
		}
		for i, one := range trackers {
			perSecond, isLimited := one.Limit("i")
			if isLimited != last.Notice.Limit.Named || perSecond != last.Notice.Limit.PerSecond {
				t.Fatalf("daemon %d: limited %t to %v, the server stated %+v", i, isLimited, perSecond, last.Notice.Limit)
			}
		}
	})
}
