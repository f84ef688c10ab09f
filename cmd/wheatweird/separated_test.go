package main

import (
	"io"
	"net"
	"net/http"
	"sync"
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

const (
	// mostConnections is how many connections a server takes from all daemons together.
	mostConnections = 2 * retryDaemons
	// slowAnswer is how long a server takes for an answer, so that requests ask for more connections than there may be.
	slowAnswer = 200 * time.Millisecond
	slowRate   = 500
)

// TestSeparatedDaemonsShareConnections guards against daemons that are cut off from each other, each of which opens as many
// connections to a server as it takes from all of them.
func TestSeparatedDaemonsShareConnections(t *testing.T) {
	t.Parallel()
	f := startRetryFleet(t, buildBinary(t))
	f.configure(2, "busy", "failing", "slow")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mutex sync.Mutex
	open, most := 0, 0
	server := &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(slowAnswer)
			id := request.Header.Get("X-Request-Id")
			writer.Header().Set("X-Request-Id", id)
			writer.Header().Set("X-Server-Signature", standin.SignatureOf("slow-1", id))
			_, _ = io.WriteString(writer, standin.PlainBody("slow-1", id))
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			mutex.Lock()
			defer mutex.Unlock()
			switch state {
			case http.StateNew:
				open++
			case http.StateClosed:
				open--
			}
			most = max(most, open)
		},
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.store.Put("servers", "slow-1", map[string]any{
		"service": "slow", "address": listener.Addr().String(), "zone": "z", "version": "v1", "slots": 400, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
	})
	time.Sleep(3 * time.Second)
	for _, cut := range []bool{false, true} {
		if cut {
			f.cutAll()
			time.Sleep(3 * time.Second)
		}
		sent, served := f.load("slow", slowRate, 3*time.Second)
		mutex.Lock()
		t.Logf("cut off %v: %d of %d served, at most %d connections", cut, served, sent, most)
		if most > mostConnections {
			t.Errorf("cut off %v: %d connections at once, %d allowed", cut, most, mostConnections)
		}
		mutex.Unlock()
	}
}
