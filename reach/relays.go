package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minRelayBackoff is how long a daemon that could not connect is avoided after the first failure. Each further
	// failure in a row doubles it, up to maxRelayBackoff.
	minRelayBackoff = 500 * time.Millisecond
	maxRelayBackoff = 4 * time.Second
	// minCutRelays is the number of daemons of a zone, cut off themselves, from which the zone's other daemons are
	// ranked last.
	minCutRelays = 2
)

// Relay is another daemon that may carry connections for this one.
type Relay struct {
	Name    string
	Zone    string
	Address string
}

// Relays chooses daemons that carry connections for this one. It is safe for concurrent use.
type Relays struct {
	zone     string
	mutex    sync.Mutex
	all      []Relay
	backoffs map[string]*relayBackoff
}

// relayBackoff is a period in which a daemon is avoided as a relay.
type relayBackoff struct {
	until       time.Time
	consecutive int
	// cut means that the daemon reported that it is cut off itself.
	cut bool
}

// NewRelays returns the Relays of a daemon in a zone. Daemons of the same zone are preferred.
func NewRelays(zone string) *Relays {
	return &Relays{zone: zone, backoffs: map[string]*relayBackoff{}}
}

// Set replaces the list of daemons.
func (r *Relays) Set(all []Relay) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = all
	for name := range r.backoffs {
		if !slices.ContainsFunc(all, func(relay Relay) bool { return relay.Name == name }) {
			delete(r.backoffs, name)
		}
	}
}

// Choose returns at most maxCount daemons in the order in which to request a connection from them. Daemons in
// backoff come last but are not left out: one of them may work by now where no other daemon is left.
func (r *Relays) Choose(now time.Time, maxCount int) []Relay {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cut := map[string]int{}
	for _, relay := range r.all {
		if backoff := r.backoffs[relay.Name]; backoff != nil && backoff.cut && now.Before(backoff.until) {
			cut[relay.Zone]++
		}
	}
	// Daemons of equal rank are shuffled, so that the load is spread.
	chosen := slices.Clone(r.all)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	slices.SortStableFunc(chosen, func(a, b Relay) int { return r.distance(now, a, cut) - r.distance(now, b, cut) })
	return chosen[:min(maxCount, len(chosen))]
}

// distance ranks a daemon: smaller values are used first.
func (r *Relays) distance(now time.Time, relay Relay, cut map[string]int) int {
	distance := 0
	if relay.Zone != r.zone {
		distance++
	}
	if cut[relay.Zone] >= minCutRelays {
		distance += 2
	}
	if backoff := r.backoffs[relay.Name]; backoff != nil && now.Before(backoff.until) {
		distance += 4
	}
	return distance
}

// Succeeded records that a daemon carries a connection.
func (r *Relays) Succeeded(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.backoffs, name)
}

// Failed records that a daemon could not connect; cut means that it is cut off itself.
func (r *Relays) Failed(now time.Time, name string, cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	backoff := r.backoffs[name]
	if backoff == nil {
		backoff = &relayBackoff{}
		r.backoffs[name] = backoff
	}
	if now.Before(backoff.until) {
		return
	}
	backoff.until = now.Add(min(minRelayBackoff<<min(backoff.consecutive, 8), maxRelayBackoff))
	backoff.consecutive++
	backoff.cut = cut
}
