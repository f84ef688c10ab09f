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

	detector         *member.Detector
	lease            *lease.Lease
	residencyTracker *residency.Tracker
	instances        *feed.Mirror[*fleet.Instance]
	configuration    *fleet.Configuration
	evacuations      *feed.Mirror[fleet.Evacuation]
	residencyReports reportTracker
	reports          map[string]*pollState
	// listedAt is, for each instance, the time of the last list entry with new information.
	listedAt    map[string]time.Time
	demand      demandTracker
	loadUpdates loadUpdateState
	peers       map[string]peerState

	sources map[Source]*sourceState
	eras    eraState
	// departureTracker records which instances have left, whatever the store shows after a restore from
	// an earlier copy.
	departureTracker departureTracker
	departuresAt     time.Time
	pendingQueries   []pendingQuery
	loggedMembers    map[string]loggedMember
	applied          appliedRevision
	// memberChanges and instanceChanges are changes that have not been logged yet.
	memberChanges   changeList
	instanceChanges changeList
	loggedRevision  uint64
	group           *Group
	groupRevision   uint64
	// multicastTrees are the multicast trees of the fleet at the members revision treesRevision.
	multicastTrees *multicastTrees
	treesRevision  uint64
	// rankedLive lists the live daemons by rank, at the members revision rankedRevision.
	rankedLive     []string
	rankedRevision uint64
	rank           int
	rankRevision   uint64

	// watcherSeenAt is the time of the latest evidence, first- or second-hand, of a daemon that watches
	// the store; watcherReceivedAt is the time of the last message directly from such a daemon.
	watcherSeenAt     time.Time
	watchUntil        time.Time
	watcherReceivedAt time.Time
	holderSeenAt      time.Time
	holderName        string
	holderFence       uint64
	// releasedFence is the fencing token of the last holder that released the lease. The release
	// was observed at releasedAt.
	releasedFence uint64
	releasedAt    time.Time
	// demandWaitUntil is until when a new lease holder collects demand before it plans; zero if it
	// does not wait.
	demandWaitUntil    time.Time
	held               bool
	plannedAt          time.Time
	planDue            bool
	plans              uint64
	holderUpdates      holderUpdateState
	observationUpdates observationUpdateState
	freshness          freshnessState
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
		detector:         member.NewDetector(self, settings.Member, random),
		lease:            lease.New(self.Name, boot, settings.Lease),
		residencyTracker: residency.NewTracker(settings.Residency),
		instances:        feed.NewMirror[*fleet.Instance](), evacuations: feed.NewMirror[fleet.Evacuation](),
		residencyReports: newReportTracker(), departureTracker: newDepartureTracker(), changed: map[string]bool{}, reports: map[string]*pollState{}, listedAt: map[string]time.Time{}, peers: map[string]peerState{},
		demand: newDemandTracker(), holderSeenAt: now, watcherSeenAt: now.Add(settings.WatchDelay),
		view:          fleet.NewView(nil, nil),
		holderUpdates: newHolderUpdateState(random.Uint64()), observationUpdates: newObservationUpdateState(random.Uint64()), freshness: freshnessState{sequence: random.Uint64()},
		loggedMembers: map[string]loggedMember{}, memberChanges: changeList{part: "daemons"}, instanceChanges: changeList{part: "instances"},
		sources: map[Source]*sourceState{SourceConfiguration: {}, SourceInstances: {}, SourceEvacuations: {}},
	}
	node.detector.SetSeeds(seeds)
	return node
}

// SetSeeds replaces the addresses through which the daemon joins the fleet.
func (n *Node) SetSeeds(addresses []string) { n.detector.SetSeeds(addresses) }

// takeActions returns the collected actions and clears them.
func (n *Node) takeActions() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) enqueue(action Action) { n.actions = append(n.actions, action) }

func (n *Node) logEntry(part, text string, fields ...any) {
	n.enqueue(LogEntry{Part: part, Text: text, Fields: fields})
}

// Synced reports whether the configuration, the instances and the evacuations have all been
// received.
func (n *Node) Synced() bool {
	return n.configuration != nil && n.instances.Synced() && n.evacuationsSynced()
}

// Members returns all known daemons, in any state.
func (n *Node) Members() []member.Member { return n.detector.Members() }

// HoldsLease reports whether this daemon holds the lease on orders, or may send orders during a store
// outage as its last holder.
func (n *Node) HoldsLease(now time.Time) bool {
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
	n.logDueChanges(now)
	n.tickWatching(now)
	n.tickSources(now)
	n.dropEarlierEras(now)
	n.tickDepartures(now)
	n.tickPendingQueries(now)
	n.tickFreshness(now)
	n.tickLease(now)
	n.tickReports(now)
	n.tickHolderUpdates(now)
	if n.planDue && now.Sub(n.plannedAt) >= n.planInterval() || now.Sub(n.plannedAt) >= n.settings.PlanInterval {
		n.plan(now)
	}
	if now.Sub(n.demand.at) >= n.settings.PlanInterval {
		// The demand is also averaged without orders to send, so that a new lease holder has the
		// past demand.
		n.demand.tick(now, n.settings.DemandHalfLife, n.peers)
	}
	return n.takeActions()
}

func (n *Node) sendProbe(packet member.Packet) {
	message := packet.Message
	n.enqueue(SendPeer{Address: packet.Address, Message: Message{From: n.self, Probe: &message}})
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
	if message.Request != nil {
		n.answerRequest(message.From, *message.Request)
		n.refreshForPeer(now, message.From, *message.Request)
	}
	if message.Configuration != nil {
		n.applyConfiguration(message.Configuration)
	}
	if message.Instances != nil {
		n.mergeListing(now, origin(message.From), message.Instances)
	}
	if message.Evacuations != nil {
		n.mergeEvacuations(now, origin(message.From), message.Evacuations)
	}
	for _, entry := range message.ResidencyReports {
		n.mergeResidencyReport(entry, now.Add(-entry.Age))
	}
	if message.RequestResidencyReports {
		n.sendAllReports(now, message.From)
	}
	if message.HolderUpdate != nil {
		n.receiveHolderUpdate(now, message)
	}
	if message.ObservationUpdate != nil {
		n.receiveObservationUpdate(message.ObservationUpdate)
	}
	if message.StoreReader && n.settings.RevokeWithin > 0 {
		n.queryStoreReader(now, message.From)
	}
	if message.FreshnessRequest != nil {
		n.answerFreshness(now, message.From, message.FreshnessRequest)
	}
	if message.FreshnessResponse != nil {
		n.recordFreshnessResponse(message.From, message.FreshnessResponse)
	}
	return n.takeActions()
}

func (n *Node) mergeLoad(now time.Time, from string, load Load) {
	modelsAt := now
	if load.NoModels {
		before := n.peers[from]
		load.Models, modelsAt = before.load.Models, before.modelsAt
	}
	n.peers[from] = peerState{load: load, at: now, modelsAt: modelsAt}
	n.recordWatcher(now, &load)
	n.recordPeerVersions(now, from, load.Versions)
	if load.Fence != 0 && load.Lease != nil {
		n.observeHolder(now, from, load.Fence, *load.Lease)
	}
	switch {
	case !hasWaiting(load):
	case n.held:
		n.requestPlan(now)
	case modelsAt.Equal(now) && n.Group().HasMember(from):
		n.loadUpdates.groupWaiter = true
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
		n.logEntry("lease", "Lease holder observed.", "holder", from, "fence", fence)
	}
	n.holderName = from
	n.holderSeenAt = now
	n.lease.ObserveRenewal(now, renewal)
}

// observeRelease records that the holder has released the lease. The next holder then need not wait
// until the former one has been silent for a while.
func (n *Node) observeRelease(now time.Time, from string, fence uint64, release history.Place) {
	if fence < n.holderFence || fence <= n.releasedFence {
		return
	}
	n.logEntry("lease", "Lease released by its holder.", "holder", from, "fence", fence)
	n.releasedFence, n.releasedAt = fence, now
	n.lease.ObserveRelease(now, release)
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

// ConfigurationReceived applies a configuration if its version is newer than the present one.
func (n *Node) ConfigurationReceived(configuration *fleet.Configuration) []Action {
	n.applyConfiguration(configuration)
	return n.takeActions()
}

func (n *Node) applyConfiguration(configuration *fleet.Configuration) {
	if n.configuration != nil && configuration.Version <= n.configuration.Version {
		return
	}
	n.configuration = configuration
	n.processAllCold()
	n.applyConfirmedVersion()
	n.logEntry("configuration", "Configuration activated.", "version", configuration.Version, "routes", len(configuration.Routes), "services", len(configuration.Services))
}

// InstancesListed applies a full list of instances.
func (n *Node) InstancesListed(now time.Time, batch feed.Batch[*fleet.Instance]) []Action {
	n.replaceInstances(now, originStore, batch)
	return n.takeActions()
}

// InstancesChanged applies changes of instances.
func (n *Node) InstancesChanged(now time.Time, batch feed.Batch[*fleet.Instance]) []Action {
	n.recordEra(now, originStore, batch.At.Era)
	n.instancesChanged(now, originStore, n.instances.Apply(batch), false)
	return n.takeActions()
}

// InstancesAt returns the place in the store's history up to which the instances are complete.
func (n *Node) InstancesAt() history.Place { return n.instances.At() }

// instancesChanged updates the state that depends on changed instances. Restored is set if the
// changes are from a list that the store restored from an earlier copy of itself.
func (n *Node) instancesChanged(now time.Time, from origin, changed []feed.Item[*fleet.Instance], restored bool) {
	n.recordInstanceChanges(now, from, changed)
	for _, item := range changed {
		n.departureTracker.record(now, &item, restored)
		n.changed[item.Name] = true
		if item.Gone {
			n.residencyReports.markGone(now, item.Name)
			delete(n.reports, item.Name)
			delete(n.listedAt, item.Name)
			n.residencyTracker.RemoveInstance(item.Name)
			continue
		}
		if _, listed := n.listedAt[item.Name]; !listed || !restored {
			n.listedAt[item.Name] = now
		}
		delete(n.residencyReports.gone, item.Name)
		n.residencyTracker.UpsertInstance(n.inUse(item.Value))
		n.processCold(item.Value)
	}
}

// HolderName returns the daemon last observed to hold the lease on orders.
func (n *Node) HolderName() string { return n.holderName }

// Leave begins a planned stop: the daemon leaves the fleet and releases the lease.
func (n *Node) Leave() []Action {
	n.detector.Leave()
	n.lease.Leave()
	return n.takeActions()
}

// Left reports whether the lease is released after Leave.
func (n *Node) Left() bool { return n.lease.Left() }
