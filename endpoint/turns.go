package endpoint

import (
	"context"
	"slices"
	"time"
)

// turns orders prefill on one engine. An attempt asks for a turn before each
// piece of its prefill and gives it back after it. The attempt with the least
// prefill left goes first; one that has waited maxWait goes before all others,
// so that nothing starves. Whole prompts that together take no longer than one
// chunk may run side by side.
type turns struct {
	chunk   time.Duration
	maxWait time.Duration
	active  []*turn
	waiting []*turn
}

// turn is one piece of prefill.
type turn struct {
	piece   time.Duration // time of the piece
	left    time.Duration // time of all prefill left, the piece included
	since   time.Time
	granted chan struct{}
}

func newTurns(chunk, maxWait time.Duration) *turns {
	return &turns{chunk: chunk, maxWait: maxWait}
}

// ask queues a turn; its channel is closed when it is granted.
func (s *turns) ask(piece, left time.Duration, now time.Time) *turn {
	t := &turn{piece: piece, left: left, since: now, granted: make(chan struct{})}
	s.waiting = append(s.waiting, t)
	s.grant(now)
	return t
}

// end gives a turn back, granted or not. It is idempotent.
func (s *turns) end(t *turn, now time.Time) {
	same := func(other *turn) bool { return other == t }
	s.active = slices.DeleteFunc(s.active, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.grant(now)
}

func (s *turns) grant(now time.Time) {
	for len(s.waiting) > 0 {
		place := s.first(now)
		t := s.waiting[place]
		if !s.fits(t) {
			return
		}
		s.waiting = slices.Delete(s.waiting, place, place+1)
		s.active = append(s.active, t)
		close(t.granted)
	}
}

// fits reports whether t may run beside the active turns. A chunk begins only
// when nothing else prefills; a whole prompt may join a chunk in progress, so that
// the engine takes it up with its next step.
func (s *turns) fits(t *turn) bool {
	if t.left > t.piece {
		return len(s.active) == 0
	}
	var busy time.Duration
	for _, other := range s.active {
		if other.left == other.piece {
			busy += other.piece
		}
	}
	return busy == 0 || busy+t.piece <= s.chunk
}

// first returns the place in waiting of the turn to be granted next.
func (s *turns) first(now time.Time) int {
	best := 0
	for i, t := range s.waiting[1:] {
		if s.before(t, s.waiting[best], now) {
			best = i + 1
		}
	}
	return best
}

func (s *turns) before(a, b *turn, now time.Time) bool {
	lateA, lateB := now.Sub(a.since) >= s.maxWait, now.Sub(b.since) >= s.maxWait
	switch {
	case lateA != lateB:
		return lateA
	case lateA:
		return a.since.Before(b.since)
	default:
		return a.left < b.left
	}
}

// takeTurn waits for a turn of t and returns the function that gives it back.
func (a *Agent) takeTurn(t *attempt, piece, left time.Duration) (func(), error) {
	a.mu.Lock()
	asked := a.turns.ask(piece, left, time.Now())
	a.mu.Unlock()
	end := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.turns.end(asked, time.Now())
	}
	select {
	case <-asked.granted:
		return end, nil
	default:
		a.notePause(t)
	}
	select {
	case <-asked.granted:
		return end, nil
	case <-t.ctx.Done():
		end()
		return nil, context.Cause(t.ctx)
	}
}
