// Package idle checks whether idle connections are still usable.
package idle

import (
	"net"
	"syscall"
)

// IsOpen reports whether conn is open and has no unread data, without blocking. Connections that do not
// expose a file descriptor are assumed to be open.
func IsOpen(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return open && err == nil
}
