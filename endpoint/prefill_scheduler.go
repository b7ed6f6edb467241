package endpoint

import (
	"context"
	"slices"
	"time"
)

// prefillScheduler orders prefill on one engine. An attempt acquires a slot before
// each chunk of its prefill and releases it afterwards. The attempt with the
// least remaining prefill goes first; one that has waited for maxWait goes before
// all others, so that none starves. Unchunked prompts that together take no
// longer than one chunk may run concurrently.
type prefillScheduler struct {
	chunkTime time.Duration
	maxWait   time.Duration
	active    []*prefillSlot
	waiting   []*prefillSlot
}

// prefillSlot is a waiting or active chunk of prefill. A prompt that is not split
// is a single chunk.
type prefillSlot struct {
	chunkTime time.Duration // estimated time of this chunk
	remaining time.Duration // estimated time of all remaining prefill, this chunk included
	enqueued  time.Time
	granted   chan struct{} // closed when the slot is granted
}

func newPrefillScheduler(chunkTime, maxWait time.Duration) *prefillScheduler {
	return &prefillScheduler{chunkTime: chunkTime, maxWait: maxWait}
}

// enqueue requests a slot; its granted channel is closed once it may run.
func (s *prefillScheduler) enqueue(chunkTime, remaining time.Duration, now time.Time) *prefillSlot {
	slot := &prefillSlot{chunkTime: chunkTime, remaining: remaining, enqueued: now, granted: make(chan struct{})}
	s.waiting = append(s.waiting, slot)
	s.grantWaiting(now)
	return slot
}

// release returns a slot, granted or not. It is idempotent.
func (s *prefillScheduler) release(slot *prefillSlot, now time.Time) {
	same := func(other *prefillSlot) bool { return other == slot }
	s.active = slices.DeleteFunc(s.active, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.grantWaiting(now)
}

func (s *prefillScheduler) grantWaiting(now time.Time) {
	for len(s.waiting) > 0 {
		index := s.next(now)
		slot := s.waiting[index]
		if !s.canRun(slot) {
			return
		}
		s.waiting = slices.Delete(s.waiting, index, index+1)
		s.active = append(s.active, slot)
		close(slot.granted)
	}
}

// canRun reports whether slot may run beside the active ones. A chunk of a longer
// prompt starts only when no other prefill is active. The last or only chunk of a
// prompt may join a longer prompt's chunk in progress, so that the engine includes
// it in its next step.
func (s *prefillScheduler) canRun(slot *prefillSlot) bool {
	if slot.remaining > slot.chunkTime {
		return len(s.active) == 0
	}
	var busy time.Duration
	for _, other := range s.active {
		if other.remaining == other.chunkTime {
			busy += other.chunkTime
		}
	}
	return busy == 0 || busy+slot.chunkTime <= s.chunkTime
}

// next returns the index in waiting of the slot to grant next.
func (s *prefillScheduler) next(now time.Time) int {
	best := 0
	for i, slot := range s.waiting[1:] {
		if s.precedes(slot, s.waiting[best], now) {
			best = i + 1
		}
	}
	return best
}

func (s *prefillScheduler) precedes(a, b *prefillSlot, now time.Time) bool {
	overdueA, overdueB := now.Sub(a.enqueued) >= s.maxWait, now.Sub(b.enqueued) >= s.maxWait
	switch {
	case overdueA != overdueB:
		return overdueA
	case overdueA:
		return a.enqueued.Before(b.enqueued)
	default:
		return a.remaining < b.remaining
	}
}

// acquirePrefillSlot waits for a slot and returns the function that releases it.
func (a *Agent) acquirePrefillSlot(t *attempt, chunkTime, remaining time.Duration) (func(), error) {
	a.mu.Lock()
	slot := a.scheduler.enqueue(chunkTime, remaining, time.Now())
	a.mu.Unlock()
	release := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.scheduler.release(slot, time.Now())
	}
	select {
	case <-slot.granted:
		return release, nil
	default:
		a.recordPause(t)
	}
	select {
	case <-slot.granted:
		return release, nil
	case <-t.ctx.Done():
		release()
		return nil, context.Cause(t.ctx)
	}
}
