// Package brittle controls the admission of requests to brittle instances: instances that fail if they have to refuse
// too many requests because all their slots are in use. Services report in their answers that they are brittle. A
// Tracker tracks these services, and decides from the loads that are known to this daemon whether an instance has a
// free slot for another request. The package does no I/O and reads no clock.
//
// Loads of other daemons arrive with a delay, so instances still refuse some requests. The refusals that an instance
// tolerates are divided equally among the daemons. A daemon that has used up its share for an instance sends it no
// further request until its refusals are within the share again. A daemon also leaves slots free for requests of other
// daemons that it has not received yet, unless it uses less than its equal share of the slots.
package brittle

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRefusalShare is the share of the refusals that an instance tolerates which all daemons together may cause.
	maxRefusalShare = 0.5
	// refusalWindow is the time to which the reported number of tolerated refusals applies.
	refusalWindow = time.Second
	// maxBackoff limits how long a daemon sends no requests to an instance.
	maxBackoff = 20 * time.Second
	// serviceTTL is how long a service counts as brittle after its last answer that said so.
	serviceTTL = time.Minute
)

// Tracker tracks the services that report that they are brittle. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
	// endedAt is the send time of the request whose answer said that a service is no longer brittle, by service.
	endedAt map[string]time.Time
}

// service is a service whose instances report that they are brittle.
type service struct {
	// refusals is how many refusals a second an instance tolerates.
	refusals float64
	// firstReportAt is the time of the first report that the service is brittle, lastReportAt that of the last one.
	firstReportAt time.Time
	lastReportAt  time.Time
	// shareUsedUntil is until when this daemon's refusals use up its share of the refusals of an instance, by the
	// instance's ID.
	shareUsedUntil map[string]time.Time
}

// NewTracker returns a tracker in which no service is brittle.
func NewTracker() *Tracker {
	return &Tracker{services: map[string]*service{}, endedAt: map[string]time.Time{}}
}

// Change is the effect of a report on a service.
type Change uint8

// Changes of a service.
const (
	Unchanged Change = iota
	// Started means that its instances are now brittle, or tolerate another number of refusals than before.
	Started
	// Ended means that its instances are no longer brittle.
	Ended
)

// Observe records an answer to a request that was sent at sentAt. The answer reports whether the service is brittle
// (named), and how many refusals a second an instance tolerates.
func (t *Tracker) Observe(now time.Time, name string, sentAt time.Time, named bool, refusals float64) Change {
	svc := t.services[name]
	switch {
	case !named && (svc == nil || !sentAt.After(svc.firstReportAt)):
		return Unchanged
	case !named:
		delete(t.services, name)
		t.endedAt[name] = sentAt
		return Ended
	case svc == nil:
		t.services[name] = &service{refusals: refusals, firstReportAt: now, lastReportAt: now, shareUsedUntil: map[string]time.Time{}}
		return Started
	}
	svc.lastReportAt = now
	if svc.refusals == refusals {
		return Unchanged
	}
	svc.refusals = refusals
	return Started
}

// Load is the load of one instance as known to this daemon.
type Load struct {
	// Slots is the number of requests that the instance processes concurrently.
	Slots int
	// Requests is the number of its requests from all daemons, Own the number from this daemon.
	Requests int
	Own      int
	// Daemons is the number of daemons that may send it requests.
	Daemons int
}

// Admit reports whether this daemon may send another request to an instance of a service.
func (t *Tracker) Admit(now time.Time, name, id string, load Load) bool {
	svc := t.services[name]
	switch {
	case svc == nil || load.Slots <= 0:
		return true
	case load.Requests >= load.Slots || svc.shareUsed(now, id, load.Daemons):
		return false
	}
	daemons := max(1, load.Daemons)
	free := load.Slots - min(load.Slots/2, daemons-1)
	return load.Requests < free || load.Own < load.Slots/daemons
}

// RecordRefusal records that an instance refused a request because it had no free slot.
func (t *Tracker) RecordRefusal(now time.Time, name, id string, daemons int) {
	svc := t.services[name]
	if svc == nil {
		return
	}
	from := now
	if shareUsedUntil := svc.shareUsedUntil[id]; shareUsedUntil.After(now) {
		from = shareUsedUntil
	}
	// A service that tolerates no refusals gets the longest backoff.
	cost := maxBackoff
	if refusalShare := svc.refusalShare(daemons); refusalShare > 0 {
		cost = min(time.Duration(float64(refusalWindow)/refusalShare), maxBackoff)
	}
	svc.shareUsedUntil[id] = minTime(from.Add(cost), now.Add(maxBackoff))
}

// refusalShare is how many refusals a second each daemon may cause at an instance.
func (s *service) refusalShare(daemons int) float64 {
	return maxRefusalShare * s.refusals / float64(max(1, daemons))
}

// shareUsed reports whether this daemon has used up its share of the refusals of an instance.
func (s *service) shareUsed(now time.Time, id string, daemons int) bool {
	allowance := time.Duration(0)
	if refusalShare := s.refusalShare(daemons); refusalShare > 1 {
		allowance = refusalWindow - time.Duration(float64(refusalWindow)/refusalShare)
	}
	return s.shareUsedUntil[id].Sub(now) > allowance
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Names returns the services that are brittle, in no particular order.
func (t *Tracker) Names() []string { return slices.Collect(maps.Keys(t.services)) }

// Count returns the number of brittle services.
func (t *Tracker) Count() int { return len(t.services) }

// Prune removes services without a report within serviceTTL, and instances that are no longer listed.
func (t *Tracker) Prune(now time.Time, listed func(id string) bool) {
	maps.DeleteFunc(t.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) > serviceTTL })
	for name, svc := range t.services {
		if now.Sub(svc.lastReportAt) > serviceTTL {
			delete(t.services, name)
			continue
		}
		for id, shareUsedUntil := range svc.shareUsedUntil {
			if !listed(id) || !shareUsedUntil.After(now) {
				delete(svc.shareUsedUntil, id)
			}
		}
	}
}
