// Package ring provides the bounded queue that joins two duties of a daemon.
//
// A full ring never blocks the duty that fills it: the item is turned away and
// counted, and each sender is written so that a lost item is sent again.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue that is safe for many senders and receivers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without waiting. It returns false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item and waits for room. It returns false when ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take removes the oldest item. It returns false when ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Items exposes the receiving side for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Dropped returns how many items were turned away.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }
