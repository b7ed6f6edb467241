package admission

import "time"

// Bounds of retry delays and of learned values, and the margin of estimates.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Minute
	maxShortShare = 0.9 // maximum share of the engine's time attributed to short prefill
	maxSlowdown   = 8.0

	minMargin     = 20 * time.Millisecond // added to every service time
	marginDivisor = 20                    // 1/marginDivisor of the service time is added as well
)

// runTime returns the remaining run time of r, given its remaining prefill time
// and if nothing else starts.
func (q *Queue) runTime(r Request, prefill time.Duration) time.Duration {
	return prefill + time.Duration(float64(r.Estimate.Decode)*q.slowdown)
}

// serviceTime returns the time from the start of r to its end under the current
// load of short requests, including a margin.
func (q *Queue) serviceTime(r Request) time.Duration {
	prefill := r.Estimate.Prefill
	if r.Long {
		prefill = q.contendedTime(prefill)
	}
	slowdown := q.slowdown
	if q.runningLong > 0 && !r.Long {
		slowdown = max(slowdown, q.limits.LongSlowdown)
	}
	decode := time.Duration(float64(r.Estimate.Decode) * slowdown)
	total := prefill + max(decode, q.contendedTime(r.Estimate.Decode))
	return total + total/marginDivisor + minMargin
}

// priorityTime returns the time by which r is ordered in its list: the arrival plus
// a delay that grows with the length. Long attempts are ordered by their latest
// start if that is earlier.
func (q *Queue) priorityTime(r Request) time.Time {
	if !r.Long {
		return r.Arrived.Add(classDelay[r.Class])
	}
	byWait := r.Arrived.Add(longDelayFactor * r.Estimate.Prefill)
	if latest := q.latestStart(r); latest.Before(byWait) {
		return latest
	}
	return byWait
}

// longDelayFactor is the time during which a long attempt can be overtaken by
// shorter ones, as a multiple of its prefill time.
const longDelayFactor = 4

// maxLateness returns the most by which a long attempt behind r would miss its
// deadline if r was inserted at index.
func (q *Queue) maxLateness(r Request, index int, free int, now time.Time) time.Duration {
	if !r.Long {
		return 0
	}
	var lateness time.Duration
	added := q.contendedTime(r.Estimate.Prefill)
	for i := index; i < len(q.long); i++ {
		other := q.long[i]
		end := q.wait(other, i, free, now) + added + q.serviceTime(other)
		lateness = max(lateness, end-other.Deadline.Sub(now))
	}
	return lateness
}

// wouldDelayRunning reports whether starting r would make a running attempt miss its
// deadline.
func (q *Queue) wouldDelayRunning(r Request, now time.Time) bool {
	for _, other := range q.running {
		if other.expectedEnd.After(other.Deadline) {
			continue // already late
		}
		delay := r.Estimate.Prefill
		if r.Long {
			left := other.expectedEnd.Sub(now)
			delay = min(delay, time.Duration(float64(left)*(q.limits.LongSlowdown-1)))
		}
		if other.expectedEnd.Add(delay).After(other.Deadline) {
			return true
		}
	}
	return false
}

// latestStart returns the latest time at which r can start and meet its deadline.
func (q *Queue) latestStart(r Request) time.Time { return r.Deadline.Add(-q.serviceTime(r)) }

// ObserveDecode updates the slowdown with the decode time of an answer and its
// estimate for an idle engine.
func (q *Queue) ObserveDecode(actual, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	observed := min(max(actual.Seconds()/estimate.Seconds(), 1), maxSlowdown)
	q.slowdown += slowdownWeight * (observed - q.slowdown)
}

// slowdownWeight is the weight of a new answer in the moving average.
const slowdownWeight = 0.05
