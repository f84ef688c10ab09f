package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/reach"
)

// at is a moment of the tests.
func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

// failAll has attempts at addresses fail at one moment.
func failAll(book *reach.Book, now time.Time, count int) {
	for number := range count {
		book.Failed(now, fmt.Sprint("a", number), now)
	}
}

// TestWhoIsCutOff guards against servers that have ended being taken for a cut of this machine's paths, and the other
// way round.
func TestWhoIsCutOff(t *testing.T) {
	cases := []struct {
		name          string
		addresses     int
		happens       func(book *reach.Book)
		doubtful, cut bool
	}{
		{"nothing", 20, func(*reach.Book) {}, false, false},
		{"one server has ended", 20, func(book *reach.Book) {
			for number := range 5 {
				book.Failed(at(100*number), "a0", at(100*number))
			}
		}, false, false},
		{"two in a row", 20, func(book *reach.Book) { failAll(book, at(0), 2) }, true, false},
		{"four in a row", 20, func(book *reach.Book) { failAll(book, at(0), 4) }, true, true},
		{"four, with a success in between", 20, func(book *reach.Book) {
			failAll(book, at(0), 2)
			book.Connected(at(10), "b")
			book.Failed(at(20), "a2", at(15))
			book.Failed(at(20), "a3", at(15))
		}, true, false},
		{"attempts that began before a success", 20, func(book *reach.Book) {
			book.Connected(at(10), "b")
			for number := range 4 {
				book.Failed(at(20), fmt.Sprint("a", number), at(5))
			}
		}, false, false},
		{"four new ones fail, open connections live on", 20, func(book *reach.Book) {
			failAll(book, at(0), 4)
			book.Heard(at(400))
		}, true, false},
		{"bytes that were on their way", 20, func(book *reach.Book) {
			failAll(book, at(0), 4)
			book.Heard(at(100))
		}, true, true},
		{"the only server there is", 1, func(book *reach.Book) { failAll(book, at(0), 1) }, true, true},
		{"back again", 20, func(book *reach.Book) {
			failAll(book, at(0), 6)
			book.Connected(at(500), "a0")
		}, false, false},
		{"not tried for long", 20, func(book *reach.Book) { failAll(book, at(-11000), 6) }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := reach.NewBook()
			book.SetAddresses(c.addresses)
			c.happens(book)
			if status := book.Status(at(500)); status.Doubtful != c.doubtful || status.Cut != c.cut {
				t.Errorf("status %+v", status)
			}
		})
	}
}

// TestPlans covers how connections are made before, during and after a cut.
func TestPlans(t *testing.T) {
	book := reach.NewBook()
	book.SetAddresses(20)
	if plan := book.Plan(at(0), "a0"); !plan.Direct || !plan.Relay || plan.RelayAfter < 100*time.Millisecond {
		t.Errorf("sound: %+v", plan)
	}
	book.Failed(at(0), "a0", at(0))
	if plan := book.Plan(at(100), "a0"); !plan.Direct || plan.Relay {
		t.Errorf("nobody reaches it: %+v", plan)
	}
	if first, second := book.Plan(at(550), "a0"), book.Plan(at(560), "a0"); !first.Relay || first.RelayAfter != 0 || second.Relay || !second.Direct {
		t.Errorf("others are asked now and then: %+v, %+v", first, second)
	}
	if plan := book.Plan(at(560), "a1"); !plan.Direct || plan.RelayAfter == 0 {
		t.Errorf("another one: %+v", plan)
	}
	book.ReachedByOthers(at(570), "a0")
	if first, second := book.Plan(at(600), "a0"), book.Plan(at(610), "a0"); !first.Direct || !first.Relay || second.Direct || !second.Relay || second.RelayAfter != 0 {
		t.Errorf("others reach it, the path is tried now and then: %+v, %+v", first, second)
	}
	book.NotReachedByOthers("a0")
	if plan := book.Plan(at(620), "a0"); !plan.Direct || plan.Relay {
		t.Errorf("nobody reaches it any more: %+v", plan)
	}
	failAll(book, at(700), 4)
	if first, second := book.Plan(at(800), "a9"), book.Plan(at(810), "a10"); !first.Direct || second.Direct {
		t.Errorf("cut off, one attempt for all: %+v, %+v", first, second)
	}
	book.Connected(at(900), "a9")
	if plan := book.Plan(at(900), "a2"); !plan.Direct {
		t.Errorf("after the cut: %+v", plan)
	}
	if plan := book.Plan(at(900), "a10"); !plan.Direct || !plan.Relay || plan.RelayAfter == 0 {
		t.Errorf("after the cut: %+v", plan)
	}
}

// TestConnectionsOverPathsThatFailedAreNotUsedAgain guards against requests on open connections that hang.
func TestConnectionsOverPathsThatFailedAreNotUsedAgain(t *testing.T) {
	book := reach.NewBook()
	book.SetAddresses(20)
	if !book.Fit("a0", at(-5000)) {
		t.Error("sound paths: a connection that rested is unfit")
	}
	book.Failed(at(0), "a0", at(0))
	if book.Fit("a0", at(-10)) || !book.Fit("a0", at(10)) || !book.Fit("a1", at(-10)) {
		t.Error("one address has failed")
	}
	failAll(book, at(100), 2)
	if book.Fit("a5", at(-10)) || !book.Fit("a5", at(200)) {
		t.Error("all paths are in doubt")
	}
}

// TestRelaysAreAskedInTurn covers near and far daemons, ones that failed, and zones that are cut off.
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
		t.Errorf("all sound: %s", got)
	}
	relays.Failed(at(0), "near0", true)
	if got := relays.Choose(at(100), 6); got[5].Name != "near0" {
		t.Errorf("one rests: %v", got)
	}
	relays.Failed(at(0), "near1", true)
	if got := zones(at(100)); got != "yyyzzz" {
		t.Errorf("two of the zone are cut off: %s", got)
	}
	if got := zones(at(600)); got != "zzzyyy" {
		t.Errorf("after their rest: %s", got)
	}
	for number := range 6 {
		relays.Failed(at(10000*number), "far0", false)
	}
	relays.Helped("far0")
	relays.Failed(at(100000), "far0", false)
	last := 0
	const draws = 50
	for range draws {
		if got := relays.Choose(at(100600), 6); got[5].Name == "far0" {
			last++
		}
	}
	if last == draws {
		t.Error("the first rest after a success is a long one")
	}
	relays.Set(all[:1])
	if got := relays.Choose(at(0), 6); len(got) != 1 {
		t.Errorf("%d daemons are left", len(got))
	}
}

// TestWhoseFaultItIs guards against a server that was silent for a moment being taken for a fault of the own paths since
// another daemon reaches it sooner.
func TestWhoseFaultItIs(t *testing.T) {
	addresses := []string{"a0", "a1"}
	book := reach.NewBook()
	failAll(book, at(0), 1)
	if failed, own, unproved := book.Failures(at(0), addresses); failed != 1 || own != 0 || unproved != "a0" {
		t.Errorf("at first: %d failed, %d by own fault, %q", failed, own, unproved)
	}
	book.ReachedByOthers(at(100), "a0")
	book.Failed(at(200), "a0", at(50))
	if _, own, _ := book.Failures(at(200), addresses); own != 0 {
		t.Error("an attempt that began before others reached it proves a fault")
	}
	book.Failed(at(300), "a0", at(150))
	if failed, own, unproved := book.Failures(at(300), addresses); failed != 1 || own != 1 || unproved != "" {
		t.Errorf("failed after others reached it: %d failed, %d by own fault, %q", failed, own, unproved)
	}
	book.Connected(at(400), "a0")
	if failed, own, _ := book.Failures(at(400), addresses); failed != 0 || own != 0 {
		t.Errorf("reached again: %d failed, %d by own fault", failed, own)
	}
}
