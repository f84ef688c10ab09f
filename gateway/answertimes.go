package gateway

import (
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// The time that answers usually need is estimated like a retransmission timeout (RFC 6298): a smoothed mean, and room for the
// smoothed deviation or, if that is more, for a share of the mean.
const (
	meanGain       = 1.0 / 8
	deviationGain  = 1.0 / 4
	deviationRoom  = 4
	leastRoomShare = 1.0 / 4
)

// answerTimes estimates for each route how long whole answers need from when a request is sent to an instance. It is safe for concurrent
// use.
type answerTimes struct {
	mutex   sync.Mutex
	byRoute map[string]*answerTime
}

// answerTime is the estimate of one route.
type answerTime struct{ mean, deviation time.Duration }

func newAnswerTimes() *answerTimes { return &answerTimes{byRoute: map[string]*answerTime{}} }

// record takes in how long one answer needed.
func (a *answerTimes) record(route string, took time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	known, found := a.byRoute[route]
	if !found {
		a.byRoute[route] = &answerTime{mean: took}
		return
	}
	difference := took - known.mean
	known.mean += time.Duration(meanGain * float64(difference))
	known.deviation += time.Duration(deviationGain * float64(difference.Abs()-known.deviation))
}

// usual returns the time within which most answers of a route are whole; zero if none was seen.
func (a *answerTimes) usual(route string) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	known, found := a.byRoute[route]
	if !found {
		return 0
	}
	return known.mean + max(deviationRoom*known.deviation, time.Duration(leastRoomShare*float64(known.mean)))
}

// recordServed records that an instance completed the request.
func (e *exchange) recordServed(instance string) {
	e.gateway.answerTimes.record(e.route.Name, e.since(e.sentAt))
	e.reportSuccess(instance)
}

// prune forgets the routes that a configuration lacks.
func (a *answerTimes) prune(configuration *fleet.Configuration) {
	if configuration == nil {
		return
	}
	names := make(map[string]bool, len(configuration.Routes))
	for i := range configuration.Routes {
		names[configuration.Routes[i].Name] = true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name := range a.byRoute {
		if !names[name] {
			delete(a.byRoute, name)
		}
	}
}
