package residency

import "math"

const (
	// refusedRetryShare is the share of the refused requests that are retries. Clients retry once
	// after a refusal, so about half of the refused requests were refused before.
	refusedRetryShare = 0.5
	// maxUnmetFactor bounds the demand including refused requests, as a multiple of the requests in
	// progress.
	maxUnmetFactor = 4
)

// refusedRate returns the rate of refused requests, or zero if it is not a valid part of the rate
// of all requests.
func (d *Demand) refusedRate() float64 {
	if math.IsInf(d.PerSecond, 0) || !(d.RefusedPerSecond > 0 && d.RefusedPerSecond <= d.PerSecond) {
		return 0
	}
	return d.RefusedPerSecond
}

// concurrentWithRefused returns the number of requests that would be in progress if none had been
// refused. meanSeconds is the mean time in progress of a request, over all models.
func (d *Demand) concurrentWithRefused(meanSeconds float64) float64 {
	refused := d.refusedRate()
	if refused == 0 {
		return d.Concurrent
	}
	if d.Concurrent < minRequestLevel {
		return max(d.Concurrent, refused*meanSeconds)
	}
	served := d.PerSecond - refusedRetryShare*refused
	return min(d.Concurrent*d.PerSecond/served, maxUnmetFactor*d.Concurrent)
}

// addRefusedDemand adds the refused requests for models with a short load time to the demand to
// place for. A load that takes longer is only ready after the demand has moved on.
func (p *plan) addRefusedDemand() {
	var refused []string
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		demand := p.demand[model.Name]
		if demand.refusedRate() > 0 && p.service.parkable(model) {
			refused = append(refused, model.Name)
		}
	}
	if len(refused) == 0 {
		return
	}
	meanSeconds := p.meanRequestSeconds()
	demands := make(map[string]Demand, len(p.demand))
	for name, demand := range p.demand {
		demands[name] = demand
	}
	for _, name := range refused {
		demand := demands[name]
		demand.Concurrent = demand.concurrentWithRefused(meanSeconds)
		demands[name] = demand
	}
	p.demand = demands
}
