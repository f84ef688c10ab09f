package coordination

import (
	"slices"
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/history"
)

// loadUpdateState is what this daemon has sent of its own load, and what is still to be sent.
type loadUpdateState struct {
	// changed is set if the load has changed since the last update to other daemons,
	// dispatcherChanged if it has since the last one to the dispatcher.
	changed           bool
	dispatcherChanged bool
	// newWaiter is set if a request has begun to wait for a model since the last update.
	newWaiter        bool
	sentAt           time.Time
	dispatcherSentAt time.Time
	// modelsSentAt is when the demand was last sent, and modelsReceiver the lease holder it was
	// sent to.
	modelsSentAt   time.Time
	modelsReceiver string
	// groupWaiter is set if a request has begun to wait in this daemon's group since modelsSentAt.
	groupWaiter bool
	// sentConfiguration and sentEvacuations are the versions in the last update.
	sentConfiguration uint64
	sentEvacuations   history.Place
	broadcastDeltas   balance.LoadDeltas
	dispatcherDeltas  balance.LoadDeltas
	gossipPeers       gossipPeers
}

// Urgency is the reason for sending the own load.
type Urgency uint8

// Urgencies, in ascending order.
const (
	// UrgencyNone is used for regular updates.
	UrgencyNone Urgency = iota
	// UrgencyLoad is used when the load has changed.
	UrgencyLoad
	// UrgencyWaiting is used when a request has begun to wait for a model or adapter.
	UrgencyWaiting
)

// UpdateOwnLoad records this daemon's requests in progress and its demand, and sends load updates that
// are due. The caller must not change requests afterwards.
func (n *Node) UpdateOwnLoad(now time.Time, requests map[string]balance.Load, models []ModelLoad, urgency Urgency) []Action {
	n.demand.own = models
	load := n.ownLoad(now, requests)
	state := &n.loadUpdates
	state.changed = state.changed || urgency != UrgencyNone
	state.dispatcherChanged = state.dispatcherChanged || urgency != UrgencyNone
	state.newWaiter = state.newWaiter || urgency == UrgencyWaiting
	state.groupWaiter = state.groupWaiter || urgency == UrgencyWaiting
	n.updateDispatcher(now, load, urgency)
	n.reportDemand(now)
	interval := n.settings.LoadUpdateInterval
	if state.changed {
		interval = n.loadUpdateInterval()
	}
	switch {
	case now.Sub(state.sentAt) >= interval:
		n.sendLoadUpdate(now, load)
		state.sentAt, state.changed, state.newWaiter = now, false, false
	case urgency == UrgencyWaiting && !n.held && n.SendsLoadToAll():
		demand := load
		demand.Requests, demand.Changes = nil, true
		n.sendAll([]string{n.holderName}, Message{From: n.self, Load: &demand})
	}
	if urgency == UrgencyWaiting && n.held {
		n.requestPlan(now)
	}
	return n.takeActions()
}

// ownLoad returns the load update of this daemon.
func (n *Node) ownLoad(now time.Time, requests map[string]balance.Load) Load {
	load := Load{
		Requests: requests, Models: n.demand.own, Versions: n.versions(now),
		StoreUnavailable: n.StoreUnavailable(), Watching: n.Watching(now), WatcherAge: n.watcherAge(now),
	}
	if n.held {
		load.Fence, _, _ = n.mayOrder(now)
		renewal := n.lease.Place()
		load.Lease = &renewal
	}
	return load
}

// updateDispatcher sends the own load to the dispatcher of this group as soon as it changes. It
// includes the demand for models at each interval, or at once if a request has begun to wait.
func (n *Node) updateDispatcher(now time.Time, load Load, urgency Urgency) {
	group, state := n.Group(), &n.loadUpdates
	if group.Dispatcher == "" || group.Dispatching {
		return
	}
	lacking := urgency == UrgencyWaiting
	changed := state.dispatcherChanged && now.Sub(state.dispatcherSentAt) >= n.settings.DispatcherUpdateInterval
	if !lacking && !changed && !state.dispatcherDeltas.FullUpdateDue(now) {
		return
	}
	state.dispatcherSentAt, state.dispatcherChanged = now, false
	load.Requests, load.Changes = state.dispatcherDeltas.Next(now, group.Address, load.Requests)
	// The lease holder adds its own demand itself.
	if n.held || !lacking && now.Sub(state.modelsSentAt) < n.settings.LoadUpdateInterval {
		load.Models, load.NoModels = nil, true
	} else {
		state.modelsSentAt = now
	}
	if load.NoModels && load.Changes && len(load.Requests) == 0 {
		return
	}
	n.enqueue(SendPeer{Address: group.Address, Message: Message{From: n.self, Load: &load}})
}

// sendLoadUpdate sends load updates to other daemons. In a small fleet each daemon sends its load
// to all others. In a large one loads and the demand for models go to dispatchers, see
// reportDemand. The other daemons only receive the versions of the sender's collections, and
// whether it watches the store.
func (n *Node) sendLoadUpdate(now time.Time, load Load) {
	if n.SendsLoadToAll() {
		n.broadcastLoad(now, n.liveOthers(), load)
		return
	}
	load.Requests, load.Changes = nil, true
	near, far := n.settings.MinZonePeers, 1
	versionsChanged := load.Versions.Configuration != n.loadUpdates.sentConfiguration || load.Versions.Evacuations != n.loadUpdates.sentEvacuations
	if load.Watching || versionsChanged {
		// Instances change all the time, so only daemons that watch the store send their version to
		// many.
		near, far = n.settings.MaxZonePeers, n.settings.MaxOtherZonePeers
	}
	n.loadUpdates.sentConfiguration, n.loadUpdates.sentEvacuations = load.Versions.Configuration, load.Versions.Evacuations
	load.Models, load.NoModels = nil, true
	n.sendAll(n.gossipReceivers(now, load.Watching, near, far), Message{From: n.self, Load: &load})
}

// broadcastLoad sends the changes of the own load to all daemons of a small fleet. The demand for
// models changes less often. It is included at each interval, or if a request has begun to wait.
func (n *Node) broadcastLoad(now time.Time, others []string, load Load) {
	state := &n.loadUpdates
	receivers := strconv.FormatUint(n.MembersRevision(), 16)
	load.Requests, load.Changes = state.broadcastDeltas.Next(now, receivers, load.Requests)
	if state.newWaiter || now.Sub(state.modelsSentAt) >= n.settings.LoadUpdateInterval {
		state.modelsSentAt = now
	} else {
		load.Models, load.NoModels = nil, true
	}
	n.sendAll(others, Message{From: n.self, Load: &load})
}

// liveOthers returns the live daemons except this one.
func (n *Node) liveOthers() []string {
	return slices.DeleteFunc(slices.Clone(n.detector.Live()), func(name string) bool { return name == n.self })
}

// loadUpdateInterval is the minimum interval between two load updates to other daemons after a
// change. In a large fleet it is the regular interval, since the dispatcher receives changes at
// once.
func (n *Node) loadUpdateInterval() time.Duration {
	if n.detector.LiveCount()-1 <= n.settings.MaxSmallFleetPeers {
		return n.settings.MinLoadUpdateInterval
	}
	return n.settings.LoadUpdateInterval
}
