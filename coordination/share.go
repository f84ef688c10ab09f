package coordination

import (
	"slices"
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/history"
)

// shareState is what this daemon has told of itself, and what it still has to tell.
type shareState struct {
	// due says that the load has changed since all were told, dispatcherDue since the
	// dispatcher was.
	due           bool
	dispatcherDue bool
	// wanted says that a request has begun to wait for a model since then.
	wanted       bool
	at           time.Time
	dispatcherAt time.Time
	// modelsAt is when the demand was last told, and modelsTo the holder that heard it.
	modelsAt time.Time
	modelsTo string
	// memberWaits says that a request has begun to wait in this daemon's group since then.
	memberWaits bool
	// configuration and evacuations are the versions that were told last.
	configuration uint64
	evacuations   history.Place
	all           balance.LoadDeltas
	dispatcher    balance.LoadDeltas
	partners      partners
}

// Urgency says why the own load is told.
type Urgency uint8

// Urgencies, least first.
const (
	// UrgencyNone is a regular telling.
	UrgencyNone Urgency = iota
	// UrgencyLoad says that the load has changed.
	UrgencyLoad
	// UrgencyLacking says that a request has begun to wait for a model or adapter.
	UrgencyLacking
)

// ObserveOwn takes in what this daemon has in progress, and tells the others. The
// requests must not be changed afterwards.
func (n *Node) ObserveOwn(now time.Time, requests map[string]balance.Load, models []ModelLoad, urgency Urgency) []Action {
	n.demand.own = models
	load := n.ownLoad(now, requests)
	state := &n.sharing
	state.due = state.due || urgency != UrgencyNone
	state.dispatcherDue = state.dispatcherDue || urgency != UrgencyNone
	state.wanted = state.wanted || urgency == UrgencyLacking
	state.memberWaits = state.memberWaits || urgency == UrgencyLacking
	n.tellDispatcher(now, load, urgency)
	n.shareDemand(now)
	pause := n.settings.ShareEvery
	if state.due {
		pause = n.sharePause()
	}
	switch {
	case now.Sub(state.at) >= pause:
		n.share(now, load)
		state.at, state.due, state.wanted = now, false, false
	case urgency == UrgencyLacking && !n.held && n.TellsAll():
		demand := load
		demand.Requests, demand.Changes = nil, true
		n.sendAll([]string{n.holderName}, Message{From: n.self, Load: &demand})
	}
	if urgency == UrgencyLacking && n.held {
		n.planSoon(now)
	}
	return n.take()
}

// ownLoad is what this daemon tells of itself.
func (n *Node) ownLoad(now time.Time, requests map[string]balance.Load) Load {
	load := Load{
		Requests: requests, Models: n.demand.own, Versions: n.versions(now),
		StoreAway: n.storeAway(), Watching: n.Watching(now), Watched: n.watched(now),
	}
	if n.held {
		load.Fence, _, _ = n.mayOrder(now)
		renewal := n.lease.Place()
		load.Lease = &renewal
	}
	return load
}

// tellDispatcher tells the dispatcher of this group the own load as soon as it changes, and with it the demand for
// models from time to time, or at once if a request has begun to wait.
func (n *Node) tellDispatcher(now time.Time, load Load, urgency Urgency) {
	group, state := n.Group(), &n.sharing
	if group.Dispatcher == "" || group.Dispatching {
		return
	}
	lacking := urgency == UrgencyLacking
	changed := state.dispatcherDue && now.Sub(state.dispatcherAt) >= n.settings.TellPause
	if !lacking && !changed && !state.dispatcher.Due(now) {
		return
	}
	state.dispatcherAt, state.dispatcherDue = now, false
	load.Requests, load.Changes = state.dispatcher.Next(now, group.Address, load.Requests)
	// The holder counts its own demand itself.
	if n.held || !lacking && now.Sub(state.modelsAt) < n.settings.ShareEvery {
		load.Models, load.NoModels = nil, true
	} else {
		state.modelsAt = now
	}
	if load.NoModels && load.Changes && len(load.Requests) == 0 {
		return
	}
	n.do(SendPeer{Address: group.Address, Message: Message{From: n.self, Load: &load}})
}

// share tells other daemons about this one. In a small fleet all tell all their loads. In
// a large one loads and the demand for models go to dispatchers, see shareDemand; what the
// others need to hear is how new each other's knowledge is, and that some daemons watch the
// store.
func (n *Node) share(now time.Time, load Load) {
	if n.TellsAll() {
		n.shareWithAll(now, n.others(), load)
		return
	}
	load.Requests, load.Changes = nil, true
	near, far := n.settings.RestPeers, 1
	news := load.Versions.Configuration != n.sharing.configuration || load.Versions.Evacuations != n.sharing.evacuations
	if load.Watching || news {
		// Instances change all the time: of these the daemons that watch tell many.
		near, far = n.settings.MaxPeers, n.settings.FarPeers
	}
	n.sharing.configuration, n.sharing.evacuations = load.Versions.Configuration, load.Versions.Evacuations
	load.Models, load.NoModels = nil, true
	n.sendAll(n.sharePeers(now, load.Watching, near, far), Message{From: n.self, Load: &load})
}

// shareWithAll tells all daemons of a small fleet what has changed of the own load. The
// demand for models changes less, and goes with it from time to time or if a request has
// begun to wait.
func (n *Node) shareWithAll(now time.Time, others []string, load Load) {
	state := &n.sharing
	receivers := strconv.FormatUint(n.MembersRevision(), 16)
	load.Requests, load.Changes = state.all.Next(now, receivers, load.Requests)
	if state.wanted || now.Sub(state.modelsAt) >= n.settings.ShareEvery {
		state.modelsAt = now
	} else {
		load.Models, load.NoModels = nil, true
	}
	n.sendAll(others, Message{From: n.self, Load: &load})
}

// others are the live daemons but this one.
func (n *Node) others() []string {
	return slices.DeleteFunc(slices.Clone(n.detector.Live()), func(name string) bool { return name == n.self })
}

// sharePause is the least time between two messages to all, or to those that a message
// goes to in a large fleet: there the dispatcher is told at once.
func (n *Node) sharePause() time.Duration {
	if n.detector.LiveCount()-1 <= n.settings.SharePeers {
		return n.settings.ShareSoon
	}
	return n.settings.ShareEvery
}
