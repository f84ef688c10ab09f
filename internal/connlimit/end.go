package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	statusUnavailable  = http.StatusServiceUnavailable
	statusHeadTooLarge = http.StatusRequestHeaderFieldsTooLarge
	statusTimeout      = http.StatusRequestTimeout
)

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
		// The rest of a refused request may still be being read.
		c.listener.mutex.Unlock()
		return nil
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
