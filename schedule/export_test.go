package schedule

import "time"

// UntrackedRequests returns the number of requests at an endpoint that the scheduler
// does not know.
func (s *Scheduler) UntrackedRequests(endpoint string, now time.Time) int {
	n, _ := s.engines[endpoint].untracked(now)
	return n
}

// Evaluations returns the number of placements evaluated so far.
func (s *Scheduler) Evaluations() int { return s.evaluations }
