package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/reach"
)

// at returns a time of the tests, in milliseconds after a fixed start.
func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

// failAll records one failed attempt at each of count addresses, all at the same time.
func failAll(tracker *reach.Tracker, now time.Time, count int) {
	for number := range count {
		tracker.Failed(now, fmt.Sprint("a", number), now)
	}
}

// TestWhoIsCutOff guards against stopped servers being taken for cut paths of this machine, and cut paths for
// stopped servers.
func TestWhoIsCutOff(t *testing.T) {
	cases := []struct {
		name          string
		addresses     int
		actions       func(tracker *reach.Tracker)
		doubtful, cut bool
	}{
		{"no attempts", 20, func(*reach.Tracker) {}, false, false},
		{"one stopped server", 20, func(tracker *reach.Tracker) {
			for number := range 5 {
				tracker.Failed(at(100*number), "a0", at(100*number))
			}
		}, false, false},
		{"two consecutive failures", 20, func(tracker *reach.Tracker) { failAll(tracker, at(0), 2) }, true, false},
		{"four consecutive failures", 20, func(tracker *reach.Tracker) { failAll(tracker, at(0), 4) }, true, true},
		{"four failures with a success in between", 20, func(tracker *reach.Tracker) {
			failAll(tracker, at(0), 2)
			tracker.Connected(at(10), "b")
			tracker.Failed(at(20), "a2", at(15))
			tracker.Failed(at(20), "a3", at(15))
		}, true, false},
		{"attempts that began before a success", 20, func(tracker *reach.Tracker) {
			tracker.Connected(at(10), "b")
			for number := range 4 {
				tracker.Failed(at(20), fmt.Sprint("a", number), at(5))
			}
		}, false, false},
		{"four new connections fail, open ones still receive", 20, func(tracker *reach.Tracker) {
			failAll(tracker, at(0), 4)
			tracker.ObserveBytes(at(400))
		}, true, false},
		{"bytes that were in flight", 20, func(tracker *reach.Tracker) {
			failAll(tracker, at(0), 4)
			tracker.ObserveBytes(at(100))
		}, true, true},
		{"the only server", 1, func(tracker *reach.Tracker) { failAll(tracker, at(0), 1) }, true, true},
		{"connected again", 20, func(tracker *reach.Tracker) {
			failAll(tracker, at(0), 6)
			tracker.Connected(at(500), "a0")
		}, false, false},
		{"failures that have expired", 20, func(tracker *reach.Tracker) { failAll(tracker, at(-11000), 6) }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := reach.NewTracker()
			tracker.SetAddresses(c.addresses)
			c.actions(tracker)
			if status := tracker.Status(at(500)); status.Doubtful != c.doubtful || status.Cut != c.cut {
				t.Errorf("status %+v", status)
			}
		})
	}
}

// TestPlans covers how connections are made before, during and after a cut.
func TestPlans(t *testing.T) {
	tracker := reach.NewTracker()
	tracker.SetAddresses(20)
	if plan := tracker.Plan(at(0), "a0"); !plan.Direct || !plan.Relay || plan.RelayAfter < 100*time.Millisecond {
		t.Errorf("no failures: %+v", plan)
	}
	tracker.Failed(at(0), "a0", at(0))
	if plan := tracker.Plan(at(100), "a0"); !plan.Direct || plan.Relay {
		t.Errorf("not reached by other daemons: %+v", plan)
	}
	if first, second := tracker.Plan(at(550), "a0"), tracker.Plan(at(560), "a0"); !first.Relay || first.RelayAfter != 0 || second.Relay || !second.Direct {
		t.Errorf("relay attempts once per backoff: %+v, %+v", first, second)
	}
	if plan := tracker.Plan(at(560), "a1"); !plan.Direct || plan.RelayAfter == 0 {
		t.Errorf("another address: %+v", plan)
	}
	tracker.ReachedByOthers(at(570), "a0")
	if first, second := tracker.Plan(at(600), "a0"), tracker.Plan(at(610), "a0"); !first.Direct || !first.Relay || second.Direct || !second.Relay || second.RelayAfter != 0 {
		t.Errorf("reached by other daemons, own path tried once per backoff: %+v, %+v", first, second)
	}
	tracker.NotReachedByOthers("a0")
	if plan := tracker.Plan(at(620), "a0"); !plan.Direct || plan.Relay {
		t.Errorf("no longer reached by other daemons: %+v", plan)
	}
	failAll(tracker, at(700), 4)
	if first, second := tracker.Plan(at(800), "a9"), tracker.Plan(at(810), "a10"); !first.Direct || second.Direct {
		t.Errorf("cut off, one direct attempt for all addresses: %+v, %+v", first, second)
	}
	tracker.Connected(at(900), "a9")
	if plan := tracker.Plan(at(900), "a2"); !plan.Direct {
		t.Errorf("after the cut: %+v", plan)
	}
	if plan := tracker.Plan(at(900), "a10"); !plan.Direct || !plan.Relay || plan.RelayAfter == 0 {
		t.Errorf("after the cut: %+v", plan)
	}
}

// TestConnectionsOverPathsThatFailedAreNotUsedAgain guards against requests that hang on open connections over a
// path that has failed since.
func TestConnectionsOverPathsThatFailedAreNotUsedAgain(t *testing.T) {
	tracker := reach.NewTracker()
	tracker.SetAddresses(20)
	if !tracker.Fit("a0", at(-5000)) {
		t.Error("no failures: an idle connection is not reused")
	}
	tracker.Failed(at(0), "a0", at(0))
	if tracker.Fit("a0", at(-10)) || !tracker.Fit("a0", at(10)) || !tracker.Fit("a1", at(-10)) {
		t.Error("wrong connections reused after one address failed")
	}
	failAll(tracker, at(100), 2)
	if tracker.Fit("a5", at(-10)) || !tracker.Fit("a5", at(200)) {
		t.Error("wrong connections reused while all paths are in doubt")
	}
}

// TestRelaysAreAskedInTurn covers the order of near and far daemons, daemons that failed, and zones that are cut
// off.
func TestRelaysAreAskedInTurn(t *testing.T) {
	relays := reach.NewRelays("z")
	var all []reach.Relay
	for number := range 3 {
		all = append(all, reach.Relay{Name: fmt.Sprint("near", number), Zone: "z"}, reach.Relay{Name: fmt.Sprint("far", number), Zone: "y"})
	}
	relays.Set(all)
	zones := func(now time.Time) string {
		text := ""
		for _, relay := range relays.Choose(now, 6) {
			text += relay.Zone
		}
		return text
	}
	if got := zones(at(0)); got != "zzzyyy" {
		t.Errorf("no failures: zones %s", got)
	}
	relays.Failed(at(0), "near0", true)
	if got := relays.Choose(at(100), 6); got[5].Name != "near0" {
		t.Errorf("one daemon in backoff: %v", got)
	}
	relays.Failed(at(0), "near1", true)
	if got := zones(at(100)); got != "yyyzzz" {
		t.Errorf("two daemons of the zone cut off: zones %s", got)
	}
	if got := zones(at(600)); got != "zzzyyy" {
		t.Errorf("after the backoff: zones %s", got)
	}
	for number := range 6 {
		relays.Failed(at(10000*number), "far0", false)
	}
	relays.Succeeded("far0")
	relays.Failed(at(100000), "far0", false)
	last := 0
	const draws = 50
	for range draws {
		if got := relays.Choose(at(100600), 6); got[5].Name == "far0" {
			last++
		}
	}
	if last == draws {
		t.Error("the first backoff after a success is not the shortest")
	}
	relays.Set(all[:1])
	if got := relays.Choose(at(0), 6); len(got) != 1 {
		t.Errorf("%d daemons after the list was replaced, want 1", len(got))
	}
}

// TestWhoseFaultItIs guards against a local fault being recorded for a server that was silent for a moment, only
// because another daemon reached it earlier.
func TestWhoseFaultItIs(t *testing.T) {
	addresses := []string{"a0", "a1"}
	tracker := reach.NewTracker()
	failAll(tracker, at(0), 1)
	if failed, own, unproved := tracker.Failures(at(0), addresses); failed != 1 || own != 0 || unproved != "a0" {
		t.Errorf("after the first failure: %d failed, %d by local fault, unproved %q", failed, own, unproved)
	}
	tracker.ReachedByOthers(at(100), "a0")
	tracker.Failed(at(200), "a0", at(50))
	if _, own, _ := tracker.Failures(at(200), addresses); own != 0 {
		t.Error("local fault recorded for an attempt that started before another daemon connected")
	}
	tracker.Failed(at(300), "a0", at(150))
	if failed, own, unproved := tracker.Failures(at(300), addresses); failed != 1 || own != 1 || unproved != "" {
		t.Errorf("failure after another daemon connected: %d failed, %d by local fault, unproved %q", failed, own, unproved)
	}
	tracker.Connected(at(400), "a0")
	if failed, own, _ := tracker.Failures(at(400), addresses); failed != 0 || own != 0 {
		t.Errorf("connected again: %d failed, %d by local fault", failed, own)
	}
}
