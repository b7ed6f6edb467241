package admission

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Wait returns how long an attempt of the given kind and memory that came now
// would wait for its prefill to begin.
func (q *Queue) Wait(long bool, blocks, free int, now time.Time) time.Duration {
	r := Request{Long: long, order: now}
	r.Estimate.Blocks = blocks
	if long {
		return q.wait(r, len(q.long), free, now)
	}
	return q.wait(r, q.place(r), free, now)
}

// QueuedTokens returns the prefill that was admitted and is not done, in tokens
// at position 0.
func (q *Queue) QueuedTokens() int {
	var tokens float64
	for _, list := range [...][]Request{q.short, q.long} {
		for _, r := range list {
			tokens += r.Estimate.Equivalents
		}
	}
	for _, r := range q.running {
		if r.Estimate.Prefill > 0 {
			tokens += r.Estimate.Equivalents * float64(r.prefill) / float64(r.Estimate.Prefill)
		}
	}
	return int(tokens)
}

// wait returns how long r would wait at place in its list: for the prefill
// before it, and for a slot and memory.
func (q *Queue) wait(r Request, place, free int, now time.Time) time.Duration {
	ahead := q.short
	limit := q.limits.MaxRunning - (len(q.running) - q.longs)
	spare := free
	if r.Long {
		ahead = q.long
		limit = q.limits.MaxLong - q.longs
		spare -= q.limits.ShortBlocks
	}
	busy := q.shortPrefill()
	blocks := r.Estimate.Blocks
	for _, other := range ahead[:place] {
		blocks += other.Estimate.Blocks
		busy += other.Estimate.Prefill
	}
	if r.Long {
		for _, other := range q.short {
			busy += other.Estimate.Prefill
		}
		busy = q.paced(busy + q.longPrefill())
	}
	if place < limit && blocks <= spare {
		return busy
	}
	return max(busy, q.released(r.Long, place+1-limit, blocks-spare, now))
}

func (q *Queue) shortPrefill() time.Duration { return q.runningPrefill(false) }
func (q *Queue) longPrefill() time.Duration  { return q.runningPrefill(true) }

func (q *Queue) runningPrefill(long bool) time.Duration {
	var sum time.Duration
	for _, r := range q.running {
		if r.Long == long {
			sum += r.prefill
		}
	}
	return sum
}

// released returns when running attempts will have given back slots of their
// kind and blocks. Attempts expected to have ended already count as ending now.
func (q *Queue) released(long bool, slots, blocks int, now time.Time) time.Duration {
	ending := make([]*run, 0, len(q.running))
	for _, r := range q.running {
		ending = append(ending, r)
	}
	slices.SortFunc(ending, byEnd)
	var last time.Duration
	for _, r := range ending {
		if slots <= 0 && blocks <= 0 {
			return last
		}
		last = max(r.ends.Sub(now), 0)
		blocks -= r.Estimate.Blocks
		if r.Long == long {
			slots--
		}
	}
	return last
}

// paced returns how long a long prefill takes beside the short work of late.
func (q *Queue) paced(d time.Duration) time.Duration {
	return time.Duration(float64(d) * q.overhead / (1 - q.share.value))
}

// overheadWeight is the weight of a new long prefill against those before.
const overheadWeight = 0.25

// PrefillDone notes that a running attempt's prefill is over, and learns from long
// ones how much longer they take than the share of short work explains.
func (q *Queue) PrefillDone(k engine.Key, now time.Time) {
	r := q.running[k]
	if r == nil {
		return
	}
	if r.Long && r.paced > 0 {
		seen := q.overhead * now.Sub(r.started).Seconds() / r.paced.Seconds()
		q.overhead += overheadWeight * (min(max(seen, 1), maxStretch) - q.overhead)
	}
	q.Progress(k, 0, now)
}

// shortShare is the share of the engine's time that short prefill asks for, as
// an exponentially weighted mean.
type shortShare struct {
	value float64
	at    time.Time
}

// shareWindow is the time constant of shortShare.
const shareWindow = 30 * time.Second

// decay brings the mean up to now.
func (s *shortShare) decay(now time.Time) {
	if !s.at.IsZero() {
		s.value *= math.Exp(-now.Sub(s.at).Seconds() / shareWindow.Seconds())
	}
	s.at = now
}

// add takes in an admitted attempt.
func (s *shortShare) add(r Request, now time.Time) {
	s.decay(now)
	if !r.Long {
		s.value = min(s.value+r.Estimate.Prefill.Seconds()/shareWindow.Seconds(), maxShortShare)
	}
}
