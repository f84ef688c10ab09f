package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/internal/connlimit"
)

// Error classes of tunnels.
var (
	// ErrRelay means that the relay could not be reached, or did not answer.
	ErrRelay = errs.Class("peer: relay")
	// ErrRelayNoRoute means that the relay itself cannot reach addresses like the target.
	ErrRelayNoRoute = errs.Class("peer: relay is cut off")
	// ErrRelayDeclined means that the relay accepts no more tunnels, or none to this address.
	ErrRelayDeclined = errs.Class("peer: relay declined")
	// ErrTarget means that the relay could not connect to the target.
	ErrTarget = errs.Class("peer: target")
)

// tunnelStatus is the relay's answer to the request for a tunnel.
type tunnelStatus byte

const (
	tunnelOpen tunnelStatus = iota
	tunnelRefused
	tunnelUnreachable
	tunnelNoRoute
	tunnelDeclined
)

const (
	// maxTunnels bounds the tunnels that are relayed at once.
	maxTunnels = 512
	// maxTargetBytes bounds the address of a target.
	maxTargetBytes = 256
	// maxChunkBytes bounds a chunk of the bytes from the target.
	maxChunkBytes = 8 << 10
	// chunkHeaderBytes is the size of the length before each chunk.
	chunkHeaderBytes = 2
	// endMarker is the length that marks the end: the target has closed its side. Without it, a
	// connection that ends because its relay ends would look like a complete answer.
	endMarker = 0
	// retiringMarker is the length that marks a relay that is about to stop.
	retiringMarker = 0xffff
	// targetConnectTimeout bounds the connecting to a target, and tunnelOpenTimeout the whole
	// opening of a tunnel.
	targetConnectTimeout = 250 * time.Millisecond
	tunnelOpenTimeout    = 2 * time.Second
)

// ServeTunnels sets how the transport connects to targets for other daemons. The function connect returns
// an error of the class ErrRelayNoRoute or ErrRelayDeclined if this daemon cannot or may not do so.
// Unless ServeTunnels is called, tunnels are declined.
func (t *Transport[M]) ServeTunnels(connect func(ctx context.Context, target string) (net.Conn, error)) {
	t.tunnels.mutex.Lock()
	defer t.tunnels.mutex.Unlock()
	t.tunnels.connect = connect
}

// DrainTunnels declines new tunnels, and notifies the other daemons so that they begin nothing new on the
// open ones.
func (t *Transport[M]) DrainTunnels() {
	t.tunnels.mutex.Lock()
	t.tunnels.retiring = true
	var open []*relayedTunnel
	for tunnel := range t.tunnels.open {
		open = append(open, tunnel)
	}
	t.tunnels.mutex.Unlock()
	for _, tunnel := range open {
		t.group.Go(tunnel.sendRetiring)
	}
}

// TunnelCount returns how many tunnels are open at this relay.
func (t *Transport[M]) TunnelCount() int {
	t.tunnels.mutex.Lock()
	defer t.tunnels.mutex.Unlock()
	return len(t.tunnels.open)
}

// DialTunnel requests the daemon at the peer address relay to connect to a target, and returns the
// connection through it.
func (t *Transport[M]) DialTunnel(ctx context.Context, relay, target string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelOpenTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig, Control: connlimit.LimitReceiveBuffer(receiveBufferBytes)}
	conn, err := dialer.DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	tunnel, err := openTunnel(conn, t.key, target)
	if !stop() && err == nil {
		err = ErrRelay.Wrap(ctx.Err())
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tunnel, nil
}

// openTunnel requests a tunnel on a new connection.
func openTunnel(conn net.Conn, key []byte, target string) (*tunnelConn, error) {
	opened, _, err := handshake(conn, key, labelTunnel, labelListener)
	if err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	if err := opened.writeFrame([]byte(target)); err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	// The status is read from the connection, not through the session's buffer: code that peeks at
	// the socket must see all unread bytes.
	var status [1]byte
	if _, err := io.ReadFull(conn, status[:]); err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	switch tunnelStatus(status[0]) {
	case tunnelOpen:
		return &tunnelConn{Conn: conn}, nil
	case tunnelRefused:
		return nil, ErrTarget.Wrap(&net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED})
	case tunnelUnreachable:
		return nil, ErrTarget.Wrap(&net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded})
	case tunnelNoRoute:
		return nil, ErrRelayNoRoute.New("%s", conn.RemoteAddr())
	default:
		return nil, ErrRelayDeclined.New("%s", conn.RemoteAddr())
	}
}

// tunnelConn is the near end of a tunnel. It has no buffer of its own, so that code that peeks at
// the socket sees whether something has arrived.
type tunnelConn struct {
	net.Conn
	// remaining is the number of bytes of the current chunk that are still to be read.
	remaining int
	ended     bool
	// retiring means that the relay is about to stop.
	retiring atomic.Bool
}

// Retiring reports whether no new request should begin on the connection.
func (c *tunnelConn) Retiring() bool { return c.retiring.Load() }

// SyscallConn gives access to the socket that leads to the relay.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Read returns io.EOF only if the target has closed its side.
func (c *tunnelConn) Read(buffer []byte) (int, error) {
	for c.remaining == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var header [chunkHeaderBytes]byte
		if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
			return 0, asUnexpectedEOF(err)
		}
		switch length := int(binary.BigEndian.Uint16(header[:])); {
		case length == endMarker:
			c.ended = true
		case length == retiringMarker:
			c.retiring.Store(true)
		case length > maxChunkBytes:
			return 0, ErrProtocol.New("invalid tunnel chunk length of %d bytes", length)
		default:
			c.remaining = length
		}
	}
	count, err := c.Conn.Read(buffer[:min(len(buffer), c.remaining)])
	c.remaining -= count
	if count > 0 {
		return count, nil
	}
	return 0, asUnexpectedEOF(err)
}

// asUnexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, so that it does not look like a proper
// end.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// tunnels are the tunnels that a transport relays.
type tunnels struct {
	mutex    sync.Mutex
	connect  func(ctx context.Context, target string) (net.Conn, error)
	open     map[*relayedTunnel]bool
	retiring bool
}

// add registers a tunnel, unless new ones are declined.
func (t *tunnels) add(tunnel *relayedTunnel) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.retiring || t.connect == nil || len(t.open) >= maxTunnels {
		return false
	}
	t.open[tunnel] = true
	return true
}

func (t *tunnels) isRetiring() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.retiring
}

func (t *tunnels) remove(tunnel *relayedTunnel) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, tunnel)
}

// relayedTunnel is a tunnel at its relay.
type relayedTunnel struct {
	session *session
	target  net.Conn
	// writeMutex keeps the writes of chunks from interleaving.
	writeMutex sync.Mutex
}

// serveTunnel relays one tunnel until either side ends.
func (t *Transport[M]) serveTunnel(session *session) {
	session.maxFrame = maxTargetBytes
	body, err := session.readFrame()
	if err != nil {
		t.count(func(counts *Counts) { counts.Rejected++ })
		return
	}
	if err := session.conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	tunnel := &relayedTunnel{session: session}
	if !t.tunnels.add(tunnel) {
		_, _ = session.conn.Write([]byte{byte(tunnelDeclined)})
		return
	}
	defer t.tunnels.remove(tunnel)
	enableKeepAlive(session.conn)
	if err := t.connectTarget(tunnel, string(body)); err != nil {
		return
	}
	defer tunnel.target.Close()
	stop := context.AfterFunc(t.ctx, func() { _ = tunnel.target.Close() })
	defer stop()
	t.group.Go(tunnel.copyToTarget)
	if t.tunnels.isRetiring() {
		t.group.Go(tunnel.sendRetiring)
	}
	tunnel.copyFromTarget()
}

// connectTarget connects a tunnel to its target and sends the resulting status to the near end.
func (t *Transport[M]) connectTarget(tunnel *relayedTunnel, target string) error {
	ctx, cancel := context.WithTimeout(t.ctx, targetConnectTimeout)
	defer cancel()
	conn, err := t.tunnels.connect(ctx, target)
	tunnel.writeMutex.Lock()
	defer tunnel.writeMutex.Unlock()
	if err != nil {
		_, _ = tunnel.session.conn.Write([]byte{byte(statusOf(err))})
		return err
	}
	tunnel.target = conn
	if _, err := tunnel.session.conn.Write([]byte{byte(tunnelOpen)}); err != nil {
		_ = conn.Close()
		return err
	}
	return nil
}

// keepAliveConfig ends tunnels whose other end has disappeared without closing the connection.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func enableKeepAlive(conn net.Conn) {
	if limited := connlimit.Of(conn); limited != nil {
		conn = limited.NetConn()
	}
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetKeepAliveConfig(keepAliveConfig)
	}
}

func statusOf(err error) tunnelStatus {
	switch {
	case ErrRelayNoRoute.Has(err):
		return tunnelNoRoute
	case ErrRelayDeclined.Has(err):
		return tunnelDeclined
	case errors.Is(err, syscall.ECONNREFUSED):
		return tunnelRefused
	default:
		return tunnelUnreachable
	}
}

// copyToTarget forwards the bytes to the target. When the near end closes, so does the connection
// to the target.
func (c *relayedTunnel) copyToTarget() {
	defer c.target.Close()
	buffer := make([]byte, maxChunkBytes)
	for {
		count, err := c.session.reader.Read(buffer)
		if count > 0 {
			if _, writeErr := c.target.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyFromTarget forwards the bytes from the target, and its end.
func (c *relayedTunnel) copyFromTarget() {
	// A chunk is written together with its header.
	buffer := make([]byte, chunkHeaderBytes+maxChunkBytes)
	for {
		count, err := c.target.Read(buffer[chunkHeaderBytes:])
		if count > 0 && c.writeChunk(buffer[:chunkHeaderBytes+count], uint16(count)) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = c.writeChunk(buffer[:chunkHeaderBytes], endMarker)
		}
		if err != nil {
			return
		}
	}
}

// chunkWriteTimeout bounds the writing of a chunk. It is long because a near end whose client is
// slow reads slowly.
const chunkWriteTimeout = 30 * time.Second

// writeChunk sends one chunk. The first chunkHeaderBytes of chunk are reserved for its header.
func (c *relayedTunnel) writeChunk(chunk []byte, length uint16) error {
	binary.BigEndian.PutUint16(chunk, length)
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if err := c.session.conn.SetWriteDeadline(time.Now().Add(chunkWriteTimeout)); err != nil {
		return err
	}
	_, err := c.session.conn.Write(chunk)
	return err
}

// sendRetiring notifies the near end that this relay is about to stop.
func (c *relayedTunnel) sendRetiring() {
	c.writeMutex.Lock()
	connected := c.target != nil
	c.writeMutex.Unlock()
	if connected {
		_ = c.writeChunk(make([]byte, chunkHeaderBytes), retiringMarker)
	}
}
