package schedule

import "time"

// Foreign returns the requests at an endpoint that nobody here knows.
func (s *Scheduler) Foreign(endpoint string, now time.Time) int {
	n, _ := s.engines[endpoint].foreign(now)
	return n
}
