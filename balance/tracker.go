// Package balance chooses the instance that takes a request. A Tracker holds
// what this daemon observes of the instances: requests in progress here and at
// other daemons, outcomes, and doubts. A Picker filters and scores candidates;
// each filter and scorer is a small type of its own.
package balance

import (
	"sync"
	"time"
)

// Outcome is how an attempt at an instance ended, as far as the instance is to
// blame.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served means that the instance gave a proper answer.
	Served Outcome = iota
	// Failed means that the instance failed the request or broke off.
	Failed
	// Declined means that the instance said that it did not run the request.
	Declined
	// Unreached means that no connection could be made.
	Unreached
	// Abandoned means that this side gave up; the instance is not to blame.
	Abandoned
)

const (
	// errorWeight is the weight of the newest outcome in the error share.
	errorWeight = 0.2
	// peerExpiry is how long the numbers of another daemon count.
	peerExpiry = 3 * time.Second
	// peerExpiryPause is the least time between two looks for such daemons.
	peerExpiryPause = 100 * time.Millisecond
	// declinedPause keeps requests for a while from an instance that declined, and
	// twice as long each further time without an answer in between, up to
	// longestDeclinedPause: one that declines whatever it gets looks idle.
	declinedPause        = 100 * time.Millisecond
	longestDeclinedPause = 3200 * time.Millisecond
	// doubtQuorum is how many other daemons have to doubt an instance before this one
	// does so too. A single one may have trouble with its own links.
	doubtQuorum = 2
	// unreachedPause does the same after a failed connection.
	unreachedPause = 500 * time.Millisecond
	// ejectionBase and ejectionLimit bound how long an instance is ejected.
	ejectionBase  = time.Second
	ejectionLimit = 8 * time.Second
	// ejectErrorShare is the least error share for an ejection, and
	// ejectRatio how many times the share of all siblings it has to be.
	ejectErrorShare = 0.3
	ejectRatio      = 2
	// ejectSamples is the least number of outcomes before an ejection.
	ejectSamples = 4
)

// Load is what one instance has to do.
type Load struct {
	// Many of these go in each message between daemons, so their fields go without
	// names.
	//lint:ignore U1000 the encoder looks at it
	_msgpack struct{} `msgpack:",as_array"`
	// Requests counts requests in progress.
	Requests int
	// PromptTokens is the prompts of those that have not begun to answer.
	PromptTokens int
	// Doubts counts the daemons that keep requests away from the instance, because it
	// failed or declined some.
	Doubts int
}

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.PromptTokens += other.PromptTokens
	l.Doubts += other.Doubts
}

func (l *Load) subtract(other Load) {
	l.Requests -= other.Requests
	l.PromptTokens -= other.PromptTokens
	l.Doubts -= other.Doubts
}

// instanceState is what is observed of one instance.
type instanceState struct {
	own        Load
	errorShare float64
	samples    int
	ejections  int
	ejectedTo  time.Time
	pausedTo   time.Time
	unreached  int
	declined   int
	// heardAt is when the instance last sent something, or was given its first
	// request after a rest.
	heardAt time.Time
}

// stallAfter is how long an instance that works on requests may send nothing at
// all before new requests avoid it: its machine may be dark, which no error tells.
const stallAfter = 700 * time.Millisecond

// doubted reports whether requests are kept away from the instance.
func (s *instanceState) doubted(now time.Time) bool {
	return now.Before(s.ejectedTo) || now.Before(s.pausedTo)
}

func (s *instanceState) stalled(now time.Time) bool {
	return s.own.Requests > 0 && now.Sub(s.heardAt) > stallAfter
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mutex     sync.Mutex
	instances map[string]*instanceState
	peers     map[string]peerLoad
	// others is the sum of the peers' loads by instance: a choice looks at many
	// instances, and must not look at every peer for each of them.
	others  map[string]Load
	missing map[missingKey]time.Time
	// granted are the choices made here for other daemons that their loads may not show
	// yet.
	granted []grant
	// expiredAt is when peers were last looked through for old loads.
	expiredAt time.Time
	// changed tells that the own load has changed.
	changed chan struct{}
}

type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// missingKey names something that an instance turned out not to have.
type missingKey struct{ instance, model, adapter string }

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		instances: map[string]*instanceState{}, peers: map[string]peerLoad{}, others: map[string]Load{}, missing: map[missingKey]time.Time{},
		changed: make(chan struct{}, 1),
	}
}

// Changed gives a signal after changes of the own load.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

func (t *Tracker) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (t *Tracker) state(id string) *instanceState {
	state := t.instances[id]
	if state == nil {
		state = &instanceState{}
		t.instances[id] = state
	}
	return state
}

// Begin counts a request that is sent to an instance.
func (t *Tracker) Begin(id string, promptTokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.state(id)
	if state.own.Requests == 0 {
		state.heardAt = time.Now()
	}
	state.own.add(Load{Requests: 1, PromptTokens: promptTokens})
	t.signal()
}

// Heard notes that an instance sent something.
func (t *Tracker) Heard(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.state(id)
	state.heardAt = time.Now()
	state.declined = 0
}

// Started notes that the instance has read the prompt of a request.
func (t *Tracker) Started(id string, promptTokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state(id).own.PromptTokens -= promptTokens
	t.signal()
}

// End counts the end of a request, and what it says about the instance.
// Siblings are the instances of the same service.
func (t *Tracker) End(now time.Time, id string, outcome Outcome, siblings []string) (ejected bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.signal()
	state := t.state(id)
	state.own.Requests--
	switch outcome {
	case Served:
		state.unreached, state.declined = 0, 0
		state.heardAt = now
		state.observe(0)
	case Failed:
		state.observe(1)
		return t.eject(now, state, siblings)
	case Declined:
		state.pausedTo = now.Add(min(declinedPause<<min(state.declined, 8), longestDeclinedPause))
		state.declined++
	case Unreached:
		state.unreached++
		state.pausedTo = now.Add(time.Duration(min(state.unreached, 8)) * unreachedPause)
	case Abandoned:
	}
	return false
}

func (s *instanceState) observe(failure float64) {
	s.samples++
	s.errorShare += errorWeight * (failure - s.errorShare)
	if failure == 0 && s.errorShare < ejectErrorShare/2 {
		s.ejections = 0
	}
}

// eject takes an instance out for a while if it fails much more often than its
// siblings do. If all fail alike, none is taken out.
func (t *Tracker) eject(now time.Time, state *instanceState, siblings []string) bool {
	if state.samples < ejectSamples || state.errorShare < ejectErrorShare || now.Before(state.ejectedTo) {
		return false
	}
	total, count, out := 0.0, 0, 0
	for _, id := range siblings {
		sibling := t.state(id)
		if now.Before(sibling.ejectedTo) {
			out++
		}
		if sibling != state {
			total += sibling.errorShare
			count++
		}
	}
	if count == 0 || state.errorShare < ejectRatio*total/float64(count) || 2*(out+1) > count+1 {
		return false
	}
	state.ejections++
	state.ejectedTo = now.Add(min(ejectionBase<<min(state.ejections-1, 8), ejectionLimit))
	// After its return, one more failure is enough to eject it again.
	return true
}

// SetPeer takes in the load that another daemon puts on instances.
func (t *Tracker) SetPeer(now time.Time, peer string, loads map[string]Load) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropPeer(peer)
	for id, load := range loads {
		sum := t.others[id]
		sum.add(load)
		t.others[id] = sum
	}
	t.peers[peer] = peerLoad{at: now, loads: loads}
}

// dropPeer forgets the load of another daemon.
func (t *Tracker) dropPeer(peer string) {
	for id, load := range t.peers[peer].loads {
		sum := t.others[id]
		sum.subtract(load)
		if sum == (Load{}) {
			delete(t.others, id)
		} else {
			t.others[id] = sum
		}
	}
	delete(t.peers, peer)
}

// expirePeers forgets the load of daemons that were not heard of lately.
func (t *Tracker) expirePeers(now time.Time) {
	if now.Sub(t.expiredAt) < peerExpiryPause {
		return
	}
	t.expiredAt = now
	for peer, load := range t.peers {
		if now.Sub(load.at) > peerExpiry {
			t.dropPeer(peer)
		}
	}
}

// Own returns the load and the doubts from here, by instance.
func (t *Tracker) Own(now time.Time) map[string]Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := map[string]Load{}
	for id, state := range t.instances {
		load := state.own
		if state.doubted(now) {
			load.Doubts = 1
		}
		if load.Requests > 0 || load.Doubts > 0 {
			loads[id] = load
		}
	}
	return loads
}

// Missing notes that an instance does not have a model or adapter after all.
func (t *Tracker) Missing(now time.Time, instance, model, adapter string, span time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.missing[missingKey{instance, model, adapter}] = now.Add(span)
}

// grantSpan is how long a choice made for another daemon counts here. By then the other
// one has sent the request and told its load.
const grantSpan = 30 * time.Millisecond

type grant struct {
	instance string
	load     Load
	until    time.Time
}

// Grant counts a request that another daemon is about to send to an instance.
func (t *Tracker) Grant(now time.Time, instance string, promptTokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.granted = append(t.granted, grant{instance: instance, load: Load{Requests: 1, PromptTokens: promptTokens}, until: now.Add(grantSpan)})
}

// expireGrants drops old grants. They stand in the order in which they end.
func (t *Tracker) expireGrants(now time.Time) {
	ended := 0
	for ended < len(t.granted) && !now.Before(t.granted[ended].until) {
		ended++
	}
	t.granted = t.granted[ended:]
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

// Forget drops the state of instances that are gone.
func (t *Tracker) Forget(now time.Time, present func(id string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, state := range t.instances {
		if state.own.Requests == 0 && !present(id) {
			delete(t.instances, id)
		}
	}
	for key, until := range t.missing {
		if now.After(until) {
			delete(t.missing, key)
		}
	}
	t.expirePeers(now)
}

// status is what the picker needs of one instance.
type status struct {
	load      Load
	available bool
	// missing says that the instance lacks what the request needs.
	missing bool
}

// statuses looks at several instances at once.
func (t *Tracker) statuses(now time.Time, ids []string, model, adapter string, into []status) []status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expirePeers(now)
	t.expireGrants(now)
	for _, id := range ids {
		state := t.state(id)
		available := !state.doubted(now) && !state.stalled(now) && t.others[id].Doubts < doubtQuorum
		missing := now.Before(t.missing[missingKey{id, model, adapter}])
		load := state.own
		load.add(t.others[id])
		for i := range t.granted {
			if t.granted[i].instance == id {
				load.add(t.granted[i].load)
			}
		}
		into = append(into, status{load: load, available: available, missing: missing})
	}
	return into
}
