package schedule

import (
	"slices"
	"time"
)

// prefillBacklog returns the time to complete the queued prefills.
func (e *engine) prefillBacklog(now time.Time) time.Duration {
	total := time.Duration(0)
	for _, p := range e.prefillQueue {
		total += p.remaining
	}
	if len(e.prefillQueue) > 0 {
		total -= min(now.Sub(e.headSince), e.prefillQueue[0].remaining)
	}
	return max(total, 0)
}

// enqueue adds a prefill in the order that engines process them: helper parts go to
// the front of the queue, prefills for answers decoded here go to the back.
func (e *engine) enqueue(p prefillTask, first bool, now time.Time) {
	e.advance(now)
	if first {
		e.prefillQueue = slices.Insert(e.prefillQueue, 0, p)
		return
	}
	e.prefillQueue = append(e.prefillQueue, p)
}

// advance deducts the time elapsed since the last update from the first prefill.
func (e *engine) advance(now time.Time) {
	e.dropCompleted(now)
	if len(e.prefillQueue) > 0 {
		e.prefillQueue[0].remaining -= min(now.Sub(e.headSince), e.prefillQueue[0].remaining)
	}
	e.headSince = now
}

// removeJob removes the prefills of a job.
func (e *engine) removeJob(job string, now time.Time) {
	if len(e.prefillQueue) == 0 {
		return
	}
	e.advance(now)
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, func(p prefillTask) bool { return p.job == job })
}

// overdueGrace is how late a first event may be before its engine counts as stalled.
const overdueGrace = 150 * time.Millisecond

// dropCompleted removes prefills that are complete according to the model; helpers
// send no completion event.
func (e *engine) dropCompleted(now time.Time) {
	for len(e.prefillQueue) > 0 && now.Sub(e.headSince) >= e.prefillQueue[0].remaining {
		e.headSince = e.headSince.Add(e.prefillQueue[0].remaining)
		e.prefillQueue = e.prefillQueue[1:]
	}
}

func (s *Scheduler) removePrefills(r *runningJob, now time.Time) {
	if e := s.engines[r.endpoint]; e != nil {
		e.removeJob(r.job.ID, now)
	}
	for _, id := range r.helpers {
		if e := s.engines[id]; e != nil && e.helping[r.job.ID] {
			e.removeJob(r.job.ID, now)
			delete(e.helping, r.job.ID)
			e.recordEnd(now)
		}
	}
}

// addPrefills queues the prefill of a job at its endpoint and at its helpers.
func (s *Scheduler) addPrefills(r *runningJob, now time.Time) {
	if e := s.engines[r.endpoint]; e != nil {
		e.enqueue(prefillTask{r.job.ID, r.prefillTime}, false, now)
	}
	for _, id := range r.helpers {
		if e := s.engines[id]; e != nil {
			e.enqueue(prefillTask{r.job.ID, r.prefillTime}, true, now)
			e.helping[r.job.ID] = true
		}
	}
}

// reserveMemory records how the tokens of a job are spread over its engines.
func (s *Scheduler) reserveMemory(r *runningJob) {
	r.memoryTokens = r.job.Prompt + r.job.Answer
	for _, h := range r.decision.Helpers {
		r.memoryTokens -= h.Tokens
		if e := s.engines[h.ID]; e != nil && h.Tokens > 0 {
			e.reserved[r.job.ID] = h.Tokens
		}
	}
}
