package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	retryDaemons = 7
	// busyServers and failingServers are the numbers of servers of the two services.
	busyServers    = 4
	failingServers = 3
	retryShare     = 0.2
	retrySlack     = 54
	retryWindow    = 10 * time.Second
)

// retryFleet is a fleet of real daemons as processes before two plain services, whose servers count arrivals. Daemons reach each
// other through relays that can be cut.
type retryFleet struct {
	store   *standin.Store
	daemons []*retryDaemon
	repeats *standin.Repeats
	// failShare is the share of the requests that the servers of the failing service fail, in thousandths.
	failShare atomic.Int64
	// closes says that they close the connection instead of answering with a failure.
	closes   atomic.Bool
	requests atomic.Int64
	client   *http.Client
}

// retryDaemon is one daemon, which is started again when it ends.
type retryDaemon struct {
	binary, settings string
	front, ready     string
	metrics          string
	relay            *cutRelay
	log              *os.File

	mutex   sync.Mutex
	process *os.Process
	ended   bool
}

// startRetryFleet starts the daemons and waits until each serves both services.
func startRetryFleet(t *testing.T, binary string) *retryFleet {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f := &retryFleet{store: store, repeats: standin.NewRepeats(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(f.client.CloseIdleConnections)
	f.configure(1, "busy", "failing")
	for service, count := range map[string]int{"busy": busyServers, "failing": failingServers} {
		for number := range count {
			f.addServer(t, service, fmt.Sprint(service, "-", number))
		}
	}
	folder := t.TempDir()
	for number := range retryDaemons {
		f.daemons = append(f.daemons, f.newDaemon(t, binary, folder, number))
	}
	var seeds []string
	for _, d := range f.daemons[:3] {
		seeds = append(seeds, d.relay.address())
	}
	for _, d := range f.daemons {
		content, err := os.ReadFile(d.settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(d.settings, append(content, "[peers]\nseeds = "+strings.Join(seeds, ", ")+"\n"...), 0o600); err != nil {
			t.Fatal(err)
		}
		d.start(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, d := range f.daemons {
		for _, service := range []string{"busy", "failing"} {
			for !f.ask(d, service) {
				if ctx.Err() != nil {
					t.Fatalf("%s is not served by %s", service, d.front)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return f
}

// configure writes a configuration with a route to each service.
func (f *retryFleet) configure(version uint64, services ...string) {
	made := &fleet.Configuration{Version: version}
	for _, service := range services {
		connections := 400
		if service == "slow" {
			connections = mostConnections
		}
		made.Services = append(made.Services, fleet.Service{Name: service, MaxConnections: connections})
		made.Routes = append(made.Routes, fleet.Route{
			Name: service, Host: "h.example", PathPrefix: "/" + service + "/", Kind: fleet.KindSafe, Timeout: 1200 * time.Millisecond,
			TargetLatency: 150 * time.Millisecond, MaxAttempts: 2, Targets: []fleet.Target{{Service: service, Weight: 1}},
		})
	}
	f.store.Configure(made)
}

// addServer starts a server that counts what arrives and enters it into the store.
func (f *retryFleet) addServer(t *testing.T, service, id string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		requestID := request.Header.Get("X-Request-Id")
		f.repeats.Arrived(service, requestID, time.Now())
		fails := service == "failing" && rand.Int64N(1000) < f.failShare.Load()
		if fails && f.closes.Load() {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("X-Request-Id", requestID)
		writer.Header().Set("X-Server-Signature", standin.SignatureOf(id, requestID))
		if fails {
			writer.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(writer, standin.PlainBody(id, requestID))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.store.Put("servers", id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": "z", "version": "v1", "slots": 400, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
	})
}

// newDaemon writes the settings of a daemon, all but its seeds.
func (f *retryFleet) newDaemon(t *testing.T, binary, folder string, number int) *retryDaemon {
	t.Helper()
	d := &retryDaemon{binary: binary, settings: filepath.Join(folder, fmt.Sprint("d", number, ".ini"))}
	var directory, peers string
	for _, address := range []*string{&d.front, &d.ready, &d.metrics, &directory, &peers} {
		var err error
		if *address, err = loopback.Address(); err != nil {
			t.Fatal(err)
		}
	}
	var err error
	if d.relay, err = newCutRelay(peers); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.relay.close)
	content := fmt.Sprintf(`[daemon]
name = d%d
zone = z
deployment_key = %s
memory_limit_mb = %d
[listen]
front = %s
ready = %s
directory = %s
metrics = %s
peers = %s
advertised_peers = %s
[store]
address = %s
watch_wait = 2s
[requests]
address_keep = 1s
grace = 3s
retry_share = %g
retry_slack = %d
[orders]
checks_fence = true
lease_term = 3s
`, number, deploymentKey, entryMemoryMB, d.front, d.ready, directory, d.metrics, peers, d.relay.address(), f.store.Address(), retryShare, retrySlack)
	if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if d.log, err = os.Create(filepath.Join(folder, fmt.Sprint("d", number, ".log"))); err != nil {
		t.Fatal(err)
	}
	return d
}

// start starts the process, and again each time that it ends, until the test ends.
func (d *retryDaemon) start(t *testing.T) {
	t.Helper()
	if err := d.launch(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.mutex.Lock()
		d.ended = true
		d.mutex.Unlock()
		d.signal(syscall.SIGKILL)
	})
}

func (d *retryDaemon) launch() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ended {
		return nil
	}
	command := exec.Command(d.binary, "--entry", "--settings", d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	// A test that is killed leaves no process behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.process = command.Process
	go func() {
		_ = command.Wait()
		time.Sleep(100 * time.Millisecond)
		_ = d.launch()
	}()
	return nil
}

func (d *retryDaemon) signal(sent syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_ = d.process.Signal(sent)
}

// ask sends one request for a service to a daemon and reports whether it was served.
func (f *retryFleet) ask(d *retryDaemon, service string) bool {
	number := f.requests.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	f.repeats.Sent(service, time.Now())
	answer, err := (&standin.Client{HTTP: f.client}).Do(ctx, d.front, standin.ClientRequest{
		ID: fmt.Sprintf("%016x", number), Host: "h.example", Path: "/" + service + "/x", Patience: 2500 * time.Millisecond,
	})
	return err == nil && answer.Status == http.StatusOK
}

// load sends requests for a service to all daemons in turn, at a rate, for a while. It returns when all have ended.
func (f *retryFleet) load(service string, perSecond int, span time.Duration) (sent, served int) {
	var group sync.WaitGroup
	var answered atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for until := time.Now().Add(span); time.Now().Before(until); <-ticker.C {
		d := f.daemons[sent%len(f.daemons)]
		sent++
		group.Go(func() {
			if f.ask(d, service) {
				answered.Add(1)
			}
		})
	}
	group.Wait()
	return sent, int(answered.Load())
}

// cutAll cuts the daemons off from each other.
func (f *retryFleet) cutAll() {
	for _, d := range f.daemons {
		d.relay.cut()
	}
}

// checkRepeats checks the rule for both services.
func (f *retryFleet) checkRepeats(t *testing.T) {
	t.Helper()
	rule := standin.RepeatRule{Window: retryWindow, Share: retryShare, Slack: retrySlack}
	for _, service := range f.repeats.Services() {
		worst := f.repeats.Worst(service, rule)
		t.Logf("%s: %d repeats in all, at worst %d within %v, %.1f allowed (%d requests)", service, f.repeats.Count(service), worst.Repeats, rule.Window, worst.Allowed, worst.Requests)
		if worst.Use() > 1 {
			t.Errorf("%s: %d repeats within %v, %.1f allowed", service, worst.Repeats, rule.Window, worst.Allowed)
		}
	}
}

// metricsInterval is how late the metrics of a daemon are.
const metricsInterval = time.Second

// checkPaid checks that no more requests arrived again than the budgets have allowed, by the metrics of the daemons.
func (f *retryFleet) checkPaid(t *testing.T) {
	t.Helper()
	time.Sleep(2 * metricsInterval)
	allowed := 0.0
	for _, d := range f.daemons {
		allowed += (&entryDaemon{metrics: d.metrics}).metric(t, `wheatweir_retries{result="retry_allowed",service="failing"}`)
	}
	repeats := f.repeats.Count("failing")
	t.Logf("%d repeats, %.0f allowed by the budgets", repeats, allowed)
	if float64(repeats) > allowed {
		t.Errorf("%d repeats, %.0f allowed by the budgets", repeats, allowed)
	}
}
