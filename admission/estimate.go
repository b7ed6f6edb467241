package admission

import "time"

// Bounds of learned values and answers.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Minute
	maxShortShare = 0.9 // share of the engine's time that short work can take
	maxStretch    = 8.0

	minMargin  = 20 * time.Millisecond // of estimates, at least
	marginPart = 20                    // and one part in marginPart of the estimate
)

// expected returns how long r will still run when prefill of it is left and
// nothing else starts.
func (q *Queue) expected(r Request, prefill time.Duration) time.Duration {
	return prefill + time.Duration(float64(r.Estimate.Decode)*q.stretch)
}

// service returns the time that r takes once it starts, beside the short work of
// late and with a margin.
func (q *Queue) service(r Request) time.Duration {
	prefill := r.Estimate.Prefill
	if r.Long {
		prefill = q.paced(prefill)
	}
	stretch := q.stretch
	if q.longs > 0 && !r.Long {
		stretch = max(stretch, q.limits.LongSlowdown)
	}
	stretched := time.Duration(float64(r.Estimate.Decode) * stretch)
	left := prefill + max(stretched, q.paced(r.Estimate.Decode))
	return left + left/marginPart + minMargin
}

// order returns r's place in time: for a long attempt when it should start, by
// its length or sooner by its deadline.
func (q *Queue) order(r Request) time.Time {
	if !r.Long {
		return r.Arrived.Add(ageing[r.Class])
	}
	byLength := r.Arrived.Add(longAgeing * r.Estimate.Prefill)
	if latest := q.latestStart(r); latest.Before(byLength) {
		return latest
	}
	return byLength
}

// longAgeing is how long a long attempt lets shorter ones pass, as a multiple of
// its prefill.
const longAgeing = 4

// delays returns by how much r, put at place, would make a long attempt behind
// it miss its deadline.
func (q *Queue) delays(r Request, place int, free int, now time.Time) time.Duration {
	if !r.Long {
		return 0
	}
	var late time.Duration
	added := q.paced(r.Estimate.Prefill)
	for i := place; i < len(q.long); i++ {
		other := q.long[i]
		end := q.wait(other, i, free, now) + added + q.service(other)
		late = max(late, end-other.Deadline.Sub(now))
	}
	return late
}

// disturbs reports whether the start of r would make a running attempt late.
func (q *Queue) disturbs(r Request, now time.Time) bool {
	for _, other := range q.running {
		if other.ends.After(other.Deadline) {
			continue // late already
		}
		delay := r.Estimate.Prefill
		if r.Long {
			left := other.ends.Sub(now)
			delay = min(delay, time.Duration(float64(left)*(q.limits.LongSlowdown-1)))
		}
		if other.ends.Add(delay).After(other.Deadline) {
			return true
		}
	}
	return false
}

// latestStart returns when r must start to finish in time.
func (q *Queue) latestStart(r Request) time.Time { return r.Deadline.Add(-q.service(r)) }

// ObserveDecode takes in how long an answer took against its estimate on an idle engine.
func (q *Queue) ObserveDecode(actual, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	seen := min(max(actual.Seconds()/estimate.Seconds(), 1), maxStretch)
	q.stretch += stretchWeight * (seen - q.stretch)
}

// stretchWeight is the weight of a new answer against those before.
const stretchWeight = 0.05
