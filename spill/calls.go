package spill

import (
	"math"
	"slices"
	"time"
)

// CallReport is what an entry tells about its calls to an endpoint of a plain service.
type CallReport struct {
	Running int     `json:"running,omitempty"` // in progress
	Calls   int     `json:"calls,omitempty"`   // answered since the previous report
	TookMs  float64 `json:"took_ms,omitempty"` // total time of these
	Failed  int     `json:"failed,omitempty"`  // failed since the previous report
}

// Limits of a report. They are far above what an entry sees between two reports; what exceeds
// them comes from a faulty writer and must not reach sums.
const (
	maxReportedCalls = 1 << 20
	maxReportedMs    = 1e12
)

func (r CallReport) isValid() bool {
	for _, n := range []int{r.Running, r.Calls, r.Failed} {
		if n < 0 || n > maxReportedCalls {
			return false
		}
	}
	return r.TookMs >= 0 && r.TookMs <= maxReportedMs
}

// CallState is what is known of the calls of several entries to an endpoint.
type CallState struct {
	Running int     `json:"running,omitempty"` // in progress
	Calls   float64 `json:"calls,omitempty"`   // answered lately; decays
	MeanMs  float64 `json:"mean_ms,omitempty"` // mean time of these
	Failing bool    `json:"failing,omitempty"` // failed lately, and has answered no call since
	OnTrial bool    `json:"trial,omitempty"`   // failed, and is tried again
}

// Parameters of the state of calls.
const (
	callMemory    = time.Second // time constant of the times of calls
	failingFor    = time.Second // after a failure, until the endpoint is tried again; doubled with each failed trial
	maxDoublings  = 1
	reportExpires = 3 * time.Second // entries report once a second
	maxSlowness   = 8
)

// Calls keeps what entries reported about their calls. It is not safe for concurrent use.
type Calls struct {
	running map[string]ownerCalls // by entry
	ends    map[string]callEnds   // by endpoint
}

type ownerCalls struct {
	at         time.Time
	byEndpoint map[string]int
}

type callEnds struct {
	calls, took float64 // decaying; took in ms
	at          time.Time
	failedAt    time.Time // zero if it has answered since
	trials      int       // that failed since it has answered
}

// isFailing reports whether no call is sent for now, as the latest one failed.
func (e callEnds) isFailing(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < failingFor<<e.trials
}

func (e callEnds) decayed(now time.Time) callEnds {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(callMemory))
		e.calls, e.took, e.at = e.calls*keep, e.took*keep, now
	}
	return e
}

// NewCalls returns a state without calls.
func NewCalls() *Calls {
	return &Calls{running: map[string]ownerCalls{}, ends: map[string]callEnds{}}
}

// Merge adds the complete report of an entry. It passes over endpoints with values out of range.
func (c *Calls) Merge(owner string, reports map[string]CallReport, now time.Time) {
	running := make(map[string]int, len(reports))
	for endpoint, r := range reports {
		if !r.isValid() {
			continue
		}
		if r.Running > 0 {
			running[endpoint] = r.Running
		}
		if r.Calls == 0 && r.Failed == 0 {
			continue
		}
		e := c.ends[endpoint].decayed(now)
		e.calls, e.took = e.calls+float64(r.Calls), e.took+r.TookMs
		switch {
		case r.Failed == 0:
			e.failedAt, e.trials = time.Time{}, 0
		case e.failedAt.IsZero() || e.isFailing(now):
			e.failedAt = now
		default:
			e.failedAt, e.trials = now, min(e.trials+1, maxDoublings)
		}
		c.ends[endpoint] = e
	}
	c.running[owner] = ownerCalls{now, running}
	c.expire(now)
}

// expire drops entries and endpoints that have not been reported for long.
func (c *Calls) expire(now time.Time) {
	for owner, o := range c.running {
		if now.Sub(o.at) > reportExpires {
			delete(c.running, owner)
		}
	}
	for endpoint, e := range c.ends {
		if now.Sub(e.at) > dropAfter {
			delete(c.ends, endpoint)
		}
	}
}

// States returns the state of each endpoint without the calls in progress of one entry.
func (c *Calls) States(except string, now time.Time) map[string]CallState {
	out := make(map[string]CallState, len(c.ends))
	for endpoint, e := range c.ends {
		e = e.decayed(now)
		s := CallState{Calls: e.calls, Failing: e.isFailing(now), OnTrial: !e.failedAt.IsZero() && !e.isFailing(now)}
		if e.calls > 0 {
			s.MeanMs = e.took / e.calls
		}
		out[endpoint] = s
	}
	for owner, o := range c.running {
		if owner == except || now.Sub(o.at) > reportExpires {
			continue
		}
		for endpoint, n := range o.byEndpoint {
			s := out[endpoint]
			s.Running += n
			out[endpoint] = s
		}
	}
	return out
}

// Slowness returns how much longer calls to each of several equivalent endpoints take than
// those to the median of them, from 1 to 8. With fewer recent calls it is closer to 1, so that
// a slow endpoint is tried again within a few seconds.
func Slowness(states []CallState) []float64 {
	out := make([]float64, len(states))
	var means []float64
	for _, s := range states {
		if s.MeanMs > 0 {
			means = append(means, s.MeanMs)
		}
	}
	slices.Sort(means)
	for i, s := range states {
		out[i] = 1
		if len(means) < 2 || s.MeanMs <= 0 {
			continue
		}
		usual := means[(len(means)-1)/2]
		out[i] = min(max((s.Calls*s.MeanMs/usual+1)/(s.Calls+1), 1), maxSlowness)
	}
	return out
}
