package connlimit

import (
	"bytes"
	"io"
	"net"
	"os"
	"time"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

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
