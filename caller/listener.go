package caller

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// writeTimeout bounds one write to a caller that does not read. It is set for
	// each write, because a stream as a whole may take any time.
	writeTimeout = 30 * time.Second
	// lingerTime and lingerBytes bound what is read from a caller after its
	// request was refused.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
)

// listener hands out connections whose writes are bounded.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: accepted}, nil
}

type boundedConn struct {
	net.Conn
	// unread says that a request was refused before all of it was read.
	unread atomic.Bool
}

// leftUnread notes that the rest of a request will not be read.
func leftUnread(conn net.Conn) {
	if bounded, ok := conn.(*boundedConn); ok {
		bounded.unread.Store(true)
	}
}

// Write implements net.Conn.
func (c *boundedConn) Write(buffer []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn. Closing with unread bytes resets the connection, and
// a reset can overtake the answer; so the rest of a refused request is read first.
func (c *boundedConn) Close() error {
	if c.unread.Swap(false) {
		c.linger()
	}
	return c.Conn.Close()
}

// linger ends the own side of the connection and reads until the caller ends its
// side, within bounds.
func (c *boundedConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// SyscallConn implements syscall.Conn.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	exposed, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return exposed.SyscallConn()
}
