package admission

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Wait returns the expected wait until the start of prefill for an attempt that
// arrives now, is long or not, and needs the given number of memory blocks.
func (q *Queue) Wait(long bool, blocks, free int, now time.Time) time.Duration {
	r := Request{Long: long, priority: now}
	r.Estimate.Blocks = blocks
	if long {
		return q.wait(r, len(q.long), free, now)
	}
	return q.wait(r, q.position(r), free, now)
}

// QueuedTokens returns the prefill work that was admitted and is not yet done,
// converted to the equivalent number of tokens at position 0.
func (q *Queue) QueuedTokens() int {
	var tokens float64
	for _, list := range [...][]Request{q.short, q.long} {
		for _, r := range list {
			tokens += r.Estimate.EquivalentTokens
		}
	}
	for _, r := range q.running {
		if r.Estimate.Prefill > 0 {
			tokens += r.Estimate.EquivalentTokens * float64(r.prefillLeft) / float64(r.Estimate.Prefill)
		}
	}
	return int(tokens)
}

// wait returns the expected wait of r at index in its list: until the prefill ahead
// of it is done and a slot and memory are free.
func (q *Queue) wait(r Request, index, free int, now time.Time) time.Duration {
	ahead := q.short
	limit := q.limits.MaxRunning - (len(q.running) - q.runningLong)
	available := free
	if r.Long {
		ahead = q.long
		limit = q.limits.MaxLong - q.runningLong
		available -= q.limits.ShortBlocks
	}
	prefillAhead := q.shortPrefill()
	blocks := r.Estimate.Blocks
	for _, other := range ahead[:index] {
		blocks += other.Estimate.Blocks
		prefillAhead += other.Estimate.Prefill
	}
	if r.Long {
		for _, other := range q.short {
			prefillAhead += other.Estimate.Prefill
		}
		prefillAhead = q.contendedTime(prefillAhead + q.longPrefill())
	}
	if index < limit && blocks <= available {
		return prefillAhead
	}
	return max(prefillAhead, q.timeUntilReleased(r.Long, index+1-limit, blocks-available, now))
}

func (q *Queue) shortPrefill() time.Duration { return q.runningPrefill(false) }
func (q *Queue) longPrefill() time.Duration  { return q.runningPrefill(true) }

func (q *Queue) runningPrefill(long bool) time.Duration {
	var sum time.Duration
	for _, r := range q.running {
		if r.Long == long {
			sum += r.prefillLeft
		}
	}
	return sum
}

// timeUntilReleased returns the expected time until running attempts have released
// the given number of slots of their kind and of memory blocks. Attempts past their
// expected end count as ending now.
func (q *Queue) timeUntilReleased(long bool, slots, blocks int, now time.Time) time.Duration {
	running := make([]*run, 0, len(q.running))
	for _, r := range q.running {
		running = append(running, r)
	}
	slices.SortFunc(running, byExpectedEnd)
	var wait time.Duration
	for _, r := range running {
		if slots <= 0 && blocks <= 0 {
			return wait
		}
		wait = max(r.expectedEnd.Sub(now), 0)
		blocks -= r.Estimate.Blocks
		if r.Long == long {
			slots--
		}
	}
	return wait
}

// contendedTime returns the time that a long prefill of d takes under the current load
// of short requests.
func (q *Queue) contendedTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * q.prefillOverhead / (1 - q.shortLoad.value))
}

// prefillOverheadWeight is the weight of a new long prefill in the moving average.
const prefillOverheadWeight = 0.25

// PrefillDone marks the prefill of a running attempt as done. For long attempts it
// also updates the ratio of prefill time to the time explained by the load of short
// requests.
func (q *Queue) PrefillDone(k engine.Key, now time.Time) {
	r := q.running[k]
	if r == nil {
		return
	}
	if r.Long && r.expectedPrefill > 0 {
		observed := q.prefillOverhead * now.Sub(r.started).Seconds() / r.expectedPrefill.Seconds()
		q.prefillOverhead += prefillOverheadWeight * (min(max(observed, 1), maxSlowdown) - q.prefillOverhead)
	}
	q.Progress(k, 0, now)
}

// shortPrefillShare is the share of the engine's time required by the prefill of
// admitted short attempts, as an exponentially weighted mean.
type shortPrefillShare struct {
	value   float64
	updated time.Time
}

// shareWindow is the time constant of shortPrefillShare.
const shareWindow = 30 * time.Second

// decay applies the decay since the last update.
func (s *shortPrefillShare) decay(now time.Time) {
	if !s.updated.IsZero() {
		s.value *= math.Exp(-now.Sub(s.updated).Seconds() / shareWindow.Seconds())
	}
	s.updated = now
}

// add adds an admitted attempt to the mean.
func (s *shortPrefillShare) add(r Request, now time.Time) {
	s.decay(now)
	if !r.Long {
		s.value = min(s.value+r.Estimate.Prefill.Seconds()/shareWindow.Seconds(), maxShortShare)
	}
}
