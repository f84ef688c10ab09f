package residency

import (
	"math"
	"time"
)

// demandForecast holds what is needed to derive the demand to place for from the observed demand.
type demandForecast struct {
	// firstPlan is the time of the first plan.
	firstPlan time.Time
	// initialReplicas holds the highest number of ready replicas of each model within startupWindow
	// of that time. Instances start with more replicas of busy models, so these numbers serve as
	// prior demand until there are requests.
	initialReplicas map[string]int
	// predatesDemand is set if plans were made here before there was any demand.
	predatesDemand bool
	shift          demandShift
	// demandSince is when requests were first observed.
	demandSince time.Time
}

func (t *Tracker) forecastOf(service string) *demandForecast {
	forecast := t.demandForecast[service]
	if forecast == nil {
		forecast = &demandForecast{}
		t.demandForecast[service] = forecast
	}
	return forecast
}

// startupWindow is how long after the first plan instances may still be starting.
const startupWindow = 3 * time.Second

// forecastDemand computes the demand to place for. Operators list models in the order in which
// demand moves from one to the next, so a share of the requests for a busy model is forecast for
// the models after it. The forecast is a request rate and not a number of requests in progress,
// because requests for the next model may take much longer.
func (p *plan) forecastDemand(forecast *demandForecast) {
	if forecast.firstPlan.IsZero() {
		if len(p.projections) == 0 {
			return
		}
		forecast.firstPlan = p.now
		forecast.initialReplicas = map[string]int{}
		forecast.predatesDemand = true
	}
	if p.now.Sub(forecast.firstPlan) < startupWindow {
		for model, ready := range p.ready {
			forecast.initialReplicas[model] = max(forecast.initialReplicas[model], ready)
		}
	}
	priorWeight := p.priorWeight(forecast)
	expected := make(map[string]Demand, len(p.engine.Models))
	for i := range p.engine.Models {
		name := p.engine.Models[i].Name
		demand := p.demand[name]
		demand.Concurrent = max(demand.Concurrent, priorWeight*p.priorDemand(forecast, name))
		expected[name] = demand
	}
	forecast.shift.observe(p.now, p.requestRates())
	nearest, farthest := p.shiftRange(forecast)
	meanSeconds := p.meanRequestSeconds()
	for i := range p.engine.Models {
		for next := i + nearest; next <= i+farthest && next < len(p.engine.Models); next++ {
			successor := p.engine.Models[next].Name
			demand := expected[successor]
			predecessor := p.engine.Models[i].Name
			concurrent := p.demand[predecessor].PerSecond * p.requestSeconds(successor, meanSeconds)
			demand.Concurrent = max(demand.Concurrent, p.settings.SuccessorShare*max(concurrent, priorWeight*p.settings.SuccessorPriorFactor*p.priorDemand(forecast, predecessor)))
			expected[successor] = demand
		}
	}
	p.demand = expected
	p.demandSeen = !forecast.demandSince.IsZero()
}

// requestRates lists the requests that begin each second for each model.
func (p *plan) requestRates() []float64 {
	present := make([]float64, len(p.engine.Models))
	for i := range p.engine.Models {
		present[i] = p.demand[p.engine.Models[i].Name].PerSecond
	}
	return present
}

// shiftRange returns how many positions further down the list the requests for a model are
// forecast. Until a shift was observed, this is any of the next SuccessorCount positions; after that it
// is the observed shift.
func (p *plan) shiftRange(forecast *demandForecast) (nearest, farthest int) {
	if forecast.shift.step > 0 {
		return forecast.shift.step, forecast.shift.step
	}
	return 1, p.settings.SuccessorCount
}

// priorDemand is the demand that the initial replicas of a model represent.
func (p *plan) priorDemand(forecast *demandForecast, model string) float64 {
	return p.settings.PriorDemandPerReplica * float64(max(0, forecast.initialReplicas[model]-1))
}

// priorWeight is the weight of the prior demand. It is one until there are requests and decays
// after that.
func (p *plan) priorWeight(forecast *demandForecast) float64 {
	if forecast.demandSince.IsZero() {
		if p.totalDemand().PerSecond < minRequestRate {
			return 1
		}
		if forecast.firstPlan.Equal(p.now) {
			// This is the first plan here, but there was demand before: another daemon placed
			// replicas for it, and some of them for a forecast that did not come true.
			forecast.predatesDemand = false
		}
		forecast.demandSince = p.now
	}
	if !forecast.predatesDemand {
		return 0
	}
	return math.Exp2(-p.now.Sub(forecast.demandSince).Seconds() / p.settings.PriorHalfLife.Seconds())
}

// minRequestRate is the minimum number of requests per second from which the duration of requests
// can be estimated.
const minRequestRate = 1

func (p *plan) totalDemand() Demand {
	var totalDemand Demand
	for _, demand := range p.demand {
		totalDemand.Concurrent += demand.Concurrent
		totalDemand.PerSecond += demand.PerSecond
	}
	return totalDemand
}

// meanRequestSeconds is the mean time in progress of a request, over all models.
func (p *plan) meanRequestSeconds() float64 {
	totalDemand := p.totalDemand()
	return totalDemand.Concurrent / max(totalDemand.PerSecond, minRequestRate)
}

// requestSeconds is the mean time in progress of a request for a model, or meanSeconds if the model
// has too few requests.
func (p *plan) requestSeconds(model string, meanSeconds float64) float64 {
	demand := p.demand[model]
	if demand.PerSecond < minRequestRate {
		return meanSeconds
	}
	return demand.Concurrent / demand.PerSecond
}
