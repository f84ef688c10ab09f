// Package balance chooses the instance that takes a request. A Tracker holds
// what this daemon observes of the instances: requests in progress here and at
// other daemons, outcomes, and which ones to avoid. A Picker filters and scores candidates;
// each filter and scorer is a small type of its own.
package balance

import (
	"sync"
	"time"
)

// instanceState is what is observed of one instance.
type instanceState struct {
	own        Load
	errorShare float64
	samples    int
	ejections  int
	ejectedUntil  time.Time
	backoffUntil   time.Time
	unreachedInARow  int
	declinedInARow   int
	// brokenBackoff is the pause after connections that ended without an answer here, distrust
	// the one after several daemons had such.
	brokenBackoff   backoff
	quorumBackoff backoff
	// lastActivityAt is when the instance last sent something, or was given its first
	// request after a rest.
	lastActivityAt time.Time
}

// stallTimeout is how long an instance that works on requests may send nothing at
// all before new requests avoid it: its machine may be dark, which no error tells.
const stallTimeout = 700 * time.Millisecond

// Tracker is safe for concurrent use.
type Tracker struct {
	mutex     sync.Mutex
	instances map[string]*instanceState
	peers     map[string]peerLoad
	// others is the sum of the peers' loads by instance: a choice looks at many
	// instances, and must not look at every peer for each of them.
	others  map[string]Load
	missing map[missingKey]time.Time
	// grants are the choices made here for other daemons that their loads may not show
	// yet.
	grants []grant
	// peersExpiredAt is when peers were last looked through for old loads.
	peersExpiredAt  time.Time
	forecaster *Forecaster
	// paces is nil if all instances are typical.
	paces Paces
	// changed tells that the own load has changed.
	changed chan struct{}
}

// missingKey names something that an instance turned out not to have.
type missingKey struct{ instance, model, adapter string }

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		instances: map[string]*instanceState{}, peers: map[string]peerLoad{}, others: map[string]Load{}, missing: map[missingKey]time.Time{},
		forecaster: NewForecaster(), changed: make(chan struct{}, 1),
	}
}

// Changed gives a signal after changes of the own load.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

func (t *Tracker) notifyChanged() {
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
		state.lastActivityAt = time.Now()
	}
	state.own.add(Load{Requests: 1, PromptTokens: promptTokens})
	t.notifyChanged()
}

// Heard notes that an instance sent something.
func (t *Tracker) Heard(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.state(id)
	state.lastActivityAt = time.Now()
	state.declinedInARow = 0
}

// Started notes that the instance has read the prompt of a request.
func (t *Tracker) Started(id string, promptTokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state(id).own.PromptTokens -= promptTokens
	t.notifyChanged()
}

// First learns how long the first token of a request took, see Forecaster.
func (t *Tracker) First(candidate *Candidate, promptTokens int, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forecaster.First(candidate, promptTokens, took)
}

// Run learns how long an answer ran from its first token on.
func (t *Tracker) Run(candidate *Candidate, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forecaster.Run(candidate, took)
}

// Generated learns what a token takes from a whole answer, see Forecaster.
func (t *Tracker) Generated(candidate *Candidate, outputTokens int, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forecaster.Generated(candidate, outputTokens, took)
}

// FirstToken predicts how long the first token of a request takes, see Forecaster.
func (t *Tracker) FirstToken(candidate *Candidate, promptTokens int) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.forecaster.FirstToken(candidate, promptTokens)
}

// Own returns the load from here and which instances are avoided here, by instance.
func (t *Tracker) Own(now time.Time) map[string]Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := map[string]Load{}
	for id, state := range t.instances {
		load := state.own
		if state.avoided(now) {
			load.Avoiding = 1
		}
		if state.brokenBackoff.active(now) {
			load.Broken = 1
		}
		if load.Requests > 0 || load.Avoiding > 0 {
			loads[id] = load
		}
	}
	return loads
}

// Requests returns how many requests an instance has, as far as it is known here.
func (t *Tracker) Requests(id string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests := t.others[id].Requests
	if state := t.instances[id]; state != nil {
		requests += state.own.Requests
	}
	return requests
}

// OwnRequests returns how many requests from here an instance has.
func (t *Tracker) OwnRequests(id string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state := t.instances[id]; state != nil {
		return state.own.Requests
	}
	return 0
}

// Missing notes that an instance does not have a model or adapter after all.
func (t *Tracker) Missing(now time.Time, instance, model, adapter string, span time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.missing[missingKey{instance, model, adapter}] = now.Add(span)
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
	t.forecaster.Forget(present)
	t.expirePeers(now)
}

// status is what the picker needs of one instance.
type status struct {
	load      Load
	available bool
	// missing says that the instance lacks what the request needs.
	missing bool
	// slowness is set for choices only if the tracker has paces, see slownesses.
	slowness float64
}

// statuses looks at several instances at once.
func (t *Tracker) statuses(now time.Time, ids []string, model, adapter string, into []status) []status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expirePeers(now)
	t.expireGrants(now)
	for _, id := range ids {
		state := t.state(id)
		available := !state.avoided(now) && !state.stalled(now) && !state.quorumBackoff.active(now) && t.others[id].Avoiding < avoidQuorum
		missing := now.Before(t.missing[missingKey{id, model, adapter}])
		load := state.own
		load.add(t.others[id])
		for i := range t.grants {
			if t.grants[i].instance == id {
				load.add(t.grants[i].load)
			}
		}
		into = append(into, status{load: load, available: available, missing: missing})
	}
	return into
}
