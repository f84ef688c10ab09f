package upstream

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"
)

// Response is an answer whose body may still be arriving. It must be released
// by ReadAll or Close.
type Response struct {
	pool     *Pool
	address  string
	conn     *connection
	stop     func() bool
	message  *fasthttp.Response
	status   int
	complete bool
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Header returns a copy of a header's value.
func (r *Response) Header(name string) string { return string(r.message.Header.Peek(name)) }

// Read returns more of the body. It returns io.EOF only after the whole body
// has arrived as its framing says; a connection that ends early gives
// io.ErrUnexpectedEOF.
func (r *Response) Read(buffer []byte) (int, error) {
	if r.complete {
		return 0, io.EOF
	}
	stream := r.message.BodyStream()
	if stream == nil {
		r.complete = true
		return 0, io.EOF
	}
	count, err := stream.Read(buffer)
	if err == io.EOF {
		if r.message.Header.ContentLength() == endsWithConnection {
			// A body that ends with the connection cannot be told from a
			// broken one, so it never counts as whole.
			return count, io.ErrUnexpectedEOF
		}
		r.complete = true
	}
	return count, err
}

// endsWithConnection is fasthttp's content length for a body without framing.
const endsWithConnection = -2

// ReadAll reads the rest of the body, up to limit bytes, and releases the
// response.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(r, int64(limit)+1))
	if err == nil && body.Len() > limit {
		err = ErrTooLarge.New("over %d bytes", limit)
	}
	r.Close()
	if err != nil {
		return nil, ErrSent.Wrap(err)
	}
	return body.Bytes(), nil
}

// Close releases the response. A connection whose answer was not read to its
// end is closed, which tells the other side to stop.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	stopped := r.stop()
	reusable := stopped && r.complete && !r.message.ConnectionClose()
	conn := r.conn
	r.conn = nil
	if !reusable {
		_ = conn.Close()
	}
	// The message keeps a reference to the connection's reader, so it is
	// released before the connection is used again.
	_ = r.message.CloseBodyStream()
	fasthttp.ReleaseResponse(r.message)
	r.message = nil
	if reusable {
		r.pool.release(r.address, conn)
	}
}

// abort closes the connection of a call that failed.
func (r *Response) abort() {
	r.stop()
	_ = r.conn.Close()
	r.conn = nil
	fasthttp.ReleaseResponse(r.message)
	r.message = nil
}

// Buffered returns how many bytes have arrived and wait to be read.
func (r *Response) Buffered() int {
	if r.conn == nil {
		return 0
	}
	return r.conn.reader.Buffered()
}
