package balance

import "time"

const (
	// peerTTL is how long the loads received from another daemon count.
	peerTTL = 3 * time.Second
	// peerExpiryInterval is the minimum time between two searches for outdated loads.
	peerExpiryInterval = 100 * time.Millisecond
	// avoidQuorum is the number of other daemons that have to avoid an instance before this one
	// does so too. A single daemon may have a problem with its own links.
	avoidQuorum = 2
)

// peerLoad is the load received from another daemon, by instance, and the time of the last update.
type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// SetPeer replaces the load that another daemon puts on instances.
func (t *Tracker) SetPeer(now time.Time, peer string, loads map[string]Load) {
	t.MergePeer(now, peer, loads, false)
}

// MergePeer applies a load update of another daemon: all of its loads, or only the changed ones, as
// LoadDeltas returns them.
func (t *Tracker) MergePeer(now time.Time, peer string, update map[string]Load, changes bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	broken := newlyBroken(t.peers[peer].loads, update)
	if !changes {
		t.dropPeer(peer)
	}
	current := t.peers[peer].loads
	if current == nil {
		current = make(map[string]Load, len(update))
	}
	for id, load := range update {
		t.replaceInSum(id, current[id], load)
		if load == (Load{}) {
			delete(current, id)
		} else {
			current[id] = load
		}
	}
	t.peers[peer] = peerLoad{at: now, loads: current}
	for _, id := range broken {
		t.quorumBackoff(now, id)
	}
}

// newlyBroken returns the instances whose Broken count rises with an update. A repeated report is
// not a new failure.
func newlyBroken(before, update map[string]Load) []string {
	var broken []string
	for id, load := range update {
		if load.Broken > before[id].Broken {
			broken = append(broken, id)
		}
	}
	return broken
}

// replaceInSum replaces the load of one daemon on an instance in the sum over all other daemons.
func (t *Tracker) replaceInSum(id string, before, after Load) {
	sum := t.others[id]
	sum.subtract(before)
	sum.add(after)
	if sum == (Load{}) {
		delete(t.others, id)
	} else {
		t.others[id] = sum
	}
}

// quorumBackoff starts a backoff for an instance from which several daemons get no answers. Each of
// them sends it few requests, and would detect the failure only slowly by itself.
func (t *Tracker) quorumBackoff(now time.Time, id string) {
	state := t.state(id)
	count := t.others[id].Broken
	if state.brokenBackoff.active(now) {
		count++
	}
	if count >= avoidQuorum {
		state.quorumBackoff.extend(now, baseQuorumBackoff, maxQuorumBackoff)
	}
}

// dropPeer removes the load of another daemon.
func (t *Tracker) dropPeer(peer string) {
	for id, load := range t.peers[peer].loads {
		t.replaceInSum(id, load, Load{})
	}
	delete(t.peers, peer)
}

// expirePeers removes the loads of daemons without an update for peerTTL.
func (t *Tracker) expirePeers(now time.Time) {
	if now.Sub(t.peersExpiredAt) < peerExpiryInterval {
		return
	}
	t.peersExpiredAt = now
	for peer, load := range t.peers {
		if now.Sub(load.at) > peerTTL {
			t.dropPeer(peer)
		}
	}
}

// grantTTL is how long a choice made for another daemon counts here. After that time the load
// updates of that daemon include the request.
const grantTTL = 30 * time.Millisecond

// grant is the load of a request that this daemon has assigned to an instance for another daemon.
type grant struct {
	instance string
	load     Load
	until    time.Time
}

// Grant counts a request that another daemon is about to send to an instance.
func (t *Tracker) Grant(now time.Time, instance string, promptTokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.grants = append(t.grants, grant{instance: instance, load: Load{Requests: 1, PromptTokens: promptTokens}, until: now.Add(grantTTL)})
}

// expireGrants removes expired grants. They are sorted by expiry.
func (t *Tracker) expireGrants(now time.Time) {
	ended := 0
	for ended < len(t.grants) && !now.Before(t.grants[ended].until) {
		ended++
	}
	t.grants = t.grants[ended:]
}

// Group returns the sum of the loads of this daemon and of some others, by instance.
func (t *Tracker) Group(now time.Time, peers []string) map[string]Load {
	total := t.OwnLoads(now)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, peer := range peers {
		for id, load := range t.peers[peer].loads {
			sum := total[id]
			sum.add(load)
			total[id] = sum
		}
	}
	return total
}

// DropPeers removes the loads of all other daemons.
func (t *Tracker) DropPeers() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.peers)
	clear(t.others)
}
