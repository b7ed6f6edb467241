package schedule_test

import (
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/schedule"
)

func (s *simulation) release(r *simRequest) {
	if e := r.admittedTo; e != nil {
		r.admittedTo = nil
		e.memory -= r.memoryTokens
		e.slots--
		defer s.admit(e)
	}
	for e, tokens := range r.reserved {
		e.memory -= tokens
		defer s.admit(e)
	}
	r.reserved = nil
	for _, e := range s.engines {
		e.prefills = slices.DeleteFunc(e.prefills, func(p *simPrefill) bool { return p.r == r })
		e.decoding = slices.DeleteFunc(e.decoding, func(w *simRequest) bool { return w == r })
	}
}

func (s *simulation) apply(all []schedule.Decision) {
	for _, d := range all {
		r := s.byID[d.Job]
		if r == nil || r.abandoned {
			continue
		}
		if d.Refused() {
			s.refuse(r, d.RetryAfter)
			continue
		}
		r.placedBy = r.attempts
		s.dispatch(r, d)
	}
}

func (s *simulation) refuse(r *simRequest, retryAfter time.Duration) {
	left := requestKinds[r.kind].deadline - (s.now - r.arrived)
	s.refusedAfter[r.id] = s.now - r.arrived
	if r.attempts > s.workload.contention.returns() || retryAfter > left/3 {
		r.refused, r.abandoned = true, true
		return
	}
	retryAfter = max(retryAfter, 50*time.Millisecond)
	if r.attempts == 1 {
		r.toldAt, r.retryAt = s.now, s.now+retryAfter
	}
	r.awaitsReturn = true
	s.scheduleAt(s.now+retryAfter, func() {
		if !r.abandoned {
			s.submit(r)
		}
	})
}
