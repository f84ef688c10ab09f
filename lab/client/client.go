// Package client is a caller of wheatweir that checks what it gets: it asks
// which addresses to use, keeps the answer as long as it may, connects there
// itself, and checks every byte of an answer against its own request.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/lab/payload"
)

// Classes of errors.
var (
	// ErrCall is the class of calls that got no answer and no refusal.
	ErrCall = errs.Class("client: call")
	// ErrWrongAnswer is the class of answers that are not whole or not ours.
	ErrWrongAnswer = errs.Class("client: wrong answer")
)

// Request is one call.
type Request struct {
	Model    string
	Prompt   string
	Tokens   int
	Stream   bool
	Priority string
	Deadline time.Duration
	// Key, if set, marks the request as not to be repeated.
	Key string
	// TenantKey is the key of the caller's tenant.
	TenantKey string
	// Service, if set, makes this a call of a plain service.
	Service string
}

// Answer is what came of a call.
type Answer struct {
	// Outcome is "answered", or the outcome that a refusal states.
	Outcome string
	Reason  string
	Status  int
	// RetryAfter is when the refusal says to come back.
	RetryAfter time.Duration
	// FirstToken is the time to the first token and PerToken the mean time
	// between tokens after it.
	FirstToken time.Duration
	PerToken   time.Duration
	Total      time.Duration
	Daemon     string
}

// Client calls the daemons. It is safe for concurrent use.
type Client struct {
	bootstrap []string
	http      *http.Client
	// questions makes calls whose answers are not checked against the request, one on each connection.
	questions *http.Client

	mutex sync.Mutex
	known map[string]knownAddresses
}

type knownAddresses struct {
	addresses []string
	until     time.Time
}

// New returns a client that asks the given addresses which to use.
func New(bootstrap []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 30 * time.Second}
	return &Client{
		bootstrap: bootstrap, http: &http.Client{Transport: transport}, questions: newQuestionClient(), known: map[string]knownAddresses{},
	}
}

// newQuestionClient returns a client that takes no malformed heads for answers.
func newQuestionClient() *http.Client {
	var dialer net.Dialer
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return messagehead.NewResponseConn(conn), nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// Close closes unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// SetBootstrap changes the addresses that are asked which to use.
func (c *Client) SetBootstrap(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bootstrap = addresses
}

type addressesAnswer struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
}

// Addresses returns the addresses to use for a model.
func (c *Client) Addresses(ctx context.Context, model string) ([]string, error) {
	c.mutex.Lock()
	known, found := c.known[model]
	bootstrap := c.bootstrap
	c.mutex.Unlock()
	if found && time.Now().Before(known.until) {
		return known.addresses, nil
	}
	var failure error
	for _, index := range rand.Perm(len(bootstrap)) {
		answer, err := c.askAddresses(ctx, bootstrap[index], model)
		if err != nil || len(answer.Addresses) == 0 {
			failure = err
			continue
		}
		until := time.Now().Add(time.Duration(answer.KeepSeconds) * time.Second)
		c.mutex.Lock()
		c.known[model] = knownAddresses{answer.Addresses, until}
		c.mutex.Unlock()
		return answer.Addresses, nil
	}
	return nil, ErrCall.New("no daemon gave addresses: %v", failure)
}

func (c *Client) askAddresses(ctx context.Context, address, model string) (addressesAnswer, error) {
	var answer addressesAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses?model="+model, nil)
	if err != nil {
		return answer, ErrCall.Wrap(err)
	}
	response, err := c.questions.Do(request)
	if err != nil {
		return answer, ErrCall.Wrap(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, ErrCall.Wrap(err)
	}
	return answer, nil
}

// Do makes a call at one of the addresses for its model.
func (c *Client) Do(ctx context.Context, request Request) (Answer, error) {
	model, _, _ := strings.Cut(request.Model, ":")
	addresses, err := c.Addresses(ctx, model)
	if err != nil {
		return Answer{}, err
	}
	return c.DoAt(ctx, addresses[rand.IntN(len(addresses))], request)
}

// DoAt makes a call at one daemon and checks its answer.
func (c *Client) DoAt(ctx context.Context, address string, request Request) (Answer, error) {
	began := time.Now()
	response, err := c.send(ctx, address, request)
	if err != nil {
		return Answer{Daemon: address}, ErrCall.Wrap(err)
	}
	defer response.Body.Close()
	answer := Answer{Status: response.StatusCode, Daemon: address}
	switch {
	case response.StatusCode != http.StatusOK:
		err = readRefusal(response, &answer)
	case request.Service != "":
		err = checkService(response.Body, request, &answer)
	case request.Stream:
		err = checkStream(response.Body, request, began, &answer)
	default:
		err = checkWhole(response.Body, request, &answer)
	}
	answer.Total = time.Since(began)
	return answer, err
}

type completionBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func messagesOf(request Request) []message {
	return []message{{Role: "user", Content: request.Prompt}}
}

// seedOf returns the number that the right answer is derived from.
func seedOf(request Request) uint64 {
	encoded, err := json.Marshal(messagesOf(request))
	if err != nil {
		return 0
	}
	return payload.Seed(string(encoded))
}

func (c *Client) send(ctx context.Context, address string, request Request) (*http.Response, error) {
	url := "http://" + address + "/v1/chat/completions"
	body, err := json.Marshal(completionBody{
		Model: request.Model, Stream: request.Stream, MaxTokens: request.Tokens, Messages: messagesOf(request),
	})
	if err != nil {
		return nil, err
	}
	if request.Service != "" {
		url = "http://" + address + "/v1/services/" + request.Service + "/run"
		body = []byte(request.Prompt)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The standard client repeats calls with a body on broken connections
	// unless it cannot read the body again.
	call.GetBody = nil
	call.Header.Set("Content-Type", "application/json")
	if request.TenantKey != "" {
		call.Header.Set("Authorization", "Bearer "+request.TenantKey)
	}
	if request.Priority != "" {
		call.Header.Set("X-Priority", request.Priority)
	}
	if request.Deadline > 0 {
		call.Header.Set("X-Deadline-Ms", fmt.Sprint(request.Deadline.Milliseconds()))
	}
	if request.Key != "" {
		call.Header.Set("X-Request-Key", request.Key)
		call.Header.Set("X-Not-Repeatable", "true")
	}
	return c.http.Do(call)
}

type errorBody struct {
	Error struct {
		Message      string `json:"message"`
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func readRefusal(response *http.Response, answer *Answer) error {
	var body errorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Outcome == "" {
		return ErrWrongAnswer.New("status %d without a stated outcome", response.StatusCode)
	}
	answer.Outcome = body.Error.Outcome
	answer.Reason = body.Error.Code
	answer.RetryAfter = time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	return nil
}

func checkService(body io.Reader, request Request, answer *Answer) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return ErrCall.Wrap(err)
	}
	if string(text) != "done: "+request.Prompt {
		return ErrWrongAnswer.New("service answered %.80q to %.80q", text, request.Prompt)
	}
	answer.Outcome = "answered"
	return nil
}

type chunk struct {
	Choices []struct {
		Delta   *message `json:"delta"`
		Message *message `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func checkWhole(body io.Reader, request Request, answer *Answer) error {
	var piece chunk
	if err := json.NewDecoder(body).Decode(&piece); err != nil {
		return ErrCall.Wrap(err)
	}
	if len(piece.Choices) != 1 || piece.Choices[0].Message == nil {
		return ErrWrongAnswer.New("answer without a message")
	}
	want := payload.Text(seedOf(request), request.Tokens)
	if got := piece.Choices[0].Message.Content; got != want {
		return ErrWrongAnswer.New("%d bytes that differ from the %d expected", len(got), len(want))
	}
	answer.Outcome = "answered"
	return nil
}

const eventPrefix = "data: "

func checkStream(body io.Reader, request Request, began time.Time, answer *Answer) error {
	seed := seedOf(request)
	tokens := 0
	var first, last time.Time
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), eventPrefix)
		if !found {
			continue
		}
		if data == "[DONE]" {
			return finishStream(request, answer, tokens, began, first, last)
		}
		var piece chunk
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			return ErrWrongAnswer.Wrap(err)
		}
		if piece.Error != nil {
			answer.Outcome, answer.Reason = piece.Error.Outcome, piece.Error.Code
			return nil
		}
		if len(piece.Choices) != 1 || piece.Choices[0].Delta == nil || piece.Choices[0].Delta.Content != payload.Token(seed, tokens) {
			return ErrWrongAnswer.New("token %d is not ours: %.120s", tokens, data)
		}
		last = time.Now()
		if tokens == 0 {
			first = last
		}
		tokens++
	}
	return ErrCall.New("stream ended after %d tokens: %v", tokens, scanner.Err())
}

func finishStream(request Request, answer *Answer, tokens int, began, first, last time.Time) error {
	if tokens != request.Tokens {
		return ErrWrongAnswer.New("%d tokens instead of %d", tokens, request.Tokens)
	}
	answer.Outcome = "answered"
	answer.FirstToken = first.Sub(began)
	if tokens > 1 {
		answer.PerToken = last.Sub(first) / time.Duration(tokens-1)
	}
	return nil
}
