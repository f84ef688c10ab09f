// Package cluster runs stand-ins and daemons in one process over real sockets
// on loopback.
package cluster

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/daemon"
	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/lab/standin/service"
	"github.com/wheatweir/wheatweir/settings"
)

// ErrCluster is the class of failures to run a cluster.
var ErrCluster = errs.Class("cluster")

// Fixed secrets of the lab; they guard nothing.
const (
	DeploymentKey = "lab deployment key, not a secret"
	Credential    = "lab operator credential"
)

// Options of a cluster.
type Options struct {
	Daemons  int
	Engines  int
	Services int
	// Unfenced is how many of the engines check no fence.
	Unfenced int
	Zones    int
	// ServiceDropEvery makes every n-th call of a service lose its answer.
	ServiceDropEvery int
	Store            objectstore.Settings
	// Engine returns the settings of one engine.
	Engine func(name string) engine.Settings
	// Adjust changes the settings of each daemon before it starts.
	Adjust func(*settings.Settings)
	// Log receives the daemons' logs.
	Log io.Writer
}

// DefaultOptions returns a small cluster that reacts fast.
func DefaultOptions(log io.Writer) Options {
	store := objectstore.DefaultSettings()
	store.MachineLag = 200 * time.Millisecond
	return Options{
		Daemons: 3, Engines: 4, Services: 2, Zones: 3, Store: store, Engine: engine.DefaultSettings, Log: log,
		Adjust: func(s *settings.Settings) {
			s.Control.JoinWait = 500 * time.Millisecond
			s.Control.PollInterval = 200 * time.Millisecond
			s.Control.PlanInterval = 200 * time.Millisecond
			s.Control.Member.ProbeInterval = 200 * time.Millisecond
			s.Control.Member.ProbeTimeout = 80 * time.Millisecond
			s.Requests.AddressKeep = time.Second
		},
	}
}

// Cluster is a running cluster.
type Cluster struct {
	options  Options
	Store    *objectstore.Server
	Engines  []*engine.Server
	Services []*service.Server
	Daemons  []*daemon.Daemon
	peers    []string
}

// Start starts all parts. On failure, what was started is stopped.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{options: options}
	for _, start := range []func() error{c.startStore, c.startEngines, c.startServices, c.startDaemons} {
		if err := start(); err != nil {
			c.Close()
			return nil, ErrCluster.Wrap(err)
		}
	}
	return c, nil
}

func (c *Cluster) zone(index int) string { return fmt.Sprintf("zone-%d", index%c.options.Zones+1) }

func (c *Cluster) startStore() error {
	var err error
	c.Store, err = objectstore.Listen("127.0.0.1:0", c.options.Store)
	return err
}

func (c *Cluster) setMachine(machine api.Machine) {
	c.Store.Do(func(now time.Time, core *objectstore.Core) { core.SetMachine(now, machine) })
}

// EngineName returns the name of an engine.
func EngineName(index int) string { return fmt.Sprintf("engine-%d", index+1) }

func (c *Cluster) startEngines() error {
	for index := range c.options.Engines {
		name := EngineName(index)
		s := c.options.Engine(name)
		s.ChecksFence = index >= c.options.Unfenced
		server, err := engine.Listen("127.0.0.1:0", s)
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, server)
		c.setMachine(api.Machine{
			Name: name, Role: api.RoleEngine, Zone: c.zone(index), State: api.MachineLive, Address: server.Address(),
			MemoryBytes: s.MemoryBytes, Accelerators: 1, ChecksFence: s.ChecksFence,
		})
	}
	return nil
}

// ServiceName returns the name of a machine of the plain service.
func ServiceName(index int) string { return fmt.Sprintf("portal-%d", index+1) }

func (c *Cluster) startServices() error {
	for index := range c.options.Services {
		server, err := service.Listen("127.0.0.1:0", c.options.ServiceDropEvery)
		if err != nil {
			return err
		}
		c.Services = append(c.Services, server)
		c.setMachine(api.Machine{
			Name: ServiceName(index), Role: api.RoleService, Zone: c.zone(index), State: api.MachineLive, Address: server.Address(),
		})
	}
	return nil
}

func (c *Cluster) startDaemons() error {
	var err error
	if c.peers, err = loopback.Addresses(c.options.Daemons); err != nil {
		return err
	}
	for index := range c.options.Daemons {
		started, err := c.StartDaemon(index)
		if err != nil {
			return err
		}
		c.Daemons = append(c.Daemons, started)
	}
	return nil
}

// StartDaemon starts the daemon of one place, as after its machine was
// replaced. The caller puts it in Daemons.
func (c *Cluster) StartDaemon(index int) (*daemon.Daemon, error) {
	s := settings.Default()
	s.Daemon = settings.Daemon{
		Name: fmt.Sprintf("daemon-%d", index+1), Zone: c.zone(index), CallerAddress: "127.0.0.1:0", PeerAddress: c.peers[index],
		PlatformAddress: c.Store.Address(), Seeds: c.peers, DeploymentKey: DeploymentKey, LogLevel: "info",
	}
	s.Operators.Credential = Credential
	if c.options.Adjust != nil {
		c.options.Adjust(&s)
	}
	return daemon.Start(s, c.options.Log)
}

// Close ends all parts at once.
func (c *Cluster) Close() {
	for _, running := range c.Daemons {
		running.Kill()
	}
	for _, running := range c.Services {
		running.Close()
	}
	for _, running := range c.Engines {
		running.Close()
	}
	if c.Store != nil {
		c.Store.Close()
	}
}

// CallerAddresses returns the addresses of the daemons for callers.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, running := range c.Daemons {
		addresses = append(addresses, running.CallerAddress())
	}
	return addresses
}

// waitPoll is the pause between two looks at a condition.
const waitPoll = 50 * time.Millisecond

// Wait waits until a condition holds.
func Wait(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ErrCluster.New("%s: %v", what, ctx.Err())
		case <-time.After(waitPoll):
		}
	}
	return nil
}
