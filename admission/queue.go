// Package admission decides which attempts an endpoint accepts, in which order
// they start, and which are refused. It is a pure state machine: it takes the
// time as an argument and does no I/O.
//
// An attempt is either queued, running or removed. Starting or refusing an attempt
// removes it from the queue, so a refused attempt never starts and a started one
// is never refused.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/work"
)

const step = "endpoint.admit"

// Limits are the admission limits of one endpoint.
type Limits struct {
	MaxRunning  int // maximum attempts running on the engine, not counting long ones
	MaxLong     int // maximum long attempts running on the engine
	MaxQueued   int // maximum attempts in the queue
	ShortBlocks int // memory blocks that long attempts leave free for short ones

	// LongSlowdown is the factor by which decode is slower during a long prefill;
	// at least 1.
	LongSlowdown float64
}

func (l Limits) withDefaults() Limits {
	l.LongSlowdown = max(l.LongSlowdown, 1)
	return l
}

// Request describes one attempt to the admission queue.
type Request struct {
	Key      engine.Key
	Class    submit.Class
	Long     bool // its prefill is long enough to be sent in chunks
	Estimate work.Estimate
	Arrived  time.Time
	Deadline time.Time
	priority time.Time // queue order, earliest first; set by Offer
}

// Refusal is a queued attempt that was removed without having run.
type Refusal struct {
	Request Request
	Err     *outcome.Error
}

// classDelay is added to the arrival time for ordering the queue, so that shorter
// classes start first. An attempt that arrived earlier than another by more than
// the difference of their delays is not overtaken by it.
var classDelay = [...]time.Duration{
	submit.ClassTiny:   0,
	submit.ClassShort:  100 * time.Millisecond,
	submit.ClassMedium: 400 * time.Millisecond,
	submit.ClassLong:   2 * time.Second,
	submit.ClassHuge:   2 * time.Second,
}

// Queue is the admission queue of one endpoint. It is not safe for concurrent use.
type Queue struct {
	limits      Limits
	short       []Request // ordered by priority
	long        []Request // ordered by priority
	running     map[engine.Key]*run
	runningLong int // number of long attempts in running
	draining    bool
	slowdown    float64 // average ratio of decode time to its estimate on an idle engine
	shortLoad   shortPrefillShare

	prefillOverhead float64 // average ratio of long prefill time to the time explained by shortLoad
}

// run is an attempt on the engine.
type run struct {
	Request
	prefillLeft     time.Duration // estimated prefill time remaining
	expectedEnd     time.Time
	started         time.Time
	expectedPrefill time.Duration // expected prefill time under the load of short requests
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{limits: l.withDefaults(), running: make(map[engine.Key]*run), slowdown: 1, prefillOverhead: 1}
}

// Offer queues r, or refuses it if it could not meet its deadline or would make a
// queued long attempt miss its own, if the queue is full or if the endpoint is
// draining. free is the number of memory blocks that are neither in use nor
// reserved.
func (q *Queue) Offer(r Request, free int, now time.Time) *outcome.Error {
	if q.draining {
		return outcome.Refuse(outcome.CodeEndpointLeaving, step, "the endpoint takes no new work")
	}
	if len(q.short)+len(q.long) >= q.limits.MaxQueued {
		return q.overloaded(q.Wait(r.Long, 0, free, now))
	}
	q.shortLoad.decay(now)
	remaining := r.Deadline.Sub(now)
	if r.Estimate.ServiceTime()+minMargin > remaining {
		return outcome.Refuse(outcome.CodeDeadlineInfeasible, step, "request takes an estimated %v, but its deadline is in %v", r.Estimate.ServiceTime(), remaining)
	}
	r.priority = q.priorityTime(r)
	index := q.position(r)
	late := q.wait(r, index, free, now) + q.serviceTime(r) - remaining
	if late > 0 {
		return q.overloaded(late)
	}
	if late := q.maxLateness(r, index, free, now); late > 0 {
		return q.overloaded(late)
	}
	q.insert(r, index)
	q.shortLoad.add(r, now)
	return nil
}

func (q *Queue) overloaded(after time.Duration) *outcome.Error {
	e := outcome.Refuse(outcome.CodeOverloaded, step, "endpoint overloaded: %d attempts are queued", len(q.short)+len(q.long))
	e.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return e
}

// position returns the index at which r is to be inserted into its list.
func (q *Queue) position(r Request) int {
	list := q.short
	if r.Long {
		list = q.long
	}
	index, found := slices.BinarySearchFunc(list, r, byPriority)
	for found && index < len(list) && byPriority(list[index], r) == 0 {
		index++
	}
	return index
}

func byPriority(a, b Request) int { return a.priority.Compare(b.priority) }

func (q *Queue) insert(r Request, index int) {
	if r.Long {
		q.long = slices.Insert(q.long, index, r)
		return
	}
	q.short = slices.Insert(q.short, index, r)
}

// Next removes the attempts that may start from the queue and returns them. take
// reserves memory for an attempt and reports whether there was enough; free returns
// the number of free blocks. An attempt at the head of its list that waits for memory
// is not overtaken by those behind it.
func (q *Queue) Next(now time.Time, free func() int, take func(Request) bool) []Request {
	var started []Request
	for len(q.short) > 0 && len(q.running)-q.runningLong < q.limits.MaxRunning && !q.wouldDelayRunning(q.short[0], now) && take(q.short[0]) {
		started = append(started, q.short[0])
		q.start(q.short[0], now)
		q.short = slices.Delete(q.short, 0, 1)
	}
	for len(q.long) > 0 && q.runningLong < q.limits.MaxLong {
		if free()-q.long[0].Estimate.Blocks < q.limits.ShortBlocks && len(q.running) > 0 {
			break
		}
		if q.wouldDelayRunning(q.long[0], now) || !take(q.long[0]) {
			break
		}
		started = append(started, q.long[0])
		q.start(q.long[0], now)
		q.long = slices.Delete(q.long, 0, 1)
	}
	return started
}

// StartReserved marks r as running without queueing it. It is used for members of a
// group, whose memory has already been reserved.
func (q *Queue) StartReserved(r Request, now time.Time) { q.start(r, now) }

func (q *Queue) start(r Request, now time.Time) {
	if !r.Long {
		for _, other := range q.running {
			other.expectedEnd = other.expectedEnd.Add(r.Estimate.Prefill)
		}
	}
	q.running[r.Key] = &run{
		Request:         r,
		prefillLeft:     r.Estimate.Prefill,
		expectedEnd:     now.Add(q.runTime(r, r.Estimate.Prefill)),
		started:         now,
		expectedPrefill: q.contendedTime(r.Estimate.Prefill),
	}
	if r.Long {
		q.runningLong++
	}
}

// Progress updates the remaining prefill time of a running attempt.
func (q *Queue) Progress(k engine.Key, prefillLeft time.Duration, now time.Time) {
	r := q.running[k]
	if r == nil {
		return
	}
	r.prefillLeft = prefillLeft
	r.expectedEnd = now.Add(q.runTime(r.Request, prefillLeft))
}

// Done removes a running attempt.
func (q *Queue) Done(k engine.Key) {
	r := q.running[k]
	if r == nil {
		return
	}
	if r.Long {
		q.runningLong--
	}
	delete(q.running, k)
}

// Cancel removes a queued attempt whose caller has disconnected. It reports whether
// the attempt was queued; if so, it will never start.
func (q *Queue) Cancel(k engine.Key) bool {
	before := len(q.short) + len(q.long)
	matches := func(r Request) bool { return r.Key == k }
	q.short = slices.DeleteFunc(q.short, matches)
	q.long = slices.DeleteFunc(q.long, matches)
	return len(q.short)+len(q.long) < before
}

// Expire removes and returns the queued attempts that can no longer meet their
// deadline.
func (q *Queue) Expire(now time.Time) []Refusal {
	late := func(r Request) bool { return !now.Before(q.latestStart(r)) }
	return q.remove(late, outcome.CodeDeadlineInfeasible, "request can no longer finish by its deadline")
}

// NextExpiry returns the time at which the next queued attempt expires, or the zero
// time if none is queued.
func (q *Queue) NextExpiry() time.Time {
	var next time.Time
	for _, list := range [...][]Request{q.short, q.long} {
		for _, r := range list {
			if at := q.latestStart(r); next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// Drain makes the queue refuse all new attempts, and removes and returns the queued
// ones.
func (q *Queue) Drain() []Refusal {
	q.draining = true
	all := func(Request) bool { return true }
	return q.remove(all, outcome.CodeEndpointLeaving, "the endpoint takes no new work")
}

func (q *Queue) remove(match func(Request) bool, code outcome.Code, message string) []Refusal {
	var refused []Refusal
	removeIf := func(r Request) bool {
		if !match(r) {
			return false
		}
		refused = append(refused, Refusal{r, outcome.Refuse(code, step, "%s", message)})
		return true
	}
	q.short = slices.DeleteFunc(q.short, removeIf)
	q.long = slices.DeleteFunc(q.long, removeIf)
	return refused
}

// Leaving reports whether Drain was called.
func (q *Queue) Leaving() bool { return q.draining }

// Running returns the number of attempts running on the engine.
func (q *Queue) Running() int { return len(q.running) }

// Queued returns the number of attempts in the queue.
func (q *Queue) Queued() int { return len(q.short) + len(q.long) }

func byExpectedEnd(a, b *run) int {
	return cmp.Compare(a.expectedEnd.UnixNano(), b.expectedEnd.UnixNano())
}
