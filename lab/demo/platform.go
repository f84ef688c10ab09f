package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/entry"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// ErrPlatformDemo is the class of failures of the demo over the platform's forms.
var ErrPlatformDemo = errs.Class("demo: platform")

const (
	platformDaemons  = 3
	platformEngines  = 3
	platformWorkers  = 6
	platformRequests = 50
	platformStart    = 20 * time.Second
	platformHost     = "demo.example"
)

// platformModels are the models of the demo; each engine starts with the first.
var platformModels = []string{"summary", "translate", "glossary"}

// RunOnPlatform serves a mixed load over the platform's published forms: stand-ins
// for its store and servers, and entry daemons as they run there. Each answer is
// checked, and no request may run twice.
func RunOnPlatform(ctx context.Context, output, logs io.Writer) error {
	deployment, err := startPlatform(logs)
	if err != nil {
		return err
	}
	defer deployment.close()
	if err := deployment.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(output, "%d entry daemons before %d engines and 2 portals, over the platform's forms\n", platformDaemons, platformEngines)
	if err := deployment.showTenants(ctx, output); err != nil {
		return err
	}
	counts := deployment.load(ctx)
	fmt.Fprintf(output, "%d requests: %d whole answers, %d refused (not run), %d wrong\n",
		counts.sent.Load(), counts.whole.Load(), counts.refused.Load(), counts.wrong.Load())
	if twice := deployment.ranTwice(); twice > 0 || counts.wrong.Load() > 0 || counts.whole.Load() == 0 {
		return ErrPlatformDemo.New("%d wrong answers, %d requests ran twice", counts.wrong.Load(), twice)
	}
	return nil
}

// platformDeployment is everything that the demo runs.
type platformDeployment struct {
	store    *standin.Store
	servers  []*standin.Server
	daemons  []*entry.Daemon
	settings []entry.Settings
	// asked numbers the requests that show tenants.
	asked int
}

// platformCounts are the ends of the demo's requests.
type platformCounts struct{ sent, whole, refused, wrong atomic.Int64 }

func startPlatform(logs io.Writer) (*platformDeployment, error) {
	store, err := standin.NewStore()
	if err != nil {
		return nil, ErrPlatformDemo.Wrap(err)
	}
	d := &platformDeployment{store: store}
	store.ConfigureWithKeys(platformConfiguration(), demoKeys)
	for number := range platformEngines {
		if err := d.addServer(fmt.Sprint("engine-", number), "engines", platformModels[0]); err != nil {
			return nil, err
		}
	}
	for number := range 2 {
		if err := d.addServer(fmt.Sprint("portal-", number), "portal"); err != nil {
			return nil, err
		}
	}
	return d, d.startDaemons(logs)
}

func platformConfiguration() *fleet.Configuration {
	engine := &fleet.Engine{Slots: 8, MemoryTokens: 100000, WeightsMB: 200, AdapterSlots: 6, LoadsPerSecond: 5}
	for _, name := range platformModels {
		engine.Models = append(engine.Models, fleet.Model{Name: name, WeightsMB: 60, Adapters: 2, AdapterMB: 1})
	}
	return &fleet.Configuration{
		Version: 1,
		Routes: []fleet.Route{
			{
				Name: "stream", Host: platformHost, PathPrefix: "/stream/", Kind: fleet.KindStream, Timeout: 10 * time.Second,
				TargetLatency: time.Second, MaxAttempts: 1, Targets: []fleet.Target{{Service: "engines", Weight: 1}},
			},
			{
				Name: "portal", Host: platformHost, PathPrefix: "/portal/", Kind: fleet.KindUnsafe, Timeout: 5 * time.Second,
				TargetLatency: 150 * time.Millisecond, MaxAttempts: 1, Targets: []fleet.Target{{Service: "portal", Weight: 1}},
			},
		},
		Services: []fleet.Service{
			{Name: "engines", MaxConnections: 100, Engine: engine},
			{Name: "portal", MaxConnections: 100},
		},
		RequiresKeys: true,
		Tenants:      demoTenants,
	}
}

func (d *platformDeployment) addServer(id, service string, models ...string) error {
	server, err := standin.NewServer(d.store, id, service, "zone-1", models...)
	if err != nil {
		return ErrPlatformDemo.Wrap(err)
	}
	d.servers = append(d.servers, server)
	return nil
}

func (d *platformDeployment) startDaemons(logs io.Writer) error {
	addresses, err := loopback.Addresses(4 * platformDaemons)
	if err != nil {
		return err
	}
	var shared lockedWriter
	shared.output = logs
	for number := range platformDaemons {
		own := addresses[4*number:]
		settings := entry.DefaultSettings()
		settings.Name, settings.Zone = fmt.Sprint("entry-", number), "zone-1"
		settings.FrontAddress, settings.ReadyAddress, settings.DirectoryAddress, settings.PeerAddress = own[0], own[1], own[2], own[3]
		settings.StoreAddress, settings.Seeds, settings.DeploymentKey = d.store.Address(), []string{addresses[3]}, "the demo's deployment"
		settings.ChecksFence, settings.RevokeWithin = true, demoRevokeWithin
		daemon, err := entry.Start(settings, &shared)
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, daemon)
		d.settings = append(d.settings, settings)
	}
	return nil
}

// lockedWriter lets several daemons write to one output.
type lockedWriter struct {
	mutex  sync.Mutex
	output io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(content []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.output.Write(content)
}

func (d *platformDeployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformStart)
	defer cancel()
	var client standin.Client
	for _, settings := range d.settings {
		for !client.Ready(ctx, settings.ReadyAddress) {
			select {
			case <-ctx.Done():
				return ErrPlatformDemo.New("%s is not ready", settings.Name)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// load sends requests of both kinds from several workers.
func (d *platformDeployment) load(ctx context.Context) *platformCounts {
	var counts platformCounts
	var group conc.WaitGroup
	for worker := range platformWorkers {
		group.Go(func() {
			for number := range platformRequests {
				d.request(ctx, &counts, worker, number)
			}
		})
	}
	group.Wait()
	return &counts
}

func (d *platformDeployment) request(ctx context.Context, counts *platformCounts, worker, number int) {
	id := fmt.Sprintf("%08x%08x", worker, number)
	path, model, want := "/portal/x", "", 1
	if number%3 != 0 {
		path, model, want = "/stream/x", platformModels[number%len(platformModels)], standin.EventCount
	}
	counts.sent.Add(1)
	address := d.settings[(worker+number)%len(d.settings)].FrontAddress
	sent := standin.ClientRequest{ID: id, Host: platformHost, Path: path, Body: "prompt", Model: model, PromptTokens: 100, OutputTokens: 10, Key: demoKey}
	var client standin.Client
	answer, err := client.Do(ctx, address, sent)
	switch {
	case err == nil && answer.PromisesNotRun():
		counts.refused.Add(1)
	case err != nil || !answer.Complete || answer.Status != http.StatusOK || strings.Count(answer.Body, id) != want:
		counts.wrong.Add(1)
	default:
		counts.whole.Add(1)
	}
}

// ranTwice counts requests that more than one server ran, or one ran twice.
func (d *platformDeployment) ranTwice() int {
	seen := map[string]int{}
	for _, server := range d.servers {
		for _, run := range server.Runs() {
			seen[run.ID]++
		}
	}
	twice := 0
	for _, count := range seen {
		if count > 1 {
			twice++
		}
	}
	return twice
}

func (d *platformDeployment) close() {
	for _, daemon := range d.daemons {
		daemon.Kill()
	}
	for _, server := range d.servers {
		server.Close()
	}
	d.store.Close()
}
