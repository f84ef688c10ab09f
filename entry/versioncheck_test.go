package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// joinStep is how much later after the second version the next service is asked for. A daemon looks at the versions ten times a second.
const joinStep = 10 * time.Millisecond

// TestUnknownStreamIsRefusedOnceTheStoreHasTwoVersions guards against a daemon that takes the only version that it has seen for the
// one that began a stream, although the store lists a server of another one by then: soon, or a moment later, when the daemon has
// just heard of it.
func TestUnknownStreamIsRefusedOnceTheStoreHasTwoVersions(t *testing.T) {
	for _, daemons := range []int{1, 3} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) { checkUnknownStreams(t, daemons) })
	}
}

// startOnlyVersions starts daemons for the first time before services with one server each, on routes of the same names.
func startOnlyVersions(t *testing.T, daemons, services int) *deployment {
	t.Helper()
	f := start(t, 0)
	seed := freeAddress(t)
	for number := range daemons {
		settings := f.daemonSettings(t, number, seed)
		settings.FirstStart = true
		f.all = append(f.all, settings)
		f.daemons = append(f.daemons, f.startDaemon(t, settings))
	}
	configuration := usualConfiguration(2)
	for number := range services {
		name := fmt.Sprint("llm-", number)
		service := configuration.Services[0]
		service.Name = name
		configuration.Services = append(configuration.Services, service)
		resumable := route(name, fleet.KindStream, 10*time.Second, time.Second, 2, name)
		resumable.Resumable = true
		configuration.Routes = append(configuration.Routes, resumable)
		f.addVersion(t, name, "v1")
	}
	f.store.Configure(configuration)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == daemons })
		for number := range services {
			eventually(t, "the service is served", func() bool {
				_, status, _, _ := post(f.all[i].FrontAddress, fmt.Sprintf("/llm-%d/x", number), "m")
				return status == 200
			})
		}
	}
	return f
}

func checkUnknownStreams(t *testing.T, daemons int) {
	const services = 12
	f := startOnlyVersions(t, daemons, services)
	wentOn := 0
	for number := range services {
		address, path := f.all[number%daemons].FrontAddress, fmt.Sprintf("/llm-%d/x", number)
		eventually(t, "a stream of the only version goes on", func() bool {
			answer, err := takeUpOn(address, path, "eeeeeeeeeeeeeeee")
			return err == nil && answer.Status == 200
		})
		f.addVersion(t, fmt.Sprint("llm-", number), "v2")
		time.Sleep(time.Duration(number) * joinStep)
		answer, err := takeUpOn(address, path, "ffffffffffffffff")
		if err != nil || answer.Status == 200 {
			wentOn++
			t.Errorf("service %d, %v after the second version: status %d, %v", number, time.Duration(number)*joinStep, answer.Status, err)
		}
	}
	t.Logf("%d of %d streams of unknown origin went on", wentOn, services)
}

// TestTakeUpsInAnOutageCostFewCalls guards against daemons that do not watch the store and ask it again for each stream of unknown
// origin while it turns all calls away.
func TestTakeUpsInAnOutageCostFewCalls(t *testing.T) {
	const daemons, rounds, calm = 13, 40, 4 * time.Second
	f := startOnlyVersions(t, daemons, 1)
	f.store.SetFault(func(string, string) standin.Fault { return standin.FaultBusy })
	time.Sleep(calm)
	before := f.store.Calls()
	time.Sleep(rounds * 50 * time.Millisecond)
	without := f.store.Calls() - before
	for range rounds {
		for i := range f.all {
			go func() { _, _ = takeUpOn(f.all[i].FrontAddress, "/llm-0/x", "ffffffffffffffff") }()
		}
		time.Sleep(50 * time.Millisecond)
	}
	with := f.store.Calls() - before - without
	// In two seconds each daemon may ask five times for servers, every half second, and three times for the record of streams, each
	// second. What daemons ask by themselves in an outage is drawn by chance.
	allowed := without + daemons*(5+3) + 20
	t.Logf("%d calls without take-ups, %d with", without, with)
	if with > allowed {
		t.Errorf("%d calls with take-ups, %d without", with, without)
	}
}

func (f *deployment) addVersion(t *testing.T, service, software string) {
	t.Helper()
	server, err := standin.Open(f.store, standin.Options{ID: service + "-" + software, Service: service, Zone: "z", Models: []string{"m"}, Software: software})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f.servers = append(f.servers, server)
}
