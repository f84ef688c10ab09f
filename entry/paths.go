package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/peer"
	"github.com/wheatweir/wheatweir/platform"
	"github.com/wheatweir/wheatweir/reach"
)

const (
	// mostRelays is how many daemons are asked to carry one connection, relayTimeout how long each may take.
	mostRelays   = 3
	relayTimeout = 150 * time.Millisecond
)

// paths are the ways of this daemon to servers: its own, and through other daemons while its own are cut.
type paths struct {
	daemon *Daemon
	book   *reach.Tracker
	dialer *reach.Dialer
	relays *reach.Relays
	// addresses are those of the servers in the last view that was looked at for them.
	addresses atomic.Pointer[serverAddresses]
	// told is the status that the log knows. Only the control duty touches it, and what follows.
	told reach.Status
	// aside says that another daemon is to hold the lease, since asideAt or, if it does not, since then.
	aside   bool
	asideAt time.Time
	// provedAt is when it was last looked whose fault it is.
	provedAt time.Time
}

func newPaths(daemon *Daemon, direct platform.Dial) *paths {
	p := &paths{daemon: daemon, book: reach.NewTracker(), relays: reach.NewRelays(daemon.current().Zone)}
	p.addresses.Store(&serverAddresses{})
	p.dialer = reach.NewDialer(p.book, daemon.clock.Now, reach.Dial(direct), p.throughOthers)
	return p
}

// throughOthers has another daemon connect to an address.
func (p *paths) throughOthers(ctx context.Context, address string) (net.Conn, error) {
	failed := reach.ErrNoRelay.New("no other daemon is known")
	for _, relay := range p.relays.Choose(p.daemon.clock.Now(), mostRelays) {
		conn, err := p.through(ctx, relay, address)
		if err == nil {
			return conn, nil
		}
		failed = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, failed
}

// through has one daemon connect to an address.
func (p *paths) through(ctx context.Context, relay reach.Relay, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := p.daemon.peers.DialTunnel(ctx, relay.Address, address)
	switch {
	case err == nil:
		p.relays.Succeeded(relay.Name)
		p.daemon.log.add("paths", "Connected through another daemon.", "address", address, "daemon", relay.Name)
		return conn, nil
	case peer.ErrTarget.Has(err):
		return nil, err
	default:
		p.relays.Failed(p.daemon.clock.Now(), relay.Name, peer.ErrRelayNoRoute.Has(err))
		return nil, reach.ErrNoRelay.Wrap(err)
	}
}

// carry connects to a server for another daemon. It never goes through a third one.
func (p *paths) carry(ctx context.Context, address string) (net.Conn, error) {
	if !p.servers().all[address] {
		return nil, peer.ErrRelayDeclined.New("%s is no instance's address", address)
	}
	if p.book.Status(p.daemon.clock.Now()).Cut {
		return nil, peer.ErrRelayNoRoute.New("%s", p.daemon.current().Name)
	}
	conn, err := p.dialer.Direct(ctx, address)
	if err != nil && p.book.Status(p.daemon.clock.Now()).Doubtful {
		// It may be this daemon's fault, and says nothing about the address.
		return nil, peer.ErrRelayNoRoute.Wrap(err)
	}
	return conn, err
}

// serverAddresses are the addresses of the servers in one view. It is immutable.
type serverAddresses struct {
	view *fleet.View
	all  map[string]bool
	// engines are those of model servers.
	engines []string
}

// servers returns the addresses of the servers. They are worked out when they are asked for: views change many times
// a second, and only daemons whose paths fail, and those that help them, need the addresses.
func (p *paths) servers() *serverAddresses {
	view := p.daemon.gateway.View()
	if known := p.addresses.Load(); known.view == view {
		return known
	}
	made := &serverAddresses{view: view, all: make(map[string]bool, view.InstanceCount())}
	for _, instance := range view.All() {
		made.all[instance.Address] = true
		if service := view.Service(instance.Service); service != nil && service.Engine != nil {
			made.engines = append(made.engines, instance.Address)
		}
	}
	p.addresses.Store(made)
	return made
}

// setMembers takes in which daemons there are.
func (p *paths) setMembers(members []member.Member) {
	self := p.daemon.current().Name
	var relays []reach.Relay
	for i := range members {
		if other := &members[i]; other.Name != self && other.State == member.Alive && !other.Leaving {
			relays = append(relays, reach.Relay{Name: other.Name, Zone: other.Zone, Address: other.PeerAddress})
		}
	}
	p.relays.Set(relays)
}

// tick tells the log and the metrics what has become of the paths.
func (p *paths) tick(now time.Time) {
	p.book.SetAddresses(p.daemon.gateway.View().InstanceCount())
	status := p.book.Status(now)
	if status.Cut != p.told.Cut {
		p.changed(now, status)
	}
	p.told = status
	if status.Failed > 0 || p.aside {
		p.tickAside(now)
	} else {
		p.asideAt = now
	}
	direct, relayed := p.dialer.Counts()
	metrics := p.daemon.metrics
	metrics.pathsCut.Update(oneIf(status.Cut))
	metrics.addressesFailed.Update(float64(status.Failed))
	metrics.connectionsDirect.Update(float64(direct))
	metrics.connectionsRelayed.Update(float64(relayed))
	metrics.tunnelsCarried.Update(float64(p.daemon.peers.TunnelCount()))
}

// changed takes in that the paths to all servers are cut, or back.
func (p *paths) changed(now time.Time, status reach.Status) {
	_, relayed := p.dialer.Counts()
	if status.Cut {
		p.daemon.log.add("paths", "Cut off from all servers.", "failed", status.FailedInARow, "after_ms", now.Sub(status.Since).Milliseconds(), "relayed", relayed)
		return
	}
	p.daemon.log.add("paths", "Servers are reached again.", "cut_ms", now.Sub(p.told.Since).Milliseconds(), "relayed", relayed)
}

func oneIf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
