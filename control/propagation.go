package control

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/rendezvous"
)

// treeFanout is the number of daemons to which each daemon forwards changes. With four,
// a tree of 64 daemons of a zone is three steps deep and each change is sent about once
// for each daemon.
const treeFanout = 4

// maxWatchBackoff bounds the backoff after failed watches.
const maxWatchBackoff = 5 * time.Second

// watchState is the state of this daemon's watch of the platform.
type watchState struct {
	waiting bool
	next    time.Time
	backoff time.Duration
}

// propagationState is the state of forwarding changes to other daemons.
type propagationState struct {
	// sentThrough is the version up to which changes were last sent to the children in
	// the tree.
	sentThrough uint64
	// peerThrough maps each peer to the version up to which it last reported to be
	// complete.
	peerThrough     map[string]uint64
	configuredSeeds []string
}

// isWatcher reports whether this daemon watches the platform for its zone.
func (n *Node) isWatcher() bool {
	self := n.detector.Self()
	set, found := n.duties.byZone[self.Zone]
	if !found {
		return true
	}
	return slices.Contains(set.Top("watcher", n.settings.WatchersPerZone), self.Name)
}

func (n *Node) tickWatch(now time.Time) {
	if n.watch.waiting || now.Before(n.watch.next) || !n.isWatcher() {
		return
	}
	n.watch.waiting = true
	n.emit(FetchChanges{Since: n.store.Through(), Wait: n.settings.WatchWait})
}

// ChangesAnswered handles the answer to FetchChanges.
func (n *Node) ChangesAnswered(now time.Time, answer ChangesAnswer) []Action {
	n.watch.waiting = false
	if answer.Err != CallOK {
		n.watch.backoff = min(max(2*n.watch.backoff, n.settings.WatchPause), maxWatchBackoff)
		n.watch.next = now.Add(n.jitter(n.watch.backoff))
		return n.takeActions()
	}
	n.watch.backoff = 0
	n.watch.next = now.Add(n.settings.WatchPause)
	n.updateCatalog(n.store.Apply(answer.Delta))
	n.tickPropagation()
	return n.takeActions()
}

// tickPropagation forwards new changes to this daemon's children in the tree of its
// zone. The tree is derived from the members, so it needs no maintenance. A daemon that
// is missed pulls the changes when it next receives a higher version.
func (n *Node) tickPropagation() {
	through := n.store.Through()
	if through <= n.propagation.sentThrough {
		return
	}
	from := n.propagation.sentThrough
	n.propagation.sentThrough = through
	for _, child := range n.treeChildren() {
		address := n.address(child)
		start := max(from, n.propagation.peerThrough[address])
		if start >= through {
			continue
		}
		delta := n.store.Since(start, n.settings.DeltaBytes)
		n.propagation.peerThrough[address] = delta.Through
		n.send(address, Message{Delta: &delta})
	}
}

// treeChildren returns the daemons to which this one forwards changes. The watcher of
// the zone is the root.
func (n *Node) treeChildren() []string {
	names := slices.Clone(n.duties.zonePeers)
	slices.SortFunc(names, func(a, b string) int {
		left, right := rendezvous.Weight("watcher", a), rendezvous.Weight("watcher", b)
		switch {
		case left > right:
			return -1
		case left < right:
			return 1
		}
		return 0
	})
	position := slices.Index(names, n.detector.Self().Name)
	if position < 0 {
		return nil
	}
	first := position*treeFanout + 1
	last := min(first+treeFanout, len(names))
	if first >= last {
		return nil
	}
	return names[first:last]
}

// syncWithPeer compares the versions up to which both sides are complete. The side that
// is behind pulls the changes. Each probe message causes the comparison on its receiver.
func (n *Node) syncWithPeer(message Message) {
	n.propagation.peerThrough[message.From] = message.Through
	n.join.maxPeerVersion = max(n.join.maxPeerVersion, message.Through)
	through := n.store.Through()
	switch {
	case message.Pull:
		delta := n.store.Since(message.Through, n.settings.DeltaBytes)
		n.send(message.From, Message{Delta: &delta})
	case message.Through > through:
		n.send(message.From, Message{Pull: true})
	}
}

// updateSeeds uses the entry machines of the machine list as seeds, in addition to the
// configured ones.
func (n *Node) updateSeeds() {
	seeds := slices.Clone(n.propagation.configuredSeeds)
	for _, machine := range n.catalog.machines {
		if machine.Role == api.RoleEntry && machine.PeerAddress != "" {
			seeds = append(seeds, machine.PeerAddress)
		}
	}
	slices.Sort(seeds)
	n.detector.SetSeeds(slices.Compact(seeds))
}
