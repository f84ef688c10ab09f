package reach

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/internal/idle"
)

// ErrNoRelay is the class of errors that give no information about the address: no other daemon was available to
// connect to it.
var ErrNoRelay = errs.Class("reach: no relay")

// directTimeout bounds an attempt over the machine's own path. The attempt continues after the caller has got a
// connection, as its result shows whether the path works again.
const directTimeout = 400 * time.Millisecond

// Dial opens a connection to an address. The attempt ends when ctx does.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Dialer connects to addresses, each time by the plan of its Tracker. It is safe for concurrent use.
type Dialer struct {
	tracker *Tracker
	now     func() time.Time
	// direct uses the machine's own paths, relayed goes through another daemon.
	direct  Dial
	relayed Dial
	// The counts are totals since the start.
	directCount  atomic.Int64
	relayedCount atomic.Int64
}

// NewDialer returns a Dialer that connects by the plans of tracker.
func NewDialer(tracker *Tracker, now func() time.Time, direct, relayed Dial) *Dialer {
	return &Dialer{tracker: tracker, now: now, direct: direct, relayed: relayed}
}

// Counts returns how many connections were made since the start, by kind.
func (d *Dialer) Counts() (direct, relayed int64) {
	return d.directCount.Load(), d.relayedCount.Load()
}

// result is the outcome of an attempt.
type result struct {
	conn    net.Conn
	err     error
	relayed bool
}

// Dial opens a connection over the machine's own path or through another daemon. Where both are tried, the first
// connection is used.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	plan := d.tracker.Plan(d.now(), address)
	attempts := &attempts{dialer: d, ctx: ctx, address: address, results: make(chan result, 2), relayed: !plan.Relay}
	defer attempts.closeUnused()
	if plan.Direct {
		attempts.startDirect()
	}
	timer := time.NewTimer(plan.RelayAfter)
	defer timer.Stop()
	var dialErr error
	for {
		select {
		case <-timer.C:
			attempts.startRelayed()
		case done := <-attempts.results:
			attempts.running--
			if done.err == nil {
				return d.count(done), nil
			}
			if dialErr == nil || !done.relayed {
				dialErr = done.err
			}
			attempts.startRelayed()
			if ErrNoRelay.Has(done.err) {
				// Only the own path is left, even if it is unlikely to work.
				attempts.startDirect()
			}
			if attempts.running == 0 {
				return nil, dialErr
			}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}

func (d *Dialer) count(done result) net.Conn {
	if done.relayed {
		d.relayedCount.Add(1)
	} else {
		d.directCount.Add(1)
	}
	return done.conn
}

// Direct opens a connection over the machine's own path only, and records the result in the Tracker.
func (d *Dialer) Direct(ctx context.Context, address string) (net.Conn, error) {
	began := d.now()
	conn, err := d.direct(ctx, address)
	switch {
	case err == nil:
		d.tracker.Connected(d.now(), address)
		return &directConn{Conn: conn, dialer: d, address: address, receivedAt: d.now()}, nil
	case ctx.Err() == context.Canceled:
		// The caller canceled the attempt, which is no evidence about the path.
	default:
		d.tracker.Failed(d.now(), address, began)
	}
	return nil, err
}

// attempts is the state of one call of Dial.
type attempts struct {
	dialer  *Dialer
	ctx     context.Context
	address string
	results chan result
	running int
	// direct and relayed mean that this kind of attempt is running, has ended, or must not be made.
	direct  bool
	relayed bool
	// reachedByRelay means that another daemon has connected to the address.
	reachedByRelay atomic.Bool
}

func (a *attempts) startDirect() {
	if a.direct {
		return
	}
	a.direct = true
	a.running++
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), directTimeout)
	go func() {
		defer cancel()
		conn, err := a.dialer.Direct(ctx, a.address)
		if err != nil && a.reachedByRelay.Load() {
			a.dialer.tracker.ReachedByOthers(a.dialer.now(), a.address)
		}
		a.results <- result{conn: conn, err: err}
	}()
}

func (a *attempts) startRelayed() {
	if a.relayed {
		return
	}
	a.relayed = true
	a.running++
	go func() {
		conn, err := a.dialer.relayed(a.ctx, a.address)
		if err != nil && !ErrNoRelay.Has(err) && a.ctx.Err() == nil {
			a.dialer.tracker.NotReachedByOthers(a.address)
		}
		if err == nil {
			a.reachedByRelay.Store(true)
			a.dialer.tracker.ReachedByOthers(a.dialer.now(), a.address)
			conn = &relayedConn{Conn: conn, dialer: a.dialer, address: a.address}
		}
		a.results <- result{conn: conn, err: err, relayed: true}
	}()
}

// closeUnused closes the connections of attempts that end after Dial has returned.
func (a *attempts) closeUnused() {
	running := a.running
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if late := <-a.results; late.err == nil {
				_ = late.conn.Close()
			}
		}
	}()
}

// directConn is a connection over the machine's own path.
type directConn struct {
	net.Conn
	dialer  *Dialer
	address string
	// receivedAt is when bytes were last received, or the connection was made.
	receivedAt time.Time
}

// Read records that the path carries bytes.
func (c *directConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.receivedAt = c.dialer.now()
		c.dialer.tracker.ObserveBytes(c.receivedAt)
	}
	return count, err
}

// Fit reports whether the connection should be reused.
func (c *directConn) Fit() bool { return c.dialer.tracker.Fit(c.address, c.receivedAt) }

// SyscallConn returns the raw connection of the socket.
func (c *directConn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }

// relayedConn is a connection through another daemon.
type relayedConn struct {
	net.Conn
	dialer  *Dialer
	address string
}

// Fit reports whether the idle connection should be reused. It should not once the machine's own path works again,
// or the relaying daemon has announced that it stops, which it may do at any time.
func (c *relayedConn) Fit() bool {
	if retiring, ok := c.Conn.(interface{ Retiring() bool }); ok && retiring.Retiring() {
		return false
	}
	return c.dialer.tracker.UsesRelays(c.address) && idle.IsOpen(c.Conn)
}

// SyscallConn returns the raw connection of the socket.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) { return rawConnOf(c.Conn) }

func rawConnOf(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return socket.SyscallConn()
}
