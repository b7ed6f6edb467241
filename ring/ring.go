// Package ring provides the bounded queue that connects duties. Each queue has an
// overflow policy and counts the items it drops.
package ring

import (
	"context"
	"sync/atomic"
)

// OverflowPolicy is the policy for adding an item to a full Ring.
type OverflowPolicy uint8

// Overflow policies.
const (
	Reject     OverflowPolicy = iota // drop the new item
	DropOldest                       // drop the oldest item to make room
)

// Ring is a bounded FIFO queue for multiple concurrent senders and receivers.
type Ring[T any] struct {
	items    chan T
	overflow OverflowPolicy
	dropped  atomic.Uint64
}

// New returns a ring of the given capacity, at least 1.
func New[T any](capacity int, overflow OverflowPolicy) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1)), overflow: overflow}
}

// Put adds v and reports whether v was accepted. It never blocks.
func (r *Ring[T]) Put(v T) bool {
	for {
		select {
		case r.items <- v:
			return true
		default:
		}
		if r.overflow == Reject {
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

// Get removes and returns the oldest item, waiting if necessary. It returns false
// if ctx ends first.
func (r *Ring[T]) Get(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Items returns the channel of queued items, for use in a select.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items rejected or discarded because the ring was
// full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
