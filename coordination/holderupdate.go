package coordination

import "time"

// holderUpdateState holds what the lease holder has to send to all daemons, and what this daemon
// has received from other holders.
type holderUpdateState struct {
	boot     uint64
	sequence uint64
	sentAt   time.Time
	// due lists the instances with new residency reports to send.
	due map[string]bool
	// received holds the number of the latest update of each holder.
	received map[string]updateNumber
	// digestDiffersSince is since when the residency reports of the newest holder differ from those of this
	// daemon.
	digestDiffersSince time.Time
	reportsRequestedAt time.Time
}

type updateNumber struct{ boot, sequence uint64 }

func newHolderUpdateState(boot uint64) holderUpdateState {
	return holderUpdateState{boot: boot, due: map[string]bool{}, received: map[string]updateNumber{}}
}

// tickHolderUpdates sends an update to all daemons if one is due and this daemon holds the lease.
func (n *Node) tickHolderUpdates(now time.Time) {
	if !n.held {
		clear(n.holderUpdates.due)
		return
	}
	interval := n.settings.HolderUpdateInterval
	if len(n.holderUpdates.due) > 0 {
		interval = n.settings.MinHolderUpdateInterval
	}
	if now.Sub(n.holderUpdates.sentAt) >= interval {
		n.sendHolderUpdate(now)
	}
}

// sendHolderUpdate sends an update to all daemons, if this daemon may send orders.
func (n *Node) sendHolderUpdate(now time.Time) {
	fence, _, may := n.mayOrder(now)
	if !may {
		return
	}
	n.sendHolderUpdateAs(now, fence, false)
}

// sendRelease notifies all daemons that this one has released the lease.
func (n *Node) sendRelease(now time.Time) {
	fence, _ := n.lease.LastFence()
	n.sendHolderUpdateAs(now, fence, true)
}

func (n *Node) sendHolderUpdateAs(now time.Time, fence uint64, released bool) {
	state := &n.holderUpdates
	state.sentAt = now
	state.sequence++
	message := &HolderUpdate{
		Root: n.self, Boot: state.boot, Sequence: state.sequence, Fence: fence, Lease: n.lease.Place(),
		Released: released, Digest: n.residencyReports.digest,
	}
	for instance := range state.due {
		if _, known := n.residencyReports.byInstance[instance]; known {
			message.ResidencyReports = append(message.ResidencyReports, n.residencyReportWithAge(now, instance))
		}
	}
	clear(state.due)
	n.forwardHolderUpdate(message)
}

// forwardHolderUpdate sends an update of the lease holder to the daemons below this one.
func (n *Node) forwardHolderUpdate(message *HolderUpdate) {
	n.forwardToChildren(message.Root, message.Sequence, Message{From: n.self, HolderUpdate: message})
}

// forwardToChildren sends a message to this daemon's children in the multicast tree of the message's root.
func (n *Node) forwardToChildren(root string, sequence uint64, message Message) {
	if revision := n.MembersRevision(); n.multicastTrees == nil || revision != n.treesRevision {
		n.multicastTrees, n.treesRevision = newMulticastTrees(n.detector.Members()), revision
	}
	n.sendAll(n.multicastTrees.childrenOf(n.self, root, sequence, n.settings.FanOut), message)
}

// receiveHolderUpdate processes an update of the lease holder and forwards it, if it is newer than
// the last one. The check prevents loops while daemons compute different trees for a moment.
func (n *Node) receiveHolderUpdate(now time.Time, message Message) {
	update := message.HolderUpdate
	received := n.holderUpdates.received[update.Root]
	if update.Root == n.self || received.boot == update.Boot && update.Sequence <= received.sequence {
		return
	}
	n.holderUpdates.received[update.Root] = updateNumber{update.Boot, update.Sequence}
	for _, entry := range update.ResidencyReports {
		n.mergeResidencyReport(entry, now.Add(-entry.Age))
	}
	if update.Released {
		n.observeRelease(now, update.Root, update.Fence, update.Lease)
	} else {
		n.observeHolder(now, update.Root, update.Fence, update.Lease)
	}
	n.checkReportsDigest(now, update)
	n.forwardHolderUpdate(update)
}

// checkReportsDigest requests all residency reports from the lease holder if those of this daemon have differed
// for a while. Then an update was lost, or this daemon has just started.
func (n *Node) checkReportsDigest(now time.Time, update *HolderUpdate) {
	state := &n.holderUpdates
	if update.Digest == n.residencyReports.digest {
		state.digestDiffersSince = time.Time{}
		return
	}
	if state.digestDiffersSince.IsZero() {
		state.digestDiffersSince = now
	}
	delay := n.settings.ResidencyRequestDelay
	if len(n.residencyReports.byInstance) == 0 {
		// This daemon has just started, so it requests the residency reports at once.
		delay = 0
	}
	if now.Sub(state.digestDiffersSince) < delay || now.Sub(state.reportsRequestedAt) < n.settings.ResidencyRequestInterval {
		return
	}
	state.reportsRequestedAt = now
	if root, found := n.detector.Lookup(update.Root); found {
		n.enqueue(SendPeer{Address: root.PeerAddress, Message: Message{From: n.self, RequestResidencyReports: true}})
	}
}

// sendAllReports sends all residency reports to one daemon, if this daemon holds the lease.
func (n *Node) sendAllReports(now time.Time, from string) {
	if other, found := n.detector.Lookup(from); found && n.held {
		n.enqueue(SendPeer{Address: other.PeerAddress, Message: Message{From: n.self, ResidencyReports: n.allResidencyReports(now)}})
	}
}
