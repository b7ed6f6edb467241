package schedule

import (
	"slices"
	"time"
)

// view is what a decision needs of one engine, worked out once.
type view struct {
	engine   *engine
	ready    time.Duration // until reading for an answer from here can have an effect
	helping  time.Duration // until reading for an answer from elsewhere can: its parts go first
	pass     time.Duration // the next pass with what is to be read already
	claims   []claim
	harms    [len(helperCounts)]float64 // of a part, by the number of helpers
	rank     int                        // place among the helpers
	harm     float64                    // of a usual part, to order helpers by
	isKin    int                        // writers of short prompts
	memory   int
	slots    int
	until    time.Duration // until the last of its answers ends
	slowness float64       // that the engine tells of itself
	isUsual  bool          // neither blocked nor excluded
}

// claim is a job at an engine with what more reading there would cost it.
type claim struct {
	takes time.Duration // until its next event, or its part is read, as things are
	limit time.Duration
	value float64
}

// views prepares what is needed of every engine.
func (s *Scheduler) views(j *Job, now time.Time) []view {
	if cap(s.scratch) < len(s.order) {
		s.scratch = make([]view, len(s.order))
	}
	views := s.scratch[:len(s.order)]
	s.busy = 0
	for i, e := range s.order {
		s.look(&views[i], e, j, now)
		s.busy += views[i].busy() / float64(len(s.order))
	}
	return views
}

// busy is how much of an engine is taken, from 0 to 1: one that reads has no
// time left, one that writes has room for more writers.
func (v *view) busy() float64 {
	if len(v.engine.parts) > 0 {
		return 1
	}
	return min(float64(len(v.engine.writers))/packFull, 1)
}

func (s *Scheduler) look(v *view, e *engine, j *Job, now time.Time) {
	e.expire(now)
	claims := v.claims[:0]
	*v = view{engine: e, rank: notRanked, isUsual: !e.blocked && !slices.Contains(j.Exclude, e.ID)}
	writing, context := 0, 0
	overdue := time.Duration(0)
	for _, tokens := range e.held {
		v.memory += tokens
	}
	for _, r := range e.writers {
		v.memory += r.keeps
		if r.job.Prompt < helpFrom {
			v.isKin++
		}
		v.until = max(v.until, s.writingLeft(r, now))
		if r.isWriting {
			writing++
			context += r.job.Prompt
		} else {
			overdue = max(overdue, now.Sub(r.placed)-r.expected-overdueGrace)
		}
	}
	foreign, tokens := e.foreign(now)
	v.memory += tokens
	v.slots = len(e.writers) + foreign
	v.slowness = e.slowness(now)
	pass := s.figures.PassTime(writing+foreign, context+tokens)
	pass = time.Duration(float64(pass) * v.slowness)
	backlog := time.Duration(float64(e.backlog(now)) * v.slowness)
	// A pace learnt from late first events must not make writers look late already:
	// more reading would seem to cost them nothing.
	v.pass = pass + backlog
	// The pass under way ends, and a first token comes at the end of the pass in
	// which its prompt is read.
	v.ready = time.Duration(float64(backlog+pass*3/2)*e.pace) + overdue
	v.helping = time.Duration(float64(pass*3/2) * e.pace)
	v.claims = s.claims(claims, v, now)
}

// writingTime is how long an engine steps for an answer at least.
func (s *Scheduler) writingTime(j *Job) time.Duration {
	return time.Duration(j.Answer) * s.figures.Step
}

// writingLeft is what is left of a job's writing time.
func (s *Scheduler) writingLeft(r *running, now time.Time) time.Duration {
	left := s.writingTime(r.job)
	if r.isWriting {
		left -= now.Sub(r.placed)
	}
	return left
}

// claims are the jobs that more reading at an engine delays: those that write
// there, wait there to be read, or have a part read there.
func (s *Scheduler) claims(claims []claim, v *view, now time.Time) []claim {
	e := v.engine
	for _, r := range e.writers {
		limit := r.job.PauseGoal
		if !r.isWriting {
			limit = max(r.job.Goal-now.Sub(r.placed), goalLeast)
		}
		claims = append(claims, claim{v.pass, limit, r.job.value()})
	}
	takes := time.Duration(0)
	for i, p := range e.parts {
		takes += p.cost
		if i == 0 {
			takes -= min(now.Sub(e.headSince), takes)
		}
		if r := s.jobs[p.job]; r != nil && r.endpoint != e.ID {
			claims = append(claims, claim{takes, max(r.job.Goal-now.Sub(r.placed), goalLeast), r.job.value()})
		}
	}
	return claims
}
