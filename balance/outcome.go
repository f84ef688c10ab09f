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
	// declinedPause keeps requests for a while from an instance that declined, and
	// twice as long each further time without an answer in between, up to
	// longestDeclinedPause: one that declines whatever it gets looks idle.
	declinedPause        = 100 * time.Millisecond
	longestDeclinedPause = 3200 * time.Millisecond
	// unreachedPause does the same after a failed connection.
	unreachedPause = 500 * time.Millisecond
	// brokenPause does the same after a connection that ended without an answer, and
	// longer each further time, see backoff.
	brokenPause        = 300 * time.Millisecond
	longestBrokenPause = 4800 * time.Millisecond
	// distrustPause is how long an instance is left alone at which several daemons got
	// no answers, and longer each further time.
	distrustPause        = 500 * time.Millisecond
	longestDistrustPause = 4 * time.Second
	// ejectionBase and ejectionLimit bound how long an instance is ejected.
	ejectionBase  = time.Second
	ejectionLimit = 8 * time.Second
	// ejectErrorShare is the least error share for an ejection, and
	// ejectRatio how many times the share of all siblings it has to be.
	ejectErrorShare = 0.3
	ejectRatio      = 2
	// ejectSamples is the least number of outcomes before an ejection.
	ejectSamples = 4
)

// crashedPause keeps requests from an instance at which nobody listens any more, until the list of
// instances says so too: its entry goes after three heartbeats of silence, 3.6 s on the platform.
// Dead instances look idle, so they are chosen first.
const crashedPause = 4 * time.Second

// Crashed notes that an instance ended some time ago.
func (t *Tracker) Crashed(now time.Time, id string, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	until := now.Add(crashedPause - age)
	if state := t.state(id); until.After(state.pausedTo) {
		state.pausedTo = until
	}
}

// avoided reports whether requests are kept away from the instance.
func (s *instanceState) avoided(now time.Time) bool {
	return now.Before(s.ejectedTo) || now.Before(s.pausedTo) || s.broken.active(now)
}

func (s *instanceState) stalled(now time.Time) bool {
	return s.own.Requests > 0 && now.Sub(s.heardAt) > stallAfter
}

// End counts the end of a request, and what it says about the instance.
// Siblings are the instances of the same service.
func (t *Tracker) End(now time.Time, id string, outcome Outcome, siblings []*fleet.Instance) (ejected bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.signal()
	state := t.state(id)
	state.own.Requests--
	switch outcome {
	case Served:
		state.unreached, state.declined = 0, 0
		state.heardAt = now
		state.observe(0)
	case Failed:
		state.observe(1)
		return t.eject(now, state, siblings)
	case Broken:
		state.observe(1)
		state.broken.extend(now, brokenPause, longestBrokenPause)
		t.distrust(now, id)
		return t.eject(now, state, siblings)
	case Declined:
		state.pausedTo = now.Add(min(declinedPause<<min(state.declined, 8), longestDeclinedPause))
		state.declined++
	case Unreached:
		state.unreached++
		state.pausedTo = now.Add(time.Duration(min(state.unreached, 8)) * unreachedPause)
	case Abandoned:
	}
	return false
}

func (s *instanceState) observe(failure float64) {
	s.samples++
	s.errorShare += errorWeight * (failure - s.errorShare)
	if failure == 0 && s.errorShare < ejectErrorShare/2 {
		s.ejections = 0
	}
}

// eject takes an instance out for a while if it fails much more often than its
// siblings do. If all fail alike, none is taken out.
func (t *Tracker) eject(now time.Time, state *instanceState, siblings []*fleet.Instance) bool {
	if state.samples < ejectSamples || state.errorShare < ejectErrorShare || now.Before(state.ejectedTo) {
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
		if now.Before(sibling.ejectedTo) {
			out++
		}
	}
	if count == 0 || state.errorShare < ejectRatio*total/float64(count) || 2*(out+1) > count+1 {
		return false
	}
	state.ejections++
	state.ejectedTo = now.Add(min(ejectionBase<<min(state.ejections-1, 8), ejectionLimit))
	// After its return, one more failure is enough to eject it again.
	return true
}
