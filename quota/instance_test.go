package quota

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// What an instance that names a limit may get, in requests, in any window.
var instanceBound = bound{window: 4 * time.Second, overshoot: 0.5, slack: 5}

// instanceRates are limits that instances name, in requests a second; asked is what clients ask.
var instanceRates = []float64{0.5, 1.2, 2, 20}

const asked = 60

// playInstance plays a limit of an instance, with requests that cost one each.
func playInstance(seed uint64, daemons int, perSecond, load float64, met trouble, used way) *world {
	w := newWorld(seed, daemons, Limit{PerSecond: perSecond}, used)
	w.cost, w.meanCost, w.bound, w.perSecond = func() float64 { return 1 }, 1, instanceBound, load
	w.run(contact)
	w.arrived, w.offered, w.messages, w.asked, w.delayed = nil, nil, 0, 0, 0
	w.run(2 * time.Second)
	met.strike(w)
	w.run(12 * time.Second)
	return w
}

// contact is how long after an instance named its limit the limit has to hold.
const contact = 3 * time.Second

// TestLimitOfAnInstanceHoldsInEveryTrouble plays limits of a few requests a second, far fewer than there are
// daemons, through each trouble. It guards against a limit that is passed because many daemons have saved up a
// part of it, or because two of them give it out.
func TestLimitOfAnInstanceHoldsInEveryTrouble(t *testing.T) {
	for _, daemons := range []int{9, 69} {
		if daemons > 9 && !largeFleets {
			continue
		}
		for _, perSecond := range instanceRates {
			for _, met := range troubles() {
				t.Run(fmt.Sprintf("%d daemons/%v/%s", daemons, perSecond, met.name), func(t *testing.T) {
					for seed := range uint64(2) {
						holdsInstanceLimit(t, seed, daemons, perSecond, met)
					}
				})
			}
		}
	}
}

// TestLimitOfAnInstanceHoldsAtSize has half of a large fleet be killed: many daemons begin to give out the limit,
// one after the other. A window passed it by a request when each of them gave out one at once.
func TestLimitOfAnInstanceHoldsAtSize(t *testing.T) {
	if !largeFleets {
		t.Skip("takes minutes with the race detector")
	}
	for _, met := range troubles() {
		if met.name == "kill of half" {
			holdsInstanceLimit(t, 1, 295, 0.5, met)
		}
	}
}

func holdsInstanceLimit(t *testing.T, seed uint64, daemons int, perSecond float64, met trouble) {
	t.Helper()
	for _, within := range []time.Duration{0, TurnSpan} {
		w := playInstance(seed, daemons, perSecond, asked, met, owners{within: within, strict: true})
		if over := w.excess(); over > 0 {
			t.Errorf("seed %d, waiting up to %v: a window passes the limit by %.0f requests", seed, within, over)
		}
	}
}

// TestWaitingRequestsGetTheirTurns has more requests wait than a limit lets through: each that is let in
// learns when its turn is, and these turns keep to the limit.
func TestWaitingRequestsGetTheirTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := NewFleet("d0", []member.Member{{Name: "d0"}}, 0, time.Minute)
	limit := Limit{PerSecond: 2}
	keeper := NewKeeper()
	var waits []time.Duration
	for range 10 {
		if answer := keeper.Take(now, fleet, tenantName, &limit, 1, time.Second); answer.Granted {
			waits = append(waits, answer.Wait)
		} else if answer.Wait != 1500*time.Millisecond {
			t.Errorf("the next turn is in %v", answer.Wait)
		}
	}
	if fmt.Sprint(waits) != "[0s 500ms 1s]" {
		t.Errorf("turns in %v", waits)
	}
}

// TestCompareWaysForInstances prints the table of docs/design/notices.md; it runs if QUOTA_TABLE is set.
func TestCompareWaysForInstances(t *testing.T) {
	if os.Getenv("QUOTA_TABLE") == "" {
		t.Skip("QUOTA_TABLE is not set")
	}
	ways := []struct {
		name string
		make func() way
	}{
		{"owner, strict, turns within 0.5 s", func() way { return owners{strict: true, within: TurnSpan} }},
		{"owner, strict, turns within 2 s", func() way { return owners{strict: true, within: 2 * time.Second} }},
		{"owner, strict", func() way { return owners{strict: true} }}, {"owner", func() way { return owners{} }},
		{"leases", func() way { return newLeases() }}, {"even parts", func() way { return evenParts{} }}, {"the whole limit each", func() way { return wholeEach{} }},
	}
	fmt.Println("| daemons | trouble | way | worst excess, requests (limit 0.5, 2, 20) | of the limit not used (0.5, 2, 20) | messages a second (limit 2) | ms a request |")
	for _, daemons := range []int{9, 69, 295} {
		for _, met := range troubles() {
			if daemons > 9 && met.name != "whole" && met.name != "kill of half" {
				continue
			}
			for _, one := range ways {
				var worlds []*world
				for _, perSecond := range []float64{0.5, 2, 20} {
					worlds = append(worlds, playInstance(1, daemons, perSecond, asked, met, one.make()))
				}
				middle := worlds[1]
				fmt.Printf("| %d | %s | %s | %.0f, %.0f, %.0f | %.2f, %.2f, %.2f | %.0f | %.1f |\n", daemons, met.name, one.name,
					worlds[0].excess(), worlds[1].excess(), worlds[2].excess(), worlds[0].lost(), worlds[1].lost(), worlds[2].lost(),
					float64(middle.messages)/17, middle.delayed.Seconds()*1000/float64(max(1, middle.asked)))
			}
		}
	}
}
