// Package ring is the bounded queue that joins duties. What happens when it is
// full is part of its type and is counted.
package ring

import (
	"context"
	"sync/atomic"
)

// Full says what a Ring does with an item that finds it full.
type Full uint8

// Behaviours of a full ring.
const (
	Reject     Full = iota // the new item is refused
	DropOldest             // the oldest item makes room
)

// Ring is a bounded first-in first-out queue for many senders and receivers.
type Ring[T any] struct {
	items   chan T
	full    Full
	dropped atomic.Uint64
}

// New returns a ring of the given capacity, at least 1.
func New[T any](capacity int, full Full) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1)), full: full}
}

// Put adds v and reports whether v is in the ring. It never blocks.
func (r *Ring[T]) Put(v T) bool {
	for {
		select {
		case r.items <- v:
			return true
		default:
		}
		if r.full == Reject {
			r.dropped.Add(1)
			return false
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Get waits for the oldest item. It returns false when ctx ends first.
func (r *Ring[T]) Get(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Items returns the channel to receive from, for use in a select.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns how many items were refused or made room for others.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
