package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	peer "github.com/wheatweir/wheatweir/engine"
	"github.com/wheatweir/wheatweir/lab/payload"
)

// ErrServer is the class of failures of the server.
var ErrServer = errs.Class("engine server")

// defaultOutputTokens is used when a request does not bound its answer.
const defaultOutputTokens = 32

// Server serves a Core over HTTP in real time.
type Server struct {
	app      *fiber.App
	listener net.Listener
	group    conc.WaitGroup

	mutex   sync.Mutex
	core    *Core
	streams map[string]chan Event
	wake    chan struct{}
	closed  chan struct{}
	silent  bool
}

// Listen starts a server on an "IP:port" address.
func Listen(address string, settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrServer.Wrap(err)
	}
	server := &Server{
		listener: listener,
		core:     NewCore(settings, BootIdentity(time.Now())),
		streams:  map[string]chan Event{},
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		app:      fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true}),
	}
	server.app.Get("/control/report", server.report)
	server.app.Post("/control/orders", server.order)
	server.app.Post("/v1/chat/completions", server.completion)
	server.app.Post("/v1/completions", server.completion)
	server.group.Go(func() { _ = server.app.Listener(listener) })
	server.group.Go(server.run)
	return server, nil
}

// BootIdentity returns an identity whose text order is the time order.
func BootIdentity(now time.Time) string { return fmt.Sprintf("%016x", now.UnixNano()) }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and cuts off its requests.
func (s *Server) Close() {
	close(s.closed)
	_ = s.app.ShutdownWithTimeout(100 * time.Millisecond)
	s.group.Wait()
}

// Do runs a function on the core under the server's lock.
func (s *Server) Do(change func(now time.Time, core *Core)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(time.Now(), s.core)
}

// Silence makes the engine run requests and hand out no tokens from now on.
func (s *Server) Silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = true
}

// idleWait is how long the batch loop sleeps when there is no step under way.
const idleWait = time.Second

// run ends each step at its time and hands the tokens out.
func (s *Server) run() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		for _, event := range s.core.Advance(time.Now()) {
			if stream := s.streams[event.ID]; stream != nil && !s.silent {
				stream <- event
			}
		}
		next := s.core.NextStep()
		s.mutex.Unlock()
		wait := idleWait
		if !next.IsZero() {
			wait = max(time.Until(next), 0)
		}
		timer.Reset(wait)
		select {
		case <-s.closed:
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

func (s *Server) report(c *fiber.Ctx) error {
	s.mutex.Lock()
	report := s.core.Report(time.Now())
	s.mutex.Unlock()
	return c.JSON(report)
}

func (s *Server) order(c *fiber.Ctx) error {
	var order api.Order
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	s.mutex.Lock()
	err := s.core.Order(time.Now(), order)
	s.mutex.Unlock()
	if err != nil {
		return c.Status(fiber.StatusConflict).SendString(err.Error())
	}
	return c.SendString("{}")
}

type completionBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
}

// PromptText returns the part of a body that answers are derived from.
func PromptText(messages, prompt []byte) string {
	if len(messages) > 0 {
		return string(messages)
	}
	return string(prompt)
}

// bytesPerToken turns the length of a prompt into tokens.
const bytesPerToken = 4

func (s *Server) completion(c *fiber.Ctx) error {
	var body completionBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return notRun(c, fiber.StatusBadRequest, err)
	}
	prompt := PromptText(body.Messages, body.Prompt)
	seed := payload.Seed(prompt)
	request := newRequest(c, &body, prompt, seed)
	stream := make(chan Event, request.OutputTokens)
	s.mutex.Lock()
	err := s.core.Submit(time.Now(), request)
	if err == nil {
		s.streams[request.ID] = stream
	}
	s.mutex.Unlock()
	if err != nil {
		return notRun(c, fiber.StatusServiceUnavailable, err)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if !body.Stream {
		return s.whole(c, request, seed, stream)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, conn, request, seed, stream) })
	return nil
}

func newRequest(c *fiber.Ctx, body *completionBody, prompt string, seed uint64) Request {
	reference := api.ParseModelReference(body.Model)
	tokens := body.MaxTokens
	if tokens <= 0 {
		tokens = defaultOutputTokens
	}
	priority, _ := strconv.Atoi(c.Get(peer.HeaderPriority))
	return Request{
		ID:       c.Get(peer.HeaderRequest),
		Artifact: api.Artifact{Model: reference.Model, Version: c.Get(peer.HeaderVersion), Adapter: reference.Adapter},
		Priority: api.Priority(priority), Prompt: seed, PromptTokens: len(prompt) / bytesPerToken, OutputTokens: tokens,
	}
}

func notRun(c *fiber.Ctx, status int, err error) error {
	c.Set(peer.HeaderNotRun, "true")
	return c.Status(status).SendString(err.Error())
}

func (s *Server) forget(request Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.Cancel(request.ID)
	delete(s.streams, request.ID)
}

// next waits for a token. It returns false when the server closes.
func (s *Server) next(stream <-chan Event) (Event, bool) {
	select {
	case event := <-stream:
		return event, true
	case <-s.closed:
		return Event{}, false
	}
}

func (s *Server) stream(w *bufio.Writer, conn net.Conn, request Request, seed uint64, stream <-chan Event) {
	defer s.forget(request)
	for {
		event, ok := s.next(stream)
		if !ok {
			// A stream that is cut must not look like one that ended.
			_ = conn.Close()
			return
		}
		if err := writeToken(w, request.ID, payload.Token(seed, event.Index), event.Last); err != nil {
			return
		}
		if err := w.Flush(); err != nil || event.Last {
			return
		}
	}
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func writeToken(w *bufio.Writer, id, text string, last bool) error {
	piece := chunk{ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: &message{Content: text}}}}
	if last {
		reason := "stop"
		piece.Choices[0].FinishReason = &reason
	}
	encoded, err := json.Marshal(piece)
	if err != nil {
		return err
	}
	end := "\n\n"
	if last {
		end = "\n\ndata: [DONE]\n\n"
	}
	_, err = w.WriteString("data: " + string(encoded) + end)
	return err
}

func (s *Server) whole(c *fiber.Ctx, request Request, seed uint64, stream <-chan Event) error {
	defer s.forget(request)
	var text strings.Builder
	for {
		event, ok := s.next(stream)
		if !ok {
			return c.SendStatus(fiber.StatusInternalServerError)
		}
		text.WriteString(payload.Token(seed, event.Index))
		if event.Last {
			break
		}
	}
	reason := "stop"
	return c.JSON(chunk{ID: request.ID, Object: "chat.completion", Choices: []choice{
		{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &reason},
	}})
}
