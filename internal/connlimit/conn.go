package connlimit

import (
	"bytes"
	"container/list"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

const (
	statusUnavailable  = http.StatusServiceUnavailable
	statusHeadTooLarge = http.StatusRequestHeaderFieldsTooLarge
	statusTimeout      = http.StatusRequestTimeout
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

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	for {
		if err := c.beforeRead(); err != nil {
			return 0, err
		}
		count, err := c.Conn.Read(buffer)
		if count > 0 {
			if err := c.received(buffer[:count]); err != nil {
				return 0, err
			}
			return count, err
		}
		if err == nil || !os.IsTimeout(err) || !c.mayReadOn() {
			return count, c.readFailed(err)
		}
	}
}

// beforeRead sets the deadline of the phase.
func (c *Conn) beforeRead() error {
	c.listener.mutex.Lock()
	if c.leaving && c.phase != inService {
		c.listener.mutex.Unlock()
		return c.giveWay()
	}
	defer c.listener.mutex.Unlock()
	if c.phase == inService {
		return nil
	}
	if c.phase == awaitingRequest {
		c.limits = c.listener.options.Limits()
	}
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// readDeadline is the earlier of the phase's deadline and the server's. The listener's mutex must be held.
func (c *Conn) readDeadline() time.Time {
	span := c.limits.IdleTimeout
	if c.phase == readingHead {
		span = c.limits.HeadTimeout
	}
	if span == 0 {
		return c.deadline
	}
	own := c.since.Add(span)
	if !c.deadline.IsZero() && c.deadline.Before(own) {
		return c.deadline
	}
	return own
}

// mayReadOn reports whether a read that has timed out has time left after all, as limits have changed meanwhile.
func (c *Conn) mayReadOn() bool {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.leaving || c.phase == inService {
		return false
	}
	c.limits = c.listener.options.Limits()
	deadline := c.readDeadline()
	return deadline.IsZero() || deadline.After(time.Now())
}

// readFailed returns the error of a read that has failed.
func (c *Conn) readFailed(err error) error {
	c.listener.mutex.Lock()
	leaving, current := c.leaving && c.phase != inService, c.phase
	ended := c.deadline.IsZero() || c.deadline.After(time.Now())
	c.listener.mutex.Unlock()
	switch {
	case leaving:
		return c.giveWay()
	case err == nil || !os.IsTimeout(err) || !ended:
		return err
	case current == readingHead:
		c.listener.count(func(counts *Counts) { counts.TimedOut++ })
		c.refuse(statusTimeout, "timeout")
		return io.EOF
	case current == readingBody:
		c.listener.count(func(counts *Counts) { counts.TimedOut++ })
		return ErrTimeout.New("no byte of the body for %v", c.limits.IdleTimeout)
	default:
		return err
	}
}

// giveWay ends the connection for another one. A client that has begun a request is told so.
func (c *Conn) giveWay() error {
	c.listener.mutex.Lock()
	current := c.phase
	c.listener.mutex.Unlock()
	switch current {
	case readingHead:
		c.refuse(statusUnavailable, "connections")
		return io.EOF
	case readingBody:
		return ErrGaveWay.New("the connection was needed for another one")
	default:
		return io.EOF
	}
}

// received takes in bytes that were read.
func (c *Conn) received(data []byte) error {
	c.listener.mutex.Lock()
	switch c.phase {
	case awaitingRequest:
		c.phase, c.since = readingHead, time.Now()
	case readingBody:
		c.since = time.Now()
	}
	current, limit := c.phase, c.limits.HeadBytes
	c.listener.mutex.Unlock()
	if current != readingHead {
		return nil
	}
	c.headBytes += len(data)
	if limit > 0 && c.headBytes > limit+lookaheadBytes {
		c.listener.count(func(counts *Counts) { counts.HeadsTooLarge++ })
		c.refuse(statusHeadTooLarge, "head_too_large")
		return io.EOF
	}
	c.headLines += bytes.Count(data, []byte{'\n'})
	return c.reserveHead()
}

// reserveHead reserves the memory of the head so far. While there is none, larger heads give way.
func (c *Conn) reserveHead() error {
	if c.listener.options.Memory == nil || c.headBytes <= freeHeadBytes {
		return nil
	}
	size := int64(headByteCost*c.headBytes + headLineCost*c.headLines)
	err := c.resizeHead(size)
	for until := time.Now().Add(roomTimeout); membudget.ErrExhausted.Has(err) && time.Now().Before(until); err = c.resizeHead(size) {
		if !c.listener.giveWayToHead(size) {
			break
		}
		time.Sleep(roomInterval)
	}
	if membudget.ErrExhausted.Has(err) {
		c.listener.count(func(counts *Counts) { counts.HeadsWithoutRoom++ })
		c.refuse(statusUnavailable, "no_memory")
		return io.EOF
	}
	return err
}

// resizeHead reserves memory for the head, unless the connection was closed.
func (c *Conn) resizeHead(size int64) error {
	c.memoryMutex.Lock()
	defer c.memoryMutex.Unlock()
	if c.memoryGone {
		return net.ErrClosed
	}
	if err := c.memory.Resize(size); err != nil {
		return err
	}
	c.headMemory.Store(size)
	return nil
}

// releaseHead gives the memory of the head back.
func (c *Conn) releaseHead(gone bool) {
	c.memoryMutex.Lock()
	defer c.memoryMutex.Unlock()
	c.memory.Release()
	c.headMemory.Store(0)
	c.memoryGone = c.memoryGone || gone
}

// refusalOf is an answer to a request that was not received.
func refusalOf(status int, reason string) []byte {
	body := reason + "\n"
	retry := ""
	if status == statusUnavailable {
		retry = "Retry-After: 0.5\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), retry, body)
}

// refuse tells the client that its request is not received. What the server writes after it is dropped.
func (c *Conn) refuse(status int, reason string) {
	if !c.listener.options.Refusals || c.refused.Swap(true) {
		return
	}
	c.LingerOnClose()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(refusalOf(status, reason))
}

// Write implements net.Conn. A client that takes nothing for IdleTimeout ends it.
func (c *Conn) Write(data []byte) (written int, err error) {
	if c.refused.Load() {
		return len(data), nil
	}
	c.listener.mutex.Lock()
	span := c.limits.IdleTimeout
	c.listener.mutex.Unlock()
	defer c.writingSince.Store(0)
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		if span > 0 {
			if err := c.boundWrite(span); err != nil {
				return written, err
			}
		}
		c.writingSince.Store(time.Now().UnixNano())
		count, err := c.Conn.Write(piece)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// boundWrite sets the deadline of a write, unless the connection gives way.
func (c *Conn) boundWrite(span time.Duration) error {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.leaving && c.phase == inService {
		return ErrGaveWay.New("the client does not read")
	}
	if c.leaving {
		span = min(span, refusalTimeout)
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(span))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mutex.Lock()
	if c.closed {
		c.listener.mutex.Unlock()
		return c.Conn.Close()
	}
	c.closed = true
	c.listener.remove(c)
	c.listener.counts.Open--
	if c.leaving {
		c.listener.leaving--
	}
	// A server that rejects what it has read without handling it closes the connection right after its answer.
	rejected := c.phase == inService && !c.handled
	lingers := (c.lingers || rejected && c.listener.options.Refusals) && c.listener.mayLinger()
	c.listener.mutex.Unlock()
	c.releaseHead(true)
	if !lingers {
		return c.Conn.Close()
	}
	go func() {
		defer c.listener.endLinger()
		linger(c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}

// linger ends the own side of a connection and reads until the client ends its side, within bounds.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
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
