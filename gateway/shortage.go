package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// shortageTTL is the time without a refusal after which a shortage has ended. Each daemon receives only a
	// part of the requests for a model, so a pause of some hundred milliseconds does not show an end.
	shortageTTL = time.Second
	// maxRetryAfter bounds the retry delay that a client is given. Loading a model from the weight store takes
	// some seconds, and clients honour a delay only up to a part of their own timeout anyway.
	maxRetryAfter = 3 * time.Second
	// retryAfterSpread is the share of the retry delay that is randomized, so that clients that were refused
	// together do not retry together.
	retryAfterSpread = 0.5
)

// tenantKeyPrefix distinguishes the key of a tenant that has used up its limit from the keys of
// models.
const tenantKeyPrefix = "tenant "

// shortage is a period in which requests for a model, or of a tenant, are refused.
type shortage struct{ since, last time.Time }

// shortageTracker tracks the models that lack capacity now, and the tenants that have used up their limit. It is safe
// for concurrent use.
type shortageTracker struct {
	mutex   sync.Mutex
	byModel map[string]shortage
}

func newShortageTracker() *shortageTracker { return &shortageTracker{byModel: map[string]shortage{}} }

// recordRefusal records a refusal and returns the delay after which its client should retry. The remaining length of a
// shortage is not known; the estimate is that it lasts as long again as it has lasted.
func (s *shortageTracker) recordRefusal(now time.Time, model string, minRetryAfter time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, found := s.byModel[model]
	if !found || now.Sub(current.last) > shortageTTL {
		s.prune(now)
		current = shortage{since: now}
	}
	current.last = now
	s.byModel[model] = current
	remaining := min(max(minRetryAfter, now.Sub(current.since)), maxRetryAfter)
	return time.Duration(float64(remaining) * (1 + retryAfterSpread*(rand.Float64()-0.5)))
}

// prune removes shortages that have ended.
func (s *shortageTracker) prune(now time.Time) {
	for model, current := range s.byModel {
		if now.Sub(current.last) > shortageTTL {
			delete(s.byModel, model)
		}
	}
}

// lacksCapacity reports whether a request that has not run is refused because its model has no replica, or none that
// is predicted to begin the answer in time.
func (e *exchange) lacksCapacity(reason Reason) bool {
	if e.request.Model == "" || e.mayHaveRun {
		return false
	}
	return reason == ReasonOverloaded || reason == ReasonNoModel
}
