package balance

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Outcome is the result of an attempt at an instance, as far as the instance caused it.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served means that the instance gave a valid answer.
	Served Outcome = iota
	// Failed means that the instance returned an error or ended its answer early.
	Failed
	// Broken means that the instance ended the connection without any answer, or sent bytes that are none.
	Broken
	// Declined means that the instance reported that it did not run the request.
	Declined
	// Unreached means that no connection could be made.
	Unreached
	// Abandoned means that this daemon or its caller cancelled the attempt. It does not count
	// against the instance.
	Abandoned
)

const (
	// errorWeight is the weight of the newest outcome in the error share, an exponential moving
	// average.
	errorWeight = 0.2
	// baseDeclinedBackoff is the first backoff of an instance that declined a request. It doubles
	// with each further one without an answer in between, up to maxDeclinedBackoff. An instance
	// that declines all requests looks idle and would be picked first.
	baseDeclinedBackoff = 100 * time.Millisecond
	maxDeclinedBackoff  = 3200 * time.Millisecond
	// unreachedBackoffStep is the backoff after a failed connection, multiplied by the number of
	// failures in a row.
	unreachedBackoffStep = 500 * time.Millisecond
	// baseBrokenBackoff is the first backoff after a connection that ended without an answer. It
	// doubles as described at backoff, up to maxBrokenBackoff.
	baseBrokenBackoff = 300 * time.Millisecond
	maxBrokenBackoff  = 4800 * time.Millisecond
	// baseQuorumBackoff is the first backoff of an instance from which several daemons got no
	// answers. It doubles as described at backoff, up to maxQuorumBackoff.
	baseQuorumBackoff = 500 * time.Millisecond
	maxQuorumBackoff  = 4 * time.Second
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// minEjectErrorShare is the smallest error share that leads to an ejection. It also has to be
	// at least minEjectRatio times the mean share of the siblings.
	minEjectErrorShare = 0.3
	minEjectRatio      = 2
	// minEjectSamples is the number of outcomes needed before an ejection.
	minEjectSamples = 4
)

// crashedBackoff is the backoff of an instance whose process has ended, until it leaves the list of
// instances. The list drops it after three missed heartbeats, which takes 3.6 s on the platform.
// Dead instances look idle, so they would be picked first.
const crashedBackoff = 4 * time.Second

// RecordCrash records that an instance ended some time ago.
func (t *Tracker) RecordCrash(now time.Time, id string, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	until := now.Add(crashedBackoff - age)
	if state := t.state(id); until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
}

// avoided reports whether the instance is ejected or in a backoff of this daemon.
func (s *instanceState) avoided(now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.backoffUntil) || s.brokenBackoff.active(now)
}

// stalled reports whether the instance has requests of this daemon but has sent nothing for
// stallTimeout.
func (s *instanceState) stalled(now time.Time) bool {
	return s.own.Requests > 0 && now.Sub(s.lastActivityAt) > stallTimeout
}

// End records the end of a request and its outcome. Siblings are the instances of the same service.
// It reports whether the instance was ejected because of this outcome.
func (t *Tracker) End(now time.Time, id string, outcome Outcome, siblings []*fleet.Instance) (ejected bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.notifyChanged()
	state := t.state(id)
	state.own.Requests--
	switch outcome {
	case Served:
		state.unreachedInARow, state.declinedInARow = 0, 0
		state.lastActivityAt = now
		state.recordOutcome(0)
	case Failed:
		state.recordOutcome(1)
		return t.eject(now, state, siblings)
	case Broken:
		state.recordOutcome(1)
		state.brokenBackoff.extend(now, baseBrokenBackoff, maxBrokenBackoff)
		t.quorumBackoff(now, id)
		return t.eject(now, state, siblings)
	case Declined:
		state.backoffUntil = now.Add(min(baseDeclinedBackoff<<min(state.declinedInARow, 8), maxDeclinedBackoff))
		state.declinedInARow++
	case Unreached:
		state.unreachedInARow++
		state.backoffUntil = now.Add(time.Duration(min(state.unreachedInARow, 8)) * unreachedBackoffStep)
	case Abandoned:
	}
	return false
}

// recordOutcome adds an outcome to the error share: 1 for a failure, 0 for an answer.
func (s *instanceState) recordOutcome(failure float64) {
	s.samples++
	s.errorShare += errorWeight * (failure - s.errorShare)
	if failure == 0 && s.errorShare < minEjectErrorShare/2 {
		s.ejections = 0
	}
}

// eject ejects an instance for a while if it fails much more often than its siblings do. It never
// ejects more than half of the instances of a service, and none if all fail alike.
func (t *Tracker) eject(now time.Time, state *instanceState, siblings []*fleet.Instance) bool {
	if state.samples < minEjectSamples || state.errorShare < minEjectErrorShare || now.Before(state.ejectedUntil) {
		return false
	}
	total, count, ejectedCount := 0.0, 0, 0
	for _, instance := range siblings {
		sibling := t.instances[instance.ID]
		if sibling == state {
			continue
		}
		count++
		if sibling == nil {
			continue
		}
		total += sibling.errorShare
		if now.Before(sibling.ejectedUntil) {
			ejectedCount++
		}
	}
	if count == 0 || state.errorShare < minEjectRatio*total/float64(count) || 2*(ejectedCount+1) > count+1 {
		return false
	}
	state.ejections++
	state.ejectedUntil = now.Add(min(minEjection<<min(state.ejections-1, 8), maxEjection))
	// The error share is kept, so one more failure after the ejection is enough to eject the
	// instance again.
	return true
}
