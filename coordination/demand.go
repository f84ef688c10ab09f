package coordination

import (
	"math"
	"time"

	"github.com/wheatweir/wheatweir/residency"
)

// peerExpiry is how long what another daemon told counts.
const peerExpiry = 3 * time.Second

type modelKey struct{ service, model string }

// demandState holds the demand of all daemons for each model.
type demandState struct {
	own      []ModelLoad
	smoothed map[modelKey]float64
	current  map[string]map[string]residency.Demand
	at       time.Time
	// adopting says that the next average is what is heard then.
	adopting bool
}

func newDemandState() demandState {
	return demandState{
		smoothed: map[modelKey]float64{}, current: map[string]map[string]residency.Demand{},
	}
}

// riseFactor is how much faster demand rises than it falls.
const riseFactor = 6

// tick works the demand out anew: an average that rises fast and falls slowly, so
// that one request alone does not count as much as a lasting one.
func (d *demandState) tick(now time.Time, halfLife time.Duration, peers map[string]peerState) {
	sums := map[modelKey]ModelLoad{}
	for _, load := range d.own {
		addLoad(sums, load)
	}
	for name, peer := range peers {
		if now.Sub(peer.at) > peerExpiry {
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
		if d.adopting {
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
	d.adopting = false
	d.publish(sums)
}

// adopt makes the next average what is heard then, instead of a step towards it.
func (d *demandState) adopt() { d.adopting = true }

func addLoad(sums map[modelKey]ModelLoad, load ModelLoad) {
	key := modelKey{load.Service, load.Model}
	sum := sums[key]
	sum.Requests += load.Requests
	sum.PerSecond += load.PerSecond
	sum.Refused += load.validRefused()
	sum.Waiting += load.Waiting
	sum.Adapters = addCounts(sum.Adapters, load.Adapters)
	sum.Software = addCounts(sum.Software, load.Software)
	sums[key] = sum
}

// addCounts adds counts to a sum, which is made when there are any.
func addCounts(sum, counts map[string]int) map[string]int {
	for key, count := range counts {
		if sum == nil {
			sum = map[string]int{}
		}
		sum[key] += count
	}
	return sum
}

// validRefused is the rate of refused requests, or zero if it is no possible part of the requests that begin: one
// daemon's bad number must not spoil the sum over all.
func (l *ModelLoad) validRefused() float32 {
	if l.Refused > 0 && l.Refused <= l.PerSecond {
		return l.Refused
	}
	return 0
}

func (d *demandState) publish(sums map[modelKey]ModelLoad) {
	d.current = map[string]map[string]residency.Demand{}
	for key, value := range d.smoothed {
		if d.current[key.service] == nil {
			d.current[key.service] = map[string]residency.Demand{}
		}
		d.current[key.service][key.model] = residency.Demand{
			Concurrent: value, PerSecond: float64(sums[key].PerSecond), RefusedPerSecond: float64(sums[key].Refused), Waiting: sums[key].Waiting,
			Adapters: sums[key].Adapters, Software: sums[key].Software,
		}
	}
}

// of returns the demand for the models of a service.
func (d *demandState) of(service string) map[string]residency.Demand { return d.current[service] }

// Demand returns the smoothed number of requests for a model, as far as it is known
// here.
func (n *Node) Demand(service, model string) float64 {
	return n.demand.of(service)[model].Concurrent
}
