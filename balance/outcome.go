package balance

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Outcome is how an attempt at an instance ended, as far as the instance is to
// blame.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served means that the instance gave a proper answer.
	Served Outcome = iota
	// Failed means that the instance failed the request or broke off its answer.
	Failed
	// Broken means that the instance ended the connection without any answer.
	Broken
	// Declined means that the instance said that it did not run the request.
	Declined
	// Unreached means that no connection could be made.
	Unreached
	// Abandoned means that this side gave up; the instance is not to blame.
	Abandoned
)

const (
	// errorWeight is the weight of the newest outcome in the error share.
	errorWeight = 0.2
	// baseDeclinedBackoff keeps requests for a while from an instance that declined, and
	// twice as long each further time without an answer in between, up to
	// longestDeclinedPause: one that declines whatever it gets looks idle.
	baseDeclinedBackoff        = 100 * time.Millisecond
	maxDeclinedBackoff = 3200 * time.Millisecond
	// unreachedBackoffStep does the same after a failed connection.
	unreachedBackoffStep = 500 * time.Millisecond
	// baseBrokenBackoff does the same after a connection that ended without an answer, and
	// longer each further time, see backoff.
	baseBrokenBackoff        = 300 * time.Millisecond
	maxBrokenBackoff = 4800 * time.Millisecond
	// baseQuorumBackoff is how long an instance is left alone at which several daemons got
	// no answers, and longer each further time.
	baseQuorumBackoff        = 500 * time.Millisecond
	maxQuorumBackoff = 4 * time.Second
	// minEjection and ejectionLimit bound how long an instance is ejected.
	minEjection  = time.Second
	maxEjection = 8 * time.Second
	// minEjectErrorShare is the least error share for an ejection, and
	// ejectRatio how many times the share of all siblings it has to be.
	minEjectErrorShare = 0.3
	minEjectRatio      = 2
	// minEjectSamples is the least number of outcomes before an ejection.
	minEjectSamples = 4
)

// crashedBackoff keeps requests from an instance at which nobody listens any more, until the list of
// instances says so too: its entry goes after three heartbeats of silence, 3.6 s on the platform.
// Dead instances look idle, so they are chosen first.
const crashedBackoff = 4 * time.Second

// Crashed notes that an instance ended some time ago.
func (t *Tracker) Crashed(now time.Time, id string, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	until := now.Add(crashedBackoff - age)
	if state := t.state(id); until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
}

// avoided reports whether requests are kept away from the instance.
func (s *instanceState) avoided(now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.backoffUntil) || s.brokenBackoff.active(now)
}

func (s *instanceState) stalled(now time.Time) bool {
	return s.own.Requests > 0 && now.Sub(s.lastActivityAt) > stallTimeout
}

// End counts the end of a request, and what it says about the instance.
// Siblings are the instances of the same service.
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
		t.applyQuorumBackoff(now, id)
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

func (s *instanceState) recordOutcome(failure float64) {
	s.samples++
	s.errorShare += errorWeight * (failure - s.errorShare)
	if failure == 0 && s.errorShare < minEjectErrorShare/2 {
		s.ejections = 0
	}
}

// eject takes an instance out for a while if it fails much more often than its
// siblings do. If all fail alike, none is taken out.
func (t *Tracker) eject(now time.Time, state *instanceState, siblings []*fleet.Instance) bool {
	if state.samples < minEjectSamples || state.errorShare < minEjectErrorShare || now.Before(state.ejectedUntil) {
		return false
	}
	total, count, out := 0.0, 0, 0
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
			out++
		}
	}
	if count == 0 || state.errorShare < minEjectRatio*total/float64(count) || 2*(out+1) > count+1 {
		return false
	}
	state.ejections++
	state.ejectedUntil = now.Add(min(minEjection<<min(state.ejections-1, 8), maxEjection))
	// After its return, one more failure is enough to eject it again.
	return true
}
