package quorum

import (
	"context"
	"sync"
)

// mailbox hands items from one duty to another, which takes all that wait at
// once. It is bounded by what its senders let be under way.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

// put never blocks.
func (m *mailbox[T]) put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// takeAll returns what waits, which may be nothing.
func (m *mailbox[T]) takeAll() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

// wait returns what waits once there is something, and false when ctx ends.
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
