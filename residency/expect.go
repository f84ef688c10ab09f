package residency

import (
	"math"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// expectations turn the demand that is seen into the demand to place for.
type expectations struct {
	// since is when the first plan was made.
	since time.Time
	// first holds the replicas that each model had then. Servers come up with
	// more replicas of the models that are busy, so until demand is seen these
	// numbers stand for it.
	first map[string]int
}

// firstSeenSpan is how long after the first plan servers still come up.
const firstSeenSpan = 3 * time.Second

// expect works out the demand to place for. Operators list models in the order in
// which demand moves on from one to the next, so a part of a busy model's demand
// is expected at the model after it.
func (p *plan) expect(e *expectations) {
	if e.since.IsZero() {
		if len(p.slots) == 0 {
			return
		}
		e.since = p.now
		e.first = map[string]int{}
	}
	if p.now.Sub(e.since) < firstSeenSpan {
		for model, ready := range p.ready {
			e.first[model] = max(e.first[model], ready)
		}
	}
	fade := math.Exp2(-p.now.Sub(e.since).Seconds() / p.settings.PriorHalfLife.Seconds())
	expected := make(map[string]Demand, len(p.engine.Models))
	for i := range p.engine.Models {
		name := p.engine.Models[i].Name
		demand := p.demand[name]
		demand.Concurrent = max(demand.Concurrent, fade*p.settings.PriorPerReplica*float64(max(0, e.first[name]-1)))
		expected[name] = demand
	}
	for i := range p.engine.Models[1:] {
		before, after := &p.engine.Models[i], &p.engine.Models[i+1]
		demand := expected[after.Name]
		demand.Concurrent = max(demand.Concurrent, p.settings.NextShare*p.seen(before, fade, e))
		expected[after.Name] = demand
	}
	p.demand = expected
}

// seen is the demand for a model without what is expected of the one before it.
func (p *plan) seen(model *fleet.Model, fade float64, e *expectations) float64 {
	return max(p.demand[model.Name].Concurrent, fade*p.settings.PriorPerReplica*float64(max(0, e.first[model.Name]-1)))
}
