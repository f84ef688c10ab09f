package gateway

import (
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// Reason tells why a request ended or waits, as it stands in logs and metrics.
type Reason string

// Reasons.
const (
	ReasonStarting Reason = "starting"
	ReasonStopping Reason = "stopping"
	ReasonNoRoute  Reason = "no_route"
	// ReasonNoKey says that the request lacks the key that its route needs, ReasonUnknownKey
	// that no tenant holds it.
	ReasonNoKey      Reason = "no_key"
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonUnsure says that the configuration here may be too old to tell whether the key
	// is still valid.
	ReasonUnsure Reason = "configuration_unsure"
	// ReasonQuota says that the tenant has used its limit up, ReasonQuotaUnsure that no
	// daemon could be asked whether it has.
	ReasonQuota       Reason = "quota"
	ReasonQuotaUnsure Reason = "quota_unsure"
	ReasonNoInstance  Reason = "no_instance"
	ReasonOverloaded  Reason = "overloaded"
	ReasonNoModel     Reason = "no_model"
	ReasonNoAdapter   Reason = "no_adapter"
	// ReasonNoConnection says that instances have what the request needs, and all
	// connections to them that this daemon may have are in use.
	ReasonNoConnection Reason = "no_connection"
	// ReasonAtLimit says that instances have what the request needs, and take no more from all daemons
	// together for a while.
	ReasonAtLimit Reason = "at_limit"
	// ReasonResting says that instances have what the request needs, and all of them want nothing from this
	// daemon for a while.
	ReasonResting Reason = "resting"
	// ReasonEvacuated says that all instances of the service stand in evacuated zones.
	ReasonEvacuated Reason = "evacuated"
	// ReasonUnknownOrigin says that nobody knows which software version began the stream that the request takes up.
	ReasonUnknownOrigin Reason = "unknown_origin"
	// ReasonNoSoftware says that no instance is left of the software version that began the stream.
	ReasonNoSoftware Reason = "no_software"
	// ReasonLeaving says that an instance has said that it takes no new requests.
	ReasonLeaving Reason = "leaving"
	// ReasonQuarantined says that servers crashed under requests of this content, or with a part of this prompt.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected says that a server has crashed under a request of this content or with a part of this prompt,
	// and that such requests go one after the other until that is decided.
	ReasonSuspected Reason = "suspected"
	// ReasonYields says that a background request leaves its server to more urgent ones until its slack ends.
	ReasonYields      Reason = "yields"
	ReasonDeclined    Reason = "declined"
	ReasonUnreached   Reason = "unreached"
	ReasonBroken      Reason = "broken"
	ReasonTimeout     Reason = "timeout"
	ReasonNeverSent   Reason = "never_sent"
	ReasonClientGone  Reason = "client_gone"
	ReasonAnswered    Reason = "answered"
	ReasonStreamBroke Reason = "stream_broke"
	// ReasonBodyTooLarge and ReasonBodyFramedTwice say what is wrong with the body.
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonBodyFramedTwice Reason = "body_framed_twice"
)

// Step is one decision on a request, as it stands in logs and metrics. Each request ends with
// exactly one of StepEnded, StepRefused and StepBrokenOff.
type Step string

// Final reports whether a step ends a request.
func (s Step) Final() bool { return s == StepEnded || s == StepRefused || s == StepBrokenOff }

// Steps.
const (
	// StepWaiting says that no instance can take the request now.
	StepWaiting Step = "waiting"
	// StepPaced says that every instance has many prompts to read, or with ReasonYields that the request waits for
	// more urgent ones.
	StepPaced Step = "paced"
	// StepSent says that an instance was chosen.
	StepSent Step = "sent"
	// StepUnreached says that nothing could be sent to it.
	StepUnreached Step = "unreached"
	// StepDeclined says that the instance did not run the request.
	StepDeclined Step = "declined"
	// StepAttemptFailed says that the instance may have run it, without an answer
	// that can be passed on.
	StepAttemptFailed Step = "attempt_failed"
	// StepStreamBroke says that a stream ended before its end.
	StepStreamBroke Step = "stream_broke"
	// StepEjected says that the instance gets no requests for a while.
	StepEjected Step = "ejected"
	// StepEnded, StepRefused and StepBrokenOff end a request: with the answer of
	// an instance or because the client left or the daemon ended, with an answer
	// of our own, or in the middle of an answer.
	StepEnded     Step = "ended"
	StepRefused   Step = "refused"
	StepBrokenOff Step = "broken_off"
)

// Phase is how far a request has come.
type Phase string

const (
	// PhaseReading says that the request's body arrives.
	PhaseReading Phase = "reading"
	// PhaseChoosing says that an instance is being chosen, here or at the dispatcher.
	PhaseChoosing Phase = "choosing"
	// PhaseWaiting says that no instance can take the request now.
	PhaseWaiting Phase = "waiting"
	// PhasePaced says that it is held back while all instances have much to do.
	PhasePaced Phase = "paced"
	// PhaseAttempt says that an instance was chosen and has not begun to answer.
	PhaseAttempt Phase = "attempt"
	// PhaseAnswering says that an instance's answer arrives.
	PhaseAnswering Phase = "answering"
)

// Event is one decision on a request, for the log and the metrics.
type Event struct {
	Step    Step
	Request *Request
	Route   *fleet.Route
	// Tenant is the name of the request's tenant; empty if it has none.
	Tenant string
	// Instance is empty if none was chosen.
	Instance string
	// Software is the version of the instance's software, at the step of sending.
	Software string
	Attempt  int
	Status   int
	Reason   Reason
	// Framing is how the instance's answer was framed, at the end of one; empty at other steps.
	Framing Framing
	// Phase is how far the request had come.
	Phase Phase
	// Candidates is the number of instances that could have been chosen.
	Candidates int
	// ChosenBy is the daemon that chose the instance, empty for this one.
	ChosenBy string
	// Left is what the instance may take.
	Left time.Duration
	// Content is the digest of the request's content; empty where nothing asked for it.
	Content string
	// HeldFor is the digest of the content or part that the request is held for; empty if it is not.
	HeldFor string
	// Load is what the instance was believed to have to do.
	Load balance.Load
	// Forecast is the predicted time of the first token after the choice; zero if there is
	// no prediction.
	Forecast time.Duration
	// Yielded is how long the request has waited for more urgent ones.
	Yielded time.Duration
	// RetryAfter is when a refused client was told to come back.
	RetryAfter time.Duration
	// FirstEvent is how long the client waited for the first event of a stream, and
	// LongestPause the longest time between two of its pieces; zero if none came.
	FirstEvent   time.Duration
	LongestPause time.Duration
	// Version is the configuration that decided.
	Version uint64
	Err     error
}

// endsAnswer reports whether the answer of an instance has ended, well or not.
func (e *Event) endsAnswer() bool {
	switch e.Step {
	case StepStreamBroke, StepAttemptFailed:
		return true
	case StepEnded:
		return e.Reason == ReasonAnswered
	}
	return false
}

// TellsPrompt reports whether the parts of the request's prompt help to find out why it ended: its instance may have
// crashed under it, or it is kept from instances since others did.
func (e *Event) TellsPrompt() bool {
	switch e.Step {
	case StepStreamBroke, StepAttemptFailed:
		return true
	}
	return e.Reason == ReasonQuarantined || e.Reason == ReasonSuspected
}

// Lateness is why an answer that was served to its end was late.
type Lateness string

// Ways of being late. A stream whose first event is late counts as that, whatever follows.
const (
	OnTime     Lateness = ""
	LateFirst  Lateness = "first"
	LatePause  Lateness = "pause"
	LateAnswer Lateness = "answer"
)

// Late tells whether the answer that the event ends came later than its route's targets,
// which count from the arrival of the request here: what its client had waited before, in
// earlier attempts, is not known.
func (e *Event) Late(now time.Time) Lateness {
	switch {
	case e.Step != StepEnded || e.Reason != ReasonAnswered || e.Route == nil || e.Route.TargetLatency <= 0:
		return OnTime
	case e.Route.Kind != fleet.KindStream:
		if now.Sub(e.Request.Arrived) > e.Route.TargetLatency {
			return LateAnswer
		}
	case e.FirstEvent > e.Route.TargetLatency:
		return LateFirst
	case e.Route.TargetGap > 0 && e.LongestPause > e.Route.TargetGap:
		return LatePause
	}
	return OnTime
}

// Observer hears of each decision. It must not block.
type Observer interface {
	Observe(event Event)
}
