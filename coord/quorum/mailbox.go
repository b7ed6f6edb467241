package quorum

import (
	"context"
	"slices"
	"sync"
)

// mailbox is a queue between two goroutines. The receiver takes all queued items at
// once. It has no limit of its own: the senders limit their outstanding work.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

// put adds an item without blocking.
func (m *mailbox[T]) put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued items, possibly none.
func (m *mailbox[T]) takeAll() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

// wait blocks until there are items and returns them, or returns false when ctx
// ends.
func (m *mailbox[T]) wait(ctx context.Context) ([]T, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-m.signal:
		}
		if items := m.takeAll(); len(items) > 0 {
			return items, true
		}
	}
}

// contains reports whether an item is queued that match selects.
func (m *mailbox[T]) contains(match func(T) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.items, match)
}
