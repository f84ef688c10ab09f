package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
	"github.com/wheatweir/wheatweir/tenant"
)

// putTenants puts a configuration with a plain service and the tenants acme and ample in force.
func putTenants(store *standin.Store, version uint64, limit tenant.Limit, acmeKeys ...string) {
	store.ConfigureWithKeys(&fleet.Configuration{
		Version:  version,
		Routes:   []fleet.Route{route("plain", fleet.KindUnsafe, 5*time.Second, 150*time.Millisecond, 1, "web")},
		Services: []fleet.Service{{Name: "web", MaxConnections: 100}}, RequiresKeys: true,
		Tenants: []tenant.Tenant{{Name: "acme", Limit: limit}, {Name: "ample"}},
	}, map[string][]string{"acme": acmeKeys, "ample": {"ample-key"}})
}

// startTenants starts daemons that have to keep keys sure, and returns what they log.
func startTenants(t *testing.T, count int, limit tenant.Limit) (*deployment, *lockedText) {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	logged := &lockedText{}
	f := &deployment{store: store, output: logged}
	putTenants(store, 1, limit, "acme-key")
	for i := range 2 {
		f.addServer(t, fmt.Sprint("web", i), "web")
	}
	seed := freeAddress(t)
	for i := range count {
		settings := f.daemonSettings(t, i, seed)
		settings.RevokeWithin = 2 * time.Second
		f.all = append(f.all, settings)
		f.daemons = append(f.daemons, f.startDaemon(t, settings))
	}
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "served", func() bool { return f.ask(i, "ample-key").Status == 200 })
		if limit.Limited() {
			eventually(t, "the daemons know each other", func() bool { return f.ask(i, "acme-key").Status == 200 })
		}
	}
	return f, logged
}

// lockedText keeps what several daemons write.
type lockedText struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *lockedText) Write(content []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(content)
}

func (l *lockedText) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// ask sends one request with a key to a daemon.
func (f *deployment) ask(daemon int, key string) standin.ClientAnswer {
	answer, _ := client.Do(context.Background(), f.all[daemon].FrontAddress, standin.ClientRequest{
		ID: fmt.Sprintf("%016x", requestNumber.Add(1)), Host: "h.example", Path: "/plain/x", Body: "b", Key: key, Tenant: "forged",
		Patience: 3 * time.Second,
	})
	return answer
}

func (f *deployment) ran() []standin.Run {
	var runs []standin.Run
	for _, server := range f.servers {
		runs = append(runs, server.Runs()...)
	}
	return runs
}

// TestKeysOverWholeDaemons covers keys from the client to the server, and the log.
func TestKeysOverWholeDaemons(t *testing.T) {
	f, logged := startTenants(t, 2, tenant.Limit{})
	for key, status := range map[string]int{"acme-key": 200, "ample-key": 200, "stray-key": 401, "": 401} {
		if got := f.ask(1, key).Status; got != status {
			t.Errorf("key %q: status %d, want %d", key, got, status)
		}
	}
	tenants := map[string]int{}
	for _, run := range f.ran() {
		tenants[run.Header.Get("X-Tenant")]++
		if run.Header.Get("Api-Key") != "" {
			t.Error("a server was shown a key")
		}
	}
	if len(tenants) != 2 || tenants["acme"] == 0 {
		t.Errorf("requests by tenant: %v", tenants)
	}
	putTenants(f.store, 2, tenant.Limit{}, "new-key")
	eventually(t, "the key is taken away", func() bool { return f.ask(1, "acme-key").Status == 401 && f.ask(0, "new-key").Status == 200 })
	if text := logged.String(); strings.Contains(text, "-key") || !strings.Contains(text, "tenant=acme") || !strings.Contains(text, "reason=unknown_key") {
		t.Error("the log shows a key, or not whose request it was")
	}
	if text := f.daemons[1].Metrics(); strings.Contains(text, "-key") || !strings.Contains(text, `tenant="acme"`) {
		t.Error("the metrics show a key, or not whose requests there were")
	}
}

// TestTakenKeyIsOutOfUseInTime takes a key away while the store answers none of the daemons any
// more: nobody knows of it, and nothing is sent with it after the time that there is for that.
func TestTakenKeyIsOutOfUseInTime(t *testing.T) {
	f, _ := startTenants(t, 3, tenant.Limit{})
	f.store.SetFault(func(string, string) standin.Fault { return standin.FaultSilent })
	// Watches that wait already are not answered either.
	f.store.Silence()
	putTenants(f.store, 2, tenant.Limit{})
	taken := time.Now()
	served := 0
	for time.Since(taken) < 3500*time.Millisecond {
		for i := range f.all {
			if answer := f.ask(i, "acme-key"); answer.Status == 200 {
				served++
			} else if answer.Status != 503 || answer.RetryAfter <= 0 {
				t.Errorf("status %d, come back in %v", answer.Status, answer.RetryAfter)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, run := range f.ran() {
		if late := run.At.Sub(taken) - 2*time.Second; run.Header.Get("X-Tenant") == "acme" && late > 0 {
			t.Fatalf("a request with the key ran %v too late", late)
		}
	}
	if served == 0 {
		t.Error("nothing was served in the time that there is")
	}
	f.store.SetFault(nil)
	eventually(t, "the key is known to be gone", func() bool { return f.ask(0, "acme-key").Status == 401 && f.ask(2, "ample-key").Status == 200 })
}

// TestQuotaOverWholeDaemons has clients ask all daemons for far more than a tenant may use.
func TestQuotaOverWholeDaemons(t *testing.T) {
	limit := tenant.Limit{PerSecond: 20, Burst: 10}
	f, _ := startTenants(t, 3, limit)
	began := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	for i := range f.all {
		group.Go(func() {
			for time.Since(began) < 2*time.Second {
				answer := f.ask(i, "acme-key")
				mutex.Lock()
				statuses[answer.Status]++
				mutex.Unlock()
				if answer.Status == 429 && answer.RetryAfter <= 0 {
					t.Error("a client is not told when to come back")
				}
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
	group.Wait()
	most := int(limit.Burst+limit.PerSecond*(time.Since(began).Seconds()+0.5)) + 3
	if statuses[200] < int(limit.PerSecond) || statuses[200] > most || statuses[429] == 0 || len(statuses) != 2 {
		t.Errorf("answers by status: %v; at most %d may be served", statuses, most)
	}
	if answer := f.ask(0, "ample-key"); answer.Status != 200 {
		t.Errorf("another tenant gets %d", answer.Status)
	}
}
