package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/member"
)

// runControl is the control duty: the only one that touches the node.
func (d *Daemon) runControl() {
	ticker := time.NewTicker(coordination.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.tick(d.clock.Now())
		case happened := <-d.work.events.Items():
			d.perform(happened(d.node, d.clock.Now()))
		case <-d.demand.urgent:
			d.perform(d.node.UpdateOwnLoad(d.clock.Now(), d.tracker.OwnLoads(time.Now()), d.demand.all(), coordination.UrgencyWaiting))
		case <-d.tracker.Changed():
			d.perform(d.node.UpdateOwnLoad(d.clock.Now(), d.tracker.OwnLoads(time.Now()), d.demand.all(), coordination.UrgencyLoad))
		}
		d.publish()
	}
}

// forgetPause is the time between two looks for instances that are gone: each is at all
// that were ever used.
const forgetPause = time.Second

func (d *Daemon) tick(now time.Time) {
	d.quotas.Tick(now)
	d.notices.limits.Tick(now)
	d.notices.slots.Tick(now)
	d.quarantine.turns.Tick(now)
	if now.Sub(d.control.fleetAt) >= fleetRefresh {
		d.updateRetryLimits(now)
		d.publishFleet(now)
	}
	d.perform(d.node.UpdateOwnLoad(now, d.tracker.OwnLoads(time.Now()), d.demand.all(), coordination.UrgencyNone))
	d.perform(d.node.Tick(now))
	if now.Sub(d.control.forgotAt) >= forgetPause {
		d.control.forgotAt = now
		view := d.gateway.View()
		d.tracker.Prune(time.Now(), func(id string) bool { return view.Instance(id) != nil })
		d.notices.tick(now, view)
		d.pace.forget(view)
		d.budgets.Prune(func(service string) bool { return view.Service(service) != nil })
		d.origins.forget(now)
	}
	d.retries.tick(now)
	d.origins.tick(now)
	d.gossip(now)
	d.publishAddresses()
	d.publishWatching(now)
	d.paths.tick(now)
	d.observeState(now)
}

// publish hands a new snapshot to the request path.
func (d *Daemon) publish() {
	if view, changed := d.node.TakeView(); changed {
		before := d.gateway.View().Configuration()
		d.gateway.SetView(view)
		d.quarantine.watch.gone(d.clock.Now(), func(instance string) bool { return view.Instance(instance) != nil })
		if view.Configuration() != before {
			d.tenantsChanged(view)
		}
		if view.Configuration() != nil {
			d.life.ready.Store(true)
		}
	}
	// After the snapshot that it stands for.
	d.assurance.publish(d.node.ProvenSince())
}

// publishAddresses makes the answer about addresses: all daemons that live and
// are not leaving.
func (d *Daemon) publishAddresses() {
	revision := d.node.MembersRevision()
	if !d.life.ready.Load() || revision == d.control.publishedAt && d.clock.Since(d.control.published) < addressRefresh {
		return
	}
	d.control.publishedAt, d.control.published = revision, d.clock.Now()
	d.dispatch.setGroup(d.node.Group())
	live := int64(0)
	book := addressBook{}
	members := d.node.Members()
	d.pace.setPlace(d.node.Group(), d.node.SendsLoadToAll(), members)
	for _, other := range members {
		book[other.Name] = other.PeerAddress
		if other.State == member.Dead {
			continue
		}
		live++
	}
	d.fleet.peerAddresses.Store(&book)
	d.paths.setMembers(members)
	d.origins.setMembers(members)
	d.fleet.setLive(max(1, live))
	d.publishFleet(d.clock.Now())
	d.fleet.addresses.Store(newFrontAddresses(members, d.current().ZoneRegions))
}

// tenantsChanged takes in the tenants of another configuration.
func (d *Daemon) tenantsChanged(view *fleet.View) {
	d.quotas.SubjectsChanged(d.clock.Now())
	if shared := view.Tenants().Shared(); len(shared) > 0 {
		d.log.add("configuration", "Tenants list keys of others, which keep them.", "tenants", strings.Join(shared, ","))
	}
}

// publishWatching tells those that follow the store whether this daemon watches it.
func (d *Daemon) publishWatching(now time.Time) {
	d.fleet.rank.Store(int64(d.node.Rank()))
	d.following.othersAway.Store(d.node.PeersWithoutStore(now))
	d.following.watching.Store(d.node.Watching(now))
}

// fleetRefresh is how often limits are shared anew: in a small fleet daemons that fall silent are
// noticed before they are suspected, and one that has just started finds that its fleet has formed.
const fleetRefresh = 250 * time.Millisecond

// publishFleet hands the daemons of now to those who share out limits.
func (d *Daemon) publishFleet(now time.Time) {
	d.control.fleetAt = now
	if d.fleetUnchanged(now) {
		return
	}
	d.control.fleetRevision = d.node.MembersRevision()
	members := d.node.RecentMembers(now)
	known := d.control.discovery.Fleet(now, d.current().Name, members, d.otherSeeds())
	d.quotas.SetFleet(now, known)
	d.notices.limits.SetFleet(now, known)
	d.notices.slots.SetFleet(now, known)
	d.quarantine.turns.SetFleet(now, known)
}

// fleetUnchanged reports whether the daemons are as they were when they were last handed on. In a small fleet, or soon
// after the start, what counts of them changes with the time as well.
func (d *Daemon) fleetUnchanged(now time.Time) bool {
	settled := now.Sub(d.started) > fleetSettles && !d.node.SendsLoadToAll()
	return settled && d.control.fleetRevision == d.node.MembersRevision()
}

// fleetSettles is how long after its start a daemon assumes more daemons than it knows.
const fleetSettles = 20 * time.Second

// otherSeeds is the number of other daemons to join through.
func (d *Daemon) otherSeeds() int {
	count := 0
	for _, seed := range d.current().Seeds {
		if seed != d.current().peersReachAt() {
			count++
		}
	}
	return count
}

// addressBook maps the names of daemons to their peer addresses.
type addressBook map[string]string

func (b addressBook) of(name string) (string, bool) {
	address, known := b[name]
	return address, known
}

// any returns the address of a daemon other than self, drawn by chance; empty if there is none.
func (b addressBook) any(self string) string {
	drawn, seen := "", 0
	for name, address := range b {
		if name == self {
			continue
		}
		// Each of those seen so far is the one with the same chance: the order of a map favours some of them.
		if seen++; rand.IntN(seen) == 0 {
			drawn = address
		}
	}
	return drawn
}

// perform hands actions to the duties that carry them out.
func (d *Daemon) perform(actions []coordination.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case coordination.SendPeer:
			d.peers.Send(action.Address, action.Message)
		case coordination.Broadcast:
			d.peers.SendAll(action.Addresses, action.Message)
		case coordination.CallLease:
			d.work.leases.TryPut(action)
		case coordination.RequestReport:
			d.work.reports.TryPut(action)
		case coordination.SendOrder:
			d.work.orders.TryPut(action)
		case coordination.ReadConfiguration:
			d.assurance.request()
		case coordination.CrashesReceived:
			d.quarantine.learn(action.Update)
		case coordination.NoticesReceived:
			d.notices.learn(action.Update)
		case coordination.BrittleReceived:
			d.notices.learnBrittle(action.Update)
		case coordination.InstanceCold:
			d.notices.setCold(action)
		case coordination.Refresh:
			select {
			case d.following.refresh[action.Source] <- struct{}{}:
			default:
			}
		case coordination.LogEntry:
			d.log.add(action.Part, action.Text, action.Fields...)
		}
	}
}

func (d *Daemon) receive(message coordination.Message) {
	switch {
	case message.Choose != nil:
		d.dispatch.answer(message.From, message.Choose)
		return
	case message.Chosen != nil:
		d.dispatch.calls.Answered(message.Chosen.ID, message.Chosen)
		return
	case message.Group != nil:
		d.dispatch.takeGroup(message.From, message.Group)
		return
	case message.Pace != nil:
		d.pace.receive(message.From, message.Pace)
		return
	case message.TenantLimit != nil:
		d.quotas.Receive(message.From, message.TenantLimit)
		return
	case message.InstanceLimit != nil:
		d.notices.limits.Receive(message.From, message.InstanceLimit)
		return
	case message.InstanceSlot != nil:
		d.notices.slots.Receive(message.From, message.InstanceSlot)
		return
	case message.Resumption != nil:
		d.origins.receive(message.From, message.Resumption)
		return
	case message.SuspectTurn != nil:
		d.quarantine.turns.Receive(message.From, message.SuspectTurn)
		return
	case message.Load != nil:
		d.dispatch.takeLoad(message.From, message.Load)
	}
	d.work.events.TryPut(func(node *coordination.Node, now time.Time) []coordination.Action {
		return node.Receive(now, message)
	})
}

func (d *Daemon) runLease() {
	for {
		action, ok := d.work.leases.Take(d.ctx)
		if !ok {
			return
		}
		stored, outcome := d.store.CallLease(d.ctx, action.Call)
		d.work.events.Put(d.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
			return node.LeaseAnswered(now, outcome, stored)
		})
	}
}

func (d *Daemon) runReports() {
	for {
		ask, ok := d.work.reports.Take(d.ctx)
		if !ok {
			return
		}
		askedAt := d.clock.Now()
		report, err := d.engines.Report(d.ctx, ask.Instance, ask.Address)
		d.work.events.Put(d.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
			return node.ReportAnswered(askedAt, now, ask.Instance, report, err == nil)
		})
		d.noteRefused(err, ask.Instance, ask.Address)
		d.noteFaultyAnswer(err, ask.Instance)
	}
}

func (d *Daemon) runOrders() {
	for {
		sent, ok := d.work.orders.Take(d.ctx)
		if !ok {
			return
		}
		d.sendOrder(sent)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
