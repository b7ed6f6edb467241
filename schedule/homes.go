package schedule

import (
	"time"

	"github.com/jacinthplank/jacinthplank/homes"
)

// mayUse reports whether an engine may run the job or help with it.
func (j *Job) mayUse(e *engine) bool { return homes.Allows(j.Domains, e.FailureDomain) }

// eligible returns the engines that may run a job or help with it.
func (s *Scheduler) eligible(j *Job) []*engine {
	if j.Domains == nil {
		return s.order
	}
	var out []*engine
	for _, e := range s.order {
		if j.mayUse(e) {
			out = append(out, e)
		}
	}
	return out
}

// hasNoHome reports whether there are engines, but none that may run the job. Without any
// engine, the endpoints may not have been set yet.
func (s *Scheduler) hasNoHome(j *Job) bool {
	return j.Domains != nil && len(s.order) > 0 && len(s.eligible(j)) == 0
}

// refuseWithoutHome refuses a job that no engine may run.
func (s *Scheduler) refuseWithoutHome(j *Job) Decision {
	d := s.refuse(j, "no endpoint in the home regions accepts requests", NoHomeRetry)
	d.NoHome = true
	return d
}

// NoHomeRetry is the time after which a request that no endpoint may serve is worth another
// attempt, if its caller's time allows: an endpoint has to start, or a configuration to
// change.
const NoHomeRetry = time.Second
