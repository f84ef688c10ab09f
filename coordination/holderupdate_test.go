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
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

const manyNodes = 60

// countServing counts the live nodes that have a residency report by which an instance serves a model.
func (w *world) countServing(instance, model string) int {
	count := 0
	for _, name := range w.names() {
		if w.dead[name] {
			continue
		}
		if report, found := w.nodes[name].ResidencyReportOf(instance); found && len(report.Residents) > 0 && report.Residents[len(report.Residents)-1].Model == model {
			count++
		}
	}
	return count
}

// report delivers a report to the lease holder that the instance serves a model as well.
func (w *world) report(holder, instance, model string, sequence uint64) {
	report := fleet.Report{Residents: []fleet.Resident{{Model: "m"}, {Model: model}}, Sequence: sequence}
	w.perform(holder, w.nodes[holder].ReportAnswered(w.now, w.now, instance, report, true))
}

// TestFactsReachManyNodes checks that all nodes of a large fleet receive a new residency report within one
// round, although each node sends to a few others only.
func TestFactsReachManyNodes(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	w.report(w.holders()[0], "i1", "n", 9)
	w.run(100 * time.Millisecond)
	if known := w.countServing("i1", "n"); known != manyNodes {
		t.Fatalf("%d of %d nodes have the fact", known, manyNodes)
	}
}

// TestFactsOfAServerThatIsGoneAreForgotten covers nodes that receive the removal of an instance at
// different moments. A node must not keep a residency report that arrives after the removal. Otherwise its
// residency reports differ from those of all others, and it requests them again and again.
func TestFactsOfAServerThatIsGoneAreForgotten(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	holder := w.holders()[0]
	late := "n0"
	if holder == late {
		late = "n1"
	}
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(9, "i1")))
	}
	report := coordination.ResidencyReport{Instance: "i2", Sequence: 9}
	w.perform(late, w.nodes[late].Receive(w.now, coordination.Message{From: holder, ResidencyReports: []coordination.ResidencyReport{report}}))
	if w.nodes[late].HasResidencyReport("i2") {
		t.Error("the fact of a removed instance is kept")
	}
	w.factMessages = 0
	w.run(10 * time.Second)
	if w.factMessages > 0 {
		t.Errorf("all facts were sent %d times in ten seconds without a change", w.factMessages)
	}
}

// TestNodeThatMissedAFactAsksForIt covers an update that is lost on its way down the tree. The
// nodes below catch up without another change.
func TestNodeThatMissedAFactAsksForIt(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	holder := w.holders()[0]
	for _, name := range w.names()[manyNodes/2:] {
		w.dead[name] = name != holder
	}
	w.report(holder, "i1", "n", 9)
	for _, name := range w.names() {
		w.dead[name] = false
	}
	w.run(2500 * time.Millisecond)
	if known := w.countServing("i1", "n"); known != manyNodes {
		t.Fatalf("%d of %d nodes have the fact", known, manyNodes)
	}
}

// TestUnloadIsToldBeforeItsOrderLeaves covers a model that is unloaded at one of two instances to
// make room for another one, right after a report. It guards against daemons that go on sending
// requests there for a tick, which the instance declines.
func TestUnloadIsToldBeforeItsOrderLeaves(t *testing.T) {
	w := newWorld(5)
	unloads := 0
	w.onOrder = func(order residency.Order) {
		if order.Load {
			return
		}
		unloads++
		for _, name := range w.names() {
			report, _ := w.nodes[name].ResidencyReportOf(order.Instance)
			if slices.ContainsFunc(report.Residents, func(resident fleet.Resident) bool { return resident.Model == order.Model }) {
				t.Errorf("%s still considers %s to serve %s", name, order.Instance, order.Model)
			}
		}
	}
	tight := engineConfiguration(1)
	tight.Services[0].Engine.WeightsMB = 60
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationReceived(tight))
	}
	// The second instance makes an unload possible, as soon as its first report has arrived.
	for at, servers := range [][]string{{"i1"}, {"i1", "i2"}} {
		for _, name := range w.names() {
			w.perform(name, w.nodes[name].InstancesListed(w.now, listing(uint64(5+at), servers...)))
		}
		w.run(8 * time.Second)
	}
	if unloads == 0 {
		t.Error("no model was unloaded")
	}
}

// TestMessagesOfEachNodeAreBounded covers nodes whose load changes all the time. Each node of a
// large fleet sends no more messages than one of a small fleet.
func TestMessagesOfEachNodeAreBounded(t *testing.T) {
	const maxMessages = 400
	for _, count := range []int{9, 20, manyNodes} {
		w := newWorld(count)
		w.listAll()
		w.run(8 * time.Second)
		clear(w.messages)
		for range 20 {
			w.run(50 * time.Millisecond)
			for _, name := range w.names() {
				w.perform(name, w.nodes[name].UpdateOwnLoad(w.now, map[string]balance.Load{}, nil, coordination.UrgencyLoad))
			}
		}
		for name, sent := range w.messages {
			if sent > maxMessages {
				t.Errorf("%d nodes: %s sent %d messages in a second", count, name, sent)
			}
		}
	}
}

// TestReportsThatComeTogetherArePlannedOnce covers reports of many instances at the same moment.
func TestReportsThatComeTogetherArePlannedOnce(t *testing.T) {
	w := newWorld(1)
	w.listAll()
	w.run(4 * time.Second)
	node := w.nodes["n0"]
	before := node.Plans()
	for i := range 100 {
		w.report("n0", fmt.Sprint("i", 1+i%2), "n", uint64(10+i))
	}
	w.run(50 * time.Millisecond)
	if plans := node.Plans() - before; plans < 1 || plans > 3 {
		t.Fatalf("%d plans for 100 reports", plans)
	}
}

// TestManyServersArePlannedForSeldom covers reports of many instances that arrive one after the
// other, with ticks between. A plan examines all instances, so the more there are, the fewer plans
// are made.
func TestManyServersArePlannedForSeldom(t *testing.T) {
	const servers = 120
	w := newWorld(1)
	w.listAll()
	var batch feed.Batch[*fleet.Instance]
	for i := range servers {
		id := fmt.Sprint("many", i)
		batch.Items = append(batch.Items, feed.Item[*fleet.Instance]{
			Name: id, Place: history.At(0, uint64(100+i)), Value: &fleet.Instance{ID: id, Service: "llm", Address: id},
		})
	}
	batch.At = history.At(0, 1000)
	node := w.nodes["n0"]
	w.perform("n0", node.InstancesListed(w.now, batch))
	w.run(4 * time.Second)
	before := node.Plans()
	for i := range 1000 {
		w.report("n0", fmt.Sprint("many", i%servers), fmt.Sprint("x", i), uint64(10+i))
		w.now = w.now.Add(2 * time.Millisecond)
		if i%25 == 0 {
			w.perform("n0", node.Tick(w.now))
		}
	}
	if plans := node.Plans() - before; plans < 5 || plans > 20 {
		t.Errorf("%d plans in two seconds for %d servers", plans, servers)
	}
}

// TestAnEarlierHolderIsNotBelieved covers a late message of a lease holder that has been replaced.
func TestAnEarlierHolderIsNotBelieved(t *testing.T) {
	w := newWorld(3)
	w.listAll()
	w.run(5 * time.Second)
	first := w.holders()[0]
	stale := coordination.Load{Fence: 1, Lease: &history.Place{Revision: 1}}
	w.dead[first] = true
	w.run(3 * term)
	second := w.holders()[0]
	for _, name := range w.names() {
		if name != first && name != second {
			w.perform(name, w.nodes[name].Receive(w.now, coordination.Message{From: first, Load: &stale}))
			if holder := w.nodes[name].HolderName(); holder != second {
				t.Errorf("%s takes %s for the lease holder", name, holder)
			}
		}
	}
}

// TestManyNodesKnowEachOtherSoon covers many daemons that start at the same moment. Addresses and
// the multicast trees depend on the known members.
func TestManyNodesKnowEachOtherSoon(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	for _, name := range w.names() {
		if known := len(w.nodes[name].Members()); known != manyNodes {
			t.Errorf("%s has %d of %d members", name, known, manyNodes)
		}
	}
}

// TestHolderTellsAllFactsOnlyIfAsked covers a fleet in which load updates are so rare, because
// there are so many daemons, that each sender seems new each time.
func TestHolderTellsAllFactsOnlyIfAsked(t *testing.T) {
	w := newWorld(9)
	for i, name := range w.names() {
		settings := coordination.DefaultSettings(term)
		settings.Lease.TakeoverOrderDelay = 0
		settings.LoadUpdateInterval = 5 * time.Second
		self := member.Member{Name: name, Zone: "z", PeerAddress: name, CallerAddress: name, Incarnation: 1}
		w.nodes[name] = coordination.New(w.now, self, settings, []string{"n0"}, rand.New(rand.NewPCG(uint64(i), 7)))
	}
	w.listAll()
	w.run(10 * time.Second)
	before := w.factMessages
	w.run(30 * time.Second)
	if sent := w.factMessages - before; sent > 0 {
		t.Fatalf("all facts were sent %d times without a change", sent)
	}
}

// TestHolderHearsTheDemandOfManyNodes covers demand at the daemons of a large fleet. The lease
// holder places models for all of it, although the other daemons do not receive it.
func TestHolderHearsTheDemandOfManyNodes(t *testing.T) {
	w := newWorld(30)
	w.listAll()
	w.run(8 * time.Second)
	models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 2}}
	for range 100 {
		for _, name := range w.names() {
			w.perform(name, w.nodes[name].UpdateOwnLoad(w.now, map[string]balance.Load{}, models, coordination.UrgencyNone))
			w.perform(name, w.nodes[name].Tick(w.now))
		}
		w.now = w.now.Add(50 * time.Millisecond)
	}
	holder := w.holders()[0]
	if demand := w.nodes[holder].Demand("llm", "m"); demand < 55 || demand > 65 {
		t.Fatalf("the holder has a demand of %.1f, want 60", demand)
	}
}

// TestNewHolderPlansOnceItHearsTheDemand covers a large fleet, in which only the lease holder
// receives the demand for models. A new holder has none of it yet.
func TestNewHolderPlansOnceItHearsTheDemand(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	reportAll := func() {
		for _, name := range w.names() {
			models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 2}}
			w.perform(name, w.nodes[name].UpdateOwnLoad(w.now, nil, models, coordination.UrgencyLoad))
		}
	}
	first := w.holders()[0]
	w.perform(first, w.nodes[first].Leave())
	for before := len(w.orders); len(w.orders) == before; reportAll() {
		w.run(50 * time.Millisecond)
		if w.now.Sub(time.Unix(1000, 0)) > time.Minute {
			t.Fatal("the new holder sends no orders")
		}
	}
	holder := w.orders[len(w.orders)-1].node
	if demand := w.nodes[holder].Demand("llm", "m"); holder == first || demand < 2*(manyNodes-2) {
		t.Errorf("%s sends its first order with a demand of %.1f, want about %d", holder, demand, 2*manyNodes)
	}
}

// TestConfigurationComesFromAnotherDaemon checks that a daemon gets a configuration from another
// daemon, however many routes it has. It guards against daemons that all read it from the store:
// two changes of a configuration with many routes caused 1,970 calls of 985 daemons.
func TestConfigurationComesFromAnotherDaemon(t *testing.T) {
	for _, routes := range []int{3, 1500} {
		w := newWorld(9)
		w.setWatchers(1)
		w.listAll()
		w.run(4 * time.Second)
		next := engineConfiguration(3)
		next.Routes = make([]fleet.Route, routes)
		behind := w.nodeByWatching(false)
		for _, name := range w.names() {
			if name != behind {
				w.perform(name, w.nodes[name].ConfigurationReceived(next))
			}
		}
		clear(w.refresh)
		w.run(450 * time.Millisecond)
		view, changed := w.nodes[behind].TakeView()
		fromPeer := changed && view.Version() == 3
		if w.refresh[behind] > 0 || !fromPeer {
			t.Errorf("%d routes: %d list calls, received from a peer %v", routes, w.refresh[behind], fromPeer)
		}
	}
}

// TestQuestionForInstancesBringsNoConfiguration covers a daemon that lacks both the instances and
// the configuration. Its requests for the small collection must not transfer the large one each
// time.
func TestQuestionForInstancesBringsNoConfiguration(t *testing.T) {
	w := newWorld(9)
	w.setWatchers(1)
	w.listAll()
	w.run(4 * time.Second)
	large := engineConfiguration(2)
	large.Routes = make([]fleet.Route, 1500)
	behind := w.nodeByWatching(false)
	w.configurations = 0
	for _, name := range w.names() {
		if name != behind {
			w.perform(name, w.nodes[name].ConfigurationReceived(large))
			w.perform(name, w.nodes[name].InstancesListed(w.now, listing(9, "i1", "i2", "i3")))
		}
	}
	w.run(time.Second)
	view, _ := w.nodes[behind].TakeView()
	if view.Instance("i3") == nil {
		t.Error("the instances were not received")
	}
	if w.configurations > 2 {
		t.Errorf("the configuration was sent %d times", w.configurations)
	}
}

// TestSilenceOfAServerIsTold covers an instance that leaves several report requests unanswered and
// then answers. Each of the two changes is logged once.
func TestSilenceOfAServerIsTold(t *testing.T) {
	w := newWorld(1)
	w.listAll()
	w.run(4 * time.Second)
	for _, answered := range []bool{false, false, true, true} {
		w.perform("n0", w.nodes["n0"].ReportAnswered(w.now, w.now, "i1", fleet.Report{Residents: []fleet.Resident{{Model: "m"}}, Sequence: 4}, answered))
	}
	lines := 0
	for _, line := range w.decisions {
		if strings.Contains(line, "instance i1 answered") {
			lines++
		}
	}
	if lines != 2 {
		t.Fatalf("%d log lines of answers, want 2", lines)
	}
}
