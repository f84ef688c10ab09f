package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// relayRest is how long a daemon that could not help is not asked again, and twice as long each further time in a
	// row, up to longestRelayRest.
	relayRest        = 500 * time.Millisecond
	longestRelayRest = 4 * time.Second
	// cutZoneRelays is how many daemons of a zone that are cut off themselves make the others of it come last.
	cutZoneRelays = 2
)

// Relay is another daemon that may carry connections.
type Relay struct {
	Name    string
	Zone    string
	Address string
}

// Relays chooses daemons that carry connections for this one. It is safe for concurrent use.
type Relays struct {
	zone  string
	mutex sync.Mutex
	all   []Relay
	rests map[string]*rest
}

// rest is a time in which a daemon is not asked.
type rest struct {
	until time.Time
	inRow int
	// cut says that the daemon said that it is cut off itself.
	cut bool
}

// NewRelays returns relays for a daemon in a zone. Those of its zone are nearer.
func NewRelays(zone string) *Relays {
	return &Relays{zone: zone, rests: map[string]*rest{}}
}

// Set takes in which daemons there are.
func (r *Relays) Set(all []Relay) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = all
	for name := range r.rests {
		if !slices.ContainsFunc(all, func(relay Relay) bool { return relay.Name == name }) {
			delete(r.rests, name)
		}
	}
}

// Choose returns daemons in the order in which they should be asked, at most as many as asked for. Those that rest
// come last: one of them may help by now, where no other is left.
func (r *Relays) Choose(now time.Time, most int) []Relay {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cut := map[string]int{}
	for _, relay := range r.all {
		if known := r.rests[relay.Name]; known != nil && known.cut && now.Before(known.until) {
			cut[relay.Zone]++
		}
	}
	// Equal ones are asked in an order drawn by chance, so that the work is spread.
	chosen := slices.Clone(r.all)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	slices.SortStableFunc(chosen, func(a, b Relay) int { return r.distance(now, a, cut) - r.distance(now, b, cut) })
	return chosen[:min(most, len(chosen))]
}

// distance is smaller for daemons that are asked earlier.
func (r *Relays) distance(now time.Time, relay Relay, cut map[string]int) int {
	distance := 0
	if relay.Zone != r.zone {
		distance++
	}
	if cut[relay.Zone] >= cutZoneRelays {
		distance += 2
	}
	if known := r.rests[relay.Name]; known != nil && now.Before(known.until) {
		distance += 4
	}
	return distance
}

// Helped takes in that a daemon carries a connection.
func (r *Relays) Helped(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.rests, name)
}

// Failed takes in that a daemon could not help; cut says that it is cut off itself.
func (r *Relays) Failed(now time.Time, name string, cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.rests[name]
	if known == nil {
		known = &rest{}
		r.rests[name] = known
	}
	if now.Before(known.until) {
		return
	}
	known.until = now.Add(min(relayRest<<min(known.inRow, 8), longestRelayRest))
	known.inRow++
	known.cut = cut
}
