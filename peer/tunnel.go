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
	tunnelUnreached
	tunnelCut
	tunnelDeclined
)

const (
	// maxTunnels bounds the tunnels that are carried at once.
	maxTunnels = 512
	// maxPieceBytes bounds a piece of the bytes on their way back.
	maxPieceBytes = 8 << 10
	// pieceHeadBytes is the length before each piece.
	pieceHeadBytes = 2
	// lastPiece is the length that stands for the end: the target has closed its side. Without it, a connection that
	// ends with its carrier would look like an answer that ended well.
	lastPiece = 0
	// retiringPiece is the length that stands for a carrier that is about to stop.
	retiringPiece = 0xffff
	// targetTimeout bounds the connecting to a target, and tunnelTimeout the whole opening of a tunnel.
	targetTimeout = 250 * time.Millisecond
	tunnelTimeout = 2 * time.Second
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
	var open []*carried
	for tunnel := range t.tunnels.open {
		open = append(open, tunnel)
	}
	t.tunnels.mutex.Unlock()
	for _, tunnel := range open {
		t.group.Go(tunnel.retire)
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
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
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
	case tunnelUnreached:
		return nil, ErrTarget.Wrap(&net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded})
	case tunnelCut:
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
	left  int
	ended bool
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
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var head [pieceHeadBytes]byte
		if _, err := io.ReadFull(c.Conn, head[:]); err != nil {
			return 0, unexpected(err)
		}
		switch length := int(binary.BigEndian.Uint16(head[:])); {
		case length == lastPiece:
			c.ended = true
		case length == retiringPiece:
			c.retiring.Store(true)
		case length > maxPieceBytes:
			return 0, ErrProtocol.New("piece of %d bytes", length)
		default:
			c.left = length
		}
	}
	count, err := c.Conn.Read(buffer[:min(len(buffer), c.left)])
	c.left -= count
	if count > 0 {
		return count, nil
	}
	return 0, unexpected(err)
}

// unexpected returns an error that does not look like a proper end.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// tunnels are those that a transport carries.
type tunnels struct {
	mutex    sync.Mutex
	connect  func(ctx context.Context, target string) (net.Conn, error)
	open     map[*carried]bool
	retiring bool
}

// add counts a tunnel, unless no more are carried.
func (t *tunnels) add(tunnel *carried) bool {
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

func (t *tunnels) remove(tunnel *carried) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, tunnel)
}

// carried is a tunnel at its carrier.
type carried struct {
	session *session
	target  net.Conn
	// writing keeps pieces whole.
	writing sync.Mutex
}

// carry carries one tunnel until either side ends.
func (t *Transport[M]) carry(session *session) {
	body, err := session.readFrame()
	if err != nil {
		t.count(func(counts *Counts) { counts.Rejected++ })
		return
	}
	if err := session.conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	tunnel := &carried{session: session}
	if !t.tunnels.add(tunnel) {
		_, _ = session.conn.Write([]byte{byte(tunnelDeclined)})
		return
	}
	defer t.tunnels.remove(tunnel)
	watchNearEnd(session.conn)
	if err := t.connectTarget(tunnel, string(body)); err != nil {
		return
	}
	defer tunnel.target.Close()
	stop := context.AfterFunc(t.ctx, func() { _ = tunnel.target.Close() })
	defer stop()
	t.group.Go(tunnel.forward)
	if t.tunnels.isRetiring() {
		t.group.Go(tunnel.retire)
	}
	tunnel.back()
}

// connectTarget connects a tunnel to its target and tells the near end what came of it.
func (t *Transport[M]) connectTarget(tunnel *carried, target string) error {
	ctx, cancel := context.WithTimeout(t.ctx, targetTimeout)
	defer cancel()
	conn, err := t.tunnels.connect(ctx, target)
	tunnel.writing.Lock()
	defer tunnel.writing.Unlock()
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
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func watchNearEnd(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetKeepAliveConfig(keepAlive)
	}
}

func statusOf(err error) tunnelStatus {
	switch {
	case ErrRelayCut.Has(err):
		return tunnelCut
	case ErrRelayDeclined.Has(err):
		return tunnelDeclined
	case errors.Is(err, syscall.ECONNREFUSED):
		return tunnelRefused
	default:
		return tunnelUnreached
	}
}

// forward carries the bytes to the target. When the near end closes, so does the connection to the target.
func (c *carried) forward() {
	defer c.target.Close()
	buffer := make([]byte, maxPieceBytes)
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
func (c *carried) back() {
	// A piece is written together with its head.
	buffer := make([]byte, pieceHeadBytes+maxPieceBytes)
	for {
		count, err := c.target.Read(buffer[pieceHeadBytes:])
		if count > 0 && c.write(buffer[:pieceHeadBytes+count], uint16(count)) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = c.write(buffer[:pieceHeadBytes], lastPiece)
		}
		if err != nil {
			return
		}
	}
}

// pieceTimeout bounds the writing of a piece: a near end whose client is slow reads slowly.
const pieceTimeout = 30 * time.Second

// write sends one piece whose bytes stand behind room for its head.
func (c *carried) write(piece []byte, length uint16) error {
	binary.BigEndian.PutUint16(piece, length)
	c.writing.Lock()
	defer c.writing.Unlock()
	if err := c.session.conn.SetWriteDeadline(time.Now().Add(pieceTimeout)); err != nil {
		return err
	}
	_, err := c.session.conn.Write(piece)
	return err
}

// retire tells the near end that this carrier is about to stop.
func (c *carried) retire() {
	c.writing.Lock()
	connected := c.target != nil
	c.writing.Unlock()
	if connected {
		_ = c.write(make([]byte, pieceHeadBytes), retiringPiece)
	}
}
