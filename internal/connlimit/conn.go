package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

// phase is how far a connection is with its next request.
type phase uint8

const (
	awaitingRequest phase = iota
	readingHead
	readingBody
	inService
)

// Conn is a connection of a Listener. One goroutine at a time reads from it, as an HTTP server does.
type Conn struct {
	net.Conn
	listener *Listener

	// The fields up to closed are guarded by the listener's mutex.
	place   *list.List
	element *list.Element
	// leaving means that the connection has to give way.
	leaving bool
	phase   phase
	// since is when the phase began, or the last byte of a body came.
	since  time.Time
	limits Limits
	// deadline is what the server has set for reads; zero if nothing.
	deadline time.Time
	// placed is when the connection came into its list.
	placed time.Time
	// served means that a request was served before, handled that the server handles the one whose head was read, and lingers that the
	// rest of a request is to be read before the connection is closed.
	served, handled, lingers, closed bool

	headBytes int
	headLines int
	// memoryMutex guards the memory of the head, as servers close connections that are being read. The memory is not reserved any more
	// once it was given up.
	memoryMutex sync.Mutex
	memory      membudget.Reservation
	memoryGone  bool
	// headMemory is what the memory holds, for others.
	headMemory atomic.Int64
	// refused means that the client was told that its request is not received.
	refused atomic.Bool
	// writingSince is when a write began that has not ended, in nanoseconds; zero if there is none.
	writingSince atomic.Int64
}

// Of returns the Conn that a connection wraps; nil if it wraps none.
func Of(conn net.Conn) *Conn {
	for {
		switch known := conn.(type) {
		case *Conn:
			return known
		case interface{ NetConn() net.Conn }:
			conn = known.NetConn()
		default:
			return nil
		}
	}
}

// NetConn returns the connection that is limited.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// NoteState takes in a state that an http.Server reports.
func NoteState(conn net.Conn, state http.ConnState) {
	limited := Of(conn)
	switch {
	case limited == nil:
	case state == http.StateActive:
		limited.HeadRead()
	case state == http.StateIdle:
		limited.Rest()
	}
}

// HeadRead notes that the head of a request was read, or that it cannot be. The connection no longer gives way.
func (c *Conn) HeadRead() {
	if c == nil {
		return
	}
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.leaving {
		// The head was read just as the connection was to give way.
		c.leaving = false
		c.listener.leaving--
	}
	c.enter(inService, &c.listener.serving)
}

// Handle notes that the server handles the request whose head was read.
func (c *Conn) Handle() {
	if c == nil {
		return
	}
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.handled = true
}

// ReadBody notes that the body of a request is read. Until it is whole, the connection may give way.
func (c *Conn) ReadBody() {
	if c == nil {
		return
	}
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	place := &c.listener.fresh
	if c.served {
		place = &c.listener.kept
	}
	c.enter(readingBody, place)
}

// Serve notes that a request was received whole. It reports false if the connection has to give way meanwhile, so that the request must
// be refused.
func (c *Conn) Serve() bool {
	if c == nil {
		return true
	}
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.enter(inService, &c.listener.serving)
	return !c.leaving
}

// Rest notes that a request has ended and that the connection waits for another one.
func (c *Conn) Rest() {
	if c == nil {
		return
	}
	c.releaseHead(false)
	c.headBytes, c.headLines = 0, 0
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.served, c.handled = true, false
	c.enter(awaitingRequest, &c.listener.kept)
}

// LingerOnClose has the rest of a request that was refused read, within bounds, before the connection is closed.
func (c *Conn) LingerOnClose() {
	if c == nil {
		return
	}
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.lingers = true
}

// enter begins a phase. A connection that gives way stays out of the lists. The listener's mutex must be held.
func (c *Conn) enter(next phase, place *list.List) {
	c.phase, c.since = next, time.Now()
	if c.leaving || c.closed {
		return
	}
	c.listener.move(c, place)
	if next == inService {
		// No limit of this package holds for reads that wait for the client's end.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// wake ends a read that waits, or a write if the request is in service. The listener's mutex must be held.
func (c *Conn) wake() {
	if c.phase == inService {
		_ = c.Conn.SetDeadline(time.Now())
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.deadline = deadline
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	exposed, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return exposed.SyscallConn()
}

// SetLinger implements the method of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return syscall.EINVAL
	}
	return lingering.SetLinger(seconds)
}
