package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/rendezvous"
	"github.com/wheatweir/wheatweir/replica"
	"github.com/wheatweir/wheatweir/route"
)

// Node is the control plane of one daemon. It is not safe for concurrent use.
type Node struct {
	settings    Settings
	random      *rand.Rand
	detector    *member.Detector
	store       *replica.Store
	catalog     *catalog
	duties      duties
	backEnds    map[string]*backEndState
	watch       watchState
	propagation propagationState
	writes      writeState
	demand      demandState
	interest    map[string]*interest
	// subscribers holds, for each model, the peer addresses that subscribed to the load
	// of its back ends, with the expiry time of each subscription.
	subscribers map[string]map[string]time.Time
	// lostZones maps each zone without a live daemon to the time since when it has had
	// none.
	lostZones map[string]time.Time
	views     map[string]*route.Model
	loads     *route.Loads
	nextPlan  time.Time
	// nextRenewal is when all subscriptions are renewed.
	nextRenewal time.Time
	actions     []Action
	join        joinState
	leave       leaveState
	fallback    fallbackPollState
	// revision is incremented when anything changes that routing depends on.
	revision uint64
}

// duties holds the daemons among which duties are assigned, under one revision of the
// membership. Daemons that are leaving are not among them.
type duties struct {
	revision  uint64
	daemons   rendezvous.Set
	byZone    map[string]rendezvous.Set
	zones     []string
	zonePeers []string
}

// New returns a node whose only member is itself.
func New(self member.Member, settings Settings, random *rand.Rand) *Node {
	node := &Node{
		settings:    settings,
		random:      random,
		detector:    member.NewDetector(self, settings.Member, random),
		store:       replica.NewStore(),
		catalog:     newCatalog(),
		backEnds:    map[string]*backEndState{},
		interest:    map[string]*interest{},
		subscribers: map[string]map[string]time.Time{},
		lostZones:   map[string]time.Time{},
		views:       map[string]*route.Model{},
		loads:       route.NewLoads(),
	}
	node.writes.pending = map[api.Key]*pendingWrite{}
	node.demand.local = map[string]*localDemand{}
	node.demand.remote = map[string]map[string]remoteDemand{}
	node.demand.totals = map[string]*modelAverages{}
	node.propagation.peerThrough = map[string]uint64{}
	return node
}

// Self returns this daemon's member entry.
func (n *Node) Self() member.Member { return n.detector.Self() }

// Members returns all known daemons.
func (n *Node) Members() []member.Member { return n.detector.Members() }

// Store returns the node's replica of the platform's objects.
func (n *Node) Store() *replica.Store { return n.store }

// SetSeeds sets the peer addresses through which the node joins, in addition to those in
// the machine list.
func (n *Node) SetSeeds(addresses []string) {
	n.propagation.configuredSeeds = addresses
	n.updateSeeds()
}

// Tick performs the periodic work that is due. It should be called about every 100 ms.
func (n *Node) Tick(now time.Time) []Action {
	n.tickJoin(now)
	for _, packet := range n.detector.Tick(now) {
		n.sendProbe(packet)
	}
	n.refreshDuties()
	n.tickLeave(now)
	n.tickWatch(now)
	n.tickPolls(now)
	n.tickFallbackPolls(now)
	n.tickSubscriptions(now)
	n.tickDemand(now)
	n.tickWrites(now)
	if !now.Before(n.nextPlan) {
		n.nextPlan = now.Add(n.jitter(n.settings.PlanInterval))
		n.plan(now)
	}
	n.tickPropagation()
	return n.takeActions()
}

// Receive handles a message from another daemon.
func (n *Node) Receive(now time.Time, message Message) []Action {
	if message.Probe != nil {
		for _, packet := range n.detector.Receive(now, *message.Probe) {
			n.sendProbe(packet)
		}
		n.refreshDuties()
		n.recordLeaveAck(message.Probe)
	}
	if message.Delta != nil {
		n.updateCatalog(n.store.Apply(*message.Delta))
	}
	n.syncWithPeer(message)
	for _, report := range message.Reports {
		if n.mergeReport(now, report) {
			n.propagateLeaving(now, report.BackEnd)
		}
	}
	for _, name := range message.PollRequests {
		n.handlePollRequest(now, message.From, name)
	}
	for _, load := range message.Loads {
		n.mergeLoad(now, load)
	}
	for _, model := range message.Subscribe {
		n.addSubscriber(now, message.From, model)
	}
	for _, demand := range message.Demand {
		n.mergeDemand(now, demand)
	}
	return n.takeActions()
}

// jitter returns a duration between 0.75 and 1.25 times the given one.
func (n *Node) jitter(duration time.Duration) time.Duration {
	return duration*3/4 + time.Duration(n.random.Int64N(int64(duration/2)+1))
}

func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

func (n *Node) takeActions() []Action {
	taken := n.actions
	n.actions = nil
	return taken
}

func (n *Node) logDecision(part, text string, fields ...any) {
	n.emit(Decision{Part: part, Text: text, Fields: fields})
}

func (n *Node) sendProbe(packet member.Packet) {
	message := packet.Message
	n.send(packet.Address, Message{Probe: &message})
}

func (n *Node) send(address string, message Message) {
	message.From = n.detector.Self().PeerAddress
	message.Through = n.store.Through()
	n.emit(SendPeer{Address: address, Message: message})
}

// refreshDuties rebuilds the sets of daemons that duties are assigned to, if the members
// have changed. Daemons that are leaving hand over their duties before they stop.
func (n *Node) refreshDuties() {
	if n.duties.byZone != nil && n.duties.revision == n.detector.Revision() {
		return
	}
	byZone := map[string][]string{}
	var all []string
	for _, name := range n.detector.Live() {
		known, _ := n.detector.Lookup(name)
		if known.Leaving {
			continue
		}
		all = append(all, name)
		byZone[known.Zone] = append(byZone[known.Zone], name)
	}
	fresh := duties{revision: n.detector.Revision(), daemons: rendezvous.NewSet(all), byZone: map[string]rendezvous.Set{}}
	for zone, names := range byZone {
		fresh.byZone[zone] = rendezvous.NewSet(names)
		fresh.zones = append(fresh.zones, zone)
	}
	slices.Sort(fresh.zones)
	fresh.zonePeers = byZone[n.detector.Self().Zone]
	n.duties = fresh
	n.catalog.invalidateDuties()
	n.revision++
}

// actsForBackEnd reports whether this daemon polls the back end and sends it orders.
func (n *Node) actsForBackEnd(name, zone string) bool {
	return n.actingDaemon(name, zone) == n.detector.Self().Name
}

// actingDaemon returns the daemon that acts for a back end: one in the back end's zone
// if that zone has a live daemon, otherwise one from all zones.
func (n *Node) actingDaemon(name, zone string) string {
	set, found := n.duties.byZone[zone]
	if !found {
		set = n.duties.daemons
	}
	return set.Owner("backend/" + name)
}

// actsForModel reports whether this daemon plans the model's replicas.
func (n *Node) actsForModel(name string) bool {
	return n.modelOwner(name) == n.detector.Self().Name
}

func (n *Node) modelOwner(name string) string { return n.duties.daemons.Owner("model/" + name) }

// Homes returns the daemons of a zone that callers of a model should use.
func (n *Node) Homes(model, zone string) []member.Member {
	set, found := n.duties.byZone[zone]
	if !found {
		set = n.duties.daemons
	}
	var homes []member.Member
	for _, name := range set.Top("model/"+model, n.settings.HomesPerZone) {
		if known, found := n.detector.Lookup(name); found {
			homes = append(homes, known)
		}
	}
	return homes
}

// address returns the peer address of a daemon.
func (n *Node) address(name string) string {
	known, _ := n.detector.Lookup(name)
	return known.PeerAddress
}

// sortedNames returns the keys of a map in a fixed order, so that the same events always
// produce the same actions.
func sortedNames[V any](named map[string]V) []string {
	names := make([]string, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
