package entry

import (
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
)

// hearBrittle takes in whether an answer says that the servers of its service are brittle.
func (n *notices) hearBrittle(now time.Time, heard *fleet.ObservedNotice) {
	said := heard.Notice.Brittle
	if said.Unreadable || !said.Named && !n.anyBrittle.Load() {
		return
	}
	instance := n.daemon.gateway.View().Instance(heard.Instance)
	if instance == nil {
		return
	}
	n.mutex.Lock()
	change := n.brittle.Observe(now, instance.Service, heard.SentAt, said.Named, said.Refusals)
	n.anyBrittle.Store(n.brittle.Count() > 0)
	n.mutex.Unlock()
	if change == brittle.Unchanged {
		return
	}
	word := brittle.Entry{Service: instance.Service, Named: said.Named, Refusals: said.Refusals, Age: max(0, now.Sub(heard.SentAt))}
	n.brittleChanged(now, change, word, "answer")
	n.daemon.work.events.TryPut(func(node *coordination.Node, _ time.Time) []coordination.Action {
		return node.BroadcastBrittle(brittle.Update{Entries: []brittle.Entry{word}})
	})
}

// learnBrittle takes in what other daemons were told: one that has sent a service nothing lately would not know.
func (n *notices) learnBrittle(update brittle.Update) {
	now := n.daemon.clock.Now()
	for _, word := range update.Entries {
		n.mutex.Lock()
		change := n.brittle.Merge(now, word)
		n.anyBrittle.Store(n.brittle.Count() > 0)
		n.mutex.Unlock()
		if change != brittle.Unchanged {
			n.brittleChanged(now, change, word, "daemon")
		}
	}
}

// brittleChanged acts on what is new of a service, and logs it with where this daemon knows it from.
func (n *notices) brittleChanged(now time.Time, change brittle.Change, word brittle.Entry, from string) {
	n.slots.SubjectsChanged(now)
	switch change {
	case brittle.Started:
		n.log("Brittle.", "service", word.Service, "from", from, "refusals_per_s", word.Refusals)
	case brittle.Ended:
		n.log("No longer brittle.", "service", word.Service, "from", from)
	}
}

// newestBrittle returns what another daemon may lack.
func (n *notices) newestBrittle(now time.Time) brittle.Update {
	if !n.anyBrittle.Load() {
		return brittle.Update{}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.brittle.Snapshot(now)
}

// HasRoom implements gateway.Notices.
func (n *notices) HasRoom(instance *fleet.Instance, requests int) bool {
	if !n.anyBrittle.Load() {
		return true
	}
	if _, counted := n.slotLimit(instance); counted {
		return n.slots.mayAsk(n.daemon.clock.Now(), instance.ID)
	}
	return n.admits(instance, requests)
}

// admits reports whether an instance may get another request by what is known here of its load and its refusals.
func (n *notices) admits(instance *fleet.Instance, requests int) bool {
	load := brittle.Load{
		Slots: instance.Slots, Requests: requests, Own: n.daemon.tracker.OwnRequests(instance.ID), Daemons: n.daemon.fleet.limitDivisor(),
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.brittle.Admit(n.daemon.clock.Now(), instance.Service, instance.ID, load)
}

// RecordRefusal implements gateway.Notices.
func (n *notices) RecordRefusal(instance *fleet.Instance) {
	if !n.anyBrittle.Load() {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.brittle.RecordRefusal(n.daemon.clock.Now(), instance.Service, instance.ID, n.daemon.fleet.limitDivisor())
}
