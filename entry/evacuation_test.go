package entry_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// evacuateWithin is how long after an evacuation requests may still reach the zone.
	evacuateWithin = 5 * time.Second
	// coldPerSecond is what a cold server bears; coldFactor and coldSlack bound what it may get in a second.
	coldPerSecond = 4.0
	coldFactor    = 1.5
	coldSlack     = 5
)

// startEvacuable starts daemons that follow evacuations before the usual servers and a watched one with the model m
// in the zone "other".
func startEvacuable(t *testing.T, daemons int) (*deployment, *standin.Server, *watched) {
	t.Helper()
	f := start(t, 0)
	seed := freeAddress(t)
	for i := range daemons {
		settings := f.daemonSettings(t, i, seed)
		settings.EvacuateWithin = evacuateWithin
		f.all = append(f.all, settings)
		f.daemons = append(f.daemons, f.startDaemon(t, settings))
	}
	seen := &watched{}
	server, err := standin.Open(f.store, standin.Options{ID: "watched", Service: "llm", Zone: "other", Models: []string{"m"}, Observer: seen})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f.waitReady(t)
	return f, server, seen
}

// TestNothingReachesAnEvacuatedZone guards against requests that reach the servers of a zone after the operator has
// asked that nothing more be sent there, and against a zone that is not used again once that is taken back.
func TestNothingReachesAnEvacuatedZone(t *testing.T) {
	f, _, seen := startEvacuable(t, 3)
	l := f.begin(t, 50*time.Millisecond)
	eventually(t, "served there", func() bool { return seen.between(time.Time{}, time.Now()) > 5 })
	f.store.Evacuate("other")
	asked := time.Now()
	time.Sleep(evacuateWithin + time.Second)
	if late := seen.between(asked.Add(evacuateWithin), time.Now()); late > 0 {
		t.Errorf("%d requests reached the zone over %v after its evacuation", late, evacuateWithin)
	}
	again := time.Now()
	f.store.TakeBack("other")
	eventually(t, "served there again", func() bool { return seen.between(again, time.Now()) > 5 })
	l.end()
	if refused := l.refused.Load(); refused > 0 {
		t.Errorf("%d requests were refused although another zone has the model", refused)
	}
}

// TestRequestsForAnEvacuatedServiceAreRefusedAtOnce evacuates all zones. It guards against requests that wait for the
// end of an evacuation.
func TestRequestsForAnEvacuatedServiceAreRefusedAtOnce(t *testing.T) {
	f, _, _ := startEvacuable(t, 1)
	f.store.Evacuate("other")
	f.store.Evacuate("z")
	eventually(t, "refused", func() bool {
		began := time.Now()
		_, status, _, err := post(f.all[0].FrontAddress, "/plain/x", "")
		return err == nil && status == 503 && time.Since(began) < time.Second
	})
}

// TestColdServerGetsNoMoreThanItBears has a server become cold under load from all daemons. It guards against daemons
// that each keep to the rate by themselves, or that do not know of it.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	f, server, seen := startEvacuable(t, 5)
	f.store.Configure(coldConfiguration(2))
	l := f.begin(t, 40*time.Millisecond)
	eventually(t, "served there", func() bool { return seen.between(time.Time{}, time.Now()) > 5 })
	server.Cool(6 * time.Second)
	said := time.Now()
	time.Sleep(6 * time.Second)
	l.end()
	const knownWithin = 2 * time.Second
	allowed := int(coldFactor*coldPerSecond) + coldSlack
	if most := seen.most(said.Add(knownWithin), time.Second); most > allowed {
		t.Errorf("%d requests in a second, allowed %d", most, allowed)
	}
	if refused := l.refused.Load(); refused > 0 {
		t.Errorf("%d requests were refused although other servers have the model", refused)
	}
}

// coldConfiguration is the usual configuration with model servers that bear few requests while they are cold.
func coldConfiguration(version uint64) *fleet.Configuration {
	configuration := usualConfiguration(version)
	configuration.Services[0].ColdSpan, configuration.Services[0].ColdPerSecond = 3*time.Second, coldPerSecond
	return configuration
}
