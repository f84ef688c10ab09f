package balance

import "time"

const (
	// peerTTL is how long the numbers of another daemon count.
	peerTTL = 3 * time.Second
	// peerExpiryInterval is the least time between two looks for such daemons.
	peerExpiryInterval = 100 * time.Millisecond
	// avoidQuorum is how many other daemons have to avoid an instance before this one
	// does so too. A single one may have trouble with its own links.
	avoidQuorum = 2
)

type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// SetPeer takes in the load that another daemon puts on instances.
func (t *Tracker) SetPeer(now time.Time, peer string, loads map[string]Load) {
	t.TakePeer(now, peer, loads, false)
}

// TakePeer takes in what another daemon told of its load: all of it, or only what has
// changed, see LoadDeltas.
func (t *Tracker) TakePeer(now time.Time, peer string, told map[string]Load, changes bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	fresh := newlyBroken(t.peers[peer].loads, told)
	if !changes {
		t.dropPeer(peer)
	}
	known := t.peers[peer].loads
	if known == nil {
		known = make(map[string]Load, len(told))
	}
	for id, load := range told {
		t.replaceInSum(id, known[id], load)
		if load == (Load{}) {
			delete(known, id)
		} else {
			known[id] = load
		}
	}
	t.peers[peer] = peerLoad{at: now, loads: known}
	for _, id := range fresh {
		t.applyQuorumBackoff(now, id)
	}
}

// newlyBroken lists the instances with trouble that a daemon had not told before. What it
// tells again is no news.
func newlyBroken(before, told map[string]Load) []string {
	var fresh []string
	for id, load := range told {
		if load.Broken > before[id].Broken {
			fresh = append(fresh, id)
		}
	}
	return fresh
}

// replaceInSum replaces what one daemon counts for in the sum over all others.
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

// applyQuorumBackoff leaves an instance alone for a while if several daemons get no answers from
// it. Each of them sends it few requests, and would find out by itself only slowly.
func (t *Tracker) applyQuorumBackoff(now time.Time, id string) {
	state := t.state(id)
	count := t.others[id].Broken
	if state.brokenBackoff.active(now) {
		count++
	}
	if count >= avoidQuorum {
		state.quorumBackoff.extend(now, baseQuorumBackoff, maxQuorumBackoff)
	}
}

// dropPeer forgets the load of another daemon.
func (t *Tracker) dropPeer(peer string) {
	for id, load := range t.peers[peer].loads {
		t.replaceInSum(id, load, Load{})
	}
	delete(t.peers, peer)
}

// expirePeers forgets the load of daemons that were not heard of lately.
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

// grantTTL is how long a choice made for another daemon counts here. By then the other
// one has sent the request and told its load.
const grantTTL = 30 * time.Millisecond

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

// expireGrants drops old grants. They stand in the order in which they end.
func (t *Tracker) expireGrants(now time.Time) {
	ended := 0
	for ended < len(t.grants) && !now.Before(t.grants[ended].until) {
		ended++
	}
	t.grants = t.grants[ended:]
}

// Group returns the load of this daemon and of some others together, by instance.
func (t *Tracker) Group(now time.Time, peers []string) map[string]Load {
	total := t.Own(now)
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

// DropPeers forgets what all other daemons told.
func (t *Tracker) DropPeers() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.peers)
	clear(t.others)
}
