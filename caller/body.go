package caller

import (
	"bytes"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/outcome"
)

const (
	// bodyFirstBytes is the size of the first buffer of a body, which is not reserved.
	bodyFirstBytes = 4 << 10
	// ReasonNoMemory is the reason of calls whose body finds no memory.
	ReasonNoMemory outcome.Reason = "no_memory"
	// ReasonConnections is that of calls whose connection gave way to another one while their body arrived.
	ReasonConnections outcome.Reason = "connections"
	// bodyRetryAfter is when to come back after such a refusal.
	bodyRetryAfter = 500 * time.Millisecond
)

// listenerOptions bounds the connections of callers. The library bounds heads and the times for reading.
func listenerOptions(machine connlimit.Machine) connlimit.Options {
	limits := connlimit.Limits{IdleTimeout: idleTimeout}
	return connlimit.Options{Most: mostConnections(machine), Limits: func() connlimit.Limits { return limits }, Refusals: true}
}

func mostConnections(machine connlimit.Machine) int {
	return min(maxConnections, machine.Connections(connlimit.Caller))
}

// LimitConnections bounds the connections by what a machine has.
func (s *Server) LimitConnections(machine connlimit.Machine) {
	s.listener.SetMost(mostConnections(machine))
}

// LimitMemory bounds the bodies of all calls together.
func (s *Server) LimitMemory(memory *membudget.Budget) { s.memory.Store(memory) }

// Listener returns the listener for callers.
func (s *Server) Listener() *connlimit.Listener { return s.listener }

// noteRequest notes at its connection that a request is handled.
func noteRequest(c *fiber.Ctx) error {
	conn := connlimit.Of(c.Context().Conn())
	conn.HeadRead()
	conn.Handle()
	return c.Next()
}

// closeUnread has the connection closed after the answer, without the rest of the request.
func closeUnread(c *fiber.Ctx) {
	connlimit.Of(c.Context().Conn()).LingerOnClose()
	c.Response().SetConnectionClose()
}

// callBody is the body of a call, in memory that it has reserved.
type callBody struct {
	content []byte
	memory  membudget.Reservation
}

func (b *callBody) release() { b.memory.Release() }

// readBody reads a body of at most limit bytes.
func (s *Server) readBody(c *fiber.Ctx, limit int) (*callBody, error) {
	body := &callBody{memory: s.memory.Load().Reserve(membudget.RequestBody)}
	source := c.Context().RequestBodyStream()
	if source == nil {
		body.content = append([]byte(nil), c.Body()...)
		return body, nil
	}
	if c.Request().Header.ContentLength() > limit {
		return nil, membudget.ErrTooLarge.New("more than %d bytes", limit)
	}
	conn := connlimit.Of(c.Context().Conn())
	conn.ReadBody()
	content, err := body.memory.ReadAll(source, bodyFirstBytes, int64(limit))
	if stays := conn.Serve(); err == nil && !stays {
		err = connlimit.ErrGaveWay.New("the call has just arrived")
	}
	if err != nil {
		body.release()
		return nil, err
	}
	body.content = content
	return body, nil
}

// refuseBody answers a call whose body was not read.
func (s *Server) refuseBody(c *fiber.Ctx, err error) error {
	closeUnread(c)
	switch {
	case membudget.ErrTooLarge.Has(err):
		return fiber.NewError(http.StatusRequestEntityTooLarge, err.Error())
	case membudget.ErrExhausted.Has(err):
		return writeError(c, outcome.Refuse(ReasonNoMemory, bodyRetryAfter))
	case connlimit.ErrGaveWay.Has(err):
		return writeError(c, outcome.Refuse(ReasonConnections, bodyRetryAfter))
	case s.lifetime.Ended():
		return writeError(c, RefuseStopping())
	default:
		return fiber.NewError(http.StatusRequestTimeout, "the body did not arrive")
	}
}

// heldBody is the body of a whole answer. It holds its memory until it is written.
type heldBody struct {
	*bytes.Reader
	memory membudget.Reservation
}

// Close implements io.Closer. The library calls it when the answer is written, or cannot be.
func (b *heldBody) Close() error {
	b.memory.Release()
	return nil
}
