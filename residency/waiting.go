package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// minRequestLevel is the number of requests, in progress or per second, from which a model counts
// as requested. The averages that it is compared with never decay to zero.
const minRequestLevel = 0.05

// waitingTimes holds, for each model, since when requests have been waiting for it.
type waitingTimes map[string]time.Time

func (t *Tracker) waitingTimesOf(service string) waitingTimes {
	times := t.waitingTimes[service]
	if times == nil {
		times = waitingTimes{}
		t.waitingTimes[service] = times
	}
	return times
}

// observe records the current demand.
func (u waitingTimes) observe(now time.Time, engine *fleet.Engine, demand map[string]Demand) {
	for i := range engine.Models {
		name := engine.Models[i].Name
		if demand[name].Waiting == 0 {
			delete(u, name)
		} else if _, found := u[name]; !found {
			u[name] = now
		}
	}
}

// duration is how long requests for a model have been waiting without interruption.
func (u waitingTimes) duration(now time.Time, model string) time.Duration {
	since, found := u[model]
	if !found {
		return 0
	}
	return now.Sub(since)
}
