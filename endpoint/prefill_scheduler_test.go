package endpoint

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func granted(t *prefillSlot) bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}

func TestShortestRemainingPrefillRunsFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := newPrefillScheduler(50*time.Millisecond, time.Second)
	chunk := s.enqueue(50*time.Millisecond, 20*time.Second, now)
	short := s.enqueue(300*time.Millisecond, 300*time.Millisecond, now)
	g.Expect(granted(chunk)).To(BeTrue())
	g.Expect(granted(short)).To(BeTrue(), "an unchunked prompt must join the chunk in progress")
	s.release(chunk, now)
	next := s.enqueue(50*time.Millisecond, 19*time.Second, now)
	medium := s.enqueue(200*time.Millisecond, 200*time.Millisecond, now)
	tiny := s.enqueue(60*time.Millisecond, 60*time.Millisecond, now)
	s.release(short, now)
	g.Expect(granted(tiny)).To(BeTrue())
	g.Expect(granted(medium)).To(BeFalse())
	s.release(tiny, now)
	g.Expect(granted(medium)).To(BeTrue())
	g.Expect(granted(next)).To(BeFalse())
	s.release(medium, now)
	s.release(medium, now)
	g.Expect(granted(next)).To(BeTrue())
}

func TestWaitingPrefillIsNotStarved(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := newPrefillScheduler(50*time.Millisecond, time.Second)
	busy := s.enqueue(100*time.Millisecond, 100*time.Millisecond, now)
	long := s.enqueue(50*time.Millisecond, 20*time.Second, now)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		next := s.enqueue(100*time.Millisecond, 100*time.Millisecond, now)
		s.release(busy, now)
		busy = next
	}
	g.Expect(granted(long)).To(BeTrue())
}
