// Package gateway is the path of one request from a client to a back-end
// instance and back. It chooses the route and the instance, hands on what is
// left of the deadline, repeats what may be repeated, resumes streams, and gives
// up in time. The wire forms on both sides belong to other packages.
package gateway

import (
	"context"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/tenant"
)

// Classes of errors of an Upstream.
var (
	// ErrNotSent means that no byte of the request reached the instance.
	ErrNotSent = errs.Class("gateway: not sent")
	// ErrUnknown means that the instance may have run the request.
	ErrUnknown = errs.Class("gateway: unknown outcome")
	// ErrNoConnection means that all connections that this daemon may have to the instance
	// are in use. It says nothing about the instance.
	ErrNoConnection = errs.Class("gateway: no connection")
	// ErrBarred means that the instance must not get the request any more, as Outbound.MayReach said.
	ErrBarred = errs.Class("gateway: barred")
)

// Field is one header field. The name is as it was received.
type Field struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one request of a client. All but the typed fields is opaque.
type Request struct {
	ID     string
	Method string
	// URI is the request target as received: path and query.
	URI string
	// Host is the host as received.
	Host string
	// RouteHost is the host in lower case without a port, Path the target
	// without its query.
	RouteHost string
	Path      string
	// Header holds the end-to-end fields in the order received.
	Header []Field
	Body   []byte

	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	// TokensTold says that the client named the two numbers of tokens.
	TokensTold bool
	// Key is the digest of the client's key; the zero value if it gave none.
	Key    tenant.Digest
	Prompt []PromptPart
	// ResumeAfter is the last event that the client has, or empty.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of the stream which this one takes up, or empty.
	Resumes string

	Arrived time.Time
	// Patience is how long the client waits; zero if it did not say.
	Patience time.Duration
}

// Outbound is a request on its way to one instance.
type Outbound struct {
	Request  *Request
	Instance *fleet.Instance
	// Left is what the instance may take.
	Left time.Duration
	// Priority is the rank at the instance: zero is admitted first.
	Priority int
	// Tenant is the name of the request's tenant, or empty.
	Tenant string
	// ResumeAfter is the last event that the client has, or empty.
	ResumeAfter string
	// MaxConnections bounds the connections to the instance from here.
	MaxConnections int
	// MayReach is asked once there is a connection, just before the first byte; nil means that it may.
	MayReach func() bool
}

// Framing is how an answer tells where its body ends.
type Framing string

// Framings. A body without a length or chunks ends with its connection.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// Response is the answer of an instance whose body may still be arriving.
type Response interface {
	// Status is the HTTP status.
	Status() int
	// Header returns the end-to-end fields.
	Header() []Field
	// Length is the length of the body, or -1 if it is not known yet.
	Length() int64
	// Framing is how the body is framed.
	Framing() Framing
	// Executed is false if the instance said that it did not run the request.
	Executed() bool
	// Misdirected says that the instance is another one, or lacks the model.
	Misdirected() bool
	// Signed says that the answer carries the mark of a genuine instance.
	Signed() bool
	// Read returns io.EOF only after the whole body.
	io.Reader
	// Close releases the answer. One that was not read to its end is broken off.
	Close()
}

// Upstream sends requests to instances. It never repeats one by itself.
type Upstream interface {
	// Send returns when the head of the answer has arrived. The answer is broken
	// off when ctx ends.
	Send(ctx context.Context, outbound *Outbound) (Response, error)
	// HasConnection reports whether there is an unused connection to an instance, or room
	// for a new one among the most that are allowed; zero means no bound.
	HasConnection(instance string, most int) bool
}

// Reply is the client's side of one request.
type Reply interface {
	// Begin sends the head. Length is -1 if it is not known.
	Begin(status int, header []Field, length int64) error
	// Write sends a piece of the body at once.
	Write(piece []byte) error
	// Refuse sends an answer of our own. RetryAfter is when to come back; zero
	// says nothing.
	Refuse(status int, reason Reason, retryAfter time.Duration)
	// Abort breaks the answer off so that it looks broken to the client.
	Abort()
}
