package coordination

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

// Node is the coordination state of one daemon. It is not safe for concurrent use.
type Node struct {
	settings Settings
	random   *rand.Rand
	self     string
	started  time.Time

	detector      *member.Detector
	lease         *lease.Lease
	book          *residency.Book
	instances     *feed.Mirror[*fleet.Instance]
	configuration *fleet.Configuration
	evacuations   *feed.Mirror[fleet.Evacuation]
	facts         factBook
	reports       map[string]*reportState
	// listedAt is, for each instance, the time of the last list entry with new information.
	listedAt map[string]time.Time
	demand   demandState
	sharing  loadUpdateState
	peers    map[string]peerState

	sources map[Source]*sourceState
	eras    eraState
	// departures records which instances have left, whatever the store shows after a restore from a
	// copy.
	departures    departures
	departuresAt  time.Time
	questions     []question
	loggedMembers map[string]loggedMember
	applied       appliedRevision
	// memberNews and instanceNews are changes that have not been logged yet.
	memberNews     newsList
	instanceNews   newsList
	loggedRevision uint64
	group          *Group
	groupRevision  uint64
	// multicastTrees are the multicast trees of the fleet at the members revision treesRevision.
	multicastTrees *multicastTrees
	treesRevision  uint64
	// order lists the live daemons by rank, at the members revision orderAt.
	order        []string
	orderAt      uint64
	rank         int
	rankRevision uint64

	// watcherAt is the time of the latest evidence, first- or second-hand, of a daemon that watches
	// the store; watcherHeardAt is the time of the last message directly from such a daemon.
	watcherAt      time.Time
	watchUntil     time.Time
	watcherHeardAt time.Time
	holderSeenAt   time.Time
	holderName     string
	holderFence    uint64
	// releasedFence is the fencing token of the last holder that released the lease. The release
	// was observed at releasedAt.
	releasedFence uint64
	releasedAt    time.Time
	// demandWaitUntil is until when a new lease holder collects demand before it plans; zero if it
	// does not wait.
	demandWaitUntil time.Time
	held            bool
	plannedAt       time.Time
	planDue         bool
	plans           uint64
	spreading       holderUpdateState
	bulletins       bulletinState
	assured         assurance
	// changed holds the instances whose state in the view is out of date.
	changed map[string]bool
	view    *fleet.View
	actions []Action
}

// peerState is the latest load update of another daemon.
type peerState struct {
	load Load
	at   time.Time
	// modelsAt is when the daemon last reported its demand for models.
	modelsAt time.Time
}

// addDemand adds the reported demand of the daemon to sums, unless the report has expired.
func (p *peerState) addDemand(now time.Time, sums map[modelKey]ModelLoad) {
	if now.Sub(p.modelsAt) > peerTTL {
		return
	}
	for _, load := range p.load.Models {
		addLoad(sums, load)
	}
}

// New returns a node. Seeds are the addresses through which it joins the fleet.
func New(now time.Time, self member.Member, settings Settings, seeds []string, random *rand.Rand) *Node {
	boot := strconv.FormatUint(self.Incarnation, 36) + strconv.FormatUint(random.Uint64(), 36)
	node := &Node{
		settings: settings, random: random, self: self.Name, started: now,
		detector:  member.NewDetector(self, settings.Member, random),
		lease:     lease.New(self.Name, boot, settings.Lease),
		book:      residency.NewBook(settings.Residency),
		instances: feed.NewMirror[*fleet.Instance](), evacuations: feed.NewMirror[fleet.Evacuation](),
		facts: newFactBook(), departures: newDepartures(), changed: map[string]bool{}, reports: map[string]*reportState{}, listedAt: map[string]time.Time{}, peers: map[string]peerState{},
		demand: newDemandState(), holderSeenAt: now, watcherAt: now.Add(settings.WatchAfter),
		view:      fleet.NewView(nil, nil),
		spreading: newHolderUpdateState(random.Uint64()), bulletins: newBulletinState(random.Uint64()), assured: assurance{sequence: random.Uint64()},
		loggedMembers: map[string]loggedMember{}, memberNews: newsList{part: "daemons"}, instanceNews: newsList{part: "instances"},
		sources: map[Source]*sourceState{SourceConfiguration: {}, SourceInstances: {}, SourceEvacuations: {}},
	}
	node.detector.SetSeeds(seeds)
	return node
}

// SetSeeds replaces the addresses through which the daemon joins the fleet.
func (n *Node) SetSeeds(addresses []string) { n.detector.SetSeeds(addresses) }

// take returns the collected actions and clears them.
func (n *Node) take() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) do(action Action) { n.actions = append(n.actions, action) }

func (n *Node) decide(part, text string, fields ...any) {
	n.do(Decision{Part: part, Text: text, Fields: fields})
}

// Known reports whether the configuration, the instances and the evacuations have all been
// received.
func (n *Node) Known() bool {
	return n.configuration != nil && n.instances.Known() && n.evacuationsKnown()
}

// Members returns all known daemons, in any state.
func (n *Node) Members() []member.Member { return n.detector.Members() }

// Holds reports whether this daemon holds the lease on orders, or may send orders during a store
// outage as its last holder.
func (n *Node) Holds(now time.Time) bool {
	_, _, ordersAllowed := n.mayOrder(now)
	return n.lease.Held(now) || ordersAllowed
}

// Tick runs all periodic work that is due.
func (n *Node) Tick(now time.Time) []Action {
	for _, packet := range n.detector.Tick(now) {
		n.sendProbe(packet)
	}
	n.applyRevision(now)
	n.logMemberChanges(now)
	n.logDueNews(now)
	n.tickWatching(now)
	n.tickSources(now)
	n.tickEarlier(now)
	n.tickDepartures(now)
	n.tickQuestions(now)
	n.tickAssurance(now)
	n.tickLease(now)
	n.tickReports(now)
	n.tickHolderUpdates(now)
	if n.planDue && now.Sub(n.plannedAt) >= n.planInterval() || now.Sub(n.plannedAt) >= n.settings.PlanEvery {
		n.plan(now)
	}
	if now.Sub(n.demand.at) >= n.settings.PlanEvery {
		// The demand is also averaged without orders to send, so that a new lease holder has the
		// past demand.
		n.demand.tick(now, n.settings.DemandHalfLife, n.peers)
	}
	return n.take()
}

func (n *Node) sendProbe(packet member.Packet) {
	message := packet.Message
	n.do(SendPeer{Address: packet.Address, Message: Message{From: n.self, Probe: &message}})
}

// Receive processes a message of another daemon.
func (n *Node) Receive(now time.Time, message Message) []Action {
	if message.Probe != nil {
		for _, packet := range n.detector.Receive(now, *message.Probe) {
			n.sendProbe(packet)
		}
	}
	if message.Load != nil {
		n.mergeLoad(now, message.From, *message.Load)
	}
	if message.Ask != nil {
		n.answerAsk(message.From, *message.Ask)
		n.lookFor(now, message.From, *message.Ask)
	}
	if message.Configuration != nil {
		n.learnConfiguration(message.Configuration)
	}
	if message.Instances != nil {
		n.takeListing(now, origin(message.From), message.Instances)
	}
	if message.Evacuations != nil {
		n.takeEvacuations(now, origin(message.From), message.Evacuations)
	}
	for _, entry := range message.Facts {
		n.learn(entry, now.Add(-entry.Age))
	}
	if message.AskFacts {
		n.sendAllFacts(now, message.From)
	}
	if message.Spread != nil {
		n.receiveHolderUpdate(now, message)
	}
	if message.Bulletin != nil {
		n.takeBulletin(message.Bulletin)
	}
	if message.Reads && n.settings.RevokeWithin > 0 {
		n.heardReader(now, message.From)
	}
	if message.AskAssurance != nil {
		n.answerAssurance(now, message.From, message.AskAssurance)
	}
	if message.Assurance != nil {
		n.takeAssurance(message.From, message.Assurance)
	}
	return n.take()
}

func (n *Node) mergeLoad(now time.Time, from string, load Load) {
	modelsAt := now
	if load.NoModels {
		before := n.peers[from]
		load.Models, modelsAt = before.load.Models, before.modelsAt
	}
	n.peers[from] = peerState{load: load, at: now, modelsAt: modelsAt}
	n.hearOfWatcher(now, &load)
	n.noteVersions(now, from, load.Versions)
	if load.Fence != 0 && load.Lease != nil {
		n.observeHolder(now, from, load.Fence, *load.Lease)
	}
	switch {
	case !hasWaiting(load):
	case n.held:
		n.planSoon(now)
	case modelsAt.Equal(now) && n.Group().Leads(from):
		n.sharing.groupWaiter = true
		n.reportDemand(now)
	}
}

// observeHolder records that another daemon holds the lease. Messages of earlier holders are
// rejected by their fencing tokens.
func (n *Node) observeHolder(now time.Time, from string, fence uint64, renewal history.Place) {
	if fence < n.holderFence || fence <= n.releasedFence {
		return
	}
	n.holderFence = fence
	if n.holderName != from {
		n.decide("lease", "Lease holder observed.", "holder", from, "fence", fence)
	}
	n.holderName = from
	n.holderSeenAt = now
	n.lease.Heard(now, renewal)
}

// observeRelease records that the holder has released the lease. The next holder then need not wait
// until the former one has been silent for a while.
func (n *Node) observeRelease(now time.Time, from string, fence uint64, release history.Place) {
	if fence < n.holderFence || fence <= n.releasedFence {
		return
	}
	n.decide("lease", "Lease released by its holder.", "holder", from, "fence", fence)
	n.releasedFence, n.releasedAt = fence, now
	n.lease.HeardReleased(now, release)
}

// Plans returns how often this daemon has planned since its start.
func (n *Node) Plans() uint64 { return n.plans }

// hasWaiting reports whether requests wait for a model or adapter.
func hasWaiting(load Load) bool {
	for _, model := range load.Models {
		if model.Waiting > 0 {
			return true
		}
	}
	return false
}

// ConfigurationLearned applies a configuration if its version is newer than the present one.
func (n *Node) ConfigurationLearned(configuration *fleet.Configuration) []Action {
	n.learnConfiguration(configuration)
	return n.take()
}

func (n *Node) learnConfiguration(configuration *fleet.Configuration) {
	if n.configuration != nil && configuration.Version <= n.configuration.Version {
		return
	}
	n.configuration = configuration
	n.noteAllCold()
	n.assureAhead()
	n.decide("configuration", "Configuration activated.", "version", configuration.Version, "routes", len(configuration.Routes), "services", len(configuration.Services))
}

// InstancesListed applies a full list of instances.
func (n *Node) InstancesListed(now time.Time, batch feed.Batch[*fleet.Instance]) []Action {
	n.replaceInstances(now, originStore, batch)
	return n.take()
}

// InstancesChanged applies changes of instances.
func (n *Node) InstancesChanged(now time.Time, batch feed.Batch[*fleet.Instance]) []Action {
	n.learnEra(now, originStore, batch.At.Era)
	n.instancesChanged(now, originStore, n.instances.Apply(batch), false)
	return n.take()
}

// InstancesAt returns the place in the store's history up to which the instances are complete.
func (n *Node) InstancesAt() history.Place { return n.instances.At() }

// instancesChanged updates the state that depends on changed instances. Restored is set if the
// changes are from a list that the store restored from an earlier copy of itself.
func (n *Node) instancesChanged(now time.Time, from origin, changed []feed.Item[*fleet.Instance], restored bool) {
	n.noteInstances(now, from, changed)
	for _, item := range changed {
		n.departures.note(now, &item, restored)
		n.changed[item.Name] = true
		if item.Gone {
			n.facts.lose(now, item.Name)
			delete(n.reports, item.Name)
			delete(n.listedAt, item.Name)
			n.book.Remove(item.Name)
			continue
		}
		if _, listed := n.listedAt[item.Name]; !listed || !restored {
			n.listedAt[item.Name] = now
		}
		delete(n.facts.gone, item.Name)
		n.book.Put(n.inUse(item.Value))
		n.noteCold(item.Value)
	}
}

// HolderName returns the daemon last observed to hold the lease on orders.
func (n *Node) HolderName() string { return n.holderName }

// Leave begins a planned stop: the daemon leaves the fleet and releases the lease.
func (n *Node) Leave() []Action {
	n.detector.Leave()
	n.lease.Leave()
	return n.take()
}

// Left reports whether the lease is released after Leave.
func (n *Node) Left() bool { return n.lease.Left() }
