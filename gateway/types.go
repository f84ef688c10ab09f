// Package gateway forwards requests from clients to back-end instances and
// returns the answers. It selects the route and the instance, passes on the
// remaining deadline, retries requests that may be repeated, resumes streams,
// and refuses requests that cannot be answered in time. Other packages implement
// the protocols on both sides.
package gateway

import (
	"context"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/tenant"
)

// Classes of errors that an Upstream returns.
var (
	// ErrNotSent means that no byte of the request was sent to the instance.
	ErrNotSent = errs.Class("gateway: not sent")
	// ErrUnknown means that the instance may have run the request.
	ErrUnknown = errs.Class("gateway: unknown outcome")
	// ErrNoConnection means that all connections which this daemon may have to the instance
	// are in use. It does not count against the instance.
	ErrNoConnection = errs.Class("gateway: no connection")
	// ErrExcluded means that Outbound.StillAllowed no longer allowed the request to be sent to the instance.
	ErrExcluded = errs.Class("gateway: barred")
)

// Field is one header field. Name has the spelling in which it was received.
type Field struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one request of a client. The gateway does not interpret its header and body.
type Request struct {
	ID     string
	Method string
	// URI is the request target as received, with path and query.
	URI string
	// Host is the host as received, RouteHost the one that routes match.
	Host string
	// RouteHost is the host in lower case without a port, Path the request target
	// without its query.
	RouteHost string
	Path      string
	// Header holds the end-to-end fields in the order in which they were received.
	Header []Field
	Body   []byte

	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	// TokensDeclared is true if the client stated PromptTokens and OutputTokens.
	TokensDeclared bool
	// Key is the digest of the client's API key; the zero value if it sent none.
	Key    tenant.Digest
	Prompt []PromptPart
	// ResumeAfter is the ID of the last event that the client received, or empty.
	ResumeAfter string
	// ResumedRequestID is the ID of the request that received the first event of the stream which this request resumes,
	// or empty.
	ResumedRequestID string

	Arrived time.Time
	// ClientTimeout is the timeout of the client; zero if it stated none.
	ClientTimeout time.Duration
}

// Outbound is a request on its way to one instance.
type Outbound struct {
	Request  *Request
	Instance *fleet.Instance
	// Service is the service of the instance; nil if it is not known.
	Service *fleet.Service
	// Repeated says that the request was sent to the instance before.
	Repeated bool
	// Left is the time that the instance may use.
	Left time.Duration
	// Priority is the priority at the instance; zero is admitted first.
	Priority int
	// Tenant is the name of the request's tenant, or empty.
	Tenant string
	// ResumeAfter is the ID of the last event that the client received, or empty.
	ResumeAfter string
	// MaxHeadBytes bounds the head of the answer; zero means no limit.
	MaxHeadBytes int64
	// MaxConnections bounds the connections from this daemon to the instance; zero means no limit.
	MaxConnections int
	// StillAllowed is called once there is a connection, just before the first byte is sent. It reports whether the
	// request may still be sent; nil means that it may.
	StillAllowed func() bool
}

// Framing is the way in which an answer marks the end of its body.
type Framing string

// Framings of HTTP bodies. A body without a length or chunks ends with its connection.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// Response is the answer of an instance whose body may still be arriving.
type Response interface {
	// Status returns the HTTP status.
	Status() int
	// Header returns the end-to-end header fields.
	Header() []Field
	// Length returns the length of the body in bytes, or -1 if it is not known yet.
	Length() int64
	// Framing returns how the body is framed.
	Framing() Framing
	// Executed returns false if the instance stated that it did not run the request.
	Executed() bool
	// Misdirected reports whether the instance is not the intended one, or lacks the model.
	Misdirected() bool
	// Signed reports whether the answer carries the signature header of a genuine instance.
	Signed() bool
	// Read returns io.EOF only after the whole body.
	io.Reader
	// Close releases the answer. An answer that was not read to its end is aborted.
	Close()
}

// Upstream sends requests to instances. It never retries a request by itself.
type Upstream interface {
	// Send returns when the head of the answer has arrived. The answer is aborted
	// when ctx ends.
	Send(ctx context.Context, outbound *Outbound) (Response, error)
	// HasConnection reports whether there is an idle connection to an instance, or whether a
	// new one may be opened under the maximum; a maximum of zero means no limit.
	HasConnection(instance string, maximum int) bool
}

// Reply writes the answer of one request to its client.
type Reply interface {
	// Begin sends the head of the answer. Length is -1 if it is not known.
	Begin(status int, header []Field, length int64) error
	// Write sends a piece of the body without buffering it.
	Write(piece []byte) error
	// Refuse sends an error answer. RetryAfter is the delay that the client is
	// given; none is given if it is zero.
	Refuse(status int, reason Reason, retryAfter time.Duration)
	// Abort ends the answer in such a way that the client sees it as incomplete.
	Abort()
}
