package entry_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/entry"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/internal/clock"
	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/peer"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// deployment is a deployment on loopback: a store, servers and entry daemons.
type deployment struct {
	store   *standin.Store
	servers []*standin.Server
	daemons []*entry.Daemon
	all     []entry.Settings
	// output takes the daemons' logs.
	output io.Writer
	// machines are the clocks of the daemons' machines.
	machines map[string]*clock.Fake
	// networks are the daemons' paths to the servers.
	networks map[string]*standin.Network
}

// machine returns the clock of a daemon's machine.
func (f *deployment) machine(daemon string) *clock.Fake {
	if f.machines == nil {
		f.machines = map[string]*clock.Fake{}
	}
	if f.machines[daemon] == nil {
		f.machines[daemon] = clock.NewFake()
	}
	return f.machines[daemon]
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func route(name string, kind fleet.RouteKind, timeout, target time.Duration, attempts int, service string) fleet.Route {
	return fleet.Route{
		Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: timeout, TargetLatency: target,
		MaxAttempts: attempts, Targets: []fleet.Target{{Service: service, Weight: 1}},
	}
}

func putConfiguration(store *standin.Store, version uint64, added ...string) {
	store.Configure(usualConfiguration(version, added...))
}

// usualConfiguration has a service with models and a plain one, and a plain route for each name that is added.
func usualConfiguration(version uint64, added ...string) *fleet.Configuration {
	configuration := &fleet.Configuration{
		Version: version,
		Routes: []fleet.Route{
			route("stream", fleet.KindStream, 10*time.Second, time.Second, 1, "llm"),
			route("plain", fleet.KindUnsafe, 5*time.Second, 150*time.Millisecond, 1, "web"),
		},
		Services: []fleet.Service{
			{Name: "llm", MaxConnections: 100, Engine: &fleet.Engine{
				Slots: 8, MemoryTokens: 100000, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 5,
				Models: []fleet.Model{{Name: "m", WeightsMB: 60, Adapters: 2, AdapterMB: 1}, {Name: "n", WeightsMB: 60}},
			}},
			{Name: "web", MaxConnections: 100},
		},
	}
	for _, name := range added {
		configuration.Routes = append(configuration.Routes, route(name, fleet.KindSafe, 5*time.Second, 0, 2, "web"))
	}
	return configuration
}

func start(t *testing.T, count int) *deployment { return startWithLogs(t, count, io.Discard) }

func startWithLogs(t *testing.T, count int, output io.Writer) *deployment {
	t.Helper()
	return startInZones(t, count, 1, output)
}

// startInZones starts daemons that take turns in the zones z, z1, z2 and so on; the
// servers are in z.
func startInZones(t *testing.T, count, zones int, output io.Writer) *deployment {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	f := &deployment{store: store, output: output}
	t.Cleanup(store.Close)
	putConfiguration(store, 1)
	for i := range 2 {
		f.addServer(t, fmt.Sprint("llm", i), "llm", "m")
		f.addServer(t, fmt.Sprint("web", i), "web")
	}
	seed := freeAddress(t)
	for i := range count {
		settings := f.daemonSettings(t, i, seed)
		if zone := i % zones; zone > 0 {
			settings.Zone = fmt.Sprint("z", zone)
		}
		f.all = append(f.all, settings)
		f.daemons = append(f.daemons, f.startDaemon(t, settings))
	}
	return f
}

// daemonSettings returns the settings of the daemon with a number. The first one listens to
// the others at the seed.
func (f *deployment) daemonSettings(t *testing.T, number int, seed string) entry.Settings {
	t.Helper()
	settings := entry.DefaultSettings()
	settings.Name, settings.Zone, settings.DeploymentKey = fmt.Sprint("d", number), "z", "a key for these tests"
	settings.FrontAddress, settings.ReadyAddress, settings.DirectoryAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	settings.PeerAddress = freeAddress(t)
	if number == 0 {
		settings.PeerAddress = seed
	}
	settings.StoreAddress, settings.Seeds, settings.ChecksFence = f.store.Address(), []string{seed}, true
	settings.AddressKeep, settings.Grace = 200*time.Millisecond, 3*time.Second
	return settings
}

// TestDaemonsOfAnotherMessageFormAreStrangers covers an upgrade: a list of instances in the
// form of another version, whose fields this one does not know, must not empty its own.
func TestDaemonsOfAnotherMessageFormAreStrangers(t *testing.T) {
	f := start(t, 1)
	f.waitReady(t)
	old, err := peer.Listen(freeAddress(t), []byte(f.all[0].DeploymentKey), func(coordination.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	listing := &coordination.Listing{At: history.At(0, 1<<40), Items: []coordination.ListedInstance{{Place: history.At(0, 1<<40)}}}
	eventually(t, "the old one is turned away", func() bool {
		old.Send(f.all[0].PeerAddress, coordination.Message{From: "old", Instances: listing})
		return old.Counts().Dropped > 1
	})
	if id, status, _, err := post(f.all[0].FrontAddress, "/stream/x", "m"); err != nil || status != 200 {
		t.Errorf("request %s: status %d, %v", id, status, err)
	}
}

func (f *deployment) startDaemon(t *testing.T, settings entry.Settings) *entry.Daemon {
	t.Helper()
	daemon, err := entry.StartOn(entry.Machine{Clock: f.machine(settings.Name).Clock, Dial: f.network(settings.Name).Dial}, settings, f.output)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(daemon.Kill)
	return daemon
}

func (f *deployment) addServer(t *testing.T, id, service string, models ...string) *standin.Server {
	t.Helper()
	server, err := standin.NewServer(f.store, id, service, "z", models...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f.servers = append(f.servers, server)
	return server
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("never: " + what)
}

var client standin.Client

func (f *deployment) resolve(daemon int) standin.Resolution {
	resolution, _ := client.Resolve(context.Background(), f.all[daemon].DirectoryAddress, "h.example", "r", "z")
	return resolution
}

func (f *deployment) waitReady(t *testing.T) {
	t.Helper()
	for i := range f.daemons {
		eventually(t, "ready", func() bool { return client.Ready(context.Background(), f.all[i].ReadyAddress) })
	}
}

var requestNumber atomic.Int64

// post sends one request and returns its id, status and body.
func post(address, path, model string) (string, int, string, error) {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	answer, err := client.Do(context.Background(), address, standin.ClientRequest{
		ID: id, Host: "h.example", Path: path, Body: "prompt", Model: model, PromptTokens: 100, OutputTokens: 10, Patience: 8 * time.Second,
	})
	if err == nil && !answer.Complete {
		err = io.ErrUnexpectedEOF
	}
	return id, answer.Status, answer.Body, err
}

func TestWholePath(t *testing.T) {
	f := start(t, 3)
	f.waitReady(t)
	for _, settings := range f.all {
		id, status, body, err := post(settings.FrontAddress, "/plain/x?y=%20", "")
		if err != nil || status != 200 || !strings.HasPrefix(body, id+" from web") {
			t.Errorf("plain: %d %q %v", status, body, err)
		}
		id, status, body, err = post(settings.FrontAddress, "/stream/x", "m")
		if err != nil || status != 200 || strings.Count(body, "data: "+id) != 5 {
			t.Errorf("stream: %d %q %v", status, body, err)
		}
		if _, status, _, _ = post(settings.FrontAddress, "/nowhere/x", ""); status != 404 {
			t.Errorf("no route: %d", status)
		}
		// No server has these yet: the holder of the lease has them loaded.
		for _, model := range []string{"n", "m/a2"} {
			if id, status, body, err = post(settings.FrontAddress, "/stream/x", model); err != nil || status != 200 || strings.Count(body, id) != 5 {
				t.Errorf("%s: %d %q %v", model, status, body, err)
			}
		}
	}
	eventually(t, "all daemons in the answer about addresses", func() bool {
		resolution := f.resolve(1)
		for _, settings := range f.all {
			if !slices.Contains(resolution.Addresses, settings.FrontAddress) {
				return false
			}
		}
		return resolution.KeepS == 0.2
	})
}

func TestChangesComeIntoForce(t *testing.T) {
	f := start(t, 2)
	f.waitReady(t)
	putConfiguration(f.store, 5, "added")
	for _, settings := range f.all {
		eventually(t, "the new route", func() bool { _, status, _, _ := post(settings.FrontAddress, "/added/x", ""); return status == 200 })
	}
	f.store.Forget()
	putConfiguration(f.store, 6, "more")
	for _, settings := range f.all {
		eventually(t, "a route after the history was forgotten", func() bool { _, status, _, _ := post(settings.FrontAddress, "/more/x", ""); return status == 200 })
	}
	leaving := f.servers[1]
	leaving.Drain()
	eventually(t, "no more requests at a server that drains", func() bool {
		before := len(leaving.Runs())
		for range 10 {
			_, _, _, _ = post(f.all[0].FrontAddress, "/plain/x", "")
		}
		return len(leaving.Runs()) == before
	})
}

// TestLargeConfigurationReachesDaemonsThatDoNotWatch covers more daemons than watch
// the store, and large configurations in quick succession.
func TestLargeConfigurationReachesDaemonsThatDoNotWatch(t *testing.T) {
	f := start(t, 8)
	f.waitReady(t)
	var routes []string
	for number := range 300 {
		routes = append(routes, fmt.Sprint("added-", number))
	}
	putConfiguration(f.store, 5, routes...)
	for version := range uint64(10) {
		putConfiguration(f.store, 6+version, append(routes, fmt.Sprint("newest-", version))...)
	}
	for _, settings := range f.all {
		eventually(t, "the newest route", func() bool { _, status, _, _ := post(settings.FrontAddress, "/newest-9/x", ""); return status == 200 })
	}
}

// TestServesWhileTheStoreIsAway restarts a daemon while the store answers nobody:
// it learns what it needs from the other one.
func TestServesWhileTheStoreIsAway(t *testing.T) {
	f := start(t, 2)
	f.waitReady(t)
	f.store.SetFault(func(string, string) standin.Fault { return standin.FaultBusy })
	f.daemons[1].Kill()
	f.daemons[1] = f.startDaemon(t, f.all[1])
	for _, settings := range f.all {
		eventually(t, "served without the store", func() bool { _, status, _, _ := post(settings.FrontAddress, "/plain/x", ""); return status == 200 })
	}
}

// TestPlannedStopCutsNothing stops a daemon under load: every request ends with a
// whole answer or with a refusal that says that it has not run, and none runs twice.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := start(t, 2)
	f.waitReady(t)
	for _, server := range f.servers {
		server.EventPause = 20 * time.Millisecond
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var served atomic.Int64
	for range 4 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id, status, body, err := post(f.all[0].FrontAddress, "/stream/x", "m")
				switch {
				case err != nil && status == 0:
					// The listener is gone: nothing was read.
					time.Sleep(5 * time.Millisecond)
				case err != nil || status == 200 && strings.Count(body, id) != 5:
					t.Errorf("cut: %d %q %v", status, body, err)
				case status == 200:
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	f.daemons[0].Stop(context.Background())
	close(stop)
	group.Wait()
	if served.Load() == 0 {
		t.Fatal("nothing was served")
	}
	seen := map[string]bool{}
	for _, server := range f.servers {
		for _, run := range server.Runs() {
			if seen[run.ID] {
				t.Errorf("%s ran twice", run.ID)
			}
			seen[run.ID] = true
		}
	}
	eventually(t, "the stopped daemon leaves the answer about addresses", func() bool {
		resolution := f.resolve(1)
		return len(resolution.Addresses) > 0 && !slices.Contains(resolution.Addresses, f.all[0].FrontAddress)
	})
}

// settingsText is a file with the settings of a daemon, and some about requests.
func settingsText(s *entry.Settings, requests string) string {
	return fmt.Sprintf("[daemon]\nname = %s\nzone = z\ndeployment_key = a key for these tests\n[listen]\nfront = %s\nready = %s\ndirectory = %s\npeers = %s\n"+
		"[store]\naddress = %s\n[requests]\n%s\n", s.Name, s.FrontAddress, s.ReadyAddress, s.DirectoryAddress, s.PeerAddress, s.StoreAddress, requests)
}

// TestSettingsAreReadAgain covers a signal, a change without a signal, and a file
// that is not valid any more.
func TestSettingsAreReadAgain(t *testing.T) {
	f := start(t, 1)
	f.waitReady(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	write := func(keep string) {
		if err := os.WriteFile(path, []byte(settingsText(&f.all[0], "address_keep = "+keep)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("200ms")
	signals := make(chan os.Signal, 1)
	f.daemons[0].WatchSettings(path, signals)
	keeps := func(seconds float64) bool { return f.resolve(0).KeepS == seconds }
	write("400ms")
	signals <- syscall.SIGHUP
	eventually(t, "the settings after a signal", func() bool { return keeps(0.4) })
	write("600ms")
	eventually(t, "the settings without a signal", func() bool { return keeps(0.6) })
	write("six hundred")
	signals <- syscall.SIGHUP
	time.Sleep(50 * time.Millisecond)
	if !keeps(0.6) {
		t.Error("settings that are not valid changed something")
	}
}
