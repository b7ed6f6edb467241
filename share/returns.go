package share

import (
	"math"
	"time"
)

// SlotTime is the length of the slots in which retry times are assigned.
const SlotTime = 50 * time.Millisecond

// Calendar assigns the times at which refused callers come back, so that there is room for
// those that come at the same time. It is not safe for concurrent use.
type Calendar struct {
	booked map[int64]time.Duration // engine time by slot
	swept  int64                   // slots before this one were dropped
}

// Book assigns the first slot from earliest to latest, counted from now, that has room
// for some engine time, and returns the delay until it. perSlot is the engine time that a slot
// has room for. If there is no such slot it takes the one that is used least. spread, from 0
// to 1, is the place within the slot.
func (c *Calendar) Book(work, perSlot, earliest, latest time.Duration, spread float64, now time.Time) time.Duration {
	c.sweep(now)
	first, last := slotOf(now.Add(earliest)), slotOf(now.Add(max(latest, earliest)))
	best, least := first, time.Duration(math.MaxInt64)
	for slot := first; slot <= last; slot++ {
		used := c.booked[slot]
		if used < least {
			best, least = slot, used
		}
		if used+work <= perSlot {
			best = slot
			break
		}
	}
	c.booked[best] += work
	at := time.Unix(0, best*int64(SlotTime)).Add(time.Duration(spread * float64(SlotTime)))
	return min(max(at.Sub(now), earliest), max(latest, earliest))
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(SlotTime) }

// sweep drops the slots that have passed.
func (c *Calendar) sweep(now time.Time) {
	if c.booked == nil {
		c.booked = map[int64]time.Duration{}
	}
	current := slotOf(now)
	if current <= c.swept {
		return
	}
	c.swept = current
	for slot := range c.booked {
		if slot < current {
			delete(c.booked, slot)
		}
	}
}

// Limits on the recognition of callers that come back.
const (
	earlyTolerance = 100 * time.Millisecond // before the retry time, as clocks and rounding differ
	lateTolerance  = 2 * time.Second        // after it; later ones count as new
	maxPromises    = 4096                   // kept at once: about 40 s of 100 refusals a second
)

// Promises keeps the retry times that refused callers were given. It is not safe for
// concurrent use.
type Promises struct {
	byRequest map[string]Promise
}

// Promise is the refusal of a request.
type Promise struct {
	RefusedAt time.Time
	Due       time.Time // when its caller was told to return
	IsTold    bool      // false if the caller was not answered, and may send it again at any time
}

// Add records a promise for a request, named by what is the same in all attempts of its
// caller.
func (p *Promises) Add(request string, promise Promise) {
	if request == "" {
		return
	}
	if p.byRequest == nil {
		p.byRequest = map[string]Promise{}
	}
	if len(p.byRequest) >= maxPromises {
		p.expire(promise.RefusedAt)
	}
	if len(p.byRequest) < maxPromises {
		p.byRequest[request] = promise
	}
}

// Claim removes and returns the promise of a request. It reports false if there is none or
// the caller does not come at its time.
func (p *Promises) Claim(request string, now time.Time) (Promise, bool) {
	known, ok := p.byRequest[request]
	if !ok || now.Before(known.Due.Add(-earlyTolerance)) {
		return Promise{}, false
	}
	delete(p.byRequest, request)
	return known, !now.After(known.Due.Add(lateTolerance))
}

func (p *Promises) expire(now time.Time) {
	for request, known := range p.byRequest {
		if now.After(known.Due.Add(lateTolerance)) {
			delete(p.byRequest, request)
		}
	}
}
