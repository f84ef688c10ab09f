// Package idle checks whether idle connections are still usable.
package idle

import (
	"net"
	"syscall"
)

// HasEnded reports whether the other side has closed or reset conn, without blocking. Unread data hides the end behind it.
// Connections that do not expose a file descriptor are assumed to be open.
func HasEnded(conn net.Conn) bool {
	waiting, err := peek(conn)
	return !waiting && err != syscall.EAGAIN
}

// IsOpen reports whether conn is open and has no unread data, without blocking. Connections that do not
// expose a file descriptor are assumed to be open.
func IsOpen(conn net.Conn) bool {
	_, err := peek(conn)
	return err == syscall.EAGAIN
}

// peek looks at a connection without taking bytes from it. It reports whether data waits to be read; the error is EAGAIN if
// there is none yet.
func peek(conn net.Conn) (waiting bool, err error) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false, syscall.EAGAIN
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false, err
	}
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		var count int
		count, _, failed = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = failed == nil && count > 0
	})
	if err != nil {
		return false, err
	}
	return waiting, failed
}
