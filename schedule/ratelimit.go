package schedule

import "time"

// applyRateLimit sets what the rate limit of an engine allows in its view.
func (s *Scheduler) applyRateLimit(v *engineView, now time.Time) {
	if _, v.isLimited = s.limits.Limit(v.engine.ID); !v.isLimited {
		return
	}
	if v.atLimit = !s.limits.IsAvailable(v.engine.ID, now); v.atLimit {
		s.enginesAtLimit++
	}
}

// limitedEngines returns the number of engines that state a rate limit.
func (s *Scheduler) limitedEngines() int {
	if s.limits.LimitedCount() == 0 {
		return 0
	}
	n := 0
	for _, e := range s.order {
		if _, limited := s.limits.Limit(e.ID); limited {
			n++
		}
	}
	return n
}
