package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/clock"
	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/peer"
	"github.com/wheatweir/wheatweir/platform"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/resumption"
	"github.com/wheatweir/wheatweir/retry"
)

// Classes of errors.
var (
	// ErrStart is the class of failures to start.
	ErrStart = errs.Class("entry: start")
	// ErrDuty is the class of failures of a duty.
	ErrDuty = errs.Class("entry: duty")
)

const (
	eventRingSize = 4096
	callRingSize  = 256
	reportWorkers = 8
	orderWorkers  = 8
	// memoryHeadroom is the share of the process's memory that the runtime may manage. What the kernel buffers of connections comes on top.
	memoryHeadroom = 0.75
	// receivedShare is the share of the process's memory that data from other processes may occupy until it is forwarded.
	receivedShare = 1.0 / 8
	// requestBodyShare is that of the bodies of clients' requests, smallBodyShare what small bodies have of their own. requestHeadShare is
	// that of heads, connectionShare that of connections without them.
	requestBodyShare = 5.0 / 16
	smallBodyShare   = 1.0 / 16
	requestHeadShare = 1.0 / 16
	connectionShare  = 3.0 / 16
	// anyHeadBytes is a size of heads for which there is memory on every machine, however small.
	anyHeadBytes = 64 << 10
	// gcPercent is how much garbage the process holds before it is collected, as a part of what is in use. A daemon
	// at rest makes little garbage.
	gcPercent = 50
)

// Daemon is one running entry daemon.
type Daemon struct {
	settings atomic.Pointer[Settings]
	// clock is by what all promises to others are kept. The tracker of instances and other matters
	// of this daemon alone go by the steady clock.
	clock   *clock.Clock
	log     *logBook
	metrics *metrics
	// memory bounds what is held of data from other processes.
	memory     *membudget.Budget
	memoryTold memoryObserver
	started    time.Time

	node *coordination.Node
	// work joins the control duty to the duties that make calls.
	work    workRings
	control controlState
	fleet   fleetState
	life    lifecycle
	// following and assurance are about what is read from the store.
	following followState
	assurance *assurance

	store *platform.Store
	// storeEras counts the eras of the store that its answers have named.
	storeEras atomic.Int64
	engines   *platform.Engines
	upstream  *platform.Upstream
	paths     *paths
	front     *platform.Front
	servers   []*http.Server
	// listeners are those of all addresses.
	listeners connlimit.Group
	// connectionsTold is what the log was last told of them, connectionsAt when they were last looked at.
	connectionsTold  connlimit.Observer
	connectionsAt    time.Time
	connectionGauges map[connlimit.Name]*connlimit.Gauges
	peers            *peer.Transport[coordination.Message]

	// The request path.
	gateway  *gateway.Gateway
	dispatch *dispatch
	quotas   quotas
	// quarantine keeps requests from servers that they crash.
	quarantine *quarantineKeeper
	// notices are what servers say of themselves.
	notices *notices
	// origins knows which software version began a stream.
	origins *origins
	// pace is how fast servers work.
	pace    *paceKeeper
	tracker *balance.Tracker
	budgets *retry.Budgets
	retries *retryObserver
	demand  *demandCounter

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
}

// Start starts a daemon. Logs go to output.
func Start(settings Settings, output io.Writer) (*Daemon, error) {
	return StartOn(Machine{Clock: clock.New(), Dial: platform.DialServer}, settings, output)
}

// Machine is what a daemon uses of its machine.
type Machine struct {
	Clock *clock.Clock
	// Dial opens connections to servers.
	Dial platform.Dial
}

// StartOn starts a daemon on a machine.
func StartOn(machine Machine, settings Settings, output io.Writer) (*Daemon, error) {
	debug.SetMemoryLimit(int64(memoryHeadroom * settings.MemoryLimitMB * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		clock: machine.Clock,
		log:   newLogBook(settings.LogLevel, settings.Name, output), started: machine.Clock.Now(),
		control: controlState{discovery: quota.NewDiscovery(machine.Clock.Now())}, work: newWorkRings(),
		metrics: newMetrics(), memory: newMemoryBudget(settings.MemoryLimitMB * (1 << 20)), memoryTold: memoryObserver{denied: map[membudget.Kind]int64{}},
		tracker: balance.NewTracker(), demand: newDemandCounter(), life: lifecycle{failed: make(chan error, 1)}, assurance: newAssurance(), ctx: ctx, cancel: cancel,
		following: newFollowState(), connectionGauges: map[connlimit.Name]*connlimit.Gauges{},
	}
	d.store = platform.NewStore(settings.StoreAddress, d.memory)
	d.store.OnEra(d.eraLearned)
	d.settings.Store(&settings)
	d.notices = newNotices(d)
	d.paths = newPaths(d, machine.Dial)
	d.engines = platform.NewEngines(d.clock.Now, d.notices.hear, d.paths.dialer.Direct, d.memory)
	d.upstream = platform.NewUpstream(d.clock.Now, d.notices.hear, d.paths.dialer.Dial, d.memory)
	d.fleet.setLive(1)
	d.budgets = retry.NewBudgets(retry.Settings{})
	d.retries = newRetryObserver(d)
	d.quotas = newQuotas(d)
	d.quarantine = newQuarantineKeeper(d)
	d.origins = newOrigins(d)
	d.pace = newPaceKeeper(d)
	if d.pace.enabled {
		d.tracker.SetSlownessSource(d.pace.book)
	}
	d.gateway = gateway.New(gateway.Settings{
		Now: d.clock.Now, Zone: settings.Zone, RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5,
		ConnectionShare: func() float64 { return 1 / float64(d.fleet.limitDivisor()) },
		ZoneCost:        d.zoneCost,
		KeysCurrent:     d.keysSure,
		Quotas:          d.quotas,
		Quarantine:      d.quarantine,
		Notices:         d.notices,
		StreamOrigins:   d.origins,
		Samples:         d.pace.samples(),
		Memory:          d.memory,
	}, d.upstream, d.tracker, d.budgets, d.demand, d)
	d.dispatch = newDispatch(d)
	d.gateway.SetChooser(d.dispatch)
	d.fleet.peerAddresses.Store(&addressBook{})
	if err := d.listen(); err != nil {
		cancel()
		return nil, ErrStart.Wrap(err)
	}
	d.newNode()
	d.updateRetryLimits(d.started)
	d.startDuties()
	d.log.add("daemon", "Started.", "name", settings.Name, "zone", settings.Zone, "front", settings.FrontAddress, "first_start", settings.FirstStart)
	return d, nil
}

const (
	// zoneCost is what a server of another zone counts against it: a little time, and
	// priced bytes.
	zoneCost = 0.03
	// largeFleetZoneCost is the same in a fleet so large that daemons hear of the load
	// of other zones late: while each zone uses its own servers, it knows what they do.
	largeFleetZoneCost = 0.15
)

func (d *Daemon) zoneCost() float64 {
	if int(d.fleet.live.Load())-1 > coordination.DefaultSettings(0).MaxSmallFleetPeers {
		return largeFleetZoneCost
	}
	return zoneCost
}

// newMemoryBudget divides the memory for data from other processes.
func newMemoryBudget(limitBytes float64) *membudget.Budget {
	budget := membudget.New(int64(limitBytes * receivedShare))
	budget.Separate(membudget.RequestBody, int64(limitBytes*requestBodyShare))
	budget.Separate(membudget.SmallRequestBody, int64(limitBytes*smallBodyShare))
	budget.Separate(membudget.RequestHead, max(int64(limitBytes*requestHeadShare), connlimit.HeadCost(anyHeadBytes)))
	return budget
}

func (d *Daemon) listen() error {
	var err error
	d.front, err = platform.ListenFront(d.current().FrontAddress, d.gateway, d.life.stopping.Load)
	if err != nil {
		return err
	}
	machine := connlimit.Machine{
		Descriptors: d.current().MaxDescriptors, MemoryBytes: int64(d.current().MemoryLimitMB * (1 << 20) * connectionShare),
	}
	d.front.LimitMemory(d.memory)
	d.front.LimitConnections(machine)
	d.listeners.Add(connlimit.Front, d.front.Listener())
	for address, name := range d.questionAddresses() {
		server, listener, err := platform.ListenDirectory(address, d, machine.Connections(name), d.memory)
		if err != nil {
			return err
		}
		d.listeners.Add(name, listener)
		d.servers = append(d.servers, server)
		d.startDuty("directory", func() { _ = server.Serve(listener) })
	}
	if d.peers, err = peer.Listen(d.current().PeerAddress, peerKey(d.current().DeploymentKey), d.receive); err != nil {
		return err
	}
	d.peers.LimitConnections(machine.Connections(connlimit.Peers))
	d.listeners.Add(connlimit.Peers, d.peers.Listener())
	d.peers.LimitMemory(d.memory)
	d.peers.ServeTunnels(d.paths.carry)
	d.peers.OnUnacknowledged(func(address string, waiting time.Duration) {
		d.log.add("peers", "Gave a silent connection up.", "address", address, "unacknowledged_ms", waiting.Milliseconds())
	})
	return nil
}

// questionAddresses returns the addresses that answer questions. One that several uses share has the name of that with most connections.
func (d *Daemon) questionAddresses() map[string]connlimit.Name {
	addresses := map[string]connlimit.Name{}
	if d.current().MetricsAddress != "" {
		addresses[d.current().MetricsAddress] = connlimit.Metrics
	}
	addresses[d.current().ReadyAddress] = connlimit.Ready
	addresses[d.current().DirectoryAddress] = connlimit.Directory
	return addresses
}

// peerKey is what daemons of one deployment that speak the same form of messages share.
func peerKey(deploymentKey string) []byte {
	return []byte(deploymentKey + " messages " + coordination.MessageForm)
}

func (d *Daemon) newNode() {
	self := member.Member{
		Name: d.current().Name, Zone: d.current().Zone, PeerAddress: d.current().peersReachAt(),
		CallerAddress: d.current().FrontAddress, Incarnation: uint64(d.started.UnixMilli()),
		Weight: int(1000 * d.current().CPUShare),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	settings := coordination.DefaultSettings(d.current().LeaseTerm)
	settings.ChecksFence = d.current().ChecksFence
	if settings.ChecksFence {
		// Servers turn away what an earlier holder still sends.
		settings.Lease.TakeoverOrderDelay = 0
	}
	settings.RevokeWithin = d.current().RevokeWithin
	settings.FollowsEvacuations = d.current().EvacuateWithin > 0
	d.node = coordination.New(d.started, self, settings, d.current().Seeds, random)
}

func (d *Daemon) startDuties() {
	d.startDuty("log", func() { d.log.run(d.ctx) })
	d.startDuty("front", d.front.Serve)
	d.startDuty("control", d.runControl)
	d.startDuty("lease", d.runLease)
	d.startDuty("dispatch", d.dispatch.run)
	if d.pace.enabled {
		d.startDuty("pace", d.pace.run)
	}
	d.startDuty("assurance", func() { d.assurance.run(d) })
	for range reportWorkers {
		d.startDuty("reports", d.runReports)
	}
	for range crashWatchers {
		d.startDuty("crashes", func() { d.quarantine.watch.run(d.ctx) })
	}
	d.startDuty("quarantine", d.quarantine.restore)
	d.startDuty("quarantine", d.quarantine.runKept)
	d.startDuty("stream record", d.origins.record.restore)
	d.startDuty("stream record", d.origins.record.runReads)
	d.startDuty("versions", d.origins.check.run)
	for number := range resumption.ShardCount {
		d.startDuty("stream record", func() { d.origins.record.keep(number) })
	}
	for range orderWorkers {
		d.startDuty("orders", d.runOrders)
	}
	d.startDuty("configuration", func() {
		source := d.store.Configurations()
		source.Skipped = d.unreadable("configuration")
		follow(d, coordination.SourceConfiguration, source, 0, d.configurationsLearned, d.configurationsLearned)
	})
	d.startDuty("instances", func() {
		source := d.store.Servers()
		source.Skipped = d.unreadable("instances")
		follow(d, coordination.SourceInstances, source, gatherInstances, (*coordination.Node).InstancesListed, (*coordination.Node).InstancesChanged)
	})
	if d.current().EvacuateWithin > 0 {
		d.startDuty("evacuations", func() {
			source := d.store.Evacuations()
			source.Skipped = d.unreadable("evacuations")
			follow(d, coordination.SourceEvacuations, source, 0, (*coordination.Node).EvacuationsListed, (*coordination.Node).EvacuationsChanged)
		})
	}
}

// eraLearned takes in the era that an answer of the store has named.
func (d *Daemon) eraLearned(era uint64) {
	if d.storeEras.Add(1) > 1 {
		d.quarantine.keepAgain()
		d.origins.record.storeRestored()
	}
	d.work.events.Put(d.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
		return node.EraLearned(now, era)
	})
}

// unreadable returns what counts and logs entries of a collection that cannot be read.
func (d *Daemon) unreadable(collection string) func(name string, err error) {
	return func(name string, err error) {
		d.metrics.unreadable.Inc(1)
		d.log.add(collection, "Not understood.", "entry", name, "error", err)
	}
}

// startDuty starts a duty. A duty that panics takes the daemon out of service: a
// daemon that lacks one would look healthy and do half its work.
func (d *Daemon) startDuty(name string, duty func()) {
	d.group.Go(func() {
		var catcher panics.Catcher
		catcher.Try(duty)
		if recovered := catcher.Recovered(); recovered != nil {
			d.life.ready.Store(false)
			d.life.lacksDuty.Store(true)
			select {
			case d.life.failed <- ErrDuty.New("%s: %v", name, recovered.AsError()):
			default:
			}
		}
	})
}

// Failed gives the error of a duty that failed. The daemon should be ended.
func (d *Daemon) Failed() <-chan error { return d.life.failed }

// configurationsLearned takes in configurations, of which one is in force.
func (d *Daemon) configurationsLearned(node *coordination.Node, _ time.Time, batch feed.Batch[*fleet.Configuration]) []coordination.Action {
	var actions []coordination.Action
	for _, item := range batch.Items {
		if platform.IsConfiguration(item.Name) && !item.Gone {
			actions = append(actions, node.ConfigurationReceived(item.Value)...)
		}
	}
	return actions
}

// Addresses implements platform.Directory.
func (d *Daemon) Addresses(region, zone string) ([]string, bool) {
	addresses := d.fleet.addresses.Load()
	if addresses == nil {
		return nil, false
	}
	return addresses.near(region, zone), true
}

// Keep implements platform.Directory.
func (d *Daemon) Keep() time.Duration { return d.current().AddressKeep }

// Ready implements platform.Directory.
func (d *Daemon) Ready() bool { return d.life.ready.Load() && !d.life.stopping.Load() }
