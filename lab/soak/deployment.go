package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// What the deployment consists of.
const (
	host           = "soak.example"
	engineService  = "engines"
	portalService  = "portal"
	portalCount    = 3
	modelCount     = 8
	modelMB        = 60
	adapterCount   = 3
	loadsPerSecond = 2
	startWait      = 30 * time.Second
	// listedLoadTime is how long the configuration says that a load takes, loadTime how long it takes, longLoadTime both where
	// weights are large.
	listedLoadTime = 500 * time.Millisecond
	loadTime       = 300 * time.Millisecond
	longLoadTime   = 4 * time.Second
)

func modelName(number int) string { return fmt.Sprint("model-", number) }

func engineSpec(loadTime time.Duration) *fleet.Engine {
	engine := &fleet.Engine{Slots: 8, MemoryTokens: 100000, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: loadsPerSecond}
	for number := range modelCount {
		engine.Models = append(engine.Models, fleet.Model{
			Name: modelName(number), WeightsMB: modelMB, Adapters: adapterCount, AdapterMB: 1, LoadTime: loadTime,
		})
	}
	return engine
}

// place is where servers of a service come and go, most of them at one address.
type place struct {
	service string
	zone    string

	mutex  sync.Mutex
	proxy  *proxy
	server *standin.Server
	serial int
	// software is the version of the next server; empty means that versions take turns.
	software string
	// retiring are earlier servers that have been replaced and still run.
	retiring []*standin.Server
}

// deployment is everything that a soak runs.
type deployment struct {
	options Options
	folder  string
	record  *record
	store   *standin.Store
	engine  *fleet.Engine
	places  []*place
	// silent are the servers that patient clients wait for.
	silent  []*standin.Server
	daemons []*daemon
	group   conc.WaitGroup
	faults  int
	// releases counts the releases that have begun.
	releases int

	// portals are all servers of the portal so far, refusals what they say of themselves; zero if they are not brittle.
	portalMutex sync.Mutex
	portals     []*standin.Server
	refusals    int
	bursts      atomic.Uint64
	// hasty counts the requests that clients sent right after another one.
	hasty atomic.Uint64

	configMutex sync.Mutex
	version     uint64

	// copies are those of the store of the last seconds, oldest first.
	copyMutex sync.Mutex
	copies    []*standin.Copy

	tellMutex sync.Mutex
	output    io.Writer
}

func newDeployment(options Options, folder string, output io.Writer) (*deployment, error) {
	store, err := standin.NewStore()
	if err != nil {
		return nil, ErrSoak.Wrap(err)
	}
	d := &deployment{options: options, folder: folder, store: store, engine: engineSpec(listedLoadTime), output: output}
	if options.OnlyCrashes {
		d.engine = engineSpec(longLoadTime)
	}
	d.record = newRecord(options.Untimed, func(v Violation) { go d.tell("VIOLATION %s", v) })
	d.configure()
	for number := range options.Engines + portalCount {
		service := engineService
		if number >= options.Engines {
			service = portalService
		}
		if err := d.addPlace(service, number); err != nil {
			return nil, err
		}
	}
	if err := d.startSilentServers(); err != nil {
		return nil, err
	}
	return d, d.startDaemons()
}

func (d *deployment) addPlace(service string, number int) error {
	proxy, err := newProxy("127.0.0.1:1")
	if err != nil {
		return err
	}
	p := &place{proxy: proxy, service: service, zone: fmt.Sprint("zone-", number%zones+1)}
	if d.options.OnlyCrashes || d.options.OnlyOutOfStep {
		p.software = softwareOf(0, 0)
	}
	d.places = append(d.places, p)
	return d.startServer(p, number, nil)
}

// startServer starts the next server at a place, after the one that has ended or as the first one.
// It does nothing if another fault that struck the same server has done so: an address has one
// server at a time.
func (d *deployment) startServer(p *place, number int, ended *standin.Server) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.server != ended {
		return nil
	}
	p.serial++
	return d.open(p, number, false)
}

// startAgain starts a server under the id of the one that has ended, with or without the model that it holds first.
func (d *deployment) startAgain(p *place, number int, ended *standin.Server, empty bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.server != ended {
		return nil
	}
	d.record.returned(ended.ID)
	return d.open(p, number, empty)
}

// open starts a server at a place. The place's mutex is held.
func (d *deployment) open(p *place, number int, empty bool) error {
	options := standin.Options{
		ID: fmt.Sprintf("%s-%d-%d", p.service, number, p.serial), Service: p.service, Zone: p.zone,
		Advertised: p.proxy.address(), Observer: d.record, Engine: d.engine, Born: time.Now().UnixMilli(), Empty: empty,
	}
	if p.service == engineService {
		options.Models = []string{modelName(number % modelCount)}
		options.Software = cmp.Or(p.software, softwareOf(number, p.serial))
		options.SlowPath, options.SlowPause = fmt.Sprintf("/%s/", lastingRoute), lastingPause
	} else {
		options.Slots, options.Queue, options.Work, options.ListedSlots = portalSlots, portalQueue, portalWork, portalSlots
	}
	server, err := standin.Open(d.store, options)
	if err != nil {
		return ErrSoak.Wrap(err)
	}
	server.LoadTime, server.EventPause = loadTime, 40*time.Millisecond
	if d.options.OnlyCrashes {
		server.LoadTime = longLoadTime
	}
	if p.service == engineService {
		server.CrashOn(deadlyBody)
		server.CrashOnParts(deadlyPart)
	} else {
		d.addPortal(server)
	}
	p.server = server
	p.proxy.retarget(server.Address())
	return nil
}

func (p *place) current() *standin.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.server
}

func (p *place) currentProxy() *proxy {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.proxy
}

// running returns the current server and those that are retiring.
func (p *place) running() []*standin.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]*standin.Server{p.server}, p.retiring...)
}

func (d *deployment) startDaemons() error {
	for number := range d.options.Daemons {
		made, err := newDaemon(number, d.options.Binary, d.folder, d.store.Address())
		if err == nil {
			made.crowds = d.options.Crowds
		}
		if err != nil {
			return err
		}
		made.firstStart = d.options.OnlyOutOfStep
		d.daemons = append(d.daemons, made)
	}
	for _, daemon := range d.daemons {
		if err := daemon.writeSettings(d.seeds(), keep); err != nil {
			return err
		}
		if err := daemon.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) seeds() string {
	var seeds []string
	for _, daemon := range d.daemons[:min(3, len(d.daemons))] {
		seeds = append(seeds, daemon.peerProxy.address())
	}
	return strings.Join(seeds, ", ")
}

// configure writes the next version of the configuration. Each version adds a route,
// by which a client sees which version a daemon follows.
func (d *deployment) configure() {
	d.configMutex.Lock()
	defer d.configMutex.Unlock()
	d.version++
	d.writeConfiguration()
	d.record.configured(d.version)
}

// configureAgain writes the newest version again, which the store may have lost.
func (d *deployment) configureAgain() {
	d.configMutex.Lock()
	defer d.configMutex.Unlock()
	d.writeConfiguration()
}

// writeConfiguration writes the newest version. The configuration's mutex is held.
func (d *deployment) writeConfiguration() {
	configuration := &fleet.Configuration{
		Version: d.version,
		Routes: []fleet.Route{
			soakRoute("stream", fleet.KindStream, 1, engineService),
			resumable(soakRoute(resumableRoute, fleet.KindStream, 2, engineService)),
			lasting(),
			soakRoute("unsafe", fleet.KindUnsafe, 1, portalService),
			soakRoute("safe", fleet.KindSafe, 2, portalService),
		},
		Services: []fleet.Service{
			{Name: engineService, MaxConnections: 200, Engine: d.engine},
			{Name: portalService, MaxConnections: 200},
		},
	}
	for version := uint64(2); version <= d.version; version++ {
		configuration.Routes = append(configuration.Routes, soakRoute(markName(version), fleet.KindSafe, 2, portalService))
	}
	addPatience(configuration)
	if d.options.OnlyOutOfStep {
		for i := range configuration.Routes {
			if route := &configuration.Routes[i]; route.Resumable {
				// Daemons that cannot prove that keys are still valid serve public routes only.
				route.Timeout, route.Public = outOfStepTimeout, true
			}
		}
	}
	d.store.ConfigureWithKeys(configuration, addTenants(configuration))
}

// serviceOf returns the service to which the route of a path leads.
func serviceOf(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	switch name {
	case "stream", resumableRoute, lastingRoute:
		return engineService
	case "patient-unsafe":
		return silentService
	case "patient-stream":
		return silentEngineService
	default:
		return portalService
	}
}

func resumable(route fleet.Route) fleet.Route {
	route.Resumable = true
	return route
}

func markName(version uint64) string { return fmt.Sprint("mark-", version) }

func soakRoute(name string, kind fleet.RouteKind, attempts int, service string) fleet.Route {
	return fleet.Route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: kind, Timeout: 6 * time.Second, TargetLatency: time.Second,
		TargetGap: 300 * time.Millisecond, MaxAttempts: attempts, Targets: []fleet.Target{{Service: service, Weight: 1}},
	}
}

func (d *deployment) newestVersion() uint64 {
	d.configMutex.Lock()
	defer d.configMutex.Unlock()
	return d.version
}

func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	client := standin.Client{HTTP: &http.Client{Timeout: time.Second}}
	for _, daemon := range d.daemons {
		for !client.Ready(ctx, daemon.ready) {
			if ctx.Err() != nil {
				return ErrSoak.New("%s is not ready after %v; see its log in %s", daemon.name, startWait, d.folder)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends everything that the soak started.
func (d *deployment) close() {
	for _, daemon := range d.daemons {
		daemon.end()
	}
	for _, place := range d.places {
		place.currentProxy().close()
		place.current().Close()
	}
	for _, server := range d.silent {
		server.Close()
	}
	d.store.Close()
}
