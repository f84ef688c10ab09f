package quota

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// ownerOnlyStrategy grants a limit with Buckets.TakeAsOwner, as a limiter with Ports.OwnerOnly does.
type ownerOnlyStrategy struct {
	// lastFleets are the last snapshots by daemon.
	lastFleets map[*node]*Fleet
}

func newOwnerOnlyStrategy() strategy { return &ownerOnlyStrategy{lastFleets: map[*node]*Fleet{}} }

func (*ownerOnlyStrategy) buckets() *Buckets { return NewBuckets() }

func (*ownerOnlyStrategy) tick(s *simulation) {
	if s.now.Sub(s.lastTick) < tickInterval {
		return
	}
	s.lastTick = s.now
	for _, n := range s.nodes {
		if !n.dead && !n.frozen {
			s.rebuildIfForming(n)
			n.buckets.Tick(s.now)
		}
	}
}

func (o *ownerOnlyStrategy) changed(s *simulation, at *node) {
	previous := o.lastFleets[at]
	o.lastFleets[at] = at.fleet
	switch {
	case previous == nil || at.discovery.started.Equal(s.now):
		at.buckets.FleetReplaced(s.now, NewFleet(at.name, nil, 1, 0))
	case !at.fleet.Equal(previous):
		at.buckets.FleetReplaced(s.now, previous)
	}
}

func (o *ownerOnlyStrategy) take(s *simulation, at *node, cost float64) (bool, time.Duration) {
	delay := time.Duration(0)
	for _, name := range at.fleet.Owners(tenantName) {
		answer, answered := o.query(s, at, name, cost, &delay)
		if answered && answer.RedirectTo != "" {
			answer, answered = o.query(s, at, answer.RedirectTo, cost, &delay)
		}
		if answered && answer.RedirectTo == "" {
			return answer.Granted, delay
		}
	}
	return at.fleet.Isolated && at.buckets.TakeLocal(s.now, at.fleet, tenantName, &s.limit, cost), delay
}

func (o *ownerOnlyStrategy) query(s *simulation, at *node, name string, cost float64, delay *time.Duration) (Answer, bool) {
	if at.fleet.Isolated || s.now.Before(at.backoffUntil[name]) {
		return Answer{}, false
	}
	queried := s.find(name)
	if queried != at {
		s.messages++
		if !s.reaches(at, queried) {
			at.backoffUntil[name] = s.now.Add(unreachableBackoff)
			*delay += answerTimeout
			return Answer{}, false
		}
		s.messages++
	}
	return queried.buckets.TakeAsOwner(s.now, queried.fleet, tenantName, &s.limit, cost, 0), true
}

// turnFaults returns all faults and a simultaneous start of all daemons.
func turnFaults() []fault {
	startAll := func(s *simulation) { s.restartAll(500 * time.Millisecond) }
	return append(faults(), fault{name: "all start at once", inject: startAll})
}

// maxTurnsWithin returns the largest number of turns that were granted within any window of a duration.
func maxTurnsWithin(s *simulation, duration time.Duration) int {
	slices.SortFunc(s.arrived, func(a, b arrival) int { return a.at.Compare(b.at) })
	largest, first := 0, 0
	for i, one := range s.arrived {
		for one.at.Sub(s.arrived[first].at) >= duration {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// maxTurnsInFourSeconds allows two turns more than one a second, for a network partition or the loss of half of the
// daemons at once.
const maxTurnsInFourSeconds = 4 + 2

// TestOwnerOnlyTurnRate requests far more turns than the limit allows, under each fault. It guards against two daemons
// that grant turns of one subject concurrently.
func TestOwnerOnlyTurnRate(t *testing.T) {
	for _, daemons := range []int{9, 69} {
		if daemons > 9 && !largeFleets {
			continue
		}
		for _, injected := range turnFaults() {
			t.Run(fmt.Sprintf("%d daemons/%s", daemons, injected.name), func(t *testing.T) {
				for seed := range uint64(2) {
					s := simulateInstance(seed, daemons, 1, requested, injected, newOwnerOnlyStrategy())
					if largest := maxTurnsWithin(s, 4*time.Second); largest > maxTurnsInFourSeconds {
						t.Errorf("seed %d: %d turns in four seconds, want at most %d", seed, largest, maxTurnsInFourSeconds)
					}
					if len(s.arrived) < minTurns {
						t.Errorf("seed %d: %d turns in total, want at least %d", seed, len(s.arrived), minTurns)
					}
				}
			})
		}
	}
}

// minTurns is the minimum number of turns granted in a simulation, which lasts 14 to 20 s.
const minTurns = 10

// TestTakeAsOwner guards against grants by a stand-in that reaches the owner, and by an owner before ownershipDelay has
// passed.
func TestTakeAsOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{PerSecond: 1}
	members := []member.Member{{Name: "d0"}, {Name: "d1"}, {Name: "d2"}}
	owner := NewFleet("d0", members, 2, time.Minute).owner(tenantName)
	standIn := NewFleet("d0", members, 2, time.Minute).Owners(tenantName)[1]
	fleetOf := func(self string) *Fleet { return NewFleet(self, members, 2, time.Minute) }
	remaining := slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.Name == owner })
	take := func(k *Buckets, at time.Time, fleet *Fleet) Answer {
		return k.TakeAsOwner(at, fleet, tenantName, &limit, 1, 0)
	}
	t.Run("the owner", func(t *testing.T) {
		if got := take(NewBuckets(), now, fleetOf(owner)); !got.Granted {
			t.Errorf("got %+v, want a grant", got)
		}
	})
	t.Run("a stand-in that reaches the owner", func(t *testing.T) {
		if got := take(NewBuckets(), now, fleetOf(standIn)); got.Granted || got.RedirectTo != owner {
			t.Errorf("got %+v, want owner %s", got, owner)
		}
	})
	t.Run("a stand-in that becomes the owner", func(t *testing.T) {
		k := NewBuckets()
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
		if got := take(NewBuckets(), now, forming); got.Granted {
			t.Errorf("got %+v, want a denial", got)
		}
	})
	t.Run("an owner after a stall", func(t *testing.T) {
		k := NewBuckets()
		k.Tick(now)
		if got := take(k, now.Add(time.Minute), fleetOf(owner)); got.Granted || got.Wait != ownershipDelay {
			t.Errorf("got %+v, want a denial with a wait of %v", got, ownershipDelay)
		}
	})
}

// ownerStrategyWithoutClaims is ownerStrategy without claims, for subjects whose names are not known in advance.
type ownerStrategyWithoutClaims struct {
	ownerStrategy
	debt float64
}

func (o ownerStrategyWithoutClaims) buckets() *Buckets { return NewBucketsInDebt(o.debt) }

func (ownerStrategyWithoutClaims) changed(*simulation, *node) {}

// TestCompareWaysForTurns prints the table of docs/design/quarantine.md; it runs if QUOTA_TABLE is set.
func TestCompareWaysForTurns(t *testing.T) {
	if os.Getenv("QUOTA_TABLE") == "" {
		t.Skip("QUOTA_TABLE is not set")
	}
	strategies := []struct {
		name string
		make func() strategy
	}{
		{"stand-ins give out a part", func() strategy { return ownerStrategyWithoutClaims{ownerStrategy{strict: true}, 0} }},
		{"a new owner is in debt", func() strategy { return ownerStrategyWithoutClaims{ownerStrategy{strict: true}, 1} }},
		{"only the owner, after a second", newOwnerOnlyStrategy},
	}
	fmt.Println("| daemons | trouble | way | most turns in 1 s, in 4 s | turns in all |")
	for _, daemons := range []int{9, 69, 295} {
		for _, injected := range turnFaults() {
			if daemons > 69 && injected.name != "kill of half" && injected.name != "all start at once" {
				continue
			}
			for _, one := range strategies {
				s := simulateInstance(1, daemons, 1, requested, injected, one.make())
				inOne, inFour := maxTurnsWithin(s, 995*time.Millisecond), maxTurnsWithin(s, 4*time.Second)
				fmt.Printf("| %d | %s | %s | %d, %d | %d |\n", daemons, injected.name, one.name, inOne, inFour, len(s.arrived))
			}
		}
	}
}
