package coordination

import "time"

// waitingDemandInterval is the minimum interval between two demand reports to the lease holder
// while requests wait.
const waitingDemandInterval = 20 * time.Millisecond

// reportDemand reports the demand for models to the lease holder, which places models. In a large
// fleet each dispatcher reports the sum over its group. The number of reports to the holder thus
// grows with the groups and not with the daemons.
func (n *Node) reportDemand(now time.Time) {
	group, state := n.Group(), &n.loadUpdates
	member := group.Dispatcher != "" && !group.Dispatching
	if n.SendsLoadToAll() || n.held || member {
		return
	}
	since := now.Sub(state.modelsSentAt)
	due := since >= n.demandInterval() || state.modelsReceiver != n.holderName || state.groupWaiter && since >= waitingDemandInterval
	if _, known := n.detector.Lookup(n.holderName); !known || !due {
		return
	}
	state.modelsSentAt, state.modelsReceiver, state.groupWaiter = now, n.holderName, false
	load := n.ownLoad(now, nil)
	load.Changes = true
	load.Models = n.sumGroupDemand(now, group)
	n.sendAll([]string{n.holderName}, Message{From: n.self, Load: &load})
}

// sumGroupDemand returns the demand of this daemon and the members of its group.
func (n *Node) sumGroupDemand(now time.Time, group *Group) []ModelLoad {
	sums := map[modelKey]ModelLoad{}
	for _, load := range n.demand.own {
		addLoad(sums, load)
	}
	for _, name := range group.Members {
		if peer, found := n.peers[name]; found {
			peer.addDemand(now, sums)
		}
	}
	loads := make([]ModelLoad, 0, len(sums))
	for key, sum := range sums {
		sum.Service, sum.Model = key.service, key.model
		loads = append(loads, sum)
	}
	return loads
}

// demandInterval is the minimum interval between two demand reports of one dispatcher to the lease
// holder.
func (n *Node) demandInterval() time.Duration {
	return max(n.settings.LoadUpdateInterval, time.Duration(n.Group().Count)*n.settings.DemandIntervalPerDispatcher)
}

// demandCollectionIntervals is the number of report intervals for which a new lease holder collects
// demand. One report of a dispatcher may be lost, or may have gone to the former holder.
const demandCollectionIntervals = 2

// demandCollectionDelay is how long a new lease holder collects demand before it plans. In a small
// fleet every daemon has received it all along. In a large one only the holder receives it, and a
// plan without demand would remove the replicas that are needed most.
func (n *Node) demandCollectionDelay() time.Duration {
	if n.SendsLoadToAll() {
		return 0
	}
	return demandCollectionIntervals * n.demandInterval()
}

// CollectsDemand reports whether this daemon has taken the lease but places no models yet, because it
// still collects demand.
func (n *Node) CollectsDemand() bool { return n.held && !n.demandWaitUntil.IsZero() }

// demandCollected reports whether a new lease holder has collected the demand. The collected demand
// then counts in full, since the values before it are not a trend.
func (n *Node) demandCollected(now time.Time) bool {
	if n.demandWaitUntil.IsZero() {
		return true
	}
	if now.Before(n.demandWaitUntil) {
		return false
	}
	n.demandWaitUntil = time.Time{}
	n.demand.skipSmoothing()
	return true
}
