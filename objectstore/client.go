package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/replica"
	"github.com/wheatweir/wheatweir/upstream"
)

// callTimeout bounds a call that does not wait for changes.
const callTimeout = 5 * time.Second

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

// HTTPClient is a Client over HTTP.
type HTTPClient struct {
	address string
	pool    *upstream.Pool
}

// NewHTTPClient returns a client of the platform at an "IP:port" address. Memory bounds what answers that are being read
// occupy.
func NewHTTPClient(address string, memory *membudget.Budget) *HTTPClient {
	settings := upstream.DefaultSettings()
	settings.Memory = memory
	return &HTTPClient{address: address, pool: upstream.NewPool(settings)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.pool.Close() }

func (c *HTTPClient) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	request.SetBody(body)
	response, err := c.pool.Do(ctx, c.address, request, upstream.Options{})
	if err != nil {
		return 0, nil, callError(err)
	}
	answer, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return 0, nil, ErrUnknownOutcome.Wrap(err)
	}
	return response.Status(), answer, nil
}

func callError(err error) error {
	if upstream.ErrNotSent.Has(err) {
		return ErrNotDone.Wrap(err)
	}
	return ErrUnknownOutcome.Wrap(err)
}

// statusError maps statuses that carry no object.
func statusError(status int, body []byte) error {
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable || status >= 400 && status < 500 {
		return ErrNotDone.New("status %d: %.200s", status, body)
	}
	return ErrUnknownOutcome.New("status %d: %.200s", status, body)
}

func objectPath(key api.Key) string {
	return "/v1/objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key api.Key) (api.Object, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, objectPath(key), nil, callTimeout)
	if err != nil {
		return api.Object{}, err
	}
	switch status {
	case fasthttp.StatusOK:
		return decodeObject(body)
	case fasthttp.StatusNotFound:
		return api.Object{Key: key}, nil
	}
	return api.Object{}, statusError(status, body)
}

// Put implements Client.
func (c *HTTPClient) Put(ctx context.Context, object api.Object, ifVersion uint64) (api.Object, error) {
	path := fmt.Sprintf("%s?if_version=%d", objectPath(object.Key), ifVersion)
	status, body, err := c.call(ctx, fasthttp.MethodPut, path, api.Encode(object), callTimeout)
	if err != nil {
		return api.Object{}, err
	}
	switch status {
	case fasthttp.StatusOK:
		return decodeObject(body)
	case fasthttp.StatusConflict:
		current, err := decodeObject(body)
		if err != nil {
			return api.Object{}, err
		}
		return current, ErrConflict.New("%s is at version %d by %s, not %d", object.Key, current.Version, current.Writer, ifVersion)
	}
	return api.Object{}, statusError(status, body)
}

// Changes implements Client.
func (c *HTTPClient) Changes(ctx context.Context, since uint64, wait time.Duration) (replica.Delta, error) {
	kinds := make([]string, len(ReplicatedKinds))
	for i, kind := range ReplicatedKinds {
		kinds[i] = string(kind)
	}
	path := fmt.Sprintf("/v1/changes?since=%d&wait_ms=%d&kinds=%s", since, wait.Milliseconds(), strings.Join(kinds, ","))
	status, body, err := c.call(ctx, fasthttp.MethodGet, path, nil, wait+callTimeout)
	if err != nil {
		return replica.Delta{}, err
	}
	if status != fasthttp.StatusOK {
		return replica.Delta{}, statusError(status, body)
	}
	var answer ChangesAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return replica.Delta{}, ErrUnknownOutcome.Wrap(err)
	}
	return replica.Delta{From: since, Through: answer.Through, Objects: answer.Objects}, nil
}

// ChangesAnswer is the body of the answer to GET /v1/changes.
type ChangesAnswer struct {
	Through uint64       `json:"through"`
	Objects []api.Object `json:"objects"`
}

func decodeObject(body []byte) (api.Object, error) {
	var object api.Object
	if err := json.Unmarshal(body, &object); err != nil {
		return api.Object{}, ErrUnknownOutcome.Wrap(err)
	}
	return object, nil
}
