// Package peer carries messages between daemons: length-prefixed frames with a msgpack body over
// TCP.
//
// Both sides prove that they have the deployment's key before any message is accepted: each sends a
// random challenge, and every frame then carries a MAC under a key derived from the deployment's
// key and both challenges, over the frame's number and body. Messages are not encrypted.
//
// A daemon that cannot reach an address itself can have another daemon, the relay, connect to it
// and forward the bytes: a tunnel. A tunnel goes through one relay only.
//
// Sending never blocks: each peer has a bounded ring, and a message that finds it full is dropped
// and counted. The protocols above repeat all messages between daemons, so a lost one costs only
// time.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/idle"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/ring"
)

// Error classes.
var (
	// ErrListen is the class of failures to listen.
	ErrListen = errs.Class("peer: listen")
	// ErrProtocol is the class of handshake failures and invalid frames.
	ErrProtocol = errs.Class("peer: protocol")
)

const (
	// maxFrameBytes bounds one frame. Deltas have a bound well below it.
	maxFrameBytes = 4 << 20
	// sendRingMessages is how many messages may be queued for one peer, sendRingBytes how many
	// bytes, so that a peer behind a slow link does not exhaust this daemon's memory. A message
	// that exceeds sendRingBytes by itself is still sent.
	sendRingMessages = 64
	sendRingBytes    = 1 << 20
	dialTimeout      = 2 * time.Second
	// frameRoomTimeout is how long a frame waits for room in the memory budget.
	frameRoomTimeout = 2 * time.Second
	// writeTimeout bounds the sending of one frame.
	writeTimeout = 3 * time.Second
	// receiveBufferBytes is what the kernel may buffer of what another daemon sends back before it is read: acknowledgements, or the
	// answers that come through a tunnel.
	receiveBufferBytes = 64 << 10
	// idleTimeout is how long a connection without messages is kept. A daemon sends to the same few
	// others for some seconds, and probes each other one rarely.
	idleTimeout = 10 * time.Second
	// minRedialBackoff is the backoff after a failed attempt to connect. It doubles after each
	// further one, up to maxRedialBackoff. When a whole fleet restarts, most first attempts are too
	// early by less than minRedialBackoff.
	minRedialBackoff = 30 * time.Millisecond
	maxRedialBackoff = 500 * time.Millisecond
	// maxConnections bounds the tracked connections. While it is reached, new ones are not
	// accepted.
	maxConnections = 4096
)

// Handler processes a received message. It must not share the message's slices with others, and
// must not block for long.
type Handler[M any] func(M)

// Transport sends and receives messages of type M for one daemon.
type Transport[M any] struct {
	key      []byte
	handler  Handler[M]
	listener *connlimit.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mutex   sync.Mutex
	senders map[string]*sender
	open    map[net.Conn]bool
	counts  Counts
	// onSilent is called for each connection that is closed because frames stayed unacknowledged;
	// nil if unset.
	onSilent func(address string, unacknowledgedFor time.Duration)
	tunnels  tunnels
	// memory bounds the frames that are being received or handled.
	memory atomic.Pointer[membudget.Budget]
}

// Counts are totals since the start.
type Counts struct {
	BytesSent    uint64
	MessagesSent uint64
	Dropped      uint64
	Rejected     uint64
	// UnacknowledgedClosed counts the connections that were closed because frames stayed unacknowledged.
	UnacknowledgedClosed uint64
}

// Listen opens the transport on an "IP:port" address.
func Listen[M any](address string, key []byte, handler Handler[M]) (*Transport[M], error) {
	listener, err := connlimit.Listen(address, listenerOptions(maxConnections))
	if err != nil {
		return nil, ErrListen.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	transport := &Transport[M]{
		key: key, handler: handler, listener: listener, ctx: ctx, cancel: cancel,
		senders: map[string]*sender{}, open: map[net.Conn]bool{}, tunnels: tunnels{open: map[*relayedTunnel]bool{}},
	}
	transport.group.Go(transport.accept)
	return transport, nil
}

// listenerOptions bounds the incoming connections. Those that have not proved the key give way to others.
func listenerOptions(most int) connlimit.Options {
	return connlimit.Options{Most: most, Limits: func() connlimit.Limits { return connlimit.Limits{} }}
}

// LimitConnections bounds the connections that other daemons may open.
func (t *Transport[M]) LimitConnections(most int) { t.listener.SetMost(most) }

// Listener returns the listener for other daemons.
func (t *Transport[M]) Listener() *connlimit.Listener { return t.listener }

// LimitMemory makes the frames that are being received or handled share a memory budget. A frame waits for room for
// frameRoomTimeout; then its connection is closed.
func (t *Transport[M]) LimitMemory(budget *membudget.Budget) { t.memory.Store(budget) }

// Address returns the address that the transport listens on.
func (t *Transport[M]) Address() string { return t.listener.Addr().String() }

// Counts returns the current totals.
func (t *Transport[M]) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts
}

// Close ends all connections and waits for the transport's goroutines.
func (t *Transport[M]) Close() {
	t.cancel()
	_ = t.listener.Close()
	t.mutex.Lock()
	for conn := range t.open {
		_ = conn.Close()
	}
	t.mutex.Unlock()
	t.group.Wait()
}

// Send queues a message to a peer address.
func (t *Transport[M]) Send(address string, message M) { t.SendAll([]string{address}, message) }

// SendAll queues a message to several peer addresses. The message is encoded once.
func (t *Transport[M]) SendAll(addresses []string, message M) {
	body, err := msgpack.Marshal(&message)
	if err != nil {
		return
	}
	body = compress(body)
	for _, address := range addresses {
		if !t.sender(address).enqueue(body) {
			t.count(func(counts *Counts) { counts.Dropped++ })
		}
	}
}

func (t *Transport[M]) count(change func(*Counts)) {
	t.mutex.Lock()
	change(&t.counts)
	t.mutex.Unlock()
}

// sender sends the queued messages to one peer. It ends after idleTimeout without messages, so that
// addresses of replaced daemons are not kept.
type sender struct {
	address string
	frames  *ring.Ring[[]byte]
	// queuedBytes is the number of bytes in the ring.
	queuedBytes atomic.Int64
	// failures counts the failed attempts to connect since the last successful one.
	failures int
}

// enqueue queues a frame, unless the queue is at one of its bounds.
func (s *sender) enqueue(body []byte) bool {
	size := int64(len(body))
	if before := s.queuedBytes.Add(size) - size; before > 0 && before+size > sendRingBytes || !s.frames.TryPut(body) {
		s.queuedBytes.Add(-size)
		return false
	}
	return true
}

func (t *Transport[M]) sender(address string) *sender {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.senders[address]
	if known == nil {
		known = &sender{address: address, frames: ring.New[[]byte](sendRingMessages)}
		t.senders[address] = known
		if t.ctx.Err() == nil {
			t.group.Go(func() { t.runSender(known) })
		}
	}
	return known
}

func (t *Transport[M]) runSender(s *sender) {
	defer func() {
		t.mutex.Lock()
		delete(t.senders, s.address)
		t.mutex.Unlock()
	}()
	var current *outgoingSession
	defer func() {
		if current != nil {
			t.closeConn(current.conn)
		}
	}()
	for {
		wait, cancel := context.WithTimeout(t.ctx, idleTimeout)
		body, ok := s.frames.Take(wait)
		cancel()
		if !ok || t.ctx.Err() != nil {
			return
		}
		s.queuedBytes.Add(-int64(len(body)))
		current = t.sendBody(s, current, body)
	}
}

// outgoingSession is a session of a sender.
type outgoingSession struct {
	*session
	progress progress
}

// needsReconnect reports whether a session must no longer be used. That is so if the peer has
// closed it, since the first write after that would still succeed, or if frames have been
// unacknowledged for acknowledgeTimeout. Acknowledgements in the socket's receive buffer prove that
// the peer still receives.
func (t *Transport[M]) needsReconnect(s *sender, current *outgoingSession) bool {
	ended, unacknowledgedFor := current.progress.state(time.Now())
	if ended || idle.HasEnded(current.conn) {
		return true
	}
	if unacknowledgedFor < acknowledgeTimeout || !idle.IsOpen(current.conn) {
		return false
	}
	var notify func(address string, unacknowledgedFor time.Duration)
	t.count(func(counts *Counts) {
		counts.UnacknowledgedClosed++
		notify = t.onSilent
	})
	if notify != nil {
		notify(s.address, unacknowledgedFor)
	}
	return true
}

// OnUnacknowledged sets the function that is called for each connection that is closed because frames
// stayed unacknowledged for too long.
func (t *Transport[M]) OnUnacknowledged(notify func(address string, unacknowledgedFor time.Duration)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onSilent = notify
}

// sendBody writes body as one frame to the current session and returns the session to use next, or
// nil. It reconnects if there is no session, or if the session must no longer be used.
func (t *Transport[M]) sendBody(s *sender, current *outgoingSession, body []byte) *outgoingSession {
	if current != nil && t.needsReconnect(s, current) {
		t.closeConn(current.conn)
		current = nil
	}
	if current == nil {
		current = t.connect(s)
	}
	if current == nil {
		t.count(func(counts *Counts) { counts.Dropped++ })
		return nil
	}
	current.progress.recordSend(time.Now())
	if err := current.writeFrame(body); err != nil {
		t.closeConn(current.conn)
		t.count(func(counts *Counts) { counts.Dropped++ })
		return nil
	}
	t.count(func(counts *Counts) {
		counts.MessagesSent++
		counts.BytesSent += uint64(len(body) + frameOverhead)
	})
	return current
}

func (t *Transport[M]) connect(s *sender) *outgoingSession {
	dialer := net.Dialer{Timeout: dialTimeout, Control: connlimit.LimitReceiveBuffer(receiveBufferBytes)}
	conn, err := dialer.DialContext(t.ctx, "tcp", s.address)
	if err == nil {
		// A connection that is opened while the transport closes is not tracked.
		t.track(conn)
		stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
		var opened *session
		opened, err = openSession(conn, t.key, true)
		if stop() && err == nil {
			s.failures = 0
			established := &outgoingSession{session: opened}
			t.group.Go(func() { readAcknowledgements(opened, &established.progress) })
			return established
		}
		t.closeConn(conn)
	}
	backoff := min(minRedialBackoff<<min(s.failures, 8), maxRedialBackoff)
	s.failures++
	select {
	case <-time.After(backoff):
	case <-t.ctx.Done():
	}
	return nil
}

func (t *Transport[M]) track(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil || len(t.open) >= maxConnections {
		return false
	}
	t.open[conn] = true
	return true
}

func (t *Transport[M]) closeConn(conn net.Conn) {
	_ = conn.Close()
	t.mutex.Lock()
	delete(t.open, conn)
	t.mutex.Unlock()
}

func (t *Transport[M]) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(maxRedialBackoff)
			continue
		}
		if !t.track(conn) {
			_ = conn.Close()
			continue
		}
		t.group.Go(func() { t.receive(conn) })
	}
}

func (t *Transport[M]) receive(conn net.Conn) {
	defer t.closeConn(conn)
	session, label, err := handshake(conn, t.key, labelListener, labelDialer, labelTunnel)
	if err != nil {
		t.count(func(counts *Counts) { counts.Rejected++ })
		return
	}
	connlimit.Of(conn).HeadRead()
	if label == labelTunnel {
		t.serveTunnel(session)
		return
	}
	if budget := t.memory.Load(); budget != nil {
		session.memory = budget.Reserve(membudget.PeerFrame)
		session.memory.WaitForRoom(frameRoomTimeout)
	}
	defer session.memory.Release()
	acknowledger := &acknowledger{session: session}
	defer acknowledger.stop()
	for {
		body, err := session.readFrame()
		if err != nil {
			if ErrProtocol.Has(err) || membudget.ErrExhausted.Has(err) {
				t.count(func(counts *Counts) { counts.Rejected++ })
			}
			return
		}
		acknowledger.recordFrame()
		var message M
		if body, err = decompress(body, &session.memory); err == nil {
			err = msgpack.Unmarshal(body, &message)
		}
		if err != nil {
			t.count(func(counts *Counts) { counts.Rejected++ })
			return
		}
		t.handler(message)
	}
}
