// Package service is the peer package for plain services beside the engines.
// A request is passed on with its method, path and body.
package service

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/engine"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/upstream"
)

// ErrCall is the class of failed calls.
var ErrCall = errs.Class("service: call")

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 16 << 20

// Call is one request to a service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
	// FreshConnection is set for requests that must not be repeated.
	FreshConnection bool
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Memory is what the body occupies of the budget.
	Memory membudget.Reservation
}

// Client talks to any number of services.
type Client struct{ pool *upstream.Pool }

// NewClient returns a client. The idle timeout bounds the time between two
// bytes of an answer, and memory what answers that are being read occupy.
func NewClient(idleTimeout time.Duration, memory *membudget.Budget) *Client {
	settings := upstream.DefaultSettings()
	settings.Memory = memory
	settings.IdleTimeout = idleTimeout
	return &Client{pool: upstream.NewPool(settings)}
}

// Close closes unused connections.
func (c *Client) Close() { c.pool.Close() }

// Do makes one attempt.
func (c *Client) Do(ctx context.Context, address string, call Call) (Answer, outcome.Result) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + address + call.Path)
	request.Header.SetContentType(call.ContentType)
	request.Header.Set(engine.HeaderRequest, call.RequestID)
	request.SetBodyRaw(call.Body)
	response, err := c.pool.Do(ctx, address, request, upstream.Options{FreshConnection: call.FreshConnection})
	if err != nil {
		return Answer{}, engine.SendFailure(ErrCall.Wrap(err))
	}
	answer := Answer{Status: response.Status(), ContentType: response.Header("Content-Type")}
	notRun := response.Header(engine.HeaderNotRun) == "true"
	answer.Body, answer.Memory, err = response.ReadAndHold(maxAnswerBytes)
	switch {
	case notRun:
		answer.Memory.Release()
		return answer, outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonRefused, Status: answer.Status}
	case err != nil:
		return answer, outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken, Err: ErrCall.Wrap(err)}
	case answer.Status >= fasthttp.StatusInternalServerError:
		answer.Memory.Release()
		return answer, outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken, Status: answer.Status}
	}
	return answer, outcome.Result{Kind: outcome.Answered, Status: answer.Status}
}
