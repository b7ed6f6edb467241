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

// context is the number of tokens that the writers keep in memory.
func (e *engine) context() int {
	n := 0
	for _, r := range e.writers {
		if r.isWriting {
			n += r.job.Prompt
		}
	}
	return n
}

// memory is the number of tokens that the jobs here may come to need.
func (e *engine) memory() int {
	n := 0
	for _, r := range e.writers {
		n += r.job.Prompt + r.job.Answer
	}
	return n
}

func (e *engine) writing() int {
	n := 0
	for _, r := range e.writers {
		if r.isWriting {
			n++
		}
	}
	return n
}

func (e *engine) add(p part, now time.Time) {
	if len(e.parts) == 0 {
		e.headSince = now
	}
	e.parts = append(e.parts, p)
}

// drop removes the parts of a job.
func (e *engine) drop(job string, now time.Time) {
	if len(e.parts) == 0 {
		return
	}
	wasHead := e.parts[0].job == job
	e.parts = slices.DeleteFunc(e.parts, func(p part) bool { return p.job == job })
	if wasHead {
		e.headSince = now
	}
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
	for _, id := range append([]string{r.endpoint}, r.helpers...) {
		if e := s.engines[id]; e != nil {
			e.drop(r.job.ID, now)
		}
	}
}

// addParts puts a job's reading behind that of its endpoints.
func (s *Scheduler) addParts(r *running, now time.Time) {
	for _, id := range append([]string{r.endpoint}, r.helpers...) {
		if e := s.engines[id]; e != nil {
			e.add(part{r.job.ID, r.read}, now)
		}
	}
}
