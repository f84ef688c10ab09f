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

// ErrNoRelay is the class of errors that say nothing about the address: no other daemon could be asked.
var ErrNoRelay = errs.Class("reach: no relay")

// directTimeout bounds an attempt over the machine's own path, also after the caller has a connection: what comes
// of it tells whether the path is back.
const directTimeout = 400 * time.Millisecond

// Dial opens a connection to an address. It ends with ctx.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Dialer connects to addresses, each time by the plan of its book. It is safe for concurrent use.
type Dialer struct {
	book *Book
	now  func() time.Time
	// direct uses the machine's own paths, relayed goes through another daemon.
	direct  Dial
	relayed Dial
	// counts are totals since the start.
	directCount  atomic.Int64
	relayedCount atomic.Int64
}

// NewDialer returns a dialer that goes by a book.
func NewDialer(book *Book, now func() time.Time, direct, relayed Dial) *Dialer {
	return &Dialer{book: book, now: now, direct: direct, relayed: relayed}
}

// Counts are how many connections were made since the start.
func (d *Dialer) Counts() (direct, relayed int64) {
	return d.directCount.Load(), d.relayedCount.Load()
}

// result is what an attempt came to.
type result struct {
	conn    net.Conn
	err     error
	relayed bool
}

// Dial opens a connection over the machine's own path or through another daemon. Where both are tried, the first
// one is used.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	plan := d.book.Plan(d.now(), address)
	attempts := &attempts{dialer: d, ctx: ctx, address: address, results: make(chan result, 2), relayed: !plan.Relay}
	defer attempts.abandon()
	if plan.Direct {
		attempts.startDirect()
	}
	timer := time.NewTimer(plan.RelayAfter)
	defer timer.Stop()
	var failed error
	for {
		select {
		case <-timer.C:
			attempts.startRelayed()
		case done := <-attempts.results:
			attempts.running--
			if done.err == nil {
				return d.count(done), nil
			}
			if failed == nil || !done.relayed {
				failed = done.err
			}
			attempts.startRelayed()
			if ErrNoRelay.Has(done.err) {
				// The own path is all that is left, however unlikely.
				attempts.startDirect()
			}
			if attempts.running == 0 {
				return nil, failed
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

// Direct opens a connection over the machine's own path only, and takes in what comes of it.
func (d *Dialer) Direct(ctx context.Context, address string) (net.Conn, error) {
	began := d.now()
	conn, err := d.direct(ctx, address)
	switch {
	case err == nil:
		d.book.Connected(d.now(), address)
		return &directConn{Conn: conn, dialer: d, address: address, heardAt: d.now()}, nil
	case ctx.Err() == context.Canceled:
		// Whoever asked has left: that says nothing about the path.
	default:
		d.book.Failed(d.now(), address, began)
	}
	return nil, err
}

// attempts are those of one call of Dial.
type attempts struct {
	dialer  *Dialer
	ctx     context.Context
	address string
	results chan result
	running int
	// direct and relayed say that these ways are in use, were tried, or must not be.
	direct  bool
	relayed bool
	// reached says that another daemon has reached the address.
	reached atomic.Bool
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
		if err != nil && a.reached.Load() {
			a.dialer.book.ReachedByOthers(a.dialer.now(), a.address)
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
			a.dialer.book.NotReachedByOthers(a.address)
		}
		if err == nil {
			a.reached.Store(true)
			a.dialer.book.ReachedByOthers(a.dialer.now(), a.address)
			conn = &relayedConn{Conn: conn, dialer: a.dialer, address: a.address}
		}
		a.results <- result{conn: conn, err: err, relayed: true}
	}()
}

// abandon closes the connections of attempts that end later.
func (a *attempts) abandon() {
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
	// heardAt is when bytes last came, or the connection was made.
	heardAt time.Time
}

// Read notes that the path carries bytes.
func (c *directConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.heardAt = c.dialer.now()
		c.dialer.book.Heard(c.heardAt)
	}
	return count, err
}

// Fit reports whether the connection should be used again.
func (c *directConn) Fit() bool { return c.dialer.book.Fit(c.address, c.heardAt) }

// SyscallConn gives access to the socket.
func (c *directConn) SyscallConn() (syscall.RawConn, error) { return socketOf(c.Conn) }

// relayedConn is a connection through another daemon.
type relayedConn struct {
	net.Conn
	dialer  *Dialer
	address string
}

// Fit reports whether the connection, which is not in use, should be used again: not once the machine's own path is
// back, or the other daemon is about to stop, which it says at any time.
func (c *relayedConn) Fit() bool {
	if carried, ok := c.Conn.(interface{ Retiring() bool }); ok && carried.Retiring() {
		return false
	}
	return c.dialer.book.InDoubt(c.address) && idle.IsOpen(c.Conn)
}

// SyscallConn gives access to the socket.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) { return socketOf(c.Conn) }

func socketOf(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return socket.SyscallConn()
}
