package entry_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// afterContact is how long after a cut begins daemons have to serve again.
	afterContact = 3 * time.Second
	// tryPause is the time between two requests of a client to one daemon.
	tryPause = 100 * time.Millisecond
	// triesAfterContact is how many requests are judged at each daemon.
	triesAfterContact = 60
)

// network returns a daemon's paths to the servers.
func (f *deployment) network(daemon string) *standin.Network {
	if f.networks == nil {
		f.networks = map[string]*standin.Network{}
	}
	if f.networks[daemon] == nil {
		f.networks[daemon] = standin.NewNetwork(platform.DialServer)
	}
	return f.networks[daemon]
}

// tries counts the requests at one daemon.
type tries struct{ served, failed atomic.Int64 }

// tryAt sends requests for a plain service and for a model to a daemon.
func (f *deployment) tryAt(daemon, count int) *tries {
	counted := &tries{}
	var group sync.WaitGroup
	for number := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			path, model := "/plain/x", ""
			if number%2 == 0 {
				path, model = "/stream/x", "m"
			}
			if _, status, _, err := post(f.all[daemon].FrontAddress, path, model); err == nil && status == 200 {
				counted.served.Add(1)
			} else {
				counted.failed.Add(1)
			}
		}()
		time.Sleep(tryPause)
	}
	group.Wait()
	return counted
}

// TestDaemonsWithoutPathsToServersServe guards against daemons that lose their paths to all servers, which other
// daemons still reach, and fail the requests of their callers until the paths are back.
func TestDaemonsWithoutPathsToServersServe(t *testing.T) {
	kinds := map[string]standin.Cut{"silent": standin.CutSilent, "reset": standin.CutReset, "new connections refused": standin.CutNew}
	for name, kind := range kinds {
		for _, cut := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d of 4", name, cut), func(t *testing.T) {
				t.Parallel()
				f := start(t, 4)
				f.waitReady(t)
				for i := range f.all {
					eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == len(f.all) })
					f.tryAt(i, 4)
				}
				for i := range cut {
					f.network(f.all[i].Name).SetCut(kind)
				}
				time.Sleep(afterContact)
				var group sync.WaitGroup
				for i := range cut {
					group.Add(1)
					go func() {
						defer group.Done()
						if counted := f.tryAt(i, triesAfterContact); counted.failed.Load() > triesAfterContact/50 {
							t.Errorf("d%d: %d served, %d failed", i, counted.served.Load(), counted.failed.Load())
						}
					}()
				}
				group.Wait()
			})
		}
	}
}

// holder returns the daemon that holds the lease on orders, or -1.
func (f *deployment) holder() int {
	for i, daemon := range f.daemons {
		if gauge(daemon.Metrics(), "lease_held") > 0 {
			return i
		}
	}
	return -1
}

// TestHolderWithoutPathsHandsOrdersOver guards against models that are loaded nowhere while the daemon that gives
// orders has lost its paths to the servers.
func TestHolderWithoutPathsHandsOrdersOver(t *testing.T) {
	kinds := map[string]standin.Cut{"silent": standin.CutSilent, "reset": standin.CutReset}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, 3)
			f.waitReady(t)
			eventually(t, "a daemon holds the lease", func() bool { return f.holder() >= 0 })
			first := f.holder()
			f.network(f.all[first].Name).SetCut(kind)
			cut := time.Now()
			eventually(t, "another daemon holds it", func() bool { now := f.holder(); return now >= 0 && now != first })
			if took := time.Since(cut); took > 2*afterContact {
				t.Errorf("taken over after %v", took)
			}
			if _, status, _, err := post(f.all[first].FrontAddress, "/stream/x", "n"); err != nil || status != 200 {
				t.Errorf("a model that no server had: status %d, %v", status, err)
			}
			f.network(f.all[first].Name).SetCut(standin.CutNone)
		})
	}
}

// TestDaemonWithoutPathsBlamesNoServer guards against sound servers that are taken for crashed, and contents that are
// kept from them, on the word of a daemon whose own connections were all reset.
func TestDaemonWithoutPathsBlamesNoServer(t *testing.T) {
	logged := &lockedText{}
	f := startWithLogs(t, 3, logged)
	f.waitReady(t)
	eventually(t, "a daemon holds the lease", func() bool { return f.holder() >= 0 })
	for _, server := range f.servers {
		server.EventPause = 100 * time.Millisecond
	}
	cut := f.holder()
	var group sync.WaitGroup
	for range 20 {
		group.Add(1)
		go func() {
			defer group.Done()
			_, _, _, _ = post(f.all[cut].FrontAddress, "/stream/x", "m")
		}()
	}
	eventually(t, "requests run", func() bool { return f.runs() >= 10 })
	f.network(f.all[cut].Name).SetCut(standin.CutReset)
	group.Wait()
	f.tryAt(cut, 10)
	time.Sleep(time.Second)
	for _, sign := range []string{"crashed=true", "Instance closes new connections."} {
		if strings.Contains(logged.String(), sign) {
			t.Errorf("the log has %q", sign)
		}
	}
	for _, seen := range []string{"quarantine: Connections ended.", "instances: Refused a connection."} {
		if !strings.Contains(logged.String(), seen) {
			t.Errorf("the log lacks %q: nobody looked whether a server has crashed", seen)
		}
	}
}

// TestStopOfACarrierCutsNothing guards against streams that break off, or requests that fail, as a daemon stops that
// carries their connections for another one.
func TestStopOfACarrierCutsNothing(t *testing.T) {
	f := start(t, 3)
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == len(f.all) })
	}
	for _, server := range f.servers {
		server.EventPause = 150 * time.Millisecond
	}
	f.network(f.all[0].Name).SetCut(standin.CutSilent)
	f.tryAt(0, 10)
	eventually(t, "both others carry connections", func() bool {
		f.tryAt(0, 1)
		return gauge(f.daemons[1].Metrics(), "tunnels_carried") > 0 && gauge(f.daemons[2].Metrics(), "tunnels_carried") > 0
	})
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		f.daemons[1].Stop(t.Context())
		if took := time.Since(began); took > f.all[1].Grace {
			t.Errorf("the stop took %v", took)
		}
	})
	counted := f.tryAt(0, 30)
	group.Wait()
	if counted.failed.Load() > 0 {
		t.Errorf("%d served, %d failed", counted.served.Load(), counted.failed.Load())
	}
}
