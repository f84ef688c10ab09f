package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

// eraState tracks the eras of the store. An era begins whenever the store is restored from an earlier
// copy of itself.
type eraState struct {
	known bool
	era   uint64
	// observedAt is when the era became known, and advanced counts the changes to a newer era.
	observedAt time.Time
	advanced   uint64
	// earlierUntil is until when instances and evacuations are kept that only an earlier era reported;
	// zero if there are none.
	earlierUntil time.Time
}

// rewriteWindow is how long the operator and the servers have, after the store was restored from
// an earlier copy, to write again what it has lost. In production the platform restores the entries of running
// servers within about 2 s. Instances that the copy lacks are kept for that long. Meanwhile its
// configuration is not proven to be the newest.
const rewriteWindow = 2500 * time.Millisecond

// originRestore is the origin of changes that follow from a restore of the store.
const originRestore origin = "restore"

// EraLearned records the era that a response of the store names.
func (n *Node) EraLearned(now time.Time, era uint64) []Action {
	n.recordEra(now, originStore, era)
	return n.takeActions()
}

// StoreEra returns the newest known era of the store.
func (n *Node) StoreEra() uint64 { return n.eras.era }

// recordEra records an era. An era newer than the known one means that the store has lost its latest
// writes. The daemons that watch it list again at once, and update the others.
func (n *Node) recordEra(now time.Time, from origin, era uint64) {
	state := &n.eras
	if state.known && era <= state.era {
		return
	}
	advanced := state.known
	state.known, state.era, state.observedAt = true, era, now
	n.lease.EraLearned(now, era)
	if !advanced {
		return
	}
	state.advanced++
	n.logEntry("store", "Store restored from an earlier copy.", "era", era, "from", string(from), "instances_at", n.instances.At())
	if n.Watching(now) {
		n.enqueue(Refresh{Source: SourceConfiguration})
		n.enqueue(Refresh{Source: SourceInstances})
		if n.settings.FollowsEvacuations {
			n.enqueue(Refresh{Source: SourceEvacuations})
		}
	}
}

// rewritten reports whether the operator and the servers have had time, before a moment, to write again
// what the store may have lost when its era began. A daemon that has just started can't tell when the
// era began, unless the lease holder has renewed the lease in it for that long.
func (n *Node) rewritten(at time.Time) bool {
	return at.Sub(n.eras.observedAt) >= rewriteWindow || n.lease.EraAge() >= rewriteWindow
}

// replaceInstances processes a full list of instances. The first list of an era shows instances as the
// copy has them. For known instances that is no new information.
func (n *Node) replaceInstances(now time.Time, from origin, batch feed.Batch[*fleet.Instance]) {
	n.recordEra(now, from, batch.At.Era)
	known, before := n.instances.Synced(), n.instances.At()
	if known && batch.At.Before(before) {
		n.logEntry("instances", "Instance list rejected; older than the known revision.", "from", string(from), "listed", batch.At, "known", before)
		return
	}
	n.recordFirstList(SourceInstances, batch.At)
	restored := known && batch.At.Era > before.Era
	changed := n.instances.Replace(batch)
	if restored && n.instances.HasEarlierEra() {
		n.eras.earlierUntil = now.Add(rewriteWindow)
	}
	n.instancesChanged(now, from, changed, restored)
}

// dropEarlierEras drops the instances and evacuations that only an earlier era reported, once the time to
// write them again is over.
func (n *Node) dropEarlierEras(now time.Time) {
	if n.eras.earlierUntil.IsZero() || now.Before(n.eras.earlierUntil) {
		return
	}
	n.eras.earlierUntil = time.Time{}
	n.instancesChanged(now, originRestore, n.instances.RemoveEarlierEra(), false)
	n.evacuationsChanged(now, originRestore, n.evacuations.RemoveEarlierEra())
}
