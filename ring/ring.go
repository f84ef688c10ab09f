// Package ring provides a bounded queue that connects two duties of a daemon,
// that is, two of its concurrent tasks.
//
// Offering an item to a full ring does not block the sending duty: the item is
// rejected and counted. Every sender must send a rejected item again.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue that is safe for concurrent senders and receivers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds an item without waiting. It returns false when the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item, and waits while the ring is full. It returns false when ctx
// ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take removes the oldest item, and waits while the ring is empty. It returns
// false when ctx ends first.
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

// Dropped returns the number of items that TryPut rejected.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }
