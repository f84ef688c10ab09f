package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

// eraState is what is known of the eras of the store, each of which begins when it comes back from an
// earlier copy of itself.
type eraState struct {
	known bool
	era   uint64
	// learnedAt is when the era was learned of, and rose how often it was a newer one.
	learnedAt time.Time
	rose      uint64
	// earlierUntil is until when instances stay that only an earlier era told of; zero if there are none.
	earlierUntil time.Time
}

// rewriteSpan is how long the operator and the servers have, after the store came back from a copy, to write
// again what it has lost: the users' platform has the entries of servers that live back within about 2 s.
// Instances that the copy lacks stay that long, and what it shows of the configuration does not prove that it
// is the newest.
const rewriteSpan = 2500 * time.Millisecond

// originRestore is the origin of what follows from the store coming back from a copy.
const originRestore origin = "restore"

// EraLearned takes in the era that an answer of the store has named.
func (n *Node) EraLearned(now time.Time, era uint64) []Action {
	n.learnEra(now, originStore, era)
	return n.take()
}

// StoreEra is the newest era of the store that is known.
func (n *Node) StoreEra() uint64 { return n.eras.era }

// learnEra takes in an era. A newer one than that known says that the store has lost what it took last:
// who watches it lists anew at once, and tells the others.
func (n *Node) learnEra(now time.Time, from origin, era uint64) {
	state := &n.eras
	if state.known && era <= state.era {
		return
	}
	rose := state.known
	state.known, state.era, state.learnedAt = true, era, now
	n.lease.EraLearned(now, era)
	if !rose {
		return
	}
	state.rose++
	n.decide("store", "Came back from a copy.", "era", era, "from", string(from), "instances_at", n.instances.At())
	if n.Watching(now) {
		n.do(Refresh{Source: SourceConfiguration})
		n.do(Refresh{Source: SourceInstances})
		if n.settings.FollowsEvacuations {
			n.do(Refresh{Source: SourceEvacuations})
		}
	}
}

// rewritten reports whether the operator and the servers have had time, before a moment, to write again what
// the store may have lost when its era began. A daemon that has just started cannot tell when that was, unless
// the holder of the lease has renewed it in this era for that long.
func (n *Node) rewritten(at time.Time) bool {
	return at.Sub(n.eras.learnedAt) >= rewriteSpan || n.lease.EraAge() >= rewriteSpan
}

// replaceInstances takes in a full list of instances. The first one of an era shows instances as the copy
// has them: that is no news of those which are known.
func (n *Node) replaceInstances(now time.Time, from origin, batch feed.Batch[*fleet.Instance]) {
	n.learnEra(now, from, batch.At.Era)
	known, before := n.instances.Known(), n.instances.At()
	if known && batch.At.Before(before) {
		n.decide("instances", "List is older than what is known; passed over.", "from", string(from), "listed", batch.At, "known", before)
		return
	}
	n.noteList(SourceInstances, batch.At)
	restored := known && batch.At.Era > before.Era
	changed := n.instances.Replace(batch)
	if restored && n.instances.HasEarlier() {
		n.eras.earlierUntil = now.Add(rewriteSpan)
	}
	n.instancesChanged(now, from, changed, restored)
}

// tickEarlier drops the instances and evacuations that only an earlier era told of, once they had time to be written again.
func (n *Node) tickEarlier(now time.Time) {
	if n.eras.earlierUntil.IsZero() || now.Before(n.eras.earlierUntil) {
		return
	}
	n.eras.earlierUntil = time.Time{}
	n.instancesChanged(now, originRestore, n.instances.DropEarlier(), false)
	n.evacuationsChanged(now, originRestore, n.evacuations.DropEarlier())
}
