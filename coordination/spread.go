package coordination

import "time"

// spreadState is what the holder of the lease has to tell all daemons, and what this
// daemon has heard of other holders.
type spreadState struct {
	boot     uint64
	sequence uint64
	sentAt   time.Time
	// due lists the instances whose fact is new.
	due map[string]bool
	// heard is the newest message of each holder.
	heard map[string]heardSpread
	// differsSince is since when the newest holder knows other facts.
	differsSince time.Time
	askedAt      time.Time
}

type heardSpread struct{ boot, sequence uint64 }

func newSpreadState(boot uint64) spreadState {
	return spreadState{boot: boot, due: map[string]bool{}, heard: map[string]heardSpread{}}
}

// tickSpread tells all daemons what is due, if this daemon holds the lease.
func (n *Node) tickSpread(now time.Time) {
	if !n.held {
		clear(n.spreading.due)
		return
	}
	pause := n.settings.SpreadEvery
	if len(n.spreading.due) > 0 {
		pause = n.settings.SpreadSoon
	}
	if now.Sub(n.spreading.sentAt) >= pause {
		n.spread(now)
	}
}

// spread begins a message to all daemons.
func (n *Node) spread(now time.Time) {
	fence, _, may := n.mayOrder(now)
	if !may {
		return
	}
	n.spreadAs(now, fence, false)
}

// spreadReleased tells all daemons that this one has handed the lease back.
func (n *Node) spreadReleased(now time.Time) {
	fence, _ := n.lease.Retained()
	n.spreadAs(now, fence, true)
}

func (n *Node) spreadAs(now time.Time, fence uint64, released bool) {
	state := &n.spreading
	state.sentAt = now
	state.sequence++
	message := &Spread{
		Root: n.self, Boot: state.boot, Sequence: state.sequence, Fence: fence, Lease: n.lease.Place(),
		Released: released, Digest: n.facts.digest,
	}
	for instance := range state.due {
		if _, known := n.facts.byInstance[instance]; known {
			message.Facts = append(message.Facts, n.agedFact(now, instance))
		}
	}
	clear(state.due)
	n.passOn(message)
}

// passOn sends a message of the holder to the daemons below this one.
func (n *Node) passOn(message *Spread) {
	n.passBelow(message.Root, message.Sequence, Message{From: n.self, Spread: message})
}

// passBelow sends a message to the daemons below this one in the tree of its root.
func (n *Node) passBelow(root string, sequence uint64, message Message) {
	if revision := n.MembersRevision(); n.forwarding == nil || revision != n.forwardingAt {
		n.forwarding, n.forwardingAt = newForwarding(n.detector.Members()), revision
	}
	n.sendAll(n.forwarding.below(n.self, root, sequence, n.settings.FanOut), message)
}

// takeSpread takes in a message of the holder and passes it on, if it is newer than
// the last one: trees that differ for a moment then can't send it round for ever.
func (n *Node) takeSpread(now time.Time, message Message) {
	told := message.Spread
	heard := n.spreading.heard[told.Root]
	if told.Root == n.self || heard.boot == told.Boot && told.Sequence <= heard.sequence {
		return
	}
	n.spreading.heard[told.Root] = heardSpread{told.Boot, told.Sequence}
	for _, fact := range told.Facts {
		n.learn(fact, now.Add(-fact.Age))
	}
	if told.Released {
		n.heardReleased(now, told.Root, told.Fence, told.Lease)
	} else {
		n.heardHolder(now, told.Root, told.Fence, told.Lease)
	}
	n.compareFacts(now, told)
	n.passOn(told)
}

// compareFacts asks the holder for all facts if this daemon has known others for a
// while: a message was lost, or it has just started.
func (n *Node) compareFacts(now time.Time, told *Spread) {
	state := &n.spreading
	if told.Digest == n.facts.digest {
		state.differsSince = time.Time{}
		return
	}
	if state.differsSince.IsZero() {
		state.differsSince = now
	}
	patience := n.settings.FactsPatience
	if len(n.facts.byInstance) == 0 {
		// This daemon has just started.
		patience = 0
	}
	if now.Sub(state.differsSince) < patience || now.Sub(state.askedAt) < n.settings.FactsPause {
		return
	}
	state.askedAt = now
	if root, found := n.detector.Lookup(told.Root); found {
		n.do(SendPeer{Address: root.PeerAddress, Message: Message{From: n.self, AskFacts: true}})
	}
}

// answerFacts tells one daemon all facts, if this daemon holds the lease.
func (n *Node) answerFacts(now time.Time, from string) {
	if other, found := n.detector.Lookup(from); found && n.held {
		n.do(SendPeer{Address: other.PeerAddress, Message: Message{From: n.self, Facts: n.allFacts(now)}})
	}
}
