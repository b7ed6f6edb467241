package schedule

import "time"

// maxSuspectShare is the share of the engines beyond which suspicions are ignored: it is
// more likely that this entry, or the one that reports, is cut off.
const maxSuspectShare = 0.5

// Suspect records that an engine failed a job, or part of one, or didn't answer a probe.
// It helps no job, and is used for others only where no other engine has capacity, until
// it responds.
func (s *Scheduler) Suspect(endpoint string, now time.Time) {
	if e := s.engines[endpoint]; e != nil {
		e.suspectedAt = now
	}
}

// Respond records that an engine responded to a call sent at a time.
func (s *Scheduler) Respond(endpoint string, sentAt time.Time) {
	if e := s.engines[endpoint]; e != nil && sentAt.After(e.suspectedAt) {
		e.suspectedAt = time.Time{}
	}
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
