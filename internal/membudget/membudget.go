// Package membudget counts and bounds the memory that data from other processes occupies until it is checked, decoded
// or forwarded.
//
// Each reader holds a Reservation and resizes it as its data grows. All reservations of a Budget share one limit, so that
// many readers whose data is within its own bound cannot exhaust the memory of the process together.
package membudget

import (
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// ErrExhausted means that the limit of the budget leaves no room.
var ErrExhausted = errs.Class("memory budget exhausted")

// Kind is the kind of data that occupies memory.
type Kind string

// Kinds.
const (
	// AnswerHead is the head of an instance's answer, AnswerBody a body that is buffered before it is forwarded.
	AnswerHead Kind = "answer_head"
	AnswerBody Kind = "answer_body"
	// Event is an event of a stream that has not arrived completely.
	Event Kind = "event"
	// Report is an instance's answer to a call of this daemon's own, StoreAnswer one of the platform's store.
	Report      Kind = "report"
	StoreAnswer Kind = "store_answer"
	// PeerFrame is a message of another daemon.
	PeerFrame Kind = "peer_frame"
	// RequestBody is the body of a client's request, SmallRequestBody one that is small so far.
	RequestBody      Kind = "request_body"
	SmallRequestBody Kind = "small_request_body"
	// RequestHead is the head of a client's request.
	RequestHead Kind = "request_head"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{AnswerHead, AnswerBody, Event, Report, StoreAnswer, PeerFrame, RequestBody, SmallRequestBody, RequestHead}
}

// Budget is the memory that all readers share, but for kinds that have a limit of their own. It is safe for concurrent use.
type Budget struct {
	shared *pool
	usages map[Kind]*usage
}

// pool is memory with a limit; zero means no limit.
type pool struct {
	limit int64
	used  atomic.Int64
}

// usage is what the reservations of one kind hold.
type usage struct {
	pool               *pool
	used, peak, denied atomic.Int64
}

// New returns a budget of limit bytes; zero means no limit.
func New(limit int64) *Budget {
	budget := &Budget{shared: &pool{limit: limit}, usages: map[Kind]*usage{}}
	for _, kind := range Kinds() {
		budget.usages[kind] = &usage{pool: budget.shared}
	}
	return budget
}

// Separate gives a kind a limit of its own, beside that of the others; zero means no limit. It must be called before the first
// reservation.
func (b *Budget) Separate(kind Kind, limit int64) { b.usages[kind].pool = &pool{limit: limit} }

// Usage is the state of one kind.
type Usage struct {
	// Bytes is what is reserved now, Peak the largest value since the start.
	Bytes int64
	Peak  int64
	// Denied counts the resizes that found no room.
	Denied int64
}

// Usage returns the state of a kind.
func (b *Budget) Usage(kind Kind) Usage {
	usage := b.usages[kind]
	return Usage{Bytes: usage.used.Load(), Peak: usage.peak.Load(), Denied: usage.denied.Load()}
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve(kind Kind) Reservation { return Reservation{usage: b.usages[kind]} }

// Reservation is the part of a budget that one reader holds. It is used by one goroutine at a time.
type Reservation struct {
	usage *usage
	size  int64
	// waitForRoom is how long ReadAll waits for room.
	waitForRoom time.Duration
}

// Resize changes the size in bytes. If the budget has no room for a larger one, the size stays as it was.
func (r *Reservation) Resize(size int64) error {
	change := size - r.size
	if change <= 0 {
		// The kind never counts more than the whole.
		r.usage.record(change)
		r.usage.pool.used.Add(change)
		r.size = size
		return nil
	}
	if !r.usage.pool.take(change) {
		r.usage.denied.Add(1)
		return ErrExhausted.New("%d bytes more, %d of %d in use", change, r.usage.pool.used.Load(), r.usage.pool.limit)
	}
	r.size = size
	r.usage.record(change)
	return nil
}

// take reserves bytes and reports whether there was room. An attempt without room takes none away from others meanwhile.
func (p *pool) take(bytes int64) bool {
	for {
		used := p.used.Load()
		if p.limit > 0 && used+bytes > p.limit {
			return false
		}
		if p.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Release gives everything back. The reservation can be used again. The zero Reservation holds nothing.
func (r *Reservation) Release() {
	if r.size != 0 {
		_ = r.Resize(0)
	}
}

func (u *usage) record(change int64) {
	used := u.used.Add(change)
	for peak := u.peak.Load(); used > peak && !u.peak.CompareAndSwap(peak, used); peak = u.peak.Load() {
	}
}
