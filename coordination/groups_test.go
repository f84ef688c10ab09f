package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/member"
)

// TestDispatchersHearOfEveryChange covers nodes of four zones whose load changes all the time. Each
// has a live dispatcher in its zone, which receives an update for each change. All nodes agree on
// the groups, and send updates to few other nodes, and less often.
func TestDispatchersHearOfEveryChange(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	clear(w.loadUpdates)
	clear(w.messages)
	const changes = 40
	for change := range changes {
		w.run(50 * time.Millisecond)
		for _, name := range w.names() {
			load := map[string]balance.Load{"i": {Requests: 1 + change}}
			w.perform(name, w.nodes[name].UpdateOwnLoad(w.now, load, nil, coordination.UrgencyLoad))
		}
	}
	dispatchers := 0
	for i, name := range w.names() {
		group := w.nodes[name].Group()
		if group.Dispatching {
			dispatchers++
			if len(group.Others) != 3 {
				t.Errorf("%s lists %d other dispatchers", name, len(group.Others))
			}
			continue
		}
		leader := w.nodes[group.Dispatcher]
		if leader == nil || !leader.Group().Dispatching || !leader.Group().HasMember(name) {
			t.Fatalf("%s has the dispatcher %q, which does not have it as a member", name, group.Dispatcher)
		}
		if backup := w.nodes[group.Backup]; backup == nil || !backup.Group().Dispatching || group.Backup == group.Dispatcher {
			t.Errorf("%s has the backup %q, its dispatcher is %s", name, group.Backup, group.Dispatcher)
		}
		var place int
		if _, err := fmt.Sscanf(group.Dispatcher, "n%d", &place); err != nil || place%4 != i%4 {
			t.Errorf("%s has the dispatcher %s of another zone", name, group.Dispatcher)
		}
		if received := w.loadUpdates[[2]string{name, group.Dispatcher}]; received < changes {
			t.Errorf("%s received %d load updates of %s for %d changes", group.Dispatcher, received, name, changes)
		}
		if sent := w.messages[name]; sent > 500 {
			t.Errorf("%s sent %d messages in two seconds", name, sent)
		}
	}
	if dispatchers != 4 {
		t.Errorf("%d dispatchers for four zones of 15", dispatchers)
	}
}

// TestLostDispatcherIsReplaced covers a dispatcher that fails.
func TestLostDispatcherIsReplaced(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	lost := w.nodes["n0"].Group().Dispatcher
	w.dead[lost] = true
	w.run(4 * time.Second)
	for i, name := range w.names() {
		if i%4 != 0 || name == lost {
			continue
		}
		if now := w.nodes[name].Group().Dispatcher; now == lost || now == "" {
			t.Errorf("%s has the dispatcher %q after the failure of %s", name, now, lost)
		}
	}
}

// TestDutiesGoToHeavierMachinesFirst covers a fleet of machines of different weight. The lease on
// orders and the dispatching for each group go to the few heavy ones.
func TestDutiesGoToHeavierMachinesFirst(t *testing.T) {
	w := newWorld(manyNodes)
	strong := func(i int) bool { return i%4 == i/4%4 && i < 16 }
	w.recreateAll(func(i int, self *member.Member, settings *coordination.Settings) {
		settings.Lease.TakeoverOrderDelay = 0
		self.Weight = 192
		if strong(i) {
			self.Weight = 800
		}
	})
	w.listAll()
	w.run(12 * time.Second)
	holders := w.holders()
	if len(holders) != 1 {
		t.Fatalf("holders %v", holders)
	}
	for i, name := range w.names() {
		if name == holders[0] && !strong(i) {
			t.Errorf("%s holds the lease", name)
		}
		if w.nodes[name].Group().Dispatching && !strong(i) {
			t.Errorf("%s is a dispatcher", name)
		}
	}
}

// TestSmallFleetHasNoGroups covers a fleet in which each daemon sends its load to all others.
func TestSmallFleetHasNoGroups(t *testing.T) {
	w := newWorld(9)
	w.listAll()
	w.run(8 * time.Second)
	if group := w.nodes["n0"].Group(); group.Dispatcher != "" || group.Dispatching {
		t.Fatalf("%+v", group)
	}
}

// TestFewNodesWatchInALargeFleet covers nodes that seldom receive messages directly from those that
// watch the store. They receive evidence of them through others and must not start to watch too,
// since each watch has a price.
func TestFewNodesWatchInALargeFleet(t *testing.T) {
	w := newWorld(manyNodes)
	w.listAll()
	w.run(8 * time.Second)
	maxWatching := coordination.DefaultSettings(term).Watchers
	for range 100 {
		w.run(50 * time.Millisecond)
		if watching := w.watching(); watching > maxWatching {
			t.Fatalf("%d nodes watch the store, want at most %d", watching, maxWatching)
		}
	}
}
