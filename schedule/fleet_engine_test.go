package schedule_test

import (
	"slices"
	"time"
)

// admit starts queued requests in order; one that does not fit blocks those behind it.
func (s *simulation) admit(e *simEngine) {
	for len(e.admissions) > 0 {
		r := e.admissionQueue[0]
		fits := e.slots < modelProfile.Slots && (e.slots == 0 || e.memory+r.memoryTokens <= modelProfile.MemoryTokens)
		if !fits && !r.abandoned {
			return
		}
		begin := e.admissions[0]
		e.admissions, e.admissionQueue = e.admissions[1:], e.admissionQueue[1:]
		begin()
	}
}

// startPass starts a pass if the engine is idle and has work.
func (s *simulation) startPass(e *simEngine) {
	if e.busy || (len(e.prefills) == 0 && len(e.decoding) == 0) {
		return
	}
	if s.now >= e.stall[0] && s.now < e.stall[1] {
		s.scheduleAt(e.stall[1], func() { s.startPass(e) })
		return
	}
	e.busy = true
	f := modelProfile
	steps := 1
	if len(e.decoding) > 0 {
		steps = f.StepsPerPass
	}
	context := 0.0
	for _, w := range e.decoding {
		context += float64(w.prompt)
	}
	step := float64(f.Step) + float64(len(e.decoding))*float64(f.StepPerDecode) + context/1000*float64(f.StepPerKContext)
	duration := float64(steps) * step
	tokenBudget := float64(steps * f.ChunkTokens)
	var completed []*simPrefill
	for _, p := range e.prefills {
		n := min(p.tokens, tokenBudget)
		if n <= 0 {
			break
		}
		p.tokens -= n
		tokenBudget -= n
		duration += n*1e9/f.PrefillPerSecond + n*p.pairTime
		if p.tokens <= 0 {
			completed = append(completed, p)
		}
	}
	decoding := slices.Clone(e.decoding)
	s.scheduleAt(s.now+time.Duration(duration*e.slowdown), func() { s.endPass(e, decoding, completed) })
}

func (s *simulation) endPass(e *simEngine, decoding []*simRequest, completed []*simPrefill) {
	e.busy = false
	for _, w := range decoding {
		if !w.abandoned && !w.done {
			s.emitEvent(w)
		}
	}
	for _, p := range completed {
		e.prefills = slices.DeleteFunc(e.prefills, func(o *simPrefill) bool { return o == p })
		p.r.partsLeft--
		if p.r.partsLeft == 0 && !p.r.abandoned {
			s.startDecoding(p.r)
		}
	}
	s.startPass(e)
}

func (s *simulation) startDecoding(r *simRequest) {
	r.first, r.last = s.now, s.now
	r.engine.decoding = append(r.engine.decoding, r)
	r.sent = 1
	s.apply(s.policy.Started(r.id, s.clock()))
	s.finishIfDone(r)
	s.startPass(r.engine)
}

func (s *simulation) emitEvent(r *simRequest) {
	r.longestPause = max(r.longestPause, s.now-r.last)
	r.last = s.now
	r.sent++
	s.finishIfDone(r)
}

func (s *simulation) finishIfDone(r *simRequest) {
	if r.sent < r.events {
		return
	}
	r.done = true
	s.release(r)
	s.apply(s.policy.Ended(r.id, s.clock()))
}
