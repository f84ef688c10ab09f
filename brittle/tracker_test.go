package brittle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/quota"
)

func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

// TestServicesAreBrittleAsLongAsTheySaySo covers answers that arrive out of order, and services that stop answering.
func TestServicesAreBrittleAsLongAsTheySaySo(t *testing.T) {
	tracker := brittle.NewTracker()
	steps := []struct {
		now, sentAt int
		named       bool
		refusals    float64
		want        brittle.Change
	}{
		{0, 0, false, 0, brittle.Unchanged},
		{100, 50, true, 4, brittle.Started},
		{150, 60, true, 4, brittle.Unchanged},
		{200, 90, false, 0, brittle.Unchanged},
		{300, 250, true, 2, brittle.Started},
		{400, 350, false, 0, brittle.Ended},
		{500, 450, false, 0, brittle.Unchanged},
	}
	for number, step := range steps {
		if got := tracker.Observe(at(step.now), "s", at(step.sentAt), step.named, step.refusals); got != step.want {
			t.Errorf("step %d: %d, want %d", number, got, step.want)
		}
	}
	tracker.Observe(at(1000), "s", at(900), true, 4)
	tracker.Prune(at(2000), func(string) bool { return true })
	if tracker.Count() != 1 {
		t.Error("removed before its TTL")
	}
	tracker.Prune(at(100000), func(string) bool { return true })
	if tracker.Count() != 0 {
		t.Error("not removed after its TTL")
	}
}

// TestRoom covers the admission to an instance with eight slots.
func TestRoom(t *testing.T) {
	cases := []struct {
		name string
		load brittle.Load
		want bool
	}{
		{"idle", brittle.Load{Slots: 8, Daemons: 2}, true},
		{"enough free slots for all", brittle.Load{Slots: 8, Requests: 6, Own: 6, Daemons: 2}, true},
		{"the last slot", brittle.Load{Slots: 8, Requests: 7, Own: 6, Daemons: 2}, false},
		{"the last slot, own share free", brittle.Load{Slots: 8, Requests: 7, Own: 3, Daemons: 2}, true},
		{"the last slot, only daemon", brittle.Load{Slots: 8, Requests: 7, Own: 7, Daemons: 1}, true},
		{"full, own share free", brittle.Load{Slots: 8, Requests: 8, Own: 1, Daemons: 2}, false},
		{"more daemons than slots", brittle.Load{Slots: 8, Requests: 3, Daemons: 71}, true},
		{"more daemons than slots, half full", brittle.Load{Slots: 8, Requests: 4, Daemons: 71}, false},
		{"unknown number of slots", brittle.Load{Requests: 50, Own: 50, Daemons: 2}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := brittle.NewTracker()
			if !tracker.Admit(at(0), "s", "i", c.load) {
				t.Error("not admitted to a service that is not brittle")
			}
			tracker.Observe(at(0), "s", at(0), true, 0)
			if got := tracker.Admit(at(0), "s", "i", c.load); got != c.want {
				t.Errorf("admitted: %t", got)
			}
		})
	}
}

// TestDaemonsKeepToTheirPartOfTheRefusals guards against daemons that continue to send to an instance that refuses
// their requests.
func TestDaemonsKeepToTheirPartOfTheRefusals(t *testing.T) {
	cases := []struct {
		refusals float64
		daemons  int
		// maxRefused is how many refusals one daemon may cause at once, backoff how long it then sends no request.
		maxRefused int
		backoff    time.Duration
	}{
		{8, 2, 2, 500 * time.Millisecond},
		{8, 4, 1, time.Second},
		{8, 16, 1, 4 * time.Second},
		{8, 1000, 1, 20 * time.Second},
		{0, 2, 1, 20 * time.Second},
	}
	for _, c := range cases {
		tracker := brittle.NewTracker()
		tracker.Observe(at(0), "s", at(0), true, c.refusals)
		idle := brittle.Load{Slots: 8, Daemons: c.daemons}
		refused := 0
		for tracker.Admit(at(0), "s", "i", idle) && refused < 50 {
			tracker.RecordRefusal(at(0), "s", "i", c.daemons)
			refused++
		}
		backoff := time.Duration(0)
		for !tracker.Admit(at(0).Add(backoff), "s", "i", idle) {
			backoff += 10 * time.Millisecond
		}
		if refused != c.maxRefused || backoff != c.backoff {
			t.Errorf("%.0f refusals, %d daemons: %d at once, then backoff of %v; want %d and %v", c.refusals, c.daemons, refused, backoff, c.maxRefused, c.backoff)
		}
		if !tracker.Admit(at(0), "s", "other", idle) {
			t.Error("not admitted to another instance")
		}
	}
}

// fleetSimulation simulates many daemons, each with a tracker, that send requests to one instance in virtual time.
type fleetSimulation struct {
	daemons int
	// reportDelay is the delay after which the daemons have received each other's requests, work how long a request
	// runs.
	reportDelay, work time.Duration
	// overload is the offered load as a multiple of the capacity of the instance.
	overload float64
	// counted is set if one daemon counts the requests of all. Otherwise each daemon decides by the loads that it has
	// received.
	counted bool
}

const (
	fleetStep     = 5 * time.Millisecond
	fleetDuration = 30 * time.Second
	fleetSlots    = 12
	// fleetRefusals is how many refusals a second the instance tolerates.
	fleetRefusals = 8
	// returnDelaySteps is how many steps the message takes that returns a slot.
	returnDelaySteps = 2
)

// run returns the share of its capacity that the instance served, and how often it failed. A failure has no other
// effect, so that it does not mask the next one.
func (f *fleetSimulation) run(seed uint64) (served float64, failures int) {
	random := rand.New(rand.NewPCG(seed, 1))
	books := make([]*brittle.Tracker, f.daemons)
	for i := range books {
		books[i] = brittle.NewTracker()
		books[i].Observe(at(0), "s", at(0), true, fleetRefusals)
	}
	limit, _ := books[0].SlotLimit("s", fleetSlots, fleetSlots+1)
	owner := quota.NewBucketsWithLevel(func(string) float64 { return limit.Burst })
	members := quota.NewFleet("owner", []member.Member{{Name: "owner", State: member.Alive}}, 0, time.Minute)
	type end struct{ at, daemon int }
	var ends []end
	var returns []int
	own := make([]int, f.daemons)
	var history, refusals []int
	running, started := 0, 0
	capacity := fleetSlots * float64(fleetStep) / float64(f.work)
	for now := range int(fleetDuration / fleetStep) {
		for len(ends) > 0 && ends[0].at <= now {
			own[ends[0].daemon]--
			running--
			ends = ends[1:]
			returns = append(returns, now+returnDelaySteps)
		}
		moment := at(0).Add(time.Duration(now) * fleetStep)
		for len(returns) > 0 && returns[0] <= now {
			returns = returns[1:]
			owner.Refund(moment, members, "i", &limit, 1)
		}
		history = append(history, running)
		reported := history[max(0, now-int(f.reportDelay/fleetStep))]
		for arrivals := random.ExpFloat64() * capacity * f.overload; arrivals > 0; arrivals-- {
			if arrivals < 1 && random.Float64() > arrivals {
				break
			}
			daemon := random.IntN(f.daemons)
			load := brittle.Load{Slots: fleetSlots, Requests: max(reported, own[daemon]), Own: own[daemon], Daemons: f.daemons}
			var admitted bool
			if f.counted {
				admitted = owner.Take(moment, members, "i", &limit, 1, 0).Granted
			} else {
				admitted = books[daemon].Admit(moment, "s", "i", load)
			}
			switch {
			case !admitted:
			case running < fleetSlots:
				started++
				running++
				own[daemon]++
				ends = append(ends, end{now + int(f.work/fleetStep), daemon})
			default:
				books[daemon].RecordRefusal(moment, "s", "i", f.daemons)
				for refusals = append(refusals, now); now-refusals[0] > int(time.Second/fleetStep); {
					refusals = refusals[1:]
				}
				if len(refusals) > fleetRefusals {
					failures++
					refusals = nil
				}
			}
		}
	}
	return float64(started) / (capacity * float64(fleetDuration/fleetStep)), failures
}

// TestInstancesOfASmallFleetDoNotFall guards against daemons that together send an instance more requests than it has
// slots because they receive each other's loads with a delay. The load is up to three times the capacity of the
// instance.
func TestInstancesOfASmallFleetDoNotFall(t *testing.T) {
	for _, counted := range []bool{false, true} {
		for _, daemons := range []int{1, 2, 8} {
			for _, work := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond, time.Second} {
				for _, overload := range []float64{0.5, 1, 3} {
					fleet := fleetSimulation{daemons: daemons, reportDelay: 20 * time.Millisecond, work: work, overload: overload, counted: counted}
					served, failures := fleet.run(1)
					t.Logf("%d daemons, %v of work, load %.1f, counted %t: %.2f served, %d failures", daemons, work, overload, counted, served, failures)
					if failures > 0 {
						t.Errorf("%d daemons, %v of work, load %.1f, counted %t: %d failures", daemons, work, overload, counted, failures)
					}
				}
			}
		}
	}
}

// TestInstancesOfALargeFleetDoNotFall is the same for a large fleet, whose daemons receive each other's loads later.
func TestInstancesOfALargeFleetDoNotFall(t *testing.T) {
	for _, daemons := range []int{71, 300} {
		for _, overload := range []float64{0.5, 1, 3} {
			fleet := fleetSimulation{daemons: daemons, reportDelay: 150 * time.Millisecond, work: 200 * time.Millisecond, overload: overload, counted: true}
			served, failures := fleet.run(1)
			t.Logf("%d daemons, load %.1f: %.2f served, %d failures", daemons, overload, served, failures)
			if failures > 0 {
				t.Errorf("%d daemons, load %.1f: %d failures", daemons, overload, failures)
			}
		}
	}
}
