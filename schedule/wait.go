package schedule

import (
	"time"

	"github.com/jacinthplank/jacinthplank/ratelimit"
)

// predictWait returns the shortest time until any engine that may run a job has completed
// its backlog at the pace that it reports, and until their request rates allow a job behind
// those that are queued.
func (s *Scheduler) predictWait(j *Job, now time.Time) time.Duration {
	engines := s.eligible(j)
	return max(s.predictBacklog(engines, now), s.predictRateWait(engines, now))
}

// predictBacklog returns the shortest time until any engine has completed its backlog at
// the pace that it reports.
func (s *Scheduler) predictBacklog(engines []*engine, now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for _, e := range engines {
		wait := e.prefillBacklog(now) + s.profile.PassTime(len(e.assigned), s.profile.MeanPrompt*len(e.assigned))
		wait = time.Duration(float64(wait) * e.reportedSlowdown(now))
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, 0)
}

// predictRateWait returns the time until the engines take another request after those
// that are queued: 0 if one of them has no limit.
func (s *Scheduler) predictRateWait(engines []*engine, now time.Time) time.Duration {
	if len(engines) == 0 || !s.hasStatements(now) || countEngines(engines, func(id string) bool { return s.isLimited(id, now) }) < len(engines) {
		return 0
	}
	shortest, total := ratelimit.Never, 0.0
	for _, e := range engines {
		total += s.limits.Rate(e.ID)
		shortest = min(shortest, s.limits.Wait(e.ID, now))
	}
	if shortest == ratelimit.Never || total == 0 {
		return shortest
	}
	return shortest + time.Duration(float64(len(s.queue))/total*float64(time.Second))
}
