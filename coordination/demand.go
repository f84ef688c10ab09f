package coordination

import (
	"math"
	"time"

	"github.com/wheatweir/wheatweir/residency"
)

// peerTTL is how long a load update of another daemon remains valid.
const peerTTL = 3 * time.Second

type modelKey struct{ service, model string }

// demandTracker holds the demand of all daemons for each model.
type demandTracker struct {
	own      []ModelLoad
	smoothed map[modelKey]float64
	current  map[string]map[string]residency.Demand
	at       time.Time
	// smoothingSkipped makes the next average the demand received until then.
	smoothingSkipped bool
}

func newDemandTracker() demandTracker {
	return demandTracker{
		smoothed: map[modelKey]float64{}, current: map[string]map[string]residency.Demand{},
	}
}

// riseFactor is how much faster the average rises than it falls.
const riseFactor = 6

// tick recomputes the demand as an average that rises fast and falls slowly, so that a single
// request does not count as much as a lasting one.
func (d *demandTracker) tick(now time.Time, halfLife time.Duration, peers map[string]peerState) {
	sums := map[modelKey]ModelLoad{}
	for _, load := range d.own {
		addLoad(sums, load)
	}
	for name, peer := range peers {
		if now.Sub(peer.at) > peerTTL {
			delete(peers, name)
			continue
		}
		peer.addDemand(now, sums)
	}
	elapsed := 0.0
	if !d.at.IsZero() {
		elapsed = now.Sub(d.at).Seconds() / halfLife.Seconds()
	}
	d.at = now
	for key := range sums {
		d.smoothed[key] += 0
	}
	for key, value := range d.smoothed {
		target := float64(sums[key].Requests)
		steps := elapsed
		if d.smoothingSkipped {
			steps = math.Inf(1)
		}
		if target > value {
			steps *= riseFactor
		}
		value = target + (value-target)*math.Exp2(-steps)
		if value < 0.01 && target == 0 {
			delete(d.smoothed, key)
			continue
		}
		d.smoothed[key] = value
	}
	d.smoothingSkipped = false
	d.publish(sums)
}

// skipSmoothing makes the next average the demand received until then, instead of a step towards
// it.
func (d *demandTracker) skipSmoothing() { d.smoothingSkipped = true }

func addLoad(sums map[modelKey]ModelLoad, load ModelLoad) {
	key := modelKey{load.Service, load.Model}
	sum := sums[key]
	sum.Requests += load.Requests
	sum.PerSecond += load.PerSecond
	sum.Refused += load.validRefused()
	sum.Waiting += load.Waiting
	sum.Adapters = addCounts(sum.Adapters, load.Adapters)
	sum.Software = addCounts(sum.Software, load.Software)
	sum.SoftwareAdapters = addNestedCounts(sum.SoftwareAdapters, load.SoftwareAdapters)
	sums[key] = sum
}

// addCounts adds counts to sum, which is created if there are any.
func addCounts(sum, counts map[string]int) map[string]int {
	for key, count := range counts {
		if sum == nil {
			sum = map[string]int{}
		}
		sum[key] += count
	}
	return sum
}

// addNestedCounts adds counts of two levels to sum, which is created if there are any. It keeps no map of counts.
func addNestedCounts(sum, counts map[string]map[string]int) map[string]map[string]int {
	for key, inner := range counts {
		if sum == nil {
			sum = map[string]map[string]int{}
		}
		sum[key] = addCounts(sum[key], inner)
	}
	return sum
}

// validRefused returns the rate of refused requests. It returns zero if the rate is invalid or
// exceeds the rate of requests that begin. One daemon's invalid number thus does not spoil the sum
// over all.
func (l *ModelLoad) validRefused() float32 {
	if l.Refused > 0 && l.Refused <= l.PerSecond {
		return l.Refused
	}
	return 0
}

func (d *demandTracker) publish(sums map[modelKey]ModelLoad) {
	d.current = map[string]map[string]residency.Demand{}
	for key, value := range d.smoothed {
		if d.current[key.service] == nil {
			d.current[key.service] = map[string]residency.Demand{}
		}
		d.current[key.service][key.model] = residency.Demand{
			Concurrent: value, PerSecond: float64(sums[key].PerSecond), RefusedPerSecond: float64(sums[key].Refused), Waiting: sums[key].Waiting,
			Adapters: sums[key].Adapters, Software: sums[key].Software, SoftwareAdapters: sums[key].SoftwareAdapters,
		}
	}
}

// of returns the demand for the models of a service.
func (d *demandTracker) of(service string) map[string]residency.Demand { return d.current[service] }

// Demand returns the smoothed number of requests for a model, as far as this daemon has received it.
func (n *Node) Demand(service, model string) float64 {
	return n.demand.of(service)[model].Concurrent
}
