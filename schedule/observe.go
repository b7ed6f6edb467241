package schedule

import "time"

// Load is an engine's load report, which lags by a few hundred milliseconds.
type Load struct {
	Running      int     // requests in prefill or decode
	Queued       int     // requests queued at the engine
	MemoryTokens int     // tokens in the KV cache
	Slowdown     float64 // step time relative to the profile; 1 for a healthy engine
}

// Limits on the use of load reports.
const (
	maxReportAge        = 1500 * time.Millisecond // one and a half polling periods
	reportLag           = 400 * time.Millisecond  // jobs started or ended within this time may be missing from a report
	minReportedSlowdown = 1.3                     // an engine counts as slow from this slowdown
	minUntracked        = 2                       // fewer unknown requests are attributed to report lag
)

// observation is the latest load report, reduced to what the scheduler does not
// already know.
type observation struct {
	at              time.Time
	untracked       int // requests of entries that are gone
	untrackedTokens int // tokens of these requests
	slowdown        float64
}

// ObserveLoad records the load report of an engine. Requests unknown to the
// scheduler belong to entries that are gone; they still occupy slots and memory.
func (s *Scheduler) ObserveLoad(endpoint string, l Load, now time.Time) {
	e := s.engines[endpoint]
	if e == nil {
		return
	}
	known, tokens := 0, 0
	for _, r := range e.assigned {
		known++
		tokens += r.memoryTokens
	}
	for _, t := range e.reserved {
		tokens += t
	}
	known += len(e.helping)
	o := observation{at: now, slowdown: max(l.Slowdown, 1)}
	if untracked := l.Running + l.Queued - known - e.endedSince(now.Add(-reportLag)); untracked >= minUntracked {
		o.untracked = untracked
		o.untrackedTokens = max(l.MemoryTokens-tokens, 0)
	}
	e.observed = o
}

// recordEnd keeps the times of recent job ends, as lagging reports still count these jobs.
func (e *engine) recordEnd(now time.Time) {
	kept := e.recentEnds[:0]
	for _, t := range e.recentEnds {
		if now.Sub(t) <= maxReportAge {
			kept = append(kept, t)
		}
	}
	e.recentEnds = append(kept, now)
}

func (e *engine) endedSince(t time.Time) int {
	n := 0
	for _, at := range e.recentEnds {
		if at.After(t) {
			n++
		}
	}
	return n
}

// untracked returns the requests and tokens at an engine that the scheduler does not know.
func (e *engine) untracked(now time.Time) (requests, tokens int) {
	if now.Sub(e.observed.at) > maxReportAge {
		return 0, 0
	}
	return e.observed.untracked, e.observed.untrackedTokens
}

// reportedSlowdown returns the slowdown that the engine reports, or 1 when it is healthy.
func (e *engine) reportedSlowdown(now time.Time) float64 {
	if now.Sub(e.observed.at) > maxReportAge || e.observed.slowdown < minReportedSlowdown {
		return 1
	}
	return e.observed.slowdown
}
