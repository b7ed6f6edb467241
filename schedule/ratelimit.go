package schedule

import "time"

// applyStatements sets what an engine's rate limit, its cold time, or the wait that it asked
// for, allows in its view.
func (s *Scheduler) applyStatements(v *engineView, now time.Time) {
	if v.isLimited = s.isLimited(v.engine.ID, now); !v.isLimited {
		return
	}
	v.atLimit = !s.limits.IsAvailable(v.engine.ID, now)
	v.isCold = s.limits.IsCold(v.engine.ID, now)
}

// hasRateLimit reports whether an engine states a rate limit or is cold.
func (s *Scheduler) hasRateLimit(id string) bool {
	_, limited := s.limits.Limit(id)
	return limited
}

// isLimited reports whether an engine states a rate limit, is cold or asked to wait.
func (s *Scheduler) isLimited(id string, now time.Time) bool {
	return s.hasRateLimit(id) || s.limits.StatedWait(id, now) > 0
}

// countEngines returns the number of engines for which has is true.
func countEngines(engines []*engine, has func(id string) bool) int {
	n := 0
	for _, e := range engines {
		if has(e.ID) {
			n++
		}
	}
	return n
}

// hasStatements reports whether any engine may have a rate limit or have asked to wait.
func (s *Scheduler) hasStatements(now time.Time) bool {
	return s.limits.LimitedCount() > 0 || s.limits.AnyWaits(now)
}
