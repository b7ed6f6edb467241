package schedule

import (
	"slices"
	"time"
)

// backlog is the time that the reading at an engine still takes.
func (e *engine) backlog(now time.Time) time.Duration {
	total := time.Duration(0)
	for _, p := range e.parts {
		total += p.cost
	}
	if len(e.parts) > 0 {
		total -= min(now.Sub(e.headSince), e.parts[0].cost)
	}
	return max(total, 0)
}

// add puts reading for an answer from this engine behind all other, and reading
// for an answer from elsewhere before all other: the order of the engines.
func (e *engine) add(p part, helps bool, now time.Time) {
	e.settle(now)
	if helps {
		e.parts = slices.Insert(e.parts, 0, p)
		return
	}
	e.parts = append(e.parts, p)
}

// settle takes what was read since off the first part.
func (e *engine) settle(now time.Time) {
	e.expire(now)
	if len(e.parts) > 0 {
		e.parts[0].cost -= min(now.Sub(e.headSince), e.parts[0].cost)
	}
	e.headSince = now
}

// drop removes the parts of a job.
func (e *engine) drop(job string, now time.Time) {
	if len(e.parts) == 0 {
		return
	}
	e.settle(now)
	e.parts = slices.DeleteFunc(e.parts, func(p part) bool { return p.job == job })
}

// Learning how fast an engine is.
const (
	paceShare    = 0.3                   // weight of a new measurement in the moving average
	paceMost     = 10                    // no engine is taken for slower than that
	paceGrace    = 60 * time.Millisecond // a pass; within it a prediction counts as met
	overdueGrace = 150 * time.Millisecond
)

// learn takes the time to a first event and the time that was expected.
func (e *engine) learn(took, expected time.Duration) {
	ratio := float64(took) / float64(expected+paceGrace)
	e.pace = min(max(e.pace+paceShare*(ratio-e.pace), 1), paceMost)
}

// expire drops parts that are read by the model: a helper does not tell when it
// is done.
func (e *engine) expire(now time.Time) {
	for len(e.parts) > 0 && now.Sub(e.headSince) >= e.parts[0].cost {
		e.headSince = e.headSince.Add(e.parts[0].cost)
		e.parts = e.parts[1:]
	}
}

func (s *Scheduler) dropParts(r *running, now time.Time) {
	if e := s.engines[r.endpoint]; e != nil {
		e.drop(r.job.ID, now)
	}
	for _, id := range r.helpers {
		if e := s.engines[id]; e != nil && e.helps[r.job.ID] {
			e.drop(r.job.ID, now)
			delete(e.helps, r.job.ID)
			e.noteEnd(now)
		}
	}
}

// addParts puts a job's reading behind that of its endpoints.
func (s *Scheduler) addParts(r *running, now time.Time) {
	if e := s.engines[r.endpoint]; e != nil {
		e.add(part{r.job.ID, r.read}, false, now)
	}
	for _, id := range r.helpers {
		if e := s.engines[id]; e != nil {
			e.add(part{r.job.ID, r.read}, true, now)
			e.helps[r.job.ID] = true
		}
	}
}

// settleMemory notes which engines keep a job's tokens.
func (s *Scheduler) settleMemory(r *running) {
	r.keeps = r.job.Prompt + r.job.Answer
	for _, h := range r.decision.Helpers {
		r.keeps -= h.Tokens
		if e := s.engines[h.ID]; e != nil && h.Tokens > 0 {
			e.held[r.job.ID] = h.Tokens
		}
	}
}
