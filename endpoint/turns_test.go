package endpoint

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func granted(t *turn) bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}

func TestTheLeastPrefillLeftGoesFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := newTurns(50*time.Millisecond, time.Second)
	chunk := s.ask(50*time.Millisecond, 20*time.Second, now)
	short := s.ask(300*time.Millisecond, 300*time.Millisecond, now)
	g.Expect(granted(chunk)).To(BeTrue())
	g.Expect(granted(short)).To(BeTrue(), "a whole prompt joins the chunk in progress")
	s.end(chunk, now)
	next := s.ask(50*time.Millisecond, 19*time.Second, now)
	medium := s.ask(200*time.Millisecond, 200*time.Millisecond, now)
	tiny := s.ask(60*time.Millisecond, 60*time.Millisecond, now)
	s.end(short, now)
	g.Expect(granted(tiny)).To(BeTrue())
	g.Expect(granted(medium)).To(BeFalse())
	s.end(tiny, now)
	g.Expect(granted(medium)).To(BeTrue())
	g.Expect(granted(next)).To(BeFalse())
	s.end(medium, now)
	s.end(medium, now)
	g.Expect(granted(next)).To(BeTrue())
}

func TestNoTurnWaitsForEver(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := newTurns(50*time.Millisecond, time.Second)
	busy := s.ask(100*time.Millisecond, 100*time.Millisecond, now)
	long := s.ask(50*time.Millisecond, 20*time.Second, now)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		next := s.ask(100*time.Millisecond, 100*time.Millisecond, now)
		s.end(busy, now)
		busy = next
	}
	g.Expect(granted(long)).To(BeTrue())
}
