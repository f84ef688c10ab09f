package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// restartAll kills all daemons at the same time. They start again at once.
func (f *retryFleet) restartAll() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGKILL)
	}
}

// TestRestartedDaemonsSpareBrittleServers guards against daemons that have all started anew, know of no brittle service and
// of no other daemon, and send each server all that its slots take.
func TestRestartedDaemonsSpareBrittleServers(t *testing.T) {
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
	time.Sleep(3 * time.Second)
	f.load("brittle", 20, 3*time.Second)
	falls := func() (count int) {
		for _, server := range servers {
			count += server.Falls()
		}
		return count
	}
	before := falls()
	time.AfterFunc(time.Second, f.restartAll)
	sent, served := f.load("brittle", brittleRate, 7*time.Second)
	fell := falls() - before
	t.Logf("%d of %d served, the servers fell over %d times", served, sent, fell)
	if fell > fallsAllowed {
		t.Errorf("brittle servers fell over %d times, %d allowed", fell, fallsAllowed)
	}
}
