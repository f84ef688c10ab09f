// Package caller is the peer package for callers: the HTTP calls that the
// field uses for language models, calls of plain services, and the question
// which addresses to use.
//
//	POST /v1/chat/completions   streamed (server-sent events) or whole
//	POST /v1/completions        likewise
//	GET  /v1/models             the models that exist
//	ANY  /v1/services/NAME/...  passed on to a plain service
//	GET  /v1/addresses?model=M  addresses to use, and how long to keep them
//	GET  /healthz /readyz /metrics
//
// Where there are tenants, a request carries the key of one as "Authorization: Bearer KEY". It may
// carry a priority, a deadline, a request key and a mark that it
// must not be repeated, as headers or as fields of its body. Every refusal is
// final and immediate, says whether the request ran, and when to come back.
package caller

import (
	"context"
	"io"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/tenant"
)

// Headers of requests and answers.
const (
	HeaderPriority      = "X-Priority"
	HeaderDeadline      = "X-Deadline-Ms"
	HeaderNotRepeatable = "X-Not-Repeatable"
	HeaderRequestKey    = "X-Request-Key"
	HeaderRequestID     = "X-Request-Id"
	HeaderOutcome       = "X-Outcome"
	HeaderNotRun        = "X-Not-Run"
)

// Call is one request of a caller. It owns its memory.
type Call struct {
	ID        string
	Reference api.ModelReference
	// Service is the plain service, for a service call.
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	// Priority is negative if the request gives none.
	Priority api.Priority
	// Deadline is when the answer must have begun; zero if not given.
	Deadline time.Time
	// Repeatable is false for requests that must run at most once.
	Repeatable bool
	// Key identifies a request that must not be repeated, across calls.
	Key string
	// TenantKey is the digest of the key of the caller's tenant; the zero value if it gave none.
	TenantKey tenant.Digest
	// Tenant is the tenant's name, once it is known.
	Tenant string
	// PromptTokens estimates the tokens of the prompt, OutputTokens is the most that the answer
	// may have; zero if the call does not say.
	PromptTokens int
	OutputTokens int
	// ArrivedAt is when the request was read.
	ArrivedAt time.Time
}

// NoPriority marks a call without a priority of its own.
const NoPriority api.Priority = -1

// Answer is the answer to a call.
type Answer struct {
	Status      int
	ContentType string
	// Body is a whole answer, if Stream is nil.
	Body []byte
	// Memory is what the body occupies of a budget, until the answer is written.
	Memory membudget.Reservation
	// Stream is an answer that is still arriving.
	Stream Stream
}

// Stream is an answer that is relayed piece by piece.
type Stream interface {
	io.Reader
	// Buffered returns how many bytes a Read returns without waiting.
	Buffered() int
	// Finish ends the stream. The error is what the caller's side met, or
	// nil if all that was read was delivered. It returns how the request
	// ended, which is not Answered if the stream broke before its end.
	Finish(deliveryError error) outcome.Result
}

// Handler serves calls.
type Handler interface {
	// Serve returns an answer, or how the request ended without one.
	Serve(ctx context.Context, call *Call) (*Answer, outcome.Result)
	// Addresses returns the addresses for a model, or false if this daemon
	// does not know enough to tell.
	Addresses(model string) (AddressesAnswer, bool)
	Models() []api.Model
	// Ready reports whether callers should be sent here.
	Ready() bool
	// WriteMetrics writes the metrics in Prometheus text form.
	WriteMetrics(w io.Writer) error
	// Command runs an operator's command and returns its JSON answer.
	Command(ctx context.Context, text, credential string) (body []byte, status int)
}

// AddressesAnswer tells a caller which addresses to use.
type AddressesAnswer struct {
	Model     string   `json:"model,omitempty"`
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the caller may keep the answer.
	KeepSeconds int `json:"keep_seconds"`
}
