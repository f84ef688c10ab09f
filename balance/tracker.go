// Package balance chooses an instance for each request. A Tracker holds the state of the instances as
// this daemon observes it: requests in progress here and at other daemons, outcomes, and which ones
// to avoid. A Picker filters and scores candidates. Each filter and each scorer is a type of its own.
package balance

import (
	"sync"
	"time"
)

// instanceState is what this daemon has observed of one instance.
type instanceState struct {
	own             Load
	errorShare      float64
	samples         int
	ejections       int
	ejectedUntil    time.Time
	backoffUntil    time.Time
	unreachedInARow int
	declinedInARow  int
	// brokenBackoff follows connections of this daemon that ended without an answer. quorumBackoff
	// follows such connections of several daemons.
	brokenBackoff backoff
	quorumBackoff backoff
	// lastActivityAt is the time of the last data from the instance, or of its first request after
	// it had none.
	lastActivityAt time.Time
}

// stallTimeout is how long an instance with requests may send nothing before new requests avoid it.
// Its machine may have failed without an error on the connections.
const stallTimeout = 700 * time.Millisecond

// Tracker tracks the load and the failures of instances, from the requests of this daemon and the
// updates of others. It is safe for concurrent use.
type Tracker struct {
	mutex     sync.Mutex
	instances map[string]*instanceState
	peers     map[string]peerLoad
	// others is the sum of the peers' loads by instance. A choice considers many instances, so
	// adding up all peers for each of them would cost too much.
	others  map[string]Load
	missing map[missingKey]time.Time
	// grants are the choices made here for other daemons whose load updates may not include them
	// yet.
	grants []grant
	// peersExpiredAt is the time of the last search for outdated loads of peers.
	peersExpiredAt time.Time
	forecaster     *Forecaster
	// paces is nil if all instances count as typical.
	paces SlownessSource
	// changed signals changes of this daemon's own load.
	changed chan struct{}
}

// missingKey identifies a model or adapter that an instance turned out not to have.
type missingKey struct{ instance, model, adapter string }

// NewTracker returns a Tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{
		instances: map[string]*instanceState{}, peers: map[string]peerLoad{}, others: map[string]Load{}, missing: map[missingKey]time.Time{},
		forecaster: NewForecaster(), changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives a value after changes of this daemon's own load.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// notifyChanged sends to the channel of Changed unless a value is already waiting there.
func (t *Tracker) notifyChanged() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// state returns the state of an instance, and creates it if there is none.
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

// ObserveActivity records that an instance sent data.
func (t *Tracker) ObserveActivity(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.state(id)
	state.lastActivityAt = time.Now()
	state.declinedInARow = 0
}

// ObservePromptRead records that the instance has read the prompt of a request.
func (t *Tracker) ObservePromptRead(id string, promptTokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state(id).own.PromptTokens -= promptTokens
	t.notifyChanged()
}

// ObserveFirstToken records how long the first token of a request took, see Forecaster.ObserveFirstToken.
func (t *Tracker) ObserveFirstToken(candidate *Candidate, promptTokens int, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forecaster.ObserveFirstToken(candidate, promptTokens, took)
}

// ObserveRun records how long a complete answer ran from its first token on.
func (t *Tracker) ObserveRun(candidate *Candidate, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forecaster.ObserveRun(candidate, took)
}

// ObserveGeneration records the token time of a complete answer, see Forecaster.ObserveGeneration.
func (t *Tracker) ObserveGeneration(candidate *Candidate, outputTokens int, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forecaster.ObserveGeneration(candidate, outputTokens, took)
}

// PredictFirstToken predicts how long the first token of a request takes, see Forecaster.PredictFirstToken.
func (t *Tracker) PredictFirstToken(candidate *Candidate, promptTokens int) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.forecaster.PredictFirstToken(candidate, promptTokens)
}

// OwnLoads returns the load from this daemon, and which instances it avoids, by instance.
func (t *Tracker) OwnLoads(now time.Time) map[string]Load {
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

// Requests returns the number of requests of an instance, from this daemon and its peers.
func (t *Tracker) Requests(id string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests := t.others[id].Requests
	if state := t.instances[id]; state != nil {
		requests += state.own.Requests
	}
	return requests
}

// OwnRequests returns the number of requests of an instance from this daemon.
func (t *Tracker) OwnRequests(id string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state := t.instances[id]; state != nil {
		return state.own.Requests
	}
	return 0
}

// ObserveMissing records that an instance does not have a model or adapter although it is listed with it.
// The record expires after span.
func (t *Tracker) ObserveMissing(now time.Time, instance, model, adapter string, span time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.missing[missingKey{instance, model, adapter}] = now.Add(span)
}

// Prune removes the state of instances that are not present and have no requests, and expired
// records.
func (t *Tracker) Prune(now time.Time, present func(id string) bool) {
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
	t.forecaster.Prune(present)
	t.expirePeers(now)
}

// status is the state of one instance as the picker needs it.
type status struct {
	load      Load
	available bool
	// missing means that the instance lacks the model or adapter of the request.
	missing bool
	// slowness is set by fillSlowness, and only if the tracker has paces.
	slowness float64
}

// statuses appends the status of each instance to a slice and returns it.
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
