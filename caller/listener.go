package caller

import (
	"net"
	"syscall"
	"time"
)

// writeTimeout bounds one write to a caller that does not read. It is set for
// each write, because a stream as a whole may take any time.
const writeTimeout = 30 * time.Second

// listener hands out connections whose writes are bounded.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return boundedConn{accepted}, nil
}

type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(buffer []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// SyscallConn implements syscall.Conn.
func (c boundedConn) SyscallConn() (syscall.RawConn, error) {
	exposed, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return exposed.SyscallConn()
}
