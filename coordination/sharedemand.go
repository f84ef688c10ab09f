package coordination

import "time"

// lackingPause is the least time between two messages to the holder about the demand while requests wait.
const lackingPause = 20 * time.Millisecond

// shareDemand tells the holder of the lease, who places models, the demand for them. In a large fleet each dispatcher
// tells that of its whole group, so what the holder hears grows with the groups and not with the daemons.
func (n *Node) shareDemand(now time.Time) {
	group, state := n.Group(), &n.sharing
	member := group.Dispatcher != "" && !group.Dispatching
	if n.TellsAll() || n.held || member {
		return
	}
	since := now.Sub(state.modelsAt)
	due := since >= n.demandPause() || state.modelsTo != n.holderName || state.memberWaits && since >= lackingPause
	if _, known := n.detector.Lookup(n.holderName); !known || !due {
		return
	}
	state.modelsAt, state.modelsTo, state.memberWaits = now, n.holderName, false
	load := n.ownLoad(now, nil)
	load.Changes = true
	load.Models = n.groupDemand(now, group)
	n.sendAll([]string{n.holderName}, Message{From: n.self, Load: &load})
}

// groupDemand is the demand of this daemon and of the members of its group.
func (n *Node) groupDemand(now time.Time, group *Group) []ModelLoad {
	sums := map[modelKey]ModelLoad{}
	for _, load := range n.demand.own {
		addLoad(sums, load)
	}
	for _, name := range group.Members {
		if heard, found := n.peers[name]; found {
			heard.addDemand(now, sums)
		}
	}
	loads := make([]ModelLoad, 0, len(sums))
	for key, sum := range sums {
		sum.Service, sum.Model = key.service, key.model
		loads = append(loads, sum)
	}
	return loads
}

// demandPause is the least time between two messages of one dispatcher to the holder about the demand.
func (n *Node) demandPause() time.Duration {
	return max(n.settings.ShareEvery, time.Duration(n.Group().Count)*n.settings.DemandCost)
}

// demandRounds is how many times each dispatcher tells of its demand while a new holder waits for it: one message may
// be lost, or have gone to the holder before.
const demandRounds = 2

// demandWait is how long a new holder waits for the demand for models. In a small fleet it has heard all along; in a
// large one only the holder is told of it, and a plan without demand would take away the replicas that are needed most.
func (n *Node) demandWait() time.Duration {
	if n.TellsAll() {
		return 0
	}
	return demandRounds * n.demandPause()
}

// AwaitsDemand reports whether this daemon has taken the lease and places no models yet because it waits for the
// demand.
func (n *Node) AwaitsDemand() bool { return n.held && !n.demandDueAt.IsZero() }

// hearsDemand reports whether a new holder has heard the demand. It then counts in full: what was seen so far is not a
// trend.
func (n *Node) hearsDemand(now time.Time) bool {
	if n.demandDueAt.IsZero() {
		return true
	}
	if now.Before(n.demandDueAt) {
		return false
	}
	n.demandDueAt = time.Time{}
	n.demand.adopt()
	return true
}
