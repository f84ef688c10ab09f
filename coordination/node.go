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

// Node is the coordination state of one entry daemon. It is not safe for
// concurrent use.
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
	// listedAt is when the list last told something new of an instance.
	listedAt map[string]time.Time
	demand   demandState
	sharing  shareState
	peers    map[string]peerState

	sources map[Source]*sourceState
	eras    eraState
	// departures tells which instances have left, whatever the store shows after a restore.
	departures   departures
	departuresAt time.Time
	questions    []question
	members      map[string]memberBelief
	followed     followedRevision
	// memberNews and instanceNews are what the log has not told yet.
	memberNews   newsList
	instanceNews newsList
	membersAt    uint64
	group        *Group
	groupAt      uint64
	// forwarding is the fleet at the members' revision forwardingAt.
	forwarding   *forwarding
	forwardingAt uint64
	// order lists the live daemons by their ranks, at the members' revision orderAt.
	order   []string
	orderAt uint64
	rank    int
	rankAt  uint64

	// watcherAt is when a daemon that watches the store was last heard of, and
	// watcherHeardAt when one was heard itself.
	watcherAt      time.Time
	watchUntil     time.Time
	watcherHeardAt time.Time
	lastHolder     time.Time
	holderName     string
	holderFence    uint64
	// releasedFence is the token of the last holder that handed the lease back, which was
	// heard at releasedAt.
	releasedFence uint64
	releasedAt    time.Time
	// demandDueAt is until when a new holder waits for the demand for models; zero if it
	// does not wait.
	demandDueAt time.Time
	held        bool
	plannedAt   time.Time
	planDue     bool
	plans       uint64
	spreading   spreadState
	bulletins   bulletinState
	assured     assurance
	// changed holds the instances that the view does not show as they are.
	changed map[string]bool
	view    *fleet.View
	actions []Action
}

// peerState is what another daemon told last.
type peerState struct {
	load Load
	at   time.Time
	// modelsAt is when it last told of the demand for models.
	modelsAt time.Time
}

// addDemand adds what the daemon told of the demand, unless that was long ago.
func (p *peerState) addDemand(now time.Time, sums map[modelKey]ModelLoad) {
	if now.Sub(p.modelsAt) > peerExpiry {
		return
	}
	for _, load := range p.load.Models {
		addLoad(sums, load)
	}
}

// New returns the node of a daemon.
func New(now time.Time, self member.Member, settings Settings, seeds []string, random *rand.Rand) *Node {
	boot := strconv.FormatUint(self.Incarnation, 36) + strconv.FormatUint(random.Uint64(), 36)
	node := &Node{
		settings: settings, random: random, self: self.Name, started: now,
		detector:  member.NewDetector(self, settings.Member, random),
		lease:     lease.New(self.Name, boot, settings.Lease),
		book:      residency.NewBook(settings.Residency),
		instances: feed.NewMirror[*fleet.Instance](), evacuations: feed.NewMirror[fleet.Evacuation](),
		facts: newFactBook(), departures: newDepartures(), changed: map[string]bool{}, reports: map[string]*reportState{}, listedAt: map[string]time.Time{}, peers: map[string]peerState{},
		demand: newDemandState(), lastHolder: now, watcherAt: now.Add(settings.WatchAfter),
		view:      fleet.NewView(nil, nil),
		spreading: newSpreadState(random.Uint64()), bulletins: newBulletinState(random.Uint64()), assured: assurance{sequence: random.Uint64()},
		members: map[string]memberBelief{}, memberNews: newsList{part: "daemons"}, instanceNews: newsList{part: "instances"},
		sources: map[Source]*sourceState{SourceConfiguration: {}, SourceInstances: {}, SourceEvacuations: {}},
	}
	node.detector.SetSeeds(seeds)
	return node
}

// SetSeeds replaces the addresses to join through.
func (n *Node) SetSeeds(addresses []string) { n.detector.SetSeeds(addresses) }

// take returns the actions collected so far.
func (n *Node) take() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) do(action Action) { n.actions = append(n.actions, action) }

func (n *Node) decide(part, text string, fields ...any) {
	n.do(Decision{Part: part, Text: text, Fields: fields})
}

// Known reports whether configuration, instances and evacuations are known.
func (n *Node) Known() bool {
	return n.configuration != nil && n.instances.Known() && n.evacuationsKnown()
}

// Members returns all known daemons.
func (n *Node) Members() []member.Member { return n.detector.Members() }

// Holds reports whether this daemon holds the lease on orders.
func (n *Node) Holds(now time.Time) bool {
	_, _, ordering := n.mayOrder(now)
	return n.lease.Held(now) || ordering
}

// Tick does what is due.
func (n *Node) Tick(now time.Time) []Action {
	for _, packet := range n.detector.Tick(now) {
		n.sendProbe(packet)
	}
	n.followRevision(now)
	n.noteMembers(now)
	n.logDueNews(now)
	n.tickWatching(now)
	n.tickSources(now)
	n.tickEarlier(now)
	n.tickDepartures(now)
	n.tickQuestions(now)
	n.tickAssurance(now)
	n.tickLease(now)
	n.tickReports(now)
	n.tickSpread(now)
	if n.planDue && now.Sub(n.plannedAt) >= n.planPause() || now.Sub(n.plannedAt) >= n.settings.PlanEvery {
		n.plan(now)
	}
	if now.Sub(n.demand.at) >= n.settings.PlanEvery {
		// Also without orders to send, so that a new holder knows the past demand.
		n.demand.tick(now, n.settings.DemandHalfLife, n.peers)
	}
	return n.take()
}

func (n *Node) sendProbe(packet member.Packet) {
	message := packet.Message
	n.do(SendPeer{Address: packet.Address, Message: Message{From: n.self, Probe: &message}})
}

// Receive takes in a message of another daemon.
func (n *Node) Receive(now time.Time, message Message) []Action {
	if message.Probe != nil {
		for _, packet := range n.detector.Receive(now, *message.Probe) {
			n.sendProbe(packet)
		}
	}
	if message.Load != nil {
		n.takeLoad(now, message.From, *message.Load)
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
	for _, told := range message.Facts {
		n.learn(told, now.Add(-told.Age))
	}
	if message.AskFacts {
		n.answerFacts(now, message.From)
	}
	if message.Spread != nil {
		n.takeSpread(now, message)
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

func (n *Node) takeLoad(now time.Time, from string, load Load) {
	modelsAt := now
	if load.NoModels {
		before := n.peers[from]
		load.Models, modelsAt = before.load.Models, before.modelsAt
	}
	n.peers[from] = peerState{load: load, at: now, modelsAt: modelsAt}
	n.hearOfWatcher(now, &load)
	n.noteVersions(now, from, load.Versions)
	if load.Fence != 0 && load.Lease != nil {
		n.heardHolder(now, from, load.Fence, *load.Lease)
	}
	switch {
	case !waits(load):
	case n.held:
		n.planSoon(now)
	case modelsAt.Equal(now) && n.Group().Leads(from):
		n.sharing.memberWaits = true
		n.shareDemand(now)
	}
}

// heardHolder takes in that another daemon holds the lease. What an earlier holder
// said is dropped.
func (n *Node) heardHolder(now time.Time, from string, fence uint64, renewal history.Place) {
	if fence < n.holderFence || fence <= n.releasedFence {
		return
	}
	n.holderFence = fence
	if n.holderName != from {
		n.decide("lease", "Holder heard.", "holder", from, "fence", fence)
	}
	n.holderName = from
	n.lastHolder = now
	n.lease.Heard(now, renewal)
}

// heardReleased takes in that the holder has handed the lease back: the next one need not
// wait until it has been silent for a while.
func (n *Node) heardReleased(now time.Time, from string, fence uint64, release history.Place) {
	if fence < n.holderFence || fence <= n.releasedFence {
		return
	}
	n.decide("lease", "Released.", "holder", from, "fence", fence)
	n.releasedFence, n.releasedAt = fence, now
	n.lease.HeardReleased(now, release)
}

// Plans returns how often this daemon has planned.
func (n *Node) Plans() uint64 { return n.plans }

// waits reports whether requests wait for a model or adapter.
func waits(load Load) bool {
	for _, model := range load.Models {
		if model.Waiting > 0 {
			return true
		}
	}
	return false
}

// ConfigurationLearned takes in a configuration; older versions are dropped.
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
	n.decide("configuration", "In force.", "version", configuration.Version, "routes", len(configuration.Routes), "services", len(configuration.Services))
}

// InstancesListed takes in a full list of instances.
func (n *Node) InstancesListed(now time.Time, batch feed.Batch[*fleet.Instance]) []Action {
	n.replaceInstances(now, originStore, batch)
	return n.take()
}

// InstancesChanged takes in changes of instances.
func (n *Node) InstancesChanged(now time.Time, batch feed.Batch[*fleet.Instance]) []Action {
	n.learnEra(now, originStore, batch.At.Era)
	n.instancesChanged(now, originStore, n.instances.Apply(batch), false)
	return n.take()
}

// InstancesAt returns the place that the instances are complete up to.
func (n *Node) InstancesAt() history.Place { return n.instances.At() }

// instancesChanged takes in what became of instances. Restored says that a copy shows them, from which the
// store came back.
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

// HolderName is the daemon that was last heard to hold the lease on orders.
func (n *Node) HolderName() string { return n.holderName }

// Leave begins a planned stop.
func (n *Node) Leave() []Action {
	n.detector.Leave()
	n.lease.Leave()
	return n.take()
}

// Left reports whether nothing is held any more after Leave.
func (n *Node) Left() bool { return n.lease.Left() }
