package quota

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// ownerOnly gives out a limit with Keeper.TakeAsOwner, as a limiter with Ports.OwnerOnly does.
type ownerOnly struct {
	// fleets are the last snapshots of the daemons.
	fleets map[*node]*Fleet
}

func newOwnerOnly() way { return &ownerOnly{fleets: map[*node]*Fleet{}} }

func (*ownerOnly) keeper() *Keeper { return NewKeeper() }

func (*ownerOnly) tick(w *world) {
	if w.now.Sub(w.ticked) < tickPause {
		return
	}
	w.ticked = w.now
	for _, n := range w.nodes {
		if !n.dead && !n.frozen {
			w.refresh(n)
			n.keeper.Tick(w.now)
		}
	}
}

func (o *ownerOnly) changed(w *world, at *node) {
	previous := o.fleets[at]
	o.fleets[at] = at.fleet
	switch {
	case previous == nil || at.seen.started.Equal(w.now):
		at.keeper.FleetReplaced(w.now, NewFleet(at.name, nil, 1, 0))
	case !at.fleet.Equal(previous):
		at.keeper.FleetReplaced(w.now, previous)
	}
}

func (o *ownerOnly) take(w *world, at *node, cost float64) (bool, time.Duration) {
	delay := time.Duration(0)
	for _, name := range at.fleet.Owners(tenantName) {
		answer, answered := o.ask(w, at, name, cost, &delay)
		if answered && answer.Owner != "" {
			answer, answered = o.ask(w, at, answer.Owner, cost, &delay)
		}
		if answered && answer.Owner == "" {
			return answer.Granted, delay
		}
	}
	return at.fleet.Lonely && at.keeper.TakeAlone(w.now, at.fleet, tenantName, &w.limit, cost), delay
}

func (o *ownerOnly) ask(w *world, at *node, name string, cost float64, delay *time.Duration) (Answer, bool) {
	if at.fleet.Lonely || w.now.Before(at.resting[name]) {
		return Answer{}, false
	}
	asked := w.find(name)
	if asked != at {
		w.messages++
		if !w.reaches(at, asked) {
			at.resting[name] = w.now.Add(restSpan)
			*delay += answerLimit
			return Answer{}, false
		}
		w.messages++
	}
	return asked.keeper.TakeAsOwner(w.now, asked.fleet, tenantName, &w.limit, cost, 0), true
}

// turnTroubles returns all troubles and a simultaneous start of all daemons.
func turnTroubles() []trouble {
	startAll := func(w *world) { w.restartAll(500 * time.Millisecond) }
	return append(troubles(), trouble{name: "all start at once", strike: startAll})
}

// maxTurnsWithin returns the largest number of turns that were granted within any interval of length span.
func maxTurnsWithin(w *world, span time.Duration) int {
	slices.SortFunc(w.arrived, func(a, b arrival) int { return a.at.Compare(b.at) })
	most, first := 0, 0
	for i, one := range w.arrived {
		for one.at.Sub(w.arrived[first].at) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// maxTurnsInFourSeconds allows two turns more than one a second, for a network partition or the loss of half of the
// daemons at once.
const maxTurnsInFourSeconds = 4 + 2

// TestOwnerOnlyTurnRate requests far more turns than the limit allows, in each trouble. It guards against two daemons
// that grant turns of one subject concurrently.
func TestOwnerOnlyTurnRate(t *testing.T) {
	for _, daemons := range []int{9, 69} {
		if daemons > 9 && !largeFleets {
			continue
		}
		for _, met := range turnTroubles() {
			t.Run(fmt.Sprintf("%d daemons/%s", daemons, met.name), func(t *testing.T) {
				for seed := range uint64(2) {
					w := playInstance(seed, daemons, 1, asked, met, newOwnerOnly())
					if most := maxTurnsWithin(w, 4*time.Second); most > maxTurnsInFourSeconds {
						t.Errorf("seed %d: %d turns in four seconds, want at most %d", seed, most, maxTurnsInFourSeconds)
					}
					if len(w.arrived) < minTurns {
						t.Errorf("seed %d: %d turns in total, want at least %d", seed, len(w.arrived), minTurns)
					}
				}
			})
		}
	}
}

// minTurns is the minimum number of turns granted in a simulation, which lasts 14 to 20 s.
const minTurns = 10

// TestTakeAsOwner guards against grants by a stand-in that hears the owner, and by an owner before ownershipDelay has
// passed.
func TestTakeAsOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{PerSecond: 1}
	members := []member.Member{{Name: "d0"}, {Name: "d1"}, {Name: "d2"}}
	owner := NewFleet("d0", members, 2, time.Minute).owner(tenantName)
	standIn := NewFleet("d0", members, 2, time.Minute).Owners(tenantName)[1]
	fleetOf := func(self string) *Fleet { return NewFleet(self, members, 2, time.Minute) }
	remaining := slices.DeleteFunc(slices.Clone(members), func(known member.Member) bool { return known.Name == owner })
	take := func(k *Keeper, at time.Time, fleet *Fleet) Answer {
		return k.TakeAsOwner(at, fleet, tenantName, &limit, 1, 0)
	}
	t.Run("the owner", func(t *testing.T) {
		if got := take(NewKeeper(), now, fleetOf(owner)); !got.Granted {
			t.Errorf("got %+v, want a grant", got)
		}
	})
	t.Run("a stand-in that hears the owner", func(t *testing.T) {
		if got := take(NewKeeper(), now, fleetOf(standIn)); got.Granted || got.Owner != owner {
			t.Errorf("got %+v, want owner %s", got, owner)
		}
	})
	t.Run("a stand-in that becomes the owner", func(t *testing.T) {
		k := NewKeeper()
		k.FleetReplaced(now, fleetOf(standIn))
		fleet := NewFleet(standIn, remaining, 2, time.Minute)
		if got := take(k, now.Add(ownershipDelay/2), fleet); got.Granted || got.Wait != ownershipDelay/2 {
			t.Errorf("before the delay has passed: got %+v, want a denial with a wait of %v", got, ownershipDelay/2)
		}
		if got := take(k, now.Add(ownershipDelay), fleet); !got.Granted {
			t.Errorf("after the delay: got %+v, want a grant", got)
		}
	})
	t.Run("a fleet that forms", func(t *testing.T) {
		forming := fleetOf(owner)
		forming.Forming = true
		if got := take(NewKeeper(), now, forming); got.Granted {
			t.Errorf("got %+v, want a denial", got)
		}
	})
	t.Run("an owner after a standstill", func(t *testing.T) {
		k := NewKeeper()
		k.Tick(now)
		if got := take(k, now.Add(time.Minute), fleetOf(owner)); got.Granted || got.Wait != ownershipDelay {
			t.Errorf("got %+v, want a denial with a wait of %v", got, ownershipDelay)
		}
	})
}

// ownersWithoutClaims is owners without claims, for subjects whose names are not known in advance.
type ownersWithoutClaims struct {
	owners
	debt float64
}

func (o ownersWithoutClaims) keeper() *Keeper { return NewKeeperInDebt(o.debt) }

func (ownersWithoutClaims) changed(*world, *node) {}

// TestCompareWaysForTurns prints the table of docs/design/quarantine.md; it runs if QUOTA_TABLE is set.
func TestCompareWaysForTurns(t *testing.T) {
	if os.Getenv("QUOTA_TABLE") == "" {
		t.Skip("QUOTA_TABLE is not set")
	}
	ways := []struct {
		name string
		make func() way
	}{
		{"stand-ins give out a part", func() way { return ownersWithoutClaims{owners{strict: true}, 0} }},
		{"a new owner is in debt", func() way { return ownersWithoutClaims{owners{strict: true}, 1} }},
		{"only the owner, after a second", newOwnerOnly},
	}
	fmt.Println("| daemons | trouble | way | most turns in 1 s, in 4 s | turns in all |")
	for _, daemons := range []int{9, 69, 295} {
		for _, met := range turnTroubles() {
			if daemons > 69 && met.name != "kill of half" && met.name != "all start at once" {
				continue
			}
			for _, one := range ways {
				w := playInstance(1, daemons, 1, asked, met, one.make())
				inOne, inFour := maxTurnsWithin(w, 995*time.Millisecond), maxTurnsWithin(w, 4*time.Second)
				fmt.Printf("| %d | %s | %s | %d, %d | %d |\n", daemons, met.name, one.name, inOne, inFour, len(w.arrived))
			}
		}
	}
}
