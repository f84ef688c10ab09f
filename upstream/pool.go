// Package upstream is an HTTP client with two properties that common clients
// lack: it never retries a request automatically, and its errors distinguish
// requests that were not sent from those that may have been. It uses fasthttp for
// encoding and decoding, and manages the connections itself.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/internal/idle"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/internal/messagehead"
)

// Error classes.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errs.Class("upstream: not sent")
	// ErrSent means that the request may have reached the server.
	ErrSent = errs.Class("upstream: sent")
	// ErrTooLarge means that a response body exceeds its size limit.
	ErrTooLarge = errs.Class("upstream: answer too large")
)

// Settings of a pool.
type Settings struct {
	DialTimeout time.Duration
	// IdleTimeout is the maximum time to wait for more bytes of a response.
	IdleTimeout time.Duration
	// KeepAlive is how long an idle connection may be reused.
	KeepAlive time.Duration
	// MaxIdle is the maximum number of idle connections to one address.
	MaxIdle int
	// Memory bounds what response bodies that ReadAll is reading occupy together; nil means no limit.
	Memory *membudget.Budget
}

// DefaultSettings returns the default settings, which an operator can override.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: 2 * time.Second,
		IdleTimeout: 60 * time.Second,
		KeepAlive:   5 * time.Second,
		MaxIdle:     64,
	}
}

// Pool is a pool of connections to any number of addresses.
type Pool struct {
	settings Settings
	mutex    sync.Mutex
	idle     map[string][]*connection
	closed   bool
}

// NewPool returns an empty pool.
func NewPool(settings Settings) *Pool {
	if settings.Memory == nil {
		settings.Memory = membudget.New(0)
	}
	return &Pool{settings: settings, idle: map[string][]*connection{}}
}

// connection is a network connection with its buffers.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	writer      *bufio.Writer
	lastUsed    time.Time
	readTimeout time.Duration
	reused      bool
	// scanner follows the head that is being read, and its interim answers; nil while none is. Unread is how much of what has arrived
	// since the head began is behind it.
	scanner *messagehead.ResponseScanner
	unread  int
}

// errHeadEnd means that the HTTP library looks for the end of a head elsewhere than where it is.
var errHeadEnd = &messagehead.MalformedError{Defect: messagehead.DefectEnd}

// Read sets a new read deadline before each read. It ends a head once its bytes can become none any more.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.scanner != nil && c.scanner.Done() {
		return 0, errHeadEnd
	}
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(buffer)
	if c.scanner != nil {
		scanned, malformed := c.scanner.Scan(buffer[:count])
		c.unread += count - scanned
		if malformed != nil {
			return 0, malformed
		}
	}
	return count, err
}

// readHead reads the head of an answer into the message, with the interim answers before it. The message reads its body from the
// connection later.
func (c *connection) readHead(message *fasthttp.Response) error {
	c.scanner, c.unread = &messagehead.ResponseScanner{}, 0
	defer func() { c.scanner = nil }()
	message.StreamBody = true
	err := message.ReadLimitBody(c.reader, 0)
	ended := c.scanner.Done()
	switch {
	case c.scanner.Err() != nil:
		return c.scanner.Err()
	case err != nil && !ended:
		return err
	case err != nil || !ended || c.unread != c.reader.Buffered():
		return errHeadEnd
	default:
		return nil
	}
}

// isQuiet reports whether the connection is open and nothing waits to be read: an answer that nobody asked for belongs to no request.
func (c *connection) isQuiet() bool { return c.reader.Buffered() == 0 && idle.IsOpen(c.Conn) }

// Options of one request.
type Options struct {
	// FreshConnection opens a new connection instead of reusing an idle one. If
	// the server has just closed an idle connection, the error occurs after the
	// request was sent, and it is unknown whether the server executed it.
	FreshConnection bool
}

// Do sends a request and returns when the response headers have arrived. The
// connection is closed if ctx is cancelled before the response is released.
func (p *Pool) Do(ctx context.Context, address string, request *fasthttp.Request, options Options) (*Response, error) {
	conn, err := p.acquire(ctx, address, options)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response := &Response{pool: p, address: address, conn: conn, stop: stop, message: fasthttp.AcquireResponse()}
	if err := request.Write(conn.writer); err != nil {
		response.abort()
		return nil, ErrSent.Wrap(err)
	}
	if err := conn.writer.Flush(); err != nil {
		response.abort()
		return nil, ErrSent.Wrap(err)
	}
	if err := conn.readHead(response.message); err != nil {
		response.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, ErrSent.Wrap(err)
	}
	response.status = response.message.StatusCode()
	return response, nil
}

func (p *Pool) acquire(ctx context.Context, address string, options Options) (*connection, error) {
	if !options.FreshConnection {
		if conn := p.takeIdle(address); conn != nil {
			conn.reused = true
			return conn, nil
		}
	}
	dialer := net.Dialer{Timeout: p.settings.DialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: raw, readTimeout: p.settings.IdleTimeout}
	conn.reader = bufio.NewReader(conn)
	conn.writer = bufio.NewWriter(raw)
	return conn, nil
}

func (p *Pool) takeIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		connections := p.idle[address]
		if len(connections) == 0 {
			return nil
		}
		conn := connections[len(connections)-1]
		p.idle[address] = connections[:len(connections)-1]
		if time.Since(conn.lastUsed) < p.settings.KeepAlive && conn.isQuiet() {
			return conn
		}
		_ = conn.Close()
	}
}

func (p *Pool) release(address string, conn *connection) {
	conn.lastUsed = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[address]) >= p.settings.MaxIdle || !conn.isQuiet() {
		_ = conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

// Close closes the idle connections. Connections released later are closed as well.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for address, connections := range p.idle {
		for _, conn := range connections {
			_ = conn.Close()
		}
		delete(p.idle, address)
	}
}
