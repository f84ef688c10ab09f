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

func limited(sent int, perSecond float64) *fleet.Heard {
	return &fleet.Heard{Instance: "i", SentAt: at(sent), Notice: fleet.Notice{Limit: fleet.LimitNotice{Named: true, PerSecond: perSecond}}}
}

func plain(sent int) *fleet.Heard { return &fleet.Heard{Instance: "i", SentAt: at(sent)} }

// TestLimitFollowsTheNewestAnswer covers answers that overtake each other: one that may be older lifts no
// limit and raises none, but may lower it.
func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	type step struct {
		now       int
		heard     *fleet.Heard
		limited   bool
		perSecond float64
	}
	unreadable := plain(60)
	unreadable.Notice.Limit.Unreadable = true
	cases := []struct {
		name  string
		steps []step
	}{
		{"named and lifted", []step{{10, limited(0, 2), true, 2}, {30, plain(20), false, 0}}},
		{"an answer that was asked for before lifts nothing", []step{{10, limited(0, 2), true, 2}, {30, plain(5), true, 2}}},
		{"lowered", []step{{10, limited(0, 2), true, 2}, {30, limited(5, 1), true, 1}}},
		{"raised", []step{{10, limited(0, 2), true, 2}, {30, limited(20, 3), true, 3}}},
		{"not raised by an older answer", []step{{10, limited(0, 2), true, 2}, {30, limited(5, 3), true, 2}}},
		{"named again", []step{{10, limited(0, 2), true, 2}, {30, plain(20), false, 0}, {50, limited(40, 1), true, 1}}},
		{"a limit that cannot be read changes nothing", []step{{10, limited(0, 2), true, 2}, {70, unreadable, true, 2}}},
		{"a limit of nothing", []step{{10, limited(0, 0), true, 0}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := NewBook()
			for i, s := range c.steps {
				book.Hear(at(s.now), s.heard)
				if perSecond, isLimited := book.Limit("i"); isLimited != s.limited || perSecond != s.perSecond {
					t.Errorf("step %d: limited %t to %v", i, isLimited, perSecond)
				}
			}
		})
	}
}

// TestShorterRestDoesNotEndALongerOne has an instance ask for a second, shorter rest.
func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	book := NewBook()
	rest := func(span time.Duration) *fleet.Heard {
		return &fleet.Heard{Instance: "i", Notice: fleet.Notice{Rest: span}}
	}
	book.Hear(at(0), rest(3*time.Second))
	book.Hear(at(100), rest(time.Second))
	book.Hear(at(200), plain(150))
	if until := book.RestUntil("i"); !until.Equal(at(3000)) {
		t.Errorf("rests until %v, want %v", until, at(3000))
	}
}

// TestWordOfAnInstanceOutlastsTheList has an instance be missing in the list for a while.
func TestWordOfAnInstanceOutlastsTheList(t *testing.T) {
	book := NewBook()
	book.Hear(at(0), &fleet.Heard{Instance: "leaves", Notice: fleet.Notice{Leaving: true}})
	book.Hear(at(0), &fleet.Heard{Instance: "rests", Notice: fleet.Notice{Rest: 10 * time.Second}})
	book.Hear(at(0), limited(0, 2))
	nothing := func(string) bool { return false }
	book.Forget(at(9000), nothing)
	if _, isLimited := book.Limit("i"); !book.Leaving("leaves") || book.RestUntil("rests").IsZero() || !isLimited {
		t.Error("forgotten while it counts")
	}
	book.Forget(at(0).Add(2*departedSpan), nothing)
	if !book.Empty() {
		t.Error("kept for good")
	}
}

// TestDaemonsAgreeOnLimits has daemons hear a server that changes its limit, and tell each other, in any
// order: in the end all of them know what the last answer said.
func TestDaemonsAgreeOnLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{NewBook(), NewBook(), NewBook()}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var last *fleet.Heard
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := 100 * (i + 1)
			heard := plain(now - 1)
			if random.IntN(3) > 0 {
				heard = limited(now-1, float64(1+random.IntN(3)))
			}
			one := books[random.IntN(len(books))]
			one.Hear(at(now), heard)
			if random.IntN(2) == 0 {
				books[random.IntN(len(books))].Learn(at(now), one.Newest(at(now)))
			}
			last = heard
		}
		// The last word reaches all, and all tell each other.
		for i, one := range books {
			for _, other := range books {
				one.Learn(at(4_000+i), other.Newest(at(4_000)))
			}
		}
		books[0].Hear(at(4_200), &fleet.Heard{Instance: "i", SentAt: at(4_100), Notice: last.Notice})
		for _, one := range books {
			for _, other := range books {
				one.Learn(at(4_201), other.Newest(at(4_201)))
			}
		}
		for i, one := range books {
			perSecond, isLimited := one.Limit("i")
			if isLimited != last.Notice.Limit.Named || perSecond != last.Notice.Limit.PerSecond {
				t.Fatalf("daemon %d: limited %t to %v, the server said %+v", i, isLimited, perSecond, last.Notice.Limit)
			}
		}
	})
}
