package quota

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// instanceBound bounds by how many requests the limit that an instance states may be exceeded in any window.
var instanceBound = bound{window: 4 * time.Second, overshoot: 0.5, slack: 5}

// instanceRates are limits that instances state, in requests per second.
var instanceRates = []float64{0.5, 1.2, 2, 20}

// requested is the load of the clients, in requests per second.
const requested = 60

// simulateInstance simulates the limit of an instance, with requests that cost one unit each.
func simulateInstance(seed uint64, daemons int, perSecond, load float64, injected fault, tested strategy) *simulation {
	s := newSimulation(seed, daemons, Limit{PerSecond: perSecond}, tested)
	s.cost, s.meanCost, s.bound, s.perSecond = func() float64 { return 1 }, 1, instanceBound, load
	s.run(limitGracePeriod)
	s.arrived, s.offered, s.messages, s.requested, s.totalDelay = nil, nil, 0, 0, 0
	s.run(2 * time.Second)
	injected.inject(s)
	s.run(12 * time.Second)
	return s
}

// limitGracePeriod is the time after an instance first states a limit from which on the limit must hold.
const limitGracePeriod = 3 * time.Second

// TestLimitOfAnInstanceHoldsInEveryTrouble simulates limits of a few requests a second, far fewer than there are
// daemons, under each fault. It guards against a limit that is exceeded because many daemons have accumulated a
// part of it, or because two of them grant it.
func TestLimitOfAnInstanceHoldsInEveryTrouble(t *testing.T) {
	for _, daemons := range []int{9, 69} {
		if daemons > 9 && !largeFleets {
			continue
		}
		for _, perSecond := range instanceRates {
			for _, injected := range faults() {
				t.Run(fmt.Sprintf("%d daemons/%v/%s", daemons, perSecond, injected.name), func(t *testing.T) {
					for seed := range uint64(2) {
						checkInstanceLimit(t, seed, daemons, perSecond, injected)
					}
				})
			}
		}
	}
}

// TestLimitOfAnInstanceHoldsAtSize kills half of a large fleet: many daemons begin to grant the limit, one after the
// other. A window exceeded it by one request when each of them granted one at once.
func TestLimitOfAnInstanceHoldsAtSize(t *testing.T) {
	if !largeFleets {
		t.Skip("takes minutes with the race detector")
	}
	for _, injected := range faults() {
		if injected.name == "kill of half" {
			checkInstanceLimit(t, 1, 295, 0.5, injected)
		}
	}
}

func checkInstanceLimit(t *testing.T, seed uint64, daemons int, perSecond float64, injected fault) {
	t.Helper()
	for _, within := range []time.Duration{0, MaxTurnWait} {
		s := simulateInstance(seed, daemons, perSecond, requested, injected, ownerStrategy{within: within, strict: true})
		if over := s.excess(); over > 0 {
			t.Errorf("seed %d, waiting up to %v: a window exceeds the limit by %.0f requests", seed, within, over)
		}
	}
}

// TestWaitingRequestsGetTheirTurns has more requests wait than a limit allows. Each granted request receives the wait
// until its turn, and the turns conform to the limit.
func TestWaitingRequestsGetTheirTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := NewFleet("d0", []member.Member{{Name: "d0"}}, 0, time.Minute)
	limit := Limit{PerSecond: 2}
	buckets := NewBuckets()
	var waits []time.Duration
	for range 10 {
		if answer := buckets.Take(now, fleet, tenantName, &limit, 1, time.Second); answer.Granted {
			waits = append(waits, answer.Wait)
		} else if answer.Wait != 1500*time.Millisecond {
			t.Errorf("a denial has a wait of %v, want 1.5s", answer.Wait)
		}
	}
	if fmt.Sprint(waits) != "[0s 500ms 1s]" {
		t.Errorf("turns after %v, want 0s, 500ms and 1s", waits)
	}
}

// TestCompareWaysForInstances prints the table of docs/design/notices.md; it runs if QUOTA_TABLE is set.
func TestCompareWaysForInstances(t *testing.T) {
	if os.Getenv("QUOTA_TABLE") == "" {
		t.Skip("QUOTA_TABLE is not set")
	}
	strategies := []struct {
		name string
		make func() strategy
	}{
		{"owner, strict, turns within 0.5 s", func() strategy { return ownerStrategy{strict: true, within: MaxTurnWait} }},
		{"owner, strict, turns within 2 s", func() strategy { return ownerStrategy{strict: true, within: 2 * time.Second} }},
		{"owner, strict", func() strategy { return ownerStrategy{strict: true} }}, {"owner", func() strategy { return ownerStrategy{} }},
		{"leases", func() strategy { return newLeaseStrategy() }}, {"even parts", func() strategy { return evenSplit{} }}, {"the whole limit each", func() strategy { return fullLimitEach{} }},
	}
	fmt.Println("| daemons | trouble | way | worst excess, requests (limit 0.5, 2, 20) | of the limit not used (0.5, 2, 20) | messages a second (limit 2) | ms a request |")
	for _, daemons := range []int{9, 69, 295} {
		for _, injected := range faults() {
			if daemons > 9 && injected.name != "whole" && injected.name != "kill of half" {
				continue
			}
			for _, one := range strategies {
				var simulations []*simulation
				for _, perSecond := range []float64{0.5, 2, 20} {
					simulations = append(simulations, simulateInstance(1, daemons, perSecond, requested, injected, one.make()))
				}
				middle := simulations[1]
				fmt.Printf("| %d | %s | %s | %.0f, %.0f, %.0f | %.2f, %.2f, %.2f | %.0f | %.1f |\n", daemons, injected.name, one.name,
					simulations[0].excess(), simulations[1].excess(), simulations[2].excess(), simulations[0].lost(), simulations[1].lost(), simulations[2].lost(),
					float64(middle.messages)/17, middle.totalDelay.Seconds()*1000/float64(max(1, middle.requested)))
			}
		}
	}
}
