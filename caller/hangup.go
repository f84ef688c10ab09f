package caller

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// hangupScan is the time between two looks at the callers' connections.
const hangupScan = 250 * time.Millisecond

// hangupWatch notices callers that hung up. The HTTP library tells of that
// only when a write fails, which is too late for a request that still waits:
// its place in a batch would be spent on an answer nobody reads.
type hangupWatch struct {
	mutex   sync.Mutex
	entries map[*hangupEntry]bool
}

type hangupEntry struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newHangupWatch() *hangupWatch {
	return &hangupWatch{entries: map[*hangupEntry]bool{}}
}

// add returns a context that ends when the caller hangs up. The function must
// be called when the request has ended.
func (w *hangupWatch) add(conn net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	exposed, ok := conn.(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := exposed.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	entry := &hangupEntry{raw: raw, cancel: cancel}
	w.mutex.Lock()
	w.entries[entry] = true
	w.mutex.Unlock()
	return ctx, func() {
		w.mutex.Lock()
		delete(w.entries, entry)
		w.mutex.Unlock()
		cancel()
	}
}

// run scans until ctx ends.
func (w *hangupWatch) run(ctx context.Context) {
	ticker := time.NewTicker(hangupScan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.scan()
		}
	}
}

func (w *hangupWatch) scan() {
	w.mutex.Lock()
	entries := make([]*hangupEntry, 0, len(w.entries))
	for entry := range w.entries {
		entries = append(entries, entry)
	}
	w.mutex.Unlock()
	for _, entry := range entries {
		if hungUp(entry.raw) {
			entry.cancel()
		}
	}
}

// hungUp looks at a connection without taking bytes from it.
func hungUp(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			gone = count == 0
		case err == syscall.EAGAIN || err == syscall.EINTR:
		default:
			gone = true
		}
	})
	return gone || err != nil
}
