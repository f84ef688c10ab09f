package objectstore

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	client "github.com/wheatweir/wheatweir/objectstore"
)

// ErrServer is the class of failures of the server.
var ErrServer = errs.Class("objectstore")

// Faults are the faults of the server that can be switched while it runs.
type Faults struct {
	Down bool `json:"down"`
	// LostAnswers is the share of writes whose answer is lost after the write
	// took effect.
	LostAnswers float64 `json:"lost_answers"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
}

// Server serves a Core over HTTP.
type Server struct {
	app      *fiber.App
	listener net.Listener
	group    conc.WaitGroup

	mutex   sync.Mutex
	core    *Core
	faults  Faults
	changed chan struct{}
	closed  chan struct{}
}

// advanceInterval is how often the lagging machine list is looked at.
const advanceInterval = 100 * time.Millisecond

// Listen starts a server on an "IP:port" address.
func Listen(address string, settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrServer.Wrap(err)
	}
	server := &Server{
		listener: listener,
		core:     NewCore(settings),
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
		app:      fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true}),
	}
	server.app.Get("/v1/objects/:kind/:name", server.get)
	server.app.Put("/v1/objects/:kind/:name", server.put)
	server.app.Get("/v1/changes", server.changes)
	server.app.Put("/lab/machines/:name", server.putMachine)
	server.app.Put("/lab/faults", server.putFaults)
	server.group.Go(func() { _ = server.app.Listener(listener) })
	server.group.Go(server.advance)
	return server, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *Server) Close() {
	close(s.closed)
	_ = s.app.ShutdownWithTimeout(time.Second)
	s.group.Wait()
}

// SetFaults changes the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.core.SetDown(faults.Down)
	s.wake()
}

// Do runs a function on the core under the server's lock.
func (s *Server) Do(change func(now time.Time, core *Core)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(time.Now(), s.core)
	s.wake()
}

// wake ends the wait of all watches. The lock must be held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// advance wakes watches when the lagging machine list changes.
func (s *Server) advance() {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-ticker.C:
			s.mutex.Lock()
			before := s.core.Version()
			s.core.advance(now)
			if s.core.Version() != before {
				s.wake()
			}
			s.mutex.Unlock()
		}
	}
}

func (s *Server) delay() {
	s.mutex.Lock()
	delay := s.faults.Delay
	s.mutex.Unlock()
	time.Sleep(delay)
}

func keyOf(c *fiber.Ctx) api.Key {
	return api.Key{Kind: api.Kind(c.Params("kind")), Name: c.Params("name")}
}

func (s *Server) get(c *fiber.Ctx) error {
	s.delay()
	s.mutex.Lock()
	object, status := s.core.Get(time.Now(), keyOf(c))
	s.mutex.Unlock()
	if status == OK && object.Version == 0 {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return answer(c, object, status)
}

func answer(c *fiber.Ctx, object api.Object, status Status) error {
	switch status {
	case Conflict:
		c.Status(fiber.StatusConflict)
	case Limited:
		return c.SendStatus(fiber.StatusTooManyRequests)
	case Down:
		return c.SendStatus(fiber.StatusServiceUnavailable)
	case TooLarge:
		return c.SendStatus(fiber.StatusRequestEntityTooLarge)
	}
	return c.JSON(object)
}

func (s *Server) put(c *fiber.Ctx) error {
	s.delay()
	var object api.Object
	if err := json.Unmarshal(c.Body(), &object); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	object.Key = keyOf(c)
	s.mutex.Lock()
	stored, status := s.core.Put(time.Now(), object, uint64(c.QueryInt("if_version")))
	lost := status == OK && rand.Float64() < s.faults.LostAnswers
	s.wake()
	s.mutex.Unlock()
	if lost {
		return c.Context().Conn().Close()
	}
	return answer(c, stored, status)
}

// changes serves a watch. While it waits it counts as one call.
func (s *Server) changes(c *fiber.Ctx) error {
	s.delay()
	since := uint64(c.QueryInt("since"))
	deadline := time.Now().Add(time.Duration(c.QueryInt("wait_ms")) * time.Millisecond)
	var kinds []api.Kind
	for _, kind := range strings.Split(c.Query("kinds"), ",") {
		kinds = append(kinds, api.Kind(kind))
	}
	s.mutex.Lock()
	status := s.core.Admit(time.Now())
	s.mutex.Unlock()
	if status != OK {
		return answer(c, api.Object{}, status)
	}
	for {
		s.mutex.Lock()
		objects, through := s.core.Changes(time.Now(), since, kinds)
		down := s.core.IsDown()
		changed := s.changed
		s.mutex.Unlock()
		if down {
			return answer(c, api.Object{}, Down)
		}
		if len(objects) > 0 || !time.Now().Before(deadline) {
			return c.JSON(client.ChangesAnswer{Through: through, Objects: objects})
		}
		if !s.wait(changed, deadline) {
			return answer(c, api.Object{}, Down)
		}
	}
}

// wait waits for a change or the deadline. It returns false when the server
// closes.
func (s *Server) wait(changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-s.closed:
		return false
	}
	return true
}

func (s *Server) putMachine(c *fiber.Ctx) error {
	var machine api.Machine
	if err := json.Unmarshal(c.Body(), &machine); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	machine.Name = c.Params("name")
	s.Do(func(now time.Time, core *Core) { core.SetMachine(now, machine) })
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) putFaults(c *fiber.Ctx) error {
	var faults Faults
	if err := json.Unmarshal(c.Body(), &faults); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	s.SetFaults(faults)
	return c.SendStatus(fiber.StatusOK)
}
