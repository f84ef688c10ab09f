// Package outcome defines the final result of one request and of one attempt
// at a back end. Whether a request may be retried depends on the difference
// between "did not run" and "may have run".
package outcome

import (
	"time"

	"github.com/zeebo/errs"
)

// Kind is the class of a result.
type Kind int

const (
	// Answered means the complete answer was delivered.
	Answered Kind = iota
	// NotRun means no back end began the request: no byte was sent to one,
	// or the back end itself reported that it did not run.
	NotRun
	// Failed means a back end began the request and it did not complete.
	Failed
	// Unknown means the request was sent and it is not known whether it ran.
	Unknown
)

var kindNames = [...]string{"answered", "not_run", "failed", "unknown"}

// String returns the name used in logs, metrics and error bodies.
func (k Kind) String() string { return kindNames[k] }

// Reason is the cause for which a request was not answered.
type Reason string

// Reasons, as they appear in error bodies and log lines.
const (
	ReasonNone           Reason = ""
	ReasonUnknownModel   Reason = "unknown_model"
	ReasonBadRequest     Reason = "bad_request"
	ReasonNoReplica      Reason = "no_replica"
	ReasonQueueFull      Reason = "queue_full"
	ReasonDeadline       Reason = "deadline"
	ReasonStarting       Reason = "starting"
	ReasonKeyUsed        Reason = "request_key_used"
	ReasonKeyUnavailable Reason = "request_key_unavailable"
	ReasonConnect        Reason = "connect_failed"
	ReasonRefused        Reason = "back_end_refused"
	ReasonBroken         Reason = "back_end_broken"
	// ReasonMalformed means that the back end sent bytes that are not the head of an answer.
	ReasonMalformed  Reason = "malformed_answer"
	ReasonCallerGone Reason = "caller_gone"
	// ReasonUnknownTenant means the request has no API key, or a key of no tenant.
	ReasonUnknownTenant Reason = "unknown_key"
	// ReasonQuota means the tenant has exhausted its limit, ReasonQuotaUnsure that this could
	// not be determined.
	ReasonQuota       Reason = "quota"
	ReasonQuotaUnsure Reason = "quota_unsure"
)

// Result is the final result of a request or of one attempt.
type Result struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries; zero means unspecified.
	RetryAfter time.Duration
	// Status is the HTTP status of the back end's answer, if there was one.
	Status int
	// Err holds the details for the log.
	Err error
}

// ErrRequest is the class of all request failures.
var ErrRequest = errs.Class("request")

// Refuse returns a result of kind NotRun.
func Refuse(reason Reason, retryAfter time.Duration) Result {
	return Result{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// MayRepeat reports whether another attempt is safe: either this attempt is
// known not to have run, or the request is repeatable and no part of an answer
// has been relayed to the caller.
func (r Result) MayRepeat(repeatable, relayed bool) bool {
	switch r.Kind {
	case NotRun:
		return true
	case Unknown, Failed:
		return repeatable && !relayed
	default:
		return false
	}
}
