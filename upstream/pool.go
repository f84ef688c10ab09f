// Package upstream makes HTTP calls to other systems with two properties that
// ready-made clients do not give: it never sends a request twice by itself,
// and it says whether a failed request was sent at all. Encoding and decoding
// are those of fasthttp; the package only owns the connections.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Classes of errors.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errs.Class("upstream: not sent")
	// ErrSent means that the request may have arrived.
	ErrSent = errs.Class("upstream: sent")
	// ErrTooLarge means that an answer is over its bound.
	ErrTooLarge = errs.Class("upstream: answer too large")
)

// Settings of a pool.
type Settings struct {
	DialTimeout time.Duration
	// IdleTimeout bounds the time between two bytes of an answer.
	IdleTimeout time.Duration
	// KeepAlive is how long an unused connection is kept.
	KeepAlive time.Duration
	// MaxIdle bounds the unused connections to one address.
	MaxIdle int
}

// DefaultSettings returns the settings used unless an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: 2 * time.Second,
		IdleTimeout: 60 * time.Second,
		KeepAlive:   5 * time.Second,
		MaxIdle:     64,
	}
}

// Pool holds connections to any number of addresses.
type Pool struct {
	settings Settings
	mutex    sync.Mutex
	idle     map[string][]*connection
	closed   bool
}

// NewPool returns an empty pool.
func NewPool(settings Settings) *Pool {
	return &Pool{settings: settings, idle: map[string][]*connection{}}
}

// connection is one connection with its buffers.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	limit    time.Duration
	reused   bool
}

// Read bounds the time between two reads.
func (c *connection) Read(buffer []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}

// Options of one call.
type Options struct {
	// FreshConnection avoids a kept connection. A kept connection that the
	// other side has just closed fails after the request was sent, and then
	// nothing shows whether the request ran.
	FreshConnection bool
}

// Do sends a request and returns when the head of the answer has arrived. The
// connection is closed when ctx ends before the response is released.
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
	response.message.StreamBody = true
	if err := response.message.ReadLimitBody(conn.reader, 0); err != nil {
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
	conn := &connection{Conn: raw, limit: p.settings.IdleTimeout}
	conn.reader = bufio.NewReader(conn)
	conn.writer = bufio.NewWriter(raw)
	return conn, nil
}

func (p *Pool) takeIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		kept := p.idle[address]
		if len(kept) == 0 {
			return nil
		}
		conn := kept[len(kept)-1]
		p.idle[address] = kept[:len(kept)-1]
		if time.Since(conn.lastUsed) < p.settings.KeepAlive {
			return conn
		}
		_ = conn.Close()
	}
}

func (p *Pool) release(address string, conn *connection) {
	conn.lastUsed = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[address]) >= p.settings.MaxIdle {
		_ = conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

// Close closes the unused connections and keeps no more.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for address, kept := range p.idle {
		for _, conn := range kept {
			_ = conn.Close()
		}
		delete(p.idle, address)
	}
}
