package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/engine"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/objectstore"
	"github.com/wheatweir/wheatweir/operator"
	"github.com/wheatweir/wheatweir/peer"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/ring"
	"github.com/wheatweir/wheatweir/route"
	"github.com/wheatweir/wheatweir/service"
	"github.com/wheatweir/wheatweir/settings"
	"github.com/wheatweir/wheatweir/tenant"
)

// ErrStart is the class of failures to start.
var ErrStart = errs.Class("daemon: start")

// ErrDuty is the class of failures of a duty.
var ErrDuty = errs.Class("daemon: duty")

// Daemon is one running daemon.
type Daemon struct {
	settings settings.Settings
	logger   *log.Logger
	started  time.Time
	// discovery is how this daemon has come to know the others, and fleetAt when those who share
	// out limits last heard of them; the control duty's own.
	discovery *quota.Discovery
	fleetAt   time.Time

	node      *control.Node
	events    *ring.Ring[event]
	calls     callRings
	table     atomic.Pointer[route.Table]
	picker    *route.Picker
	prefixes  *route.PrefixIndex
	interests *ring.Ring[string]

	// memory bounds what is being received from other processes.
	memory    *membudget.Budget
	transport *peer.Transport[control.Message]
	platform  objectstore.Client
	engines   *engine.Client
	services  *service.Client
	server    *caller.Server
	listeners connlimit.Group
	// connectionsTold is what the log was last told of them, connectionsAt when they were last looked at.
	connectionsTold  connlimit.Observer
	connectionsAt    time.Time
	connectionGauges map[connlimit.Name]*connlimit.Gauges
	operators        *operator.Executor
	ledger           *keyLedger
	metrics          *metrics
	history          *history
	requests         *requestLog
	budgets          *retry.Budgets
	exchange         exchange.Settings
	limiter          *limiter.Limiter
	// tenants are those of the configuration in force, peerAddresses where other daemons hear.
	tenants       atomic.Pointer[tenant.Table]
	peerAddresses atomic.Pointer[map[string]string]

	gateMutex sync.RWMutex
	gates     map[string]*admit.Gate

	stopping atomic.Bool
	caughtUp atomic.Bool
	lastTick atomic.Int64
	failed   chan error
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

const (
	// memoryLimitPercent is what received data and its garbage may occupy, in hundredths of what is allowed for received data, and
	// baseMemoryBytes what else the process occupies, before garbage is collected more often.
	memoryLimitPercent = 125
	baseMemoryBytes    = 48 << 20
)

// Rings between the duties. Each is long enough for a burst of one round at
// the largest size; a full one sheds work that is found again later.
const (
	eventRingSize    = 4096
	callRingSize     = 1024
	interestRingSize = 256
)

// Start starts a daemon and returns once it takes calls. Logs go to output.
func Start(s settings.Settings, output io.Writer) (*Daemon, error) {
	// Bodies that were read in growing buffers leave garbage, which is collected before it takes much memory of its own.
	debug.SetMemoryLimit(int64(s.Requests.ReceivedBytes)*memoryLimitPercent/100 + baseMemoryBytes)
	ctx, cancel := context.WithCancel(context.Background())
	prefixes := &route.PrefixIndex{}
	memory := membudget.New(int64(s.Requests.ReceivedBytes))
	d := &Daemon{
		settings:  s,
		logger:    newLogger(s.Daemon.LogLevel, output),
		started:   time.Now(),
		discovery: quota.NewDiscovery(time.Now()),
		events:    ring.New[event](eventRingSize),
		calls:     newCallRings(),
		memory:    memory,
		prefixes:  prefixes,
		picker:    route.DefaultPicker(prefixes),
		interests: ring.New[string](interestRingSize),
		engines:   engine.NewClient(s.Requests.IdleTimeout, memory),
		services:  service.NewClient(s.Requests.IdleTimeout, memory),
		platform:  objectstore.NewHTTPClient(s.Daemon.PlatformAddress, memory),
		metrics:   newMetrics(),
		history:   newHistory(),
		requests:  newRequestLog(),
		budgets:   retry.NewBudgets(retry.Settings{Share: s.Requests.RetryShare, Floor: retryBurst, Initial: retryBurst}),
		exchange:  exchange.Settings{MaxAttempts: s.Requests.MaxAttempts},
		gates:     map[string]*admit.Gate{},

		connectionGauges: map[connlimit.Name]*connlimit.Gauges{},

		cancel: cancel,
		failed: make(chan error, 1),
	}
	d.table.Store(&route.Table{})
	d.tenants.Store(tenant.NewTable(nil))
	d.peerAddresses.Store(&map[string]string{})
	d.limiter = d.newLimiter()
	d.operators = &operator.Executor{System: d, Platform: d.platform, Writer: s.Daemon.Name}
	d.ledger = newKeyLedger(d.platform, s.Requests.ClaimTimeout, s.Daemon.Name)
	if err := d.listen(); err != nil {
		cancel()
		return nil, err
	}
	d.newNode()
	d.startDuties(ctx)
	d.logger.Info("Started.", "part", "daemon", "name", s.Daemon.Name, "zone", s.Daemon.Zone,
		"callers", d.server.Address(), "peers", d.transport.Address())
	return d, nil
}

// retryBurst is how many retries may be made before the first success.
const retryBurst = 20

func (d *Daemon) listen() error {
	var err error
	d.transport, err = peer.Listen(d.settings.Daemon.PeerAddress, []byte(d.settings.Daemon.DeploymentKey), d.receive)
	if err != nil {
		return ErrStart.Wrap(err)
	}
	d.transport.LimitMemory(d.memory)
	d.transport.OnUnacknowledged(func(address string, waiting time.Duration) {
		d.logger.Info("Gave a silent connection up.", "part", "peer", "address", address, "unacknowledged", waiting)
	})
	d.server, err = caller.Listen(d.settings.Daemon.CallerAddress, d.settings.Daemon.Name, d.settings.Requests.MaxBodyBytes, d)
	if err != nil {
		d.transport.Close()
		return ErrStart.Wrap(err)
	}
	machine := connlimit.Machine{Descriptors: d.settings.Daemon.MaxDescriptors}
	d.server.LimitMemory(d.memory)
	d.server.LimitConnections(machine)
	d.transport.LimitConnections(machine.Connections(connlimit.Peers))
	d.listeners.Add(connlimit.Caller, d.server.Listener())
	d.listeners.Add(connlimit.Peers, d.transport.Listener())
	return nil
}

func (d *Daemon) newNode() {
	self := member.Member{
		Name:          d.settings.Daemon.Name,
		Zone:          d.settings.Daemon.Zone,
		PeerAddress:   d.transport.Address(),
		CallerAddress: d.server.Address(),
		Incarnation:   uint64(d.started.UnixMilli()),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.node = control.New(self, d.settings.Control, random)
	d.node.SetSeeds(d.settings.Daemon.Seeds)
}

func (d *Daemon) startDuties(ctx context.Context) {
	d.startDuty("control", func() { d.runControl(ctx) })
	d.startDuty("watches", func() { d.runWatches(ctx) })
	for range platformWorkers {
		d.startDuty("platform", func() { d.runPlatformCalls(ctx) })
	}
	for range pollWorkers {
		d.startDuty("polls", func() { d.runPolls(ctx) })
	}
	for range orderWorkers {
		d.startDuty("orders", func() { d.runOrders(ctx) })
	}
	d.startDuty("ledger", func() { d.ledger.run(ctx) })
}

// startDuty starts a duty. A duty that panics takes the daemon out of service:
// a daemon that lacks one would look healthy and do half its work.
func (d *Daemon) startDuty(name string, duty func()) {
	d.group.Go(func() {
		var catcher panics.Catcher
		catcher.Try(duty)
		recovered := catcher.Recovered()
		if recovered == nil {
			return
		}
		d.logger.Error("Duty failed.", "part", "daemon", "duty", name, "error", recovered.AsError())
		d.stopping.Store(true)
		select {
		case d.failed <- ErrDuty.Wrap(recovered.AsError()):
		default:
		}
	})
}

// Failed gives the error of a duty that failed. The daemon should be ended.
func (d *Daemon) Failed() <-chan error { return d.failed }

// CallerAddress returns the address that takes callers.
func (d *Daemon) CallerAddress() string { return d.server.Address() }

// PeerAddress returns the address that hears other daemons.
func (d *Daemon) PeerAddress() string { return d.transport.Address() }

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Learned implements operator.System.
func (d *Daemon) Learned(object api.Object) {
	d.events.TryPut(func(node *control.Node, _ time.Time) []control.Action {
		return node.Learned(object)
	})
}
