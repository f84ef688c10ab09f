package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is what a proxy does to the bytes that pass it.
type link uint8

// Kinds of links.
const (
	// linkSound passes everything on.
	linkSound link = iota
	// linkSlow holds every piece back for a while.
	linkSlow
	// linkSilent passes nothing on, in neither direction, and says nothing.
	linkSilent
	// linkDeafForward passes nothing on towards the target.
	linkDeafForward
	// linkDeafBackward passes nothing on towards the caller.
	linkDeafBackward
)

var linkNames = [...]string{"sound", "slow", "silent", "deaf forward", "deaf backward"}

// String returns the name used in logs.
func (l link) String() string { return linkNames[l] }

func (l link) passes(forward bool) bool {
	switch l {
	case linkSilent:
		return false
	case linkDeafForward:
		return !forward
	case linkDeafBackward:
		return forward
	default:
		return true
	}
}

const (
	proxyDelay  = 120 * time.Millisecond
	proxyBuffer = 16 << 10
	dialTimeout = time.Second
)

// proxy is a TCP proxy on loopback whose link can be harmed. What a silent link holds
// up is passed on when it heals, unless the connection has ended.
type proxy struct {
	listener net.Listener

	mutex   sync.Mutex
	target  string
	link    link
	changed chan struct{}
	open    map[net.Conn]bool
	paths   map[*path]bool
	closed  bool
}

// path is one connection through a proxy.
type path struct {
	// severed is what the path has become for good, as a link; sound if nothing.
	severed atomic.Uint32
}

// passes reports whether the path still carries anything in one direction.
func (p *path) passes(forward bool) bool { return link(p.severed.Load()).passes(forward) }

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrSoak.Wrap(err)
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}, paths: map[*path]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// retarget sends new connections elsewhere.
func (p *proxy) retarget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = address
}

// set harms or heals the link.
func (p *proxy) set(state link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = state
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) state() (link, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.link, p.changed
}

// sever makes the connections of now silent for good, in the directions that a link does not pass, while new ones work: what
// comes is taken, and dropped.
func (p *proxy) sever(state link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for path := range p.paths {
		path.severed.Store(uint32(state))
	}
}

// addPath returns a path that can be severed. The function ends it.
func (p *proxy) addPath() (made *path, end func()) {
	made = &path{}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paths[made] = true
	return made, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.paths, made)
	}
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	p.open = map[net.Conn]bool{}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) accept() {
	for {
		incoming, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(incoming)
	}
}

// keep notes a connection, unless the proxy has been closed.
func (p *proxy) keep(conn net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.open[conn] = true
	return true
}

func (p *proxy) drop(conn net.Conn) {
	p.mutex.Lock()
	delete(p.open, conn)
	p.mutex.Unlock()
	_ = conn.Close()
}

func (p *proxy) serve(incoming net.Conn) {
	defer p.drop(incoming)
	if !p.keep(incoming) {
		return
	}
	p.mutex.Lock()
	target := p.target
	p.mutex.Unlock()
	outgoing, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		if tcp, ok := incoming.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	defer p.drop(outgoing)
	if !p.keep(outgoing) {
		return
	}
	path, end := p.addPath()
	defer end()
	var group sync.WaitGroup
	group.Go(func() { p.copy(path, outgoing, incoming, true) })
	group.Go(func() { p.copy(path, incoming, outgoing, false) })
	group.Wait()
}

// copy passes bytes on in one direction. An orderly end is passed on as such; any
// other ends both directions.
func (p *proxy) copy(path *path, to, from net.Conn, forward bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if !p.waitPassable(forward) {
			return
		}
		if !path.passes(forward) {
			if err != nil {
				return
			}
			continue
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
			_ = half.CloseWrite()
			return
		}
		_ = to.Close()
		return
	}
}

// waitPassable waits until the link passes bytes on. It reports false if the proxy
// is closed.
func (p *proxy) waitPassable(forward bool) bool {
	for {
		state, changed := p.state()
		if state == linkSlow {
			time.Sleep(proxyDelay)
		}
		p.mutex.Lock()
		closed := p.closed
		p.mutex.Unlock()
		if closed {
			return false
		}
		if state.passes(forward) {
			return true
		}
		<-changed
	}
}
