// Package service is a stand-in for a plain service, such as one that books
// berths: it answers with what it was sent and logs every execution.
package service

import (
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
)

// ErrServer is the class of failures of the server.
var ErrServer = errs.Class("service server")

// Server is one machine of a plain service.
type Server struct {
	app      *fiber.App
	listener net.Listener
	group    conc.WaitGroup
	mutex    sync.Mutex
	// executions counts the runs for each request body.
	executions map[string]int
	// dropAfter makes every n-th call run and then lose its answer.
	dropEvery int
	calls     int
	silent    bool
	closed    chan struct{}
}

// Listen starts a server. With dropEvery n > 0, every n-th call runs and its
// connection is closed without an answer.
func Listen(address string, dropEvery int) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrServer.Wrap(err)
	}
	server := &Server{
		listener: listener, executions: map[string]int{}, dropEvery: dropEvery, closed: make(chan struct{}),
		app: fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true}),
	}
	server.app.All("/*", server.run)
	server.group.Go(func() { _ = server.app.Listener(listener) })
	return server, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *Server) Close() {
	close(s.closed)
	_ = s.app.ShutdownWithTimeout(100 * time.Millisecond)
	s.group.Wait()
}

// Silence makes the server run calls and answer none of them from now on.
func (s *Server) Silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = true
}

// Executions returns how often each body was run.
func (s *Server) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]int, len(s.executions))
	for body, count := range s.executions {
		copied[body] = count
	}
	return copied
}

func (s *Server) run(c *fiber.Ctx) error {
	body := string(append([]byte(nil), c.Body()...))
	s.mutex.Lock()
	s.executions[body]++
	s.calls++
	drop := s.dropEvery > 0 && s.calls%s.dropEvery == 0
	silent := s.silent
	s.mutex.Unlock()
	if silent {
		<-s.closed
		return c.Context().Conn().Close()
	}
	if drop {
		return c.Context().Conn().Close()
	}
	return c.SendString("done: " + body)
}
