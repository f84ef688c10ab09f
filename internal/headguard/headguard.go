// Package headguard lets an HTTP server refuse requests whose head may be read in two ways as to where the body ends, such as one
// that gives both a length and chunks. The standard library decides for one of them silently; what another reader takes for
// the body would then be run as a request.
//
// The guard follows the bytes of a connection beside the library, in any split and over any number of requests that come without
// waiting for answers. A request passes only if the guard and the library read its framing alike.
package headguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

type contextKey struct{}

// Listener hands out connections whose requests are followed.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn holds the verdicts on the heads that were read and not asked for yet, in their order.
type conn struct {
	net.Conn
	mutex    sync.Mutex
	scanner  scanner
	verdicts []verdict
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.mutex.Lock()
		c.verdicts = c.scanner.scan(buffer[:count], c.verdicts)
		c.mutex.Unlock()
	}
	return count, err
}

// next returns the verdict on the next head, or false if the scanner did not find it.
func (c *conn) next() (verdict, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.verdicts) == 0 {
		return verdict{}, false
	}
	first := c.verdicts[0]
	c.verdicts = c.verdicts[:copy(c.verdicts, c.verdicts[1:])]
	return first, true
}

// NetConn returns the connection whose requests are followed.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	exposed, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return exposed.SyscallConn()
}

// SetLinger implements the method of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return syscall.EINVAL
	}
	return lingering.SetLinger(seconds)
}

// ConnContext is the ConnContext of the http.Server that serves the Listener. The server must hand all requests to its
// handler (http.Server.DisableGeneralOptionsHandler).
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, accepted)
}

// Ambiguous reports whether the end of a request's body may be read in two ways. It must be called exactly once for each request
// of a connection, and the connection be closed after a request for which it is true.
func Ambiguous(request *http.Request) bool {
	guarded, ok := request.Context().Value(contextKey{}).(*conn)
	if !ok {
		return false
	}
	found, known := guarded.next()
	chunked := len(request.TransferEncoding) > 0
	switch {
	case !known || found.ambiguous || found.chunked != chunked:
		return true
	default:
		return !chunked && found.length != request.ContentLength
	}
}
