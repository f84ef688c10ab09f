package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/residency"
)

const term = 3 * time.Second

// world simulates several nodes in virtual time that share one lease record.
type world struct {
	now      time.Time
	nodes    map[string]*coordination.Node
	zones    map[string]string
	stored   lease.Stored
	era      uint64
	revision uint64
	storeCut map[string]bool
	dead     map[string]bool
	orders   []sentOrder
	refresh  map[string]int
	// messages counts the messages that each node sent.
	messages map[string]int
	// factMessages counts messages that carry all residency reports to one node.
	factMessages int
	// configurations counts messages with a full configuration.
	configurations int
	// encode makes messages pass through the encoder. bytes and spent then count the bytes that
	// each node sent and the time of its steps.
	encode bool
	bytes  map[string]int
	// crossZoneBytes counts the bytes sent to another zone.
	crossZoneBytes int
	// byKind counts the bytes by kind of message.
	byKind map[string]int
	spent  map[string]time.Duration
	// decisions holds the log entries, each with the node's name in front.
	decisions []string
	// loadUpdates counts the load updates by sender and receiver.
	loadUpdates map[[2]string]int
	// assured is the configuration in the store, for nodes that keep verifying theirs.
	assured *assuredStore
	// reportRequests counts the report requests to each instance.
	reportRequests map[string]int
	// reports are the reports of instances; instances that are not listed hold one model.
	reports map[string]fleet.Report
	// freshnessRequests counts the requests for a freshness proof to each node.
	freshnessRequests map[string]int
	// onCrashes is called with each update on crashes that a node receives; it may be nil.
	onCrashes func(node string, update quarantine.Update)
	// crashMessages counts the messages with updates on crashes by sender.
	crashMessages map[string]int
	// onOrder is called with each order as it is sent; it may be nil.
	onOrder func(order residency.Order)
	// latency returns the delay of a message; nil means none. inFlight are the messages on their
	// way.
	latency  func() time.Duration
	inFlight []message
	// cut reports whether messages between two nodes are lost; nil means that none are.
	cut func(from, to string) bool
}

// message is a message in flight.
type message struct {
	to      string
	arrives time.Time
	content coordination.Message
}

type sentOrder struct {
	node  string
	fence uint64
	at    time.Time
	order residency.Order
}

func newWorld(count int) *world {
	w := &world{now: time.Unix(1000, 0), nodes: map[string]*coordination.Node{}, zones: map[string]string{}, storeCut: map[string]bool{}, dead: map[string]bool{}, refresh: map[string]int{}, messages: map[string]int{}, bytes: map[string]int{}, byKind: map[string]int{}, spent: map[string]time.Duration{}, loadUpdates: map[[2]string]int{}, freshnessRequests: map[string]int{}, reportRequests: map[string]int{}, crashMessages: map[string]int{}}
	for i := range count {
		w.nodes[fmt.Sprint("n", i)] = nil
	}
	w.recreateAll(func(_ int, _ *member.Member, settings *coordination.Settings) { settings.Lease.TakeoverOrderDelay = 0 })
	return w
}

// recreateAll recreates all nodes, with adjust applied to the settings of each.
func (w *world) recreateAll(adjust func(i int, self *member.Member, settings *coordination.Settings)) {
	for i, name := range w.names() {
		self := member.Member{Name: name, Zone: fmt.Sprint("z", i%4), PeerAddress: name, CallerAddress: name, Incarnation: 1}
		settings := coordination.DefaultSettings(term)
		adjust(i, &self, &settings)
		w.zones[name] = self.Zone
		w.nodes[name] = coordination.New(w.now, self, settings, []string{"n0"}, rand.New(rand.NewPCG(uint64(i), 7)))
	}
}

// recreateOne recreates one node with another incarnation, with the settings of worlds whose
// nodes verify their configuration.
func (w *world) recreateOne(name string, incarnation uint64, random *rand.Rand) {
	self := member.Member{Name: name, Zone: w.zones[name], PeerAddress: name, CallerAddress: name, Incarnation: incarnation}
	settings := coordination.DefaultSettings(term)
	settings.Lease.TakeoverOrderDelay, settings.RevokeWithin = 0, revokeWithin
	w.nodes[name] = coordination.New(w.now, self, settings, []string{"n0"}, rand.New(rand.NewPCG(random.Uint64(), 7)))
}

// deliver delivers the messages whose latency has passed.
func (w *world) deliver() {
	due := w.inFlight
	w.inFlight = nil
	for _, sent := range due {
		if sent.arrives.After(w.now) {
			w.inFlight = append(w.inFlight, sent)
		} else if !w.dead[sent.to] {
			w.perform(sent.to, w.nodes[sent.to].Receive(w.now, sent.content))
		}
	}
}

func (w *world) names() []string {
	var names []string
	for i := range len(w.nodes) {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

func (w *world) run(duration time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		w.deliver()
		for _, name := range w.names() {
			if !w.dead[name] {
				node := w.nodes[name]
				w.perform(name, node.UpdateOwnLoad(w.now, map[string]balance.Load{}, nil, coordination.UrgencyNone))
				w.timed(name, func() []coordination.Action { return node.Tick(w.now) })
			}
		}
	}
}

func (w *world) perform(name string, actions []coordination.Action) {
	node := w.nodes[name]
	for _, action := range actions {
		switch action := action.(type) {
		case coordination.SendPeer:
			w.messages[name]++
			if w.cut != nil && w.cut(name, action.Address) {
				continue
			}
			if action.Message.Load != nil {
				w.loadUpdates[[2]string{name, action.Address}]++
			}
			if action.Message.ObservationUpdate != nil {
				w.crashMessages[name]++
			}
			if action.Message.Configuration != nil {
				w.configurations++
			}
			if len(action.Message.ResidencyReports) > 0 {
				w.factMessages++
			}
			if action.Message.FreshnessRequest != nil {
				w.freshnessRequests[action.Address]++
			}
			if w.latency != nil {
				w.inFlight = append(w.inFlight, message{action.Address, w.now.Add(w.latency()), action.Message})
				continue
			}
			if other := w.nodes[action.Address]; other != nil && !w.dead[action.Address] {
				arrived := w.transport(name, action.Address, action.Message)
				w.timed(action.Address, func() []coordination.Action { return other.Receive(w.now, arrived) })
			}
		case coordination.Broadcast:
			for _, address := range action.Addresses {
				w.perform(name, []coordination.Action{coordination.SendPeer{Address: address, Message: action.Message}})
			}
		case coordination.CallLease:
			outcome, stored := w.callLease(name, action.Call)
			w.perform(name, node.LeaseAnswered(w.now, outcome, stored))
		case coordination.RequestReport:
			w.reportRequests[action.Instance]++
			report, found := w.reports[action.Instance]
			if !found {
				report = fleet.Report{Residents: []fleet.Resident{{Model: "m"}}, Sequence: 4}
			}
			w.perform(name, node.ReportAnswered(w.now, w.now, action.Instance, report, true))
		case coordination.SendOrder:
			w.orders = append(w.orders, sentOrder{name, action.Fence, w.now, action.Order})
			if w.onOrder != nil {
				w.onOrder(action.Order)
			}
			w.perform(name, node.OrderAnswered(w.now, action.Order, residency.AnswerAccepted))
		case coordination.Refresh:
			w.refresh[name]++
			if w.assured != nil && action.Source == coordination.SourceConfiguration && !w.storeCut[name] {
				w.perform(name, node.ConfigurationReceived(engineConfiguration(w.assured.show(w.now))))
			}
		case coordination.ReadConfiguration:
			if w.assured != nil {
				w.readConfiguration(name)
			}
		case coordination.CrashesReceived:
			if w.onCrashes != nil {
				w.onCrashes(name, action.Update)
			}
		case coordination.LogEntry:
			w.decisions = append(w.decisions, name+" "+action.Part+" "+fmt.Sprintln(action.Fields...))
		}
	}
}

func (w *world) callLease(name string, call lease.Call) (lease.Outcome, lease.Stored) {
	switch {
	case w.storeCut[name]:
		return lease.OutcomeFailed, lease.Stored{}
	case call.Write == nil || call.If.Revision != w.stored.At.Revision:
		return lease.OutcomeConflict, w.stored
	}
	w.revision++
	w.stored = lease.Stored{Record: *call.Write, At: history.At(w.era, w.revision)}
	return lease.OutcomeDone, w.stored
}

func engineConfiguration(version uint64) *fleet.Configuration {
	return &fleet.Configuration{Version: version, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{
		Slots: 8, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 1,
		Models: []fleet.Model{{Name: "m", WeightsMB: 40}, {Name: "n", WeightsMB: 40}},
	}}}}
}

func listing(at uint64, ids ...string) feed.Batch[*fleet.Instance] {
	batch := feed.Batch[*fleet.Instance]{At: history.At(0, at)}
	for _, id := range ids {
		batch.Items = append(batch.Items, feed.Item[*fleet.Instance]{
			Name: id, Place: history.At(0, at), Value: &fleet.Instance{ID: id, Service: "llm", Address: id, Slots: 8, Residents: []fleet.Resident{{Model: "m"}}},
		})
	}
	return batch
}

func (w *world) listAll() {
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationReceived(engineConfiguration(1)))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, "i1", "i2")))
	}
}

func (w *world) holders() []string {
	var holders []string
	for _, name := range w.names() {
		if !w.dead[name] && w.nodes[name].HoldsLease(w.now) {
			holders = append(holders, name)
		}
	}
	return holders
}

// setWatchers recreates the nodes with the given number of nodes that watch the store.
func (w *world) setWatchers(count int) {
	w.recreateAll(func(_ int, _ *member.Member, settings *coordination.Settings) { settings.Watchers = count })
}

func (w *world) nodeByWatching(watching bool) string {
	for _, name := range w.names() {
		if w.nodes[name].Watching(w.now) == watching {
			return name
		}
	}
	return ""
}

func (w *world) watching() int {
	count := 0
	for _, name := range w.names() {
		if !w.dead[name] && w.nodes[name].Watching(w.now) {
			count++
		}
	}
	return count
}
