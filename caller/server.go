package caller

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/tenant"
)

// ErrServer is the class of failures of the server itself.
var ErrServer = errs.Class("caller: server")

const (
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// maxConnections bounds the connections of all callers together.
	maxConnections = 4096
	// relayBufferBytes is the buffer of one streamed answer.
	relayBufferBytes = 4 << 10
	// maxCommandBytes bounds an operator's command.
	maxCommandBytes = 16 << 10
)

// Server takes calls over HTTP.
type Server struct {
	app         *fiber.App
	handler     Handler
	listener    *connlimit.Listener
	hangups     *hangupWatch
	lifetime    *drain.Lifetime
	connections drain.Connections
	cancel      context.CancelFunc
	group       conc.WaitGroup
	// memory bounds the bodies of all calls, maxBodyBytes that of one.
	memory       atomic.Pointer[membudget.Budget]
	maxBodyBytes int
	idPrefix     string
	nextID       atomic.Uint64
	active       atomic.Int64
	lastCall     atomic.Int64
}

// Listen starts a server on an "IP:port" address. The name makes request
// identities unique among daemons.
func Listen(address, name string, maxBodyBytes int, handler Handler) (*Server, error) {
	limited, err := connlimit.Listen(address, listenerOptions(connlimit.Machine{}))
	if err != nil {
		return nil, ErrServer.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		handler:  handler,
		listener: limited,
		hangups:  newHangupWatch(),
		lifetime: drain.NewLifetime(),
		cancel:   cancel,

		maxBodyBytes: maxBodyBytes,

		idPrefix: name + "-" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "-",
	}
	server.memory.Store(membudget.New(0))
	server.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Strings must stay valid after the handler has returned, because
		// streams go on after it.
		Immutable:   true,
		BodyLimit:   maxBodyBytes,
		ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout,
		// The listener bounds the connections.
		Concurrency: maxConnections,
		// Bodies are read into memory that is reserved as they arrive.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 server.handleError,
	})
	server.app.Server().ConnState = server.noteState
	server.routes()
	server.group.Go(func() { server.hangups.run(ctx) })
	server.group.Go(func() { _ = server.app.Listener(server.listener) })
	return server, nil
}

func (s *Server) noteState(conn net.Conn, state fasthttp.ConnState) {
	s.connections.Note(conn, state == fasthttp.StateActive)
	if state == fasthttp.StateIdle {
		connlimit.Of(conn).Rest()
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of calls in progress, streams included.
func (s *Server) Active() int64 { return s.active.Load() }

// QuietFor returns how long ago the last call began.
func (s *Server) QuietFor() time.Duration {
	return time.Since(time.Unix(0, s.lastCall.Load()))
}

// Close stops listening and ends open connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.app.ShutdownWithTimeout(time.Second)
	s.group.Wait()
}

// handleError gives errors of the library, such as an oversized body, the same
// form as our own.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	if known, ok := err.(*fiber.Error); ok {
		status = known.Code
	}
	if status == fiber.StatusRequestEntityTooLarge || status == fiber.StatusRequestHeaderFieldsTooLarge {
		closeUnread(c)
	}
	if status == fiber.StatusRequestTimeout && s.lifetime.Ended() {
		return writeError(c, RefuseStopping())
	}
	result := badRequest("%v", err)
	c.Set(HeaderOutcome, result.Kind.String())
	c.Set(HeaderNotRun, "true")
	return c.Status(status).JSON(errorBody{detailOf(result)})
}

// refuseTwoFramings ends a connection whose request gives a length as well as
// chunks: what follows could be taken for a request that nobody sent.
func refuseTwoFramings(c *fiber.Ctx) error {
	head := c.Request().Header.RawHeaders()
	if !hasField(head, fiber.HeaderContentLength) || !hasField(head, fiber.HeaderTransferEncoding) {
		return c.Next()
	}
	closeUnread(c)
	return fiber.NewError(fiber.StatusBadRequest, "the body has a length and comes in chunks")
}

// hasField reports whether raw header lines have a field of this name.
func hasField(head []byte, name string) bool {
	for _, line := range bytes.Split(head, []byte("\n")) {
		field, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return true
		}
	}
	return false
}

func (s *Server) routes() {
	s.app.Use(noteRequest)
	s.app.Use(refuseTwoFramings)
	s.app.Post("/v1/chat/completions", s.completion)
	s.app.Post("/v1/completions", s.completion)
	s.app.Get("/v1/models", s.models)
	s.app.Get("/v1/addresses", s.addresses)
	s.app.All("/v1/services/:name/*", s.service)
	s.app.Post("/operator/v1/command", s.command)
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", s.metrics)
}

// bearerOf returns the key that a caller sent, or nothing. One that is given more than once is none.
func bearerOf(c *fiber.Ctx) string {
	if len(c.Request().Header.PeekAll(fiber.HeaderAuthorization)) != 1 {
		return ""
	}
	key, found := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerScheme)
	if !found {
		return ""
	}
	return key
}

const bearerScheme = "Bearer "

// newCall returns the call of a request with this body.
func (s *Server) newCall(c *fiber.Ctx, content []byte) *Call {
	return &Call{
		TenantKey: tenant.DigestOf(bearerOf(c)),
		ID:        s.idPrefix + strconv.FormatUint(s.nextID.Add(1), 36),
		Method:    strings.Clone(c.Method()),
		ArrivedAt: time.Now(),
		Body:      content,
	}
}

func headersOf(c *fiber.Ctx) requestHeaders {
	return requestHeaders{
		Priority:      c.Get(HeaderPriority),
		Deadline:      c.Get(HeaderDeadline),
		NotRepeatable: c.Get(HeaderNotRepeatable),
		RequestKey:    c.Get(HeaderRequestKey),
	}
}

func (s *Server) completion(c *fiber.Ctx) error {
	body, err := s.readBody(c, s.maxBodyBytes)
	if err != nil {
		return s.refuseBody(c, err)
	}
	call := s.newCall(c, body.content)
	call.Path = strings.Clone(c.Path())
	if result, ok := decodeCompletion(call, headersOf(c)); !ok {
		body.release()
		return writeError(c, result)
	}
	return s.serve(c, call, body)
}

func (s *Server) service(c *fiber.Ctx) error {
	body, err := s.readBody(c, s.maxBodyBytes)
	if err != nil {
		return s.refuseBody(c, err)
	}
	call := s.newCall(c, body.content)
	call.Service = c.Params("name")
	call.Path = "/" + c.Params("*")
	if query := c.Context().QueryArgs().String(); query != "" {
		call.Path += "?" + query
	}
	call.ContentType = c.Get(fiber.HeaderContentType)
	if result, ok := decodeHeaders(call, headersOf(c)); !ok {
		body.release()
		return writeError(c, result)
	}
	return s.serve(c, call, body)
}

// serve runs a call and sends its answer. The body is released when the call has ended.
func (s *Server) serve(c *fiber.Ctx, call *Call, body *callBody) error {
	c.Set(HeaderRequestID, call.ID)
	if s.lifetime.Drained() {
		body.release()
		return writeError(c, RefuseStopping())
	}
	s.active.Add(1)
	s.lastCall.Store(call.ArrivedAt.UnixNano())
	watched, release := s.hangups.add(c.Context().Conn())
	ctx, unbind := s.bind(watched)
	end := func() {
		unbind()
		release()
		body.release()
		s.active.Add(-1)
	}
	answer, result := s.handler.Serve(ctx, call)
	if answer == nil {
		told := Told(ctx, result)
		end()
		return writeError(c, told)
	}
	c.Status(answer.Status)
	c.Set(fiber.HeaderContentType, answer.ContentType)
	if answer.Stream == nil {
		end()
		c.Context().SetBodyStream(&heldBody{bytes.NewReader(answer.Body), answer.Memory}, len(answer.Body))
		return nil
	}
	c.Set(fiber.HeaderCacheControl, "no-cache")
	stream := answer.Stream
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer end()
		relay(w, stream, func(result outcome.Result) outcome.Result { return Told(ctx, result) })
	})
	return nil
}

// relay copies a stream to the caller and flushes whenever the source has
// nothing more at hand. Tell turns the result into what the caller is told.
func relay(w *bufio.Writer, stream Stream, tell func(outcome.Result) outcome.Result) {
	buffer := make([]byte, relayBufferBytes)
	var deliveryError error
	for deliveryError == nil {
		count, err := stream.Read(buffer)
		if count > 0 {
			_, deliveryError = w.Write(buffer[:count])
		}
		if err != nil {
			break
		}
		if deliveryError == nil && stream.Buffered() == 0 {
			deliveryError = w.Flush()
		}
	}
	result := tell(stream.Finish(deliveryError))
	if result.Kind != outcome.Answered && deliveryError == nil {
		_, _ = w.Write(errorEvent(result))
	}
	_ = w.Flush()
}

// modelList is the usual form of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(c *fiber.Ctx) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range s.handler.Models() {
		list.Data = append(list.Data, newModelItem(model.Name))
		for _, adapter := range model.Adapters {
			list.Data = append(list.Data, newModelItem(model.Name+":"+adapter.Name))
		}
	}
	return c.JSON(list)
}

func newModelItem(id string) modelItem {
	return modelItem{ID: id, Object: "model", OwnedBy: "wheatweir"}
}

func (s *Server) addresses(c *fiber.Ctx) error {
	reference := api.ParseModelReference(c.Query("model"))
	answer, known := s.handler.Addresses(reference.Model)
	if !known {
		return writeError(c, outcome.Refuse(outcome.ReasonStarting, time.Second))
	}
	return c.JSON(answer)
}

func (s *Server) ready(c *fiber.Ctx) error {
	if !s.handler.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (s *Server) metrics(c *fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return s.handler.WriteMetrics(c)
}

func (s *Server) command(c *fiber.Ctx) error {
	content, err := s.readBody(c, maxCommandBytes)
	switch {
	case membudget.ErrTooLarge.Has(err):
		closeUnread(c)
		return writeError(c, badRequest("command is over %d bytes", maxCommandBytes))
	case err != nil:
		return s.refuseBody(c, err)
	}
	defer content.release()
	credential := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), bearerScheme)
	body, status := s.handler.Command(c.Context(), string(content.content), credential)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}
