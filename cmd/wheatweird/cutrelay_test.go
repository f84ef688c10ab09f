package main

import (
	"io"
	"net"
	"sync"
)

// cutRelay passes connections on to a daemon until it is cut; then it closes them and takes no more. While it is held, nothing
// passes in either direction, and nothing is lost.
type cutRelay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	isCut    bool
	open     map[net.Conn]bool
	// held is locked by what passes, and by whoever holds the relay.
	held sync.RWMutex
	// isHeld says that the relay is held; only the test uses it.
	isHeld bool
}

// hold holds everything up, or lets it pass again.
func (r *cutRelay) hold(held bool) {
	switch {
	case held && !r.isHeld:
		r.held.Lock()
	case !held && r.isHeld:
		r.held.Unlock()
	}
	r.isHeld = held
}

// heldWriter writes once the relay is not held.
type heldWriter struct {
	relay *cutRelay
	conn  net.Conn
}

// Write implements io.Writer.
func (w heldWriter) Write(content []byte) (int, error) {
	w.relay.held.RLock()
	defer w.relay.held.RUnlock()
	return w.conn.Write(content)
}

func newCutRelay(target string) (*cutRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &cutRelay{listener: listener, target: target, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *cutRelay) address() string { return r.listener.Addr().String() }

func (r *cutRelay) accept() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(incoming)
	}
}

func (r *cutRelay) pass(incoming net.Conn) {
	defer incoming.Close()
	outgoing, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer outgoing.Close()
	r.mutex.Lock()
	if r.isCut {
		r.mutex.Unlock()
		return
	}
	r.open[incoming], r.open[outgoing] = true, true
	r.mutex.Unlock()
	go func() {
		_, _ = io.Copy(heldWriter{r, outgoing}, incoming)
		_ = outgoing.Close()
	}()
	_, _ = io.Copy(heldWriter{r, incoming}, outgoing)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, incoming)
	delete(r.open, outgoing)
}

// restore takes connections again after a cut.
func (r *cutRelay) restore() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isCut = false
}

func (r *cutRelay) cut() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isCut = true
	for conn := range r.open {
		_ = conn.Close()
	}
}

func (r *cutRelay) close() {
	r.hold(false)
	_ = r.listener.Close()
	r.cut()
}
