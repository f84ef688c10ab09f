// Package headguard lets an HTTP server refuse requests whose head gives both a
// length and chunks. The standard library drops the length silently, so that what
// a sender that goes by the length takes for a body would be run as a request.
package headguard

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// maxHead bounds what is kept of one request's beginning.
const maxHead = 64 << 10

type contextKey struct{}

// Listener hands out connections that remember the beginning of each request.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn keeps what was read since the end of the last request.
type conn struct {
	net.Conn
	mutex sync.Mutex
	head  []byte
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.mutex.Lock()
		if room := maxHead - len(c.head); room > 0 {
			c.head = append(c.head, buffer[:min(count, room)]...)
		}
		c.mutex.Unlock()
	}
	return count, err
}

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

// ConnContext is the ConnContext of the http.Server that serves the Listener.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, accepted)
}

// Ambiguous reports whether a request's head frames its body twice, or can't be
// looked at although the body comes in chunks. It is asked once for each request,
// after the body was read, and forgets what was kept for it.
func Ambiguous(request *http.Request) bool {
	guarded, ok := request.Context().Value(contextKey{}).(*conn)
	if !ok {
		return false
	}
	guarded.mutex.Lock()
	defer guarded.mutex.Unlock()
	head := guarded.head
	guarded.head = guarded.head[:0]
	if len(request.TransferEncoding) == 0 {
		return false
	}
	end := bytes.Index(head, []byte("\r\n\r\n"))
	return end < 0 || hasField(head[:end], "Content-Length")
}

// hasField reports whether a head has a field of this name.
func hasField(head []byte, name string) bool {
	for _, line := range bytes.Split(head, []byte("\r\n")) {
		found, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(found), []byte(name)) {
			return true
		}
	}
	return false
}
