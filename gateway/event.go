package gateway

import (
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/retry"
)

// Reason is why a request ended or waits. It is written to logs and metrics.
type Reason string

// Reasons.
const (
	ReasonStarting Reason = "starting"
	ReasonStopping Reason = "stopping"
	ReasonNoRoute  Reason = "no_route"
	// ReasonNoKey means that the request lacks the key that its route requires, ReasonUnknownKey that no tenant has
	// this key.
	ReasonNoKey      Reason = "no_key"
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonConfigurationUnsure means that the configuration of this daemon may be too old to tell whether the key is
	// still valid.
	ReasonConfigurationUnsure Reason = "configuration_unsure"
	// ReasonQuota means that the tenant has exhausted its limit, ReasonQuotaUnsure that no daemon could be reached to
	// check the limit.
	ReasonQuota       Reason = "quota"
	ReasonQuotaUnsure Reason = "quota_unsure"
	ReasonNoInstance  Reason = "no_instance"
	ReasonOverloaded  Reason = "overloaded"
	ReasonNoModel     Reason = "no_model"
	ReasonNoAdapter   Reason = "no_adapter"
	// ReasonNoConnection means that suitable instances exist, but all connections to them that this daemon may open are
	// in use.
	ReasonNoConnection Reason = "no_connection"
	// ReasonAtLimit means that suitable instances exist, but they accept no more requests from all daemons together for
	// a while.
	ReasonAtLimit Reason = "at_limit"
	// ReasonResting means that suitable instances exist, but all of them have requested that this daemon sends nothing
	// for a while.
	ReasonResting Reason = "resting"
	// ReasonEvacuated means that all instances of the service are in evacuated zones.
	ReasonEvacuated Reason = "evacuated"
	// ReasonUnknownOrigin means that the software version that started the stream to be resumed is unknown.
	ReasonUnknownOrigin Reason = "unknown_origin"
	// ReasonNoSoftware means that no instance is left of the software version that started the stream.
	ReasonNoSoftware Reason = "no_software"
	// ReasonLeaving means that an instance has announced that it accepts no new requests.
	ReasonLeaving Reason = "leaving"
	// ReasonQuarantined means that servers crashed while running requests with this content, or with a part of this
	// prompt.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected means that a server crashed while running a request with this content or with a part of this
	// prompt. Until it is decided whether the request caused the crash, such requests run one at a time.
	ReasonSuspected Reason = "suspected"
	// ReasonYielding means that a background request waits for more urgent ones at its server, until its slack ends at
	// the latest.
	ReasonYielding           Reason = "yields"
	ReasonDeclined           Reason = "declined"
	ReasonUnreachable        Reason = "unreached"
	ReasonBroken             Reason = "broken"
	ReasonTimeout            Reason = "timeout"
	ReasonNeverSent          Reason = "never_sent"
	ReasonClientDisconnected Reason = "client_gone"
	ReasonAnswered           Reason = "answered"
	ReasonStreamBroke        Reason = "stream_broke"
	// ReasonBodyTooLarge and ReasonBodyFramedTwice are faults of the request's body: it exceeds the maximum size, or
	// its framing is given in two ways.
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonBodyFramedTwice Reason = "body_framed_twice"
	// ReasonNoMemory means that this daemon has no memory left for the request's body.
	ReasonNoMemory Reason = "no_memory"
	// ReasonBodyTooSlow means that the body stopped arriving, and ReasonConnections that its connection was needed for another client.
	ReasonBodyTooSlow Reason = "body_too_slow"
	ReasonConnections Reason = "connections"
)

// Step is a decision on a request. It is written to logs and metrics. Each request ends with exactly one of StepEnded,
// StepRefused and StepBrokenOff.
type Step string

// IsFinal reports whether a step ends a request.
func (s Step) IsFinal() bool { return s == StepEnded || s == StepRefused || s == StepBrokenOff }

// Steps.
const (
	// StepWaiting means that no instance can take the request now.
	StepWaiting Step = "waiting"
	// StepPaced means that every instance has many prompts to process or, with ReasonYielding, that the request waits
	// for more urgent ones.
	StepPaced Step = "paced"
	// StepSent means that an instance was chosen.
	StepSent Step = "sent"
	// StepUnreached means that nothing could be sent to the chosen instance.
	StepUnreached Step = "unreached"
	// StepDeclined means that the instance did not run the request.
	StepDeclined Step = "declined"
	// StepAttemptFailed means that the instance may have run the request, but gave no answer that can be relayed.
	StepAttemptFailed Step = "attempt_failed"
	// StepStreamTruncated means that a stream was truncated.
	StepStreamTruncated Step = "stream_broke"
	// StepRetryAllowed and StepRetryDenied mean that the retry budget of the service had a token for another attempt, or
	// that it had none.
	StepRetryAllowed Step = "retry_allowed"
	StepRetryDenied  Step = "retry_denied"
	// StepEjected means that the instance receives no requests for a while.
	StepEjected Step = "ejected"
	// StepEnded, StepRefused and StepBrokenOff end a request. StepEnded: with the answer of an instance, or because the
	// client left or the daemon ended. StepRefused: with an answer of this daemon. StepBrokenOff: in the middle of an
	// answer.
	StepEnded     Step = "ended"
	StepRefused   Step = "refused"
	StepBrokenOff Step = "broken_off"
)

// Phase is the stage of processing that a request has reached.
type Phase string

const (
	// PhaseReading means that the request's body is being received.
	PhaseReading Phase = "reading"
	// PhaseChoosing means that an instance is being chosen, by this daemon or by the dispatcher.
	PhaseChoosing Phase = "choosing"
	// PhaseWaiting means that no instance can take the request now.
	PhaseWaiting Phase = "waiting"
	// PhasePaced means that the request is delayed while all instances are busy.
	PhasePaced Phase = "paced"
	// PhaseAttempt means that an instance was chosen and has not started to answer.
	PhaseAttempt Phase = "attempt"
	// PhaseAnswering means that an instance's answer is being received.
	PhaseAnswering Phase = "answering"
)

// Event is a decision on a request, for the log and the metrics.
type Event struct {
	Step    Step
	Request *Request
	Route   *fleet.Route
	// Tenant is the name of the request's tenant; empty if it has none.
	Tenant string
	// Instance is empty if none was chosen.
	Instance string
	// Software is the version of the instance's software, at StepSent.
	Software string
	Attempt  int
	Status   int
	Reason   Reason
	// Framing is the framing of the instance's answer, at the end of an answer; empty at other steps.
	Framing Framing
	// Oversized is the part of the answer of which the instance sent too much; empty if it did not.
	Oversized AnswerPart
	// Malformed is what is wrong with the head of the answer; empty if nothing is.
	Malformed messagehead.Defect
	// Phase is the phase that the request had reached.
	Phase Phase
	// Candidates is the number of instances that could have been chosen.
	Candidates int
	// ChosenBy is the daemon that chose the instance, empty for this one.
	ChosenBy string
	// Left is the time left for the instance.
	Left time.Duration
	// Content is the digest of the request's content; empty if it was not needed.
	Content string
	// HeldFor is the digest of the content or prompt part for which the request is held, that is kept from instances;
	// empty if it is not held.
	HeldFor string
	// Service is the service whose retry budget decided, and Retry its decision, at StepRetryAllowed and StepRetryDenied.
	Service string
	Retry   retry.Decision
	// Load is the load of the instance as estimated by the balancer.
	Load balance.Load
	// Forecast is the predicted time from the choice to the first token; zero if there is no prediction.
	Forecast time.Duration
	// Yielded is how long the request has waited for more urgent ones.
	Yielded time.Duration
	// RetryAfter is the retry delay given to a refused client.
	RetryAfter time.Duration
	// FirstEvent is how long the client waited for the first event of a stream, and LongestPause the maximum time
	// between two of its pieces; zero if there was none.
	FirstEvent   time.Duration
	LongestPause time.Duration
	// Version is the version of the configuration that the decision was based on.
	Version uint64
	Err     error
}

// endsAnswer reports whether the event ends the answer of an instance, successfully or not.
func (e *Event) endsAnswer() bool {
	switch e.Step {
	case StepStreamTruncated, StepAttemptFailed:
		return true
	case StepEnded:
		return e.Reason == ReasonAnswered
	}
	return false
}

// NeedsPromptParts reports whether the parts of the request's prompt help to find the cause of the event. That is so if
// the instance may have crashed while running the request, or if the request is kept from instances since others
// crashed.
func (e *Event) NeedsPromptParts() bool {
	switch e.Step {
	case StepStreamTruncated, StepAttemptFailed:
		return true
	}
	return e.Reason == ReasonQuarantined || e.Reason == ReasonSuspected
}

// Lateness is why an answer that was delivered completely was late.
type Lateness string

// Kinds of lateness. A stream whose first event is late is LateFirst, whatever follows.
const (
	OnTime     Lateness = ""
	LateFirst  Lateness = "first"
	LatePause  Lateness = "pause"
	LateAnswer Lateness = "answer"
)

// Late reports whether the answer that the event ends exceeded its route's latency targets. They count from the arrival
// of the request at this daemon: the time that its client spent on earlier attempts is not known.
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

// Observer receives each decision. Observe must not block.
type Observer interface {
	Observe(event Event)
}
