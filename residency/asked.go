package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// leastAsked is the number of requests, in progress or a second, from which on a model counts
// as asked for. The averages that it is compared with never fall to zero.
const leastAsked = 0.05

// unserved holds since when requests have been waiting for a model, by model.
type unserved map[string]time.Time

func (b *Book) unservedOf(service string) unserved {
	known := b.unserved[service]
	if known == nil {
		known = unserved{}
		b.unserved[service] = known
	}
	return known
}

// observe takes in the present demand.
func (u unserved) observe(now time.Time, engine *fleet.Engine, demand map[string]Demand) {
	for i := range engine.Models {
		name := engine.Models[i].Name
		if demand[name].Waiting == 0 {
			delete(u, name)
		} else if _, known := u[name]; !known {
			u[name] = now
		}
	}
}

// span is how long requests for a model have been waiting without a break.
func (u unserved) span(now time.Time, model string) time.Duration {
	since, waiting := u[model]
	if !waiting {
		return 0
	}
	return now.Sub(since)
}
