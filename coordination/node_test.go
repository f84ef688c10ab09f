package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

const term = 3 * time.Second

// world drives several nodes in virtual time over one lease record.
type world struct {
	now      time.Time
	nodes    map[string]*coordination.Node
	stored   lease.Stored
	revision uint64
	storeCut map[string]bool
	dead     map[string]bool
	orders   []sentOrder
	refresh  map[string]int
	// messages counts what each node sent to others.
	messages map[string]int
	// factMessages counts messages that tell one node all facts.
	factMessages int
	// configurations counts messages with a whole configuration.
	configurations int
	// encode makes messages cross as bytes; bytes and spent then count what each
	// node sent and what its steps took.
	encode bool
	bytes  map[string]int
	// byKind counts the bytes by what messages are for.
	byKind map[string]int
	spent  map[string]time.Duration
	// decisions holds the lines for the log, each after the node's name.
	decisions []string
	// heardLoad counts the messages about load by sender and receiver.
	heardLoad map[[2]string]int
}

type sentOrder struct {
	node  string
	fence uint64
	at    time.Time
	order residency.Order
}

func newWorld(count int) *world {
	w := &world{now: time.Unix(1000, 0), nodes: map[string]*coordination.Node{}, storeCut: map[string]bool{}, dead: map[string]bool{}, refresh: map[string]int{}, messages: map[string]int{}, bytes: map[string]int{}, byKind: map[string]int{}, spent: map[string]time.Duration{}, heardLoad: map[[2]string]int{}}
	for i := range count {
		w.nodes[fmt.Sprint("n", i)] = nil
	}
	w.rebuild(func(_ int, _ *member.Member, settings *coordination.Settings) { settings.Lease.OrderPause = 0 })
	return w
}

// rebuild makes all nodes anew, each with what adjust does to it.
func (w *world) rebuild(adjust func(i int, self *member.Member, settings *coordination.Settings)) {
	for i, name := range w.names() {
		self := member.Member{Name: name, Zone: fmt.Sprint("z", i%4), PeerAddress: name, CallerAddress: name, Incarnation: 1}
		settings := coordination.DefaultSettings(term)
		adjust(i, &self, &settings)
		w.nodes[name] = coordination.New(w.now, self, settings, []string{"n0"}, rand.New(rand.NewPCG(uint64(i), 7)))
	}
}

func (w *world) names() []string {
	var names []string
	for i := range len(w.nodes) {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for _, name := range w.names() {
			if !w.dead[name] {
				node := w.nodes[name]
				w.perform(name, node.ObserveOwn(w.now, map[string]balance.Load{}, nil, coordination.UrgencyNone))
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
			if action.Message.Load != nil {
				w.heardLoad[[2]string{name, action.Address}]++
			}
			if action.Message.Configuration != nil {
				w.configurations++
			}
			if len(action.Message.Facts) > 0 {
				w.factMessages++
			}
			if other := w.nodes[action.Address]; other != nil && !w.dead[action.Address] {
				arrived := w.carry(name, action.Address, action.Message)
				w.timed(action.Address, func() []coordination.Action { return other.Receive(w.now, arrived) })
			}
		case coordination.Broadcast:
			for _, address := range action.Addresses {
				w.perform(name, []coordination.Action{coordination.SendPeer{Address: address, Message: action.Message}})
			}
		case coordination.CallLease:
			outcome, stored := w.callLease(name, action.Call)
			w.perform(name, node.LeaseAnswered(w.now, outcome, stored))
		case coordination.AskReport:
			report := fleet.Report{Residents: []fleet.Resident{{Model: "m"}}, Sequence: 4}
			w.perform(name, node.ReportAnswered(w.now, w.now, action.Instance, report, true))
		case coordination.SendOrder:
			w.orders = append(w.orders, sentOrder{name, action.Fence, w.now, action.Order})
			w.perform(name, node.OrderAnswered(w.now, action.Order, residency.AnswerTaken))
		case coordination.Refresh:
			w.refresh[name]++
		case coordination.Decision:
			w.decisions = append(w.decisions, name+" "+action.Part+" "+fmt.Sprintln(action.Fields...))
		}
	}
}

func (w *world) callLease(name string, call lease.Call) (lease.Outcome, lease.Stored) {
	switch {
	case w.storeCut[name]:
		return lease.OutcomeFailed, lease.Stored{}
	case call.Write == nil || call.IfRevision != w.stored.Revision:
		return lease.OutcomeConflict, w.stored
	}
	w.revision++
	w.stored = lease.Stored{Record: *call.Write, Revision: w.revision}
	return lease.OutcomeDone, w.stored
}

func engineConfiguration(version uint64) *fleet.Configuration {
	return &fleet.Configuration{Version: version, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{
		Slots: 8, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 1,
		Models: []fleet.Model{{Name: "m", WeightsMB: 40}, {Name: "n", WeightsMB: 40}},
	}}}}
}

func listing(at uint64, ids ...string) feed.Batch[*fleet.Instance] {
	batch := feed.Batch[*fleet.Instance]{At: at}
	for _, id := range ids {
		batch.Items = append(batch.Items, feed.Item[*fleet.Instance]{
			Name: id, Revision: at, Value: &fleet.Instance{ID: id, Service: "llm", Address: id, Slots: 8, Residents: []fleet.Resident{{Model: "m"}}},
		})
	}
	return batch
}

func (w *world) learn() {
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationLearned(engineConfiguration(1)))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, "i1", "i2")))
	}
}

func (w *world) holders() []string {
	var holders []string
	for _, name := range w.names() {
		if !w.dead[name] && w.nodes[name].Holds(w.now) {
			holders = append(holders, name)
		}
	}
	return holders
}

func TestOneNodeSendsTheOrders(t *testing.T) {
	w := newWorld(4)
	w.learn()
	w.run(3 * time.Second)
	if len(w.holders()) != 1 || len(w.orders) == 0 {
		t.Fatalf("holders %v, %d orders", w.holders(), len(w.orders))
	}
	for _, sent := range w.orders {
		if sent.node != w.holders()[0] || sent.fence == 0 || sent.order.Expected < 4 {
			t.Errorf("order %+v", sent)
		}
	}
}

// TestTakeover covers a holder that dies and one that is cut off from the store:
// another node holds the lease a term after the last renewal, and never before.
func TestTakeover(t *testing.T) {
	for name, strike := range map[string]func(*world, string){
		"dies":                 func(w *world, holder string) { w.dead[holder] = true },
		"is cut off the store": func(w *world, holder string) { w.storeCut[holder] = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4)
			w.learn()
			w.run(5 * time.Second)
			first := w.holders()[0]
			strike(w, first)
			struck := w.now
			for w.now.Sub(struck) < 4*term {
				w.run(50 * time.Millisecond)
				if holders := w.holders(); len(holders) > 1 {
					t.Fatalf("holders %v", holders)
				} else if len(holders) == 1 && holders[0] != first {
					if took := w.now.Sub(struck); took > term+time.Second {
						t.Fatalf("taken over after %v", took)
					}
					return
				}
			}
			t.Fatal("nobody took over")
		})
	}
}

func TestStopHandsTheLeaseOver(t *testing.T) {
	w := newWorld(3)
	w.learn()
	w.run(5 * time.Second)
	first := w.holders()[0]
	w.perform(first, w.nodes[first].Leave())
	w.run(3 * time.Second)
	if holders := w.holders(); len(holders) != 1 || holders[0] == first || !w.nodes[first].Left() {
		t.Fatalf("holders %v", holders)
	}
}

// TestLeaseThatWasHandedBackIsTakenAtOnce covers planned stops, in small and large fleets:
// nobody waits until the holder has been silent for a while.
func TestLeaseThatWasHandedBackIsTakenAtOnce(t *testing.T) {
	for _, size := range []int{3, manyNodes} {
		w := newWorld(size)
		w.learn()
		w.run(8 * time.Second)
		for stop := range 2 {
			first := w.holders()[0]
			w.perform(first, w.nodes[first].Leave())
			w.run(600 * time.Millisecond)
			if holders := w.holders(); len(holders) != 1 || holders[0] == first {
				t.Errorf("%d nodes, stop %d: 0.6 s after %s left the holders are %v", size, stop, first, holders)
			}
			w.dead[first] = true
			w.run(2 * time.Second)
		}
	}
}

func TestConfigurationOnlyMovesForward(t *testing.T) {
	w := newWorld(1)
	node := w.nodes["n0"]
	node.InstancesListed(w.now, listing(5, "i1"))
	for _, version := range []uint64{4, 9, 7, 1} {
		node.ConfigurationLearned(engineConfiguration(version))
	}
	view, changed := node.TakeView()
	if !changed || view.Version() != 9 {
		t.Fatalf("version %d", view.Version())
	}
	if _, again := node.TakeView(); again {
		t.Error("a view is published without a change")
	}
}

func TestNothingIsServedBeforeBothAreKnown(t *testing.T) {
	w := newWorld(1)
	node := w.nodes["n0"]
	node.ConfigurationLearned(engineConfiguration(1))
	if view, _ := node.TakeView(); view.Configuration() != nil {
		t.Fatal("a configuration without instances is served")
	}
	node.InstancesListed(w.now, listing(5))
	if view, _ := node.TakeView(); view.Configuration() == nil {
		t.Fatal("nothing is served although both are known")
	}
}

// TestNodeCatchesUpByItsPeers covers a node whose watch on the store hears nothing,
// one that does not watch, and one that the store turns away: all learn what others
// know, also of instances that are gone.
func TestNodeCatchesUpByItsPeers(t *testing.T) {
	cases := []struct {
		name      string
		watching  bool
		available bool
		// asksStore says that the node lists again instead of being told.
		asksStore bool
	}{
		{"a deaf watch", true, true, true},
		{"no watch of its own", false, true, false},
		{"turned away", true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3)
			w.setWatchers(1)
			w.learn()
			w.run(3 * time.Second)
			behind := w.pickByWatch(c.watching)
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(behind, w.nodes[behind].SourceAvailable(source, c.available))
			}
			for _, name := range w.names() {
				if name != behind {
					w.perform(name, w.nodes[name].ConfigurationLearned(engineConfiguration(2)))
					gone := listing(9, "i3")
					gone.Items = append(gone.Items, feed.Item[*fleet.Instance]{Name: "i1", Revision: 9, Gone: true})
					w.perform(name, w.nodes[name].InstancesChanged(w.now, gone))
				}
			}
			w.nodes[behind].TakeView()
			w.run(time.Second)
			view, changed := w.nodes[behind].TakeView()
			if c.asksStore {
				if w.refresh[behind] == 0 || changed && view.Version() == 2 {
					t.Fatalf("%d lists, told %v", w.refresh[behind], changed)
				}
				return
			}
			if !changed || view.Version() != 2 || view.Instance("i3") == nil || view.Instance("i1") != nil || view.Instance("i2") == nil {
				t.Fatalf("the node did not learn by its peers")
			}
		})
	}
}

// setWatchers makes new nodes of which so many watch the store.
func (w *world) setWatchers(count int) {
	w.rebuild(func(_ int, _ *member.Member, settings *coordination.Settings) { settings.Watchers = count })
}

func (w *world) pickByWatch(watching bool) string {
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

// TestSomebodyAlwaysWatches covers a watcher that dies, and one that the store turns
// away: others watch within a second.
func TestSomebodyAlwaysWatches(t *testing.T) {
	for name, strike := range map[string]func(w *world, watcher string){
		"dies": func(w *world, watcher string) { w.dead[watcher] = true },
		"is turned away": func(w *world, watcher string) {
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(watcher, w.nodes[watcher].SourceAvailable(source, false))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5)
			w.setWatchers(1)
			w.learn()
			w.run(3 * time.Second)
			if w.watching() != 1 {
				t.Fatalf("%d nodes watch", w.watching())
			}
			strike(w, w.pickByWatch(true))
			w.run(time.Second)
			others := w.watching()
			if name == "is turned away" {
				others--
			}
			if others < 1 {
				t.Fatal("nobody else watches")
			}
		})
	}
}

// TestNoNodeWatchesBeforeItKnowsTheOthers covers the start of many daemons at the same
// moment: each takes itself for the first one until it has heard of the others.
func TestNoNodeWatchesBeforeItKnowsTheOthers(t *testing.T) {
	w := newWorld(12)
	w.learn()
	most := 0
	for range 40 {
		w.run(50 * time.Millisecond)
		most = max(most, w.watching())
	}
	if limit := coordination.DefaultSettings(term).Watchers; most > limit || w.watching() != limit {
		t.Errorf("up to %d nodes watched, %d do after two seconds; %d should", most, w.watching(), limit)
	}
	alone := newWorld(1)
	alone.learn()
	alone.run(2 * time.Second)
	if alone.watching() != 1 {
		t.Error("a node without others does not watch")
	}
}

// TestReportBeatsAnOldList covers what a server holds: its report is believed, and
// all nodes hear of it.
func TestReportBeatsAnOldList(t *testing.T) {
	w := newWorld(2)
	w.learn()
	w.run(2 * time.Second)
	holder := w.holders()[0]
	report := fleet.Report{Residents: []fleet.Resident{{Model: "m"}, {Model: "n"}}, Sequence: 6}
	w.perform(holder, w.nodes[holder].ReportAnswered(w.now, w.now, "i1", report, true))
	for _, name := range w.names() {
		view, _ := w.nodes[name].TakeView()
		if view == nil || view.Instance("i1").Resident("n") == nil {
			t.Errorf("%s does not know what i1 holds", name)
		}
	}
}

// TestNodeThatStartsLateHearsWhatServersHold covers a daemon that was not there
// when the holder told of an adapter: the list of servers does not tell of it.
func TestNodeThatStartsLateHearsWhatServersHold(t *testing.T) {
	w := newWorld(3)
	w.dead["n2"] = true
	w.learn()
	w.run(5 * time.Second)
	w.dead["n2"] = false
	w.run(800 * time.Millisecond)
	view, _ := w.nodes["n2"].TakeView()
	if view == nil || view.Instance("i1").Resident("m") == nil || len(w.holders()) != 1 {
		t.Fatalf("view %v, holders %v", view, w.holders())
	}
	if !w.nodes["n2"].KnowsReport("i1") {
		t.Fatal("no report is known")
	}
}

// TestStoreRateHoldsAcrossTakeover covers a holder that has just used up the weight
// store's rate and dies: its successor does not begin with a fresh window.
func TestStoreRateHoldsAcrossTakeover(t *testing.T) {
	w := newWorld(3)
	configuration := engineConfiguration(1)
	engine := configuration.Services[0].Engine
	for i := range 40 {
		engine.Models = append(engine.Models, fleet.Model{Name: fmt.Sprint("x", i), WeightsMB: 1})
	}
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("i", i))
	}
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationLearned(configuration))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, ids...)))
	}
	w.run(4 * time.Second)
	first := w.holders()[0]
	for before := len(w.orders); len(w.orders) < before+5; {
		w.run(50 * time.Millisecond)
	}
	w.dead[first] = true
	w.run(20 * time.Second)
	const window = 5 * time.Second
	var loads []sentOrder
	for _, sent := range w.orders {
		if sent.order.FromStore {
			loads = append(loads, sent)
		}
	}
	if len(loads) < 8 || loads[len(loads)-1].node == first {
		t.Fatalf("%d loads, the last by %s", len(loads), loads[len(loads)-1].node)
	}
	for i := range loads {
		count := 0
		for _, other := range loads[i:] {
			if other.at.Sub(loads[i].at) <= window {
				count++
			}
		}
		if float64(count) > engine.LoadsPerSecond*window.Seconds() {
			t.Fatalf("%d loads within %v of %v", count, window, loads[i].at)
		}
	}
}

// TestHolderGoesOnWhileTheStoreIsAwayForAll covers an outage that is longer than the
// term: the holder goes on as long as no live daemon reaches the store, and stops if
// one does, since that one may take the lease over.
// TestLoadsGoOnAfterAPlannedStop covers a new holder whose predecessor told that it has
// ordered few loads: it need not wait until these are out of the window.
func TestLoadsGoOnAfterAPlannedStop(t *testing.T) {
	w := newWorld(3)
	w.learn()
	w.run(8 * time.Second)
	first := w.holders()[0]
	w.perform(first, w.nodes[first].Leave())
	w.run(time.Second)
	loaded := slices.ContainsFunc(w.orders, func(sent sentOrder) bool { return sent.order.FromStore && sent.node != first })
	if !loaded {
		t.Errorf("a second after %s left, its successor has ordered no load: %v", first, w.orders)
	}
}

func TestHolderGoesOnWhileTheStoreIsAwayForAll(t *testing.T) {
	for _, reaches := range []bool{false, true} {
		w := newWorld(3)
		w.learn()
		w.run(5 * time.Second)
		first := w.holders()[0]
		for _, name := range w.names() {
			if reaches && name != first {
				continue
			}
			w.storeCut[name] = true
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(name, w.nodes[name].SourceAvailable(source, false))
			}
		}
		cut := w.now
		for w.now.Sub(cut) < 3*term {
			w.run(50 * time.Millisecond)
			holders := w.holders()
			if len(holders) > 1 {
				t.Fatalf("holders %v", holders)
			}
			if !reaches && (len(holders) != 1 || holders[0] != first) {
				t.Fatalf("%v after the store went away, holders %v", w.now.Sub(cut), holders)
			}
		}
		if holders := w.holders(); reaches && (len(holders) != 1 || holders[0] == first) {
			t.Fatalf("holders %v although another daemon reaches the store", holders)
		}
	}
}

// TestChangesOfBeliefAreTold looks for the lines that tell of another daemon, of the
// lease, of the configuration and of an instance.
func TestChangesOfBeliefAreTold(t *testing.T) {
	w := newWorld(3)
	w.learn()
	w.run(4 * time.Second)
	w.dead["n1"] = true
	w.run(20 * time.Second)
	for _, want := range []string{"n0 daemons daemon n1 state alive", "n0 daemons daemon n1 state suspect", "n0 daemons daemon n1 state dead",
		"lease held true", "n0 configuration version 1", "n0 instances instance i1", "orders instance i"} {
		found := false
		for _, line := range w.decisions {
			found = found || strings.Contains(line, want)
		}
		if !found {
			t.Errorf("no line tells %q", want)
		}
	}
}
