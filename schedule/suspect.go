package schedule

import "time"

// maxSuspectShare is the share of the engines beyond which suspicions are ignored: it is
// more likely that this entry, or the one that reports, is cut off.
const maxSuspectShare = 0.5

// Suspect records that an engine failed a job, or part of one, or didn't answer a probe.
// It helps no job, and is used for others only where no other engine has capacity, until
// it responds. It reports whether the engine was not suspected before.
func (s *Scheduler) Suspect(endpoint string, now time.Time) bool {
	e := s.engines[endpoint]
	if e == nil {
		return false
	}
	isNew := !e.isSuspect()
	e.suspectedAt = now
	return isNew
}

// Respond records that an engine responded to a call sent at a time. It reports whether
// that ends a suspicion.
func (s *Scheduler) Respond(endpoint string, sentAt time.Time) bool {
	e := s.engines[endpoint]
	if e == nil || !e.isSuspect() || !sentAt.After(e.suspectedAt) {
		return false
	}
	e.suspectedAt = time.Time{}
	return true
}

// isSuspect reports whether the engine has not responded since it was suspected.
func (e *engine) isSuspect() bool { return !e.suspectedAt.IsZero() }

// heedsSuspicions reports whether few enough engines are suspected.
func (s *Scheduler) heedsSuspicions() bool {
	suspects := 0
	for _, e := range s.order {
		if e.isSuspect() {
			suspects++
		}
	}
	return float64(suspects) <= maxSuspectShare*float64(len(s.order))
}
