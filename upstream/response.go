package upstream

import (
	"io"

	"github.com/valyala/fasthttp"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

// Response is an HTTP response whose body is read as a stream. It must be
// released by ReadAll or Close.
type Response struct {
	pool     *Pool
	address  string
	conn     *connection
	stop     func() bool
	message  *fasthttp.Response
	status   int
	complete bool
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.status }

// Header returns a copy of the value of a header field.
func (r *Response) Header(name string) string { return string(r.message.Header.Peek(name)) }

// Read implements io.Reader for the body. It returns io.EOF only after the body
// is complete according to its framing, and io.ErrUnexpectedEOF if the connection
// closes earlier.
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
		if r.message.Header.ContentLength() == unframedLength {
			// The end of a body without framing cannot be distinguished from a
			// broken connection, so such a body never counts as complete.
			return count, io.ErrUnexpectedEOF
		}
		r.complete = true
	}
	return count, err
}

// unframedLength is fasthttp's content length for a body without framing, which ends when the connection closes.
const unframedLength = -2

// ReadAll reads the rest of the body and releases the response. It returns an
// error if the rest exceeds limit bytes, or if the pool's memory budget has no room for it.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	body, memory, err := r.ReadAndHold(limit)
	memory.Release()
	return body, err
}

// ReadAndHold is ReadAll for a body that is kept: the reservation is that of the body, for whoever keeps it to release.
func (r *Response) ReadAndHold(limit int) ([]byte, membudget.Reservation, error) {
	memory := r.pool.settings.Memory.Reserve(membudget.AnswerBody)
	body, err := memory.ReadAll(r, firstBufferBytes, int64(limit))
	r.Close()
	switch {
	case membudget.ErrTooLarge.Has(err):
		err = ErrSent.Wrap(ErrTooLarge.New("over %d bytes", limit))
	case err != nil:
		err = ErrSent.Wrap(err)
	default:
		return body, memory, nil
	}
	memory.Release()
	return nil, membudget.Reservation{}, err
}

// firstBufferBytes is the size of the first buffer of ReadAll, which is not taken from the memory budget.
const firstBufferBytes = 4 << 10

// Close releases the response. If the body was not read to its end, Close closes
// the connection, so that the server can stop working on the request.
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
	// The message holds a reference to the connection's reader, so it must be
	// released before the connection is reused.
	_ = r.message.CloseBodyStream()
	fasthttp.ReleaseResponse(r.message)
	r.message = nil
	if reusable {
		r.pool.release(r.address, conn)
	}
}

// abort closes the connection after a failed call and releases the message.
func (r *Response) abort() {
	r.stop()
	_ = r.conn.Close()
	r.conn = nil
	fasthttp.ReleaseResponse(r.message)
	r.message = nil
}

// Buffered returns the number of bytes that were received but not yet read.
func (r *Response) Buffered() int {
	if r.conn == nil {
		return 0
	}
	return r.conn.reader.Buffered()
}
