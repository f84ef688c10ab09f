// Package engine is the peer package for model engines: their control calls
// (report, orders) and the calls that serve requests, over HTTP and JSON.
//
// Wire form (see the stand-in for the other side):
//
//	GET  /control/report       a Report
//	POST /control/orders       an Order; 409 if its fence or boot is old
//	POST /v1/chat/completions  the field's usual call, streamed or whole
//	POST /v1/completions       likewise
//
// An engine that did not run a request says so by the header X-Not-Run.
package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/upstream"
)

// Classes of errors.
var (
	// ErrControl is the class of failed control calls.
	ErrControl = errs.Class("engine: control")
	// ErrCall is the class of failed request calls.
	ErrCall = errs.Class("engine: call")
)

// Headers between daemons and engines.
const (
	// HeaderNotRun set to "true" says that the request did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderPriority carries the priority's number.
	HeaderPriority = "X-Priority"
	// HeaderVersion names the model version to use.
	HeaderVersion = "X-Model-Version"
	// HeaderRequest carries the request's identity for tracing.
	HeaderRequest = "X-Request-Id"
)

const (
	controlTimeout  = 2 * time.Second
	maxControlBytes = 4 << 20
)

// Client talks to any number of engines.
type Client struct {
	control  *upstream.Pool
	requests *upstream.Pool
}

// NewClient returns a client. The idle timeout bounds the time between two
// bytes of an answer to a request, and memory what answers that are being read occupy.
func NewClient(idleTimeout time.Duration, memory *membudget.Budget) *Client {
	settings := upstream.DefaultSettings()
	settings.Memory = memory
	control := upstream.NewPool(settings)
	settings.IdleTimeout = idleTimeout
	return &Client{control: control, requests: upstream.NewPool(settings)}
}

// Close closes unused connections.
func (c *Client) Close() {
	c.control.Close()
	c.requests.Close()
}

// Report polls an engine.
func (c *Client) Report(ctx context.Context, address string) (api.Report, error) {
	var report api.Report
	body, err := c.controlCall(ctx, address, fasthttp.MethodGet, "/control/report", nil)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, ErrControl.Wrap(err)
	}
	return report, nil
}

// Order sends an order. The error only serves the log: what an engine did
// shows in its reports.
func (c *Client) Order(ctx context.Context, address string, order api.Order) error {
	_, err := c.controlCall(ctx, address, fasthttp.MethodPost, "/control/orders", api.Encode(order))
	return err
}

func (c *Client) controlCall(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	response, err := c.control.Do(ctx, address, request, upstream.Options{})
	if err != nil {
		return nil, ErrControl.Wrap(err)
	}
	status := response.Status()
	answer, err := response.ReadAll(maxControlBytes)
	if err != nil {
		return nil, ErrControl.Wrap(err)
	}
	if status != fasthttp.StatusOK {
		return nil, ErrControl.New("status %d: %.200s", status, answer)
	}
	return answer, nil
}

// Call is one request to an engine.
type Call struct {
	Path      string
	Body      []byte
	RequestID string
	Version   string
	Priority  api.Priority
	// FreshConnection is set for requests that must not be repeated.
	FreshConnection bool
}

// Open sends a request and returns its answer once the head has arrived, or
// how the attempt ended.
func (c *Client) Open(ctx context.Context, address string, call Call) (*upstream.Response, outcome.Result) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + call.Path)
	request.Header.SetContentType("application/json")
	request.Header.Set(HeaderRequest, call.RequestID)
	request.Header.Set(HeaderVersion, call.Version)
	request.Header.Set(HeaderPriority, strconv.Itoa(int(call.Priority)))
	request.SetBodyRaw(call.Body)
	response, err := c.requests.Do(ctx, address, request, upstream.Options{FreshConnection: call.FreshConnection})
	if err != nil {
		return nil, sendResult(ctx, err)
	}
	if result, refused := refusal(response); refused {
		return nil, result
	}
	return response, outcome.Result{Kind: outcome.Answered, Status: response.Status()}
}

func sendResult(ctx context.Context, err error) outcome.Result {
	result := SendFailure(ErrCall.Wrap(err))
	if ctx.Err() != nil {
		result.Reason = outcome.ReasonCallerGone
	}
	return result
}

// SendFailure returns the result of an attempt that ended without the head of an answer.
func SendFailure(err error) outcome.Result {
	result := outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken, Err: err}
	switch {
	case upstream.ErrNotSent.Has(err):
		result.Kind, result.Reason = outcome.NotRun, outcome.ReasonConnect
	case messagehead.DefectOf(err) != "":
		result.Reason = outcome.ReasonMalformed
	}
	return result
}

// maxRefusalBytes bounds the body of a refusal that is kept for the log.
const maxRefusalBytes = 4 << 10

// refusal recognises answers that are not an answer to the request.
func refusal(response *upstream.Response) (outcome.Result, bool) {
	status := response.Status()
	if response.Header(HeaderNotRun) == "true" {
		body, _ := response.ReadAll(maxRefusalBytes)
		return outcome.Result{
			Kind: outcome.NotRun, Reason: outcome.ReasonRefused, Status: status,
			Err: ErrCall.New("status %d: %s", status, body),
		}, true
	}
	if status >= fasthttp.StatusInternalServerError {
		body, _ := response.ReadAll(maxRefusalBytes)
		return outcome.Result{
			Kind: outcome.Failed, Reason: outcome.ReasonBroken, Status: status,
			Err: ErrCall.New("status %d: %s", status, body),
		}, true
	}
	return outcome.Result{}, false
}
