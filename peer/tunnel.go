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
)

// Classes of errors of tunnels.
var (
	// ErrRelay means that the other daemon could not be reached, or did not answer.
	ErrRelay = errs.Class("peer: relay")
	// ErrRelayCut means that the other daemon reaches no such address itself.
	ErrRelayCut = errs.Class("peer: relay is cut off")
	// ErrRelayDeclined means that the other daemon carries no more tunnels, or not to this address.
	ErrRelayDeclined = errs.Class("peer: relay declined")
	// ErrTarget means that the other daemon could not connect to the address.
	ErrTarget = errs.Class("peer: target")
)

// tunnelStatus is the answer to the request for a tunnel.
type tunnelStatus byte

const (
	tunnelOpen tunnelStatus = iota
	tunnelRefused
	tunnelUnreachable
	tunnelNoRoute
	tunnelDeclined
)

const (
	// maxTunnels bounds the tunnels that are carried at once.
	maxTunnels = 512
	// maxPieceBytes bounds a piece of the bytes on their way back.
	maxChunkBytes = 8 << 10
	// pieceHeadBytes is the length before each piece.
	chunkHeaderBytes = 2
	// lastPiece is the length that stands for the end: the target has closed its side. Without it, a connection that
	// ends with its carrier would look like an answer that ended well.
	endMarker = 0
	// retiringPiece is the length that stands for a carrier that is about to stop.
	retiringMarker = 0xffff
	// targetTimeout bounds the connecting to a target, and tunnelTimeout the whole opening of a tunnel.
	targetConnectTimeout = 250 * time.Millisecond
	tunnelOpenTimeout    = 2 * time.Second
)

// Carry tells a transport how to connect to targets for other daemons. Connect returns an error of the class
// ErrRelayCut or ErrRelayDeclined if this daemon cannot or may not do so. Without it, tunnels are declined.
func (t *Transport[M]) Carry(connect func(ctx context.Context, target string) (net.Conn, error)) {
	t.tunnels.mutex.Lock()
	defer t.tunnels.mutex.Unlock()
	t.tunnels.connect = connect
}

// Retire carries no more tunnels, and has the other daemons begin nothing new on those that are open.
func (t *Transport[M]) Retire() {
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

// Tunnels returns how many tunnels are carried now.
func (t *Transport[M]) Tunnels() int {
	t.tunnels.mutex.Lock()
	defer t.tunnels.mutex.Unlock()
	return len(t.tunnels.open)
}

// Tunnel has the daemon at a peer address connect to a target, and returns the connection through it.
func (t *Transport[M]) Tunnel(ctx context.Context, relay, target string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelOpenTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig}
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

// openTunnel asks for a tunnel on a new connection.
func openTunnel(conn net.Conn, key []byte, target string) (*tunnelConn, error) {
	opened, _, err := handshake(conn, key, labelTunnel, labelListener)
	if err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	if err := opened.writeFrame([]byte(target)); err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	// Past the session's buffer: whoever looks at the socket must see all that is unread.
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
		return nil, ErrRelayCut.New("%s", conn.RemoteAddr())
	default:
		return nil, ErrRelayDeclined.New("%s", conn.RemoteAddr())
	}
}

// tunnelConn is the near end of a tunnel. It has no buffer of its own, so that whoever looks at the socket sees
// whether something has come.
type tunnelConn struct {
	net.Conn
	// left is what is still to be read of the current piece.
	remaining int
	ended     bool
	// retiring says that the carrier is about to stop.
	retiring atomic.Bool
}

// Retiring reports whether nothing new should begin on the connection.
func (c *tunnelConn) Retiring() bool { return c.retiring.Load() }

// SyscallConn gives access to the socket to the carrier.
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
			return 0, ErrProtocol.New("piece of %d bytes", length)
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

// unexpected returns an error that does not look like a proper end.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// tunnels are those that a transport carries.
type tunnels struct {
	mutex    sync.Mutex
	connect  func(ctx context.Context, target string) (net.Conn, error)
	open     map[*relayedTunnel]bool
	retiring bool
}

// add counts a tunnel, unless no more are carried.
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

// carried is a tunnel at its carrier.
type relayedTunnel struct {
	session *session
	target  net.Conn
	// writing keeps pieces whole.
	writeMutex sync.Mutex
}

// carry carries one tunnel until either side ends.
func (t *Transport[M]) serveTunnel(session *session) {
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

// connectTarget connects a tunnel to its target and tells the near end what came of it.
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

// keepAlive ends tunnels whose other end has gone without a word.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func enableKeepAlive(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetKeepAliveConfig(keepAliveConfig)
	}
}

func statusOf(err error) tunnelStatus {
	switch {
	case ErrRelayCut.Has(err):
		return tunnelNoRoute
	case ErrRelayDeclined.Has(err):
		return tunnelDeclined
	case errors.Is(err, syscall.ECONNREFUSED):
		return tunnelRefused
	default:
		return tunnelUnreachable
	}
}

// forward carries the bytes to the target. When the near end closes, so does the connection to the target.
func (c *relayedTunnel) copyToTarget() {
	defer c.target.Close()
	buffer := make([]byte, maxChunkBytes)
	for {
		count, err := c.session.reader.Read(buffer)
		if count > 0 {
			if _, failed := c.target.Write(buffer[:count]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// back carries the bytes from the target, and its end.
func (c *relayedTunnel) copyFromTarget() {
	// A piece is written together with its head.
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

// pieceTimeout bounds the writing of a piece: a near end whose client is slow reads slowly.
const chunkWriteTimeout = 30 * time.Second

// write sends one piece whose bytes stand behind room for its head.
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

// retire tells the near end that this carrier is about to stop.
func (c *relayedTunnel) sendRetiring() {
	c.writeMutex.Lock()
	connected := c.target != nil
	c.writeMutex.Unlock()
	if connected {
		_ = c.writeChunk(make([]byte, chunkHeaderBytes), retiringMarker)
	}
}
