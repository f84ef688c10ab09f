package main

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// brittleSlots is fewer than there are daemons, so that each slot is asked for at one of them.
	brittleSlots    = 3
	brittleQueue    = 2
	brittleRefusals = 3
	brittleRate     = 240
	// fallsAllowed is how often brittle servers may fall over while daemons learn that they are brittle.
	fallsAllowed = 2
)

// TestSeparatedDaemonsSpareBrittleServers guards against daemons that are cut off from each other, each of which takes itself for
// the only one and uses all slots of servers that fall over when they have to turn requests away.
func TestSeparatedDaemonsSpareBrittleServers(t *testing.T) {
	t.Parallel()
	f := startRetryFleet(t, buildBinary(t))
	f.configure(2, "busy", "failing", "brittle")
	var servers []*standin.Server
	for _, id := range []string{"brittle-1", "brittle-2", "brittle-3"} {
		server, err := standin.Open(f.store, standin.Options{
			ID: id, Service: "brittle", Zone: "z", Slots: brittleSlots, Queue: brittleQueue, ListedSlots: brittleSlots, Work: 50 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		server.Say(standin.Words{Brittle: brittleRefusals})
		servers = append(servers, server)
	}
	// All daemons know each other, and hear in answers that the servers are brittle.
	time.Sleep(3 * time.Second)
	f.load("brittle", 20, 3*time.Second)
	falls := func() (count int) {
		for _, server := range servers {
			count += server.Falls()
		}
		return count
	}
	before := falls()
	f.cutAll()
	time.Sleep(3 * time.Second)
	sent, served := f.load("brittle", brittleRate, 6*time.Second)
	fell := falls() - before
	t.Logf("%d of %d served, the servers fell over %d times", served, sent, fell)
	if fell > fallsAllowed {
		t.Errorf("brittle servers fell over %d times, %d allowed", fell, fallsAllowed)
	}
}
