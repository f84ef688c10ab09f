package coordination

import (
	"math"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/residency"
)

// peerExpiry is how long what another daemon told counts.
const peerExpiry = 3 * time.Second

type modelKey struct{ service, model string }

// demandState holds the demand of all daemons for each model.
type demandState struct {
	own      []ModelLoad
	smoothed map[modelKey]float64
	current  map[string]map[string]residency.Demand
	at       time.Time
}

func newDemandState() demandState {
	return demandState{
		smoothed: map[modelKey]float64{}, current: map[string]map[string]residency.Demand{},
	}
}

// riseFactor is how much faster demand rises than it falls.
const riseFactor = 6

// tick works the demand out anew: an average that rises fast and falls slowly, so
// that one request alone does not count as much as a lasting one.
func (d *demandState) tick(now time.Time, halfLife time.Duration, peers map[string]peerState) {
	sums := map[modelKey]ModelLoad{}
	for _, load := range d.own {
		addLoad(sums, load)
	}
	for name, peer := range peers {
		if now.Sub(peer.at) > peerExpiry {
			delete(peers, name)
			continue
		}
		for _, load := range peer.load.Models {
			addLoad(sums, load)
		}
	}
	elapsed := 0.0
	if !d.at.IsZero() {
		elapsed = now.Sub(d.at).Seconds() / halfLife.Seconds()
	}
	d.at = now
	for key := range sums {
		d.smoothed[key] += 0
	}
	for key, value := range d.smoothed {
		target := float64(sums[key].Requests)
		steps := elapsed
		if target > value {
			steps *= riseFactor
		}
		value = target + (value-target)*math.Exp2(-steps)
		if value < 0.01 && target == 0 {
			delete(d.smoothed, key)
			continue
		}
		d.smoothed[key] = value
	}
	d.publish(sums)
}

func addLoad(sums map[modelKey]ModelLoad, load ModelLoad) {
	key := modelKey{load.Service, load.Model}
	sum := sums[key]
	sum.Requests += load.Requests
	sum.PerSecond += load.PerSecond
	sum.Waiting += load.Waiting
	for adapter, count := range load.Adapters {
		if sum.Adapters == nil {
			sum.Adapters = map[string]int{}
		}
		sum.Adapters[adapter] += count
	}
	sums[key] = sum
}

func (d *demandState) publish(sums map[modelKey]ModelLoad) {
	d.current = map[string]map[string]residency.Demand{}
	for key, value := range d.smoothed {
		if d.current[key.service] == nil {
			d.current[key.service] = map[string]residency.Demand{}
		}
		d.current[key.service][key.model] = residency.Demand{
			Concurrent: value, PerSecond: float64(sums[key].PerSecond), Waiting: sums[key].Waiting, Adapters: sums[key].Adapters,
		}
	}
}

// of returns the demand for the models of a service.
func (d *demandState) of(service string) map[string]residency.Demand { return d.current[service] }

// Demand returns the smoothed number of requests for a model, as far as it is known
// here.
func (n *Node) Demand(service, model string) float64 {
	return n.demand.of(service)[model].Concurrent
}

// Urgency says why the own load is told.
type Urgency uint8

// Urgencies, least first.
const (
	// UrgencyNone is a regular telling.
	UrgencyNone Urgency = iota
	// UrgencyLoad says that the load has changed.
	UrgencyLoad
	// UrgencyWant says that a request has begun to wait for a model or adapter.
	UrgencyWant
)

// ObserveOwn takes in what this daemon has in progress, and tells the others.
func (n *Node) ObserveOwn(now time.Time, requests map[string]balance.Load, models []ModelLoad, urgency Urgency) []Action {
	n.demand.own = models
	load := Load{Requests: requests, Models: models, Versions: n.versions(), StoreAway: n.storeAway(), Watching: n.Watching(now), Watched: n.watched(now)}
	if n.held {
		load.Fence, _, _ = n.mayOrder(now)
		load.Lease = n.lease.Revision()
	}
	n.tellDue = n.tellDue || urgency != UrgencyNone
	if n.tellDue && now.Sub(n.toldAt) >= n.settings.TellPause {
		n.toldAt, n.tellDue = now, false
		n.tellDispatcher(load)
	}
	n.shareDue = n.shareDue || urgency != UrgencyNone
	pause := n.settings.ShareEvery
	if n.shareDue {
		pause = n.sharePause()
	}
	switch {
	case now.Sub(n.sharedAt) >= pause:
		n.sharedAt = now
		n.shareDue = false
		n.share(now, load)
	case urgency == UrgencyWant && !n.held:
		n.sendAll([]string{n.holderName}, Message{From: n.self, Load: &load})
	}
	if urgency == UrgencyWant && n.held {
		n.planSoon(now)
	}
	return n.take()
}

// share tells other daemons the own load. In a large fleet the demand for models goes
// to the holder of the lease only, who is the one that places them, and the load to some
// daemons of the own zone and a few others, which need it when no dispatcher answers.
func (n *Node) share(now time.Time, load Load) {
	others := n.others()
	if len(others) <= n.settings.SharePeers {
		n.sendAll(others, Message{From: n.self, Load: &load})
		return
	}
	if _, known := n.detector.Lookup(n.holderName); known && now.Sub(n.demandToldAt) >= n.demandPause(len(others)) {
		n.demandToldAt = now
		n.sendAll([]string{n.holderName}, Message{From: n.self, Load: &load})
	}
	near, far := n.sharePeers(others)
	told := load
	told.Models, told.NoModels = nil, true
	n.sendAll(near, Message{From: n.self, Load: &told})
	// By the time of the next message to the same daemon these prompts are read.
	distant := told
	distant.Requests = withoutPrompts(load.Requests)
	n.sendAll(far, Message{From: n.self, Load: &distant})
}

// demandPause is the least time between two messages to the holder about the demand,
// which hears them from all daemons.
func (n *Node) demandPause(others int) time.Duration {
	return max(n.settings.ShareEvery, time.Duration(others)*n.settings.DemandCost)
}

// others are the live daemons but this one.
func (n *Node) others() []string {
	return slices.DeleteFunc(slices.Clone(n.detector.Live()), func(name string) bool { return name == n.self })
}

// sharePeers draws the daemons that one message about load goes to: of the own zone,
// and of others.
func (n *Node) sharePeers(others []string) (near, far []string) {
	zone := n.detector.Self().Zone
	n.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, name := range others {
		other, _ := n.detector.Lookup(name)
		switch {
		case name == n.holderName:
		case other.Zone == zone && len(near) < n.settings.MaxPeers:
			near = append(near, name)
		case other.Zone != zone && len(far) < n.settings.FarPeers:
			far = append(far, name)
		}
	}
	return near, far
}

func withoutPrompts(loads map[string]balance.Load) map[string]balance.Load {
	stripped := make(map[string]balance.Load, len(loads))
	for instance, load := range loads {
		stripped[instance] = balance.Load{Requests: load.Requests}
	}
	return stripped
}

// sharePause is the least time between two messages about load to all, or to those that a
// message goes to in a large fleet: there the dispatcher is told at once.
func (n *Node) sharePause() time.Duration {
	if len(n.detector.Live())-1 <= n.settings.SharePeers {
		return n.settings.ShareSoon
	}
	return n.settings.ShareEvery
}
