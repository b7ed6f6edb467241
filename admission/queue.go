// Package admission decides which attempts an endpoint takes, in which order
// they start, and which are refused. It is a pure state machine: it takes the
// time as an argument and does no I/O.
//
// An attempt is in one place at a time: queued, running or gone. Every way out of
// the queue removes it there, so an attempt that is refused never starts and one
// that starts is never refused.
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

// Limits bounds what one endpoint takes.
type Limits struct {
	MaxRunning  int // attempts on the engine at one time, long ones not counted
	MaxLong     int // long attempts on the engine at one time
	MaxQueued   int // attempts waiting
	ShortBlocks int // memory blocks that long attempts leave free for the others

	// LongSlowdown is how many times slower answers are generated beside a long
	// prefill; at least 1.
	LongSlowdown float64
}

func (l Limits) withDefaults() Limits {
	l.LongSlowdown = max(l.LongSlowdown, 1)
	return l
}

// Request is one attempt as admission sees it.
type Request struct {
	Key      engine.Key
	Class    submit.Class
	Long     bool // its prefill is long enough to be sent in chunks
	Estimate work.Estimate
	Arrived  time.Time
	Deadline time.Time
	order    time.Time // place in the queue
}

// Refusal is a queued attempt that is given back without having run.
type Refusal struct {
	Request Request
	Err     *outcome.Error
}

// Head start of each class against longer ones that arrived at the same time.
// An attempt that has waited longer than the difference is overtaken no more.
var ageing = [...]time.Duration{
	submit.ClassTiny:   0,
	submit.ClassShort:  100 * time.Millisecond,
	submit.ClassMedium: 400 * time.Millisecond,
	submit.ClassLong:   2 * time.Second,
	submit.ClassHuge:   2 * time.Second,
}

// Queue is the admission of one endpoint. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	short   []Request // by order
	long    []Request // by order
	running map[engine.Key]*run
	longs   int // running attempts that are long
	leaving bool
	stretch float64 // time of an answer on this engine over its time on an idle one
	share   shortShare

	overhead float64 // time of a long prefill over what the share of short work explains
}

// run is an attempt on the engine.
type run struct {
	Request
	prefill time.Duration // still to be prefilled
	ends    time.Time     // expected
	started time.Time
	paced   time.Duration // expected time of the prefill beside short work
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{limits: l.withDefaults(), running: make(map[engine.Key]*run), stretch: 1, overhead: 1}
}

// Offer queues r, or refuses it when it could not finish in time, when the queue
// is full or when the endpoint is leaving. free is the memory that is neither
// held nor promised, in blocks.
func (q *Queue) Offer(r Request, free int, now time.Time) *outcome.Error {
	if q.leaving {
		return outcome.Refuse(outcome.CodeLeaving, step, "the endpoint takes no new work")
	}
	if len(q.short)+len(q.long) >= q.limits.MaxQueued {
		return q.overloaded(q.Wait(r.Long, 0, free, now))
	}
	q.share.decay(now)
	remaining := r.Deadline.Sub(now)
	if r.Estimate.Service()+minMargin > remaining {
		return outcome.Refuse(outcome.CodeDeadline, step, "%v of work do not fit into %v", r.Estimate.Service(), remaining)
	}
	r.order = q.order(r)
	place := q.place(r)
	late := q.wait(r, place, free, now) + q.service(r) - remaining
	if late > 0 {
		return q.overloaded(late)
	}
	if late := q.delays(r, place, free, now); late > 0 {
		return q.overloaded(late)
	}
	q.insert(r, place)
	q.share.add(r, now)
	return nil
}

func (q *Queue) overloaded(after time.Duration) *outcome.Error {
	e := outcome.Refuse(outcome.CodeOverloaded, step, "%d attempts wait before this one", len(q.short)+len(q.long))
	e.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return e
}

// place returns where r belongs in its list.
func (q *Queue) place(r Request) int {
	list := q.short
	if r.Long {
		list = q.long
	}
	place, found := slices.BinarySearchFunc(list, r, byOrder)
	for found && place < len(list) && byOrder(list[place], r) == 0 {
		place++
	}
	return place
}

func byOrder(a, b Request) int { return a.order.Compare(b.order) }

func (q *Queue) insert(r Request, place int) {
	if r.Long {
		q.long = slices.Insert(q.long, place, r)
		return
	}
	q.short = slices.Insert(q.short, place, r)
}

// Next removes the attempts that may start from the queue and returns them. take
// reserves memory for one and reports whether there was enough; free returns the
// blocks left. The head of each list waits for memory rather than be overtaken.
func (q *Queue) Next(now time.Time, free func() int, take func(Request) bool) []Request {
	var started []Request
	for len(q.short) > 0 && len(q.running)-q.longs < q.limits.MaxRunning && !q.disturbs(q.short[0], now) && take(q.short[0]) {
		started = append(started, q.short[0])
		q.begin(q.short[0], now)
		q.short = slices.Delete(q.short, 0, 1)
	}
	for len(q.long) > 0 && q.longs < q.limits.MaxLong {
		if free()-q.long[0].Estimate.Blocks < q.limits.ShortBlocks && len(q.running) > 0 {
			break
		}
		if q.disturbs(q.long[0], now) || !take(q.long[0]) {
			break
		}
		started = append(started, q.long[0])
		q.begin(q.long[0], now)
		q.long = slices.Delete(q.long, 0, 1)
	}
	return started
}

// StartReserved notes that r started without queueing, as a member of a group does whose
// memory was reserved before.
func (q *Queue) StartReserved(r Request, now time.Time) { q.begin(r, now) }

func (q *Queue) begin(r Request, now time.Time) {
	if !r.Long {
		for _, other := range q.running {
			other.ends = other.ends.Add(r.Estimate.Prefill)
		}
	}
	q.running[r.Key] = &run{
		Request: r,
		prefill: r.Estimate.Prefill,
		ends:    now.Add(q.expected(r, r.Estimate.Prefill)),
		started: now,
		paced:   q.paced(r.Estimate.Prefill),
	}
	if r.Long {
		q.longs++
	}
}

// Progress notes how much of a running attempt's prefill is left.
func (q *Queue) Progress(k engine.Key, prefillLeft time.Duration, now time.Time) {
	r := q.running[k]
	if r == nil {
		return
	}
	r.prefill = prefillLeft
	r.ends = now.Add(q.expected(r.Request, prefillLeft))
}

// Done removes a running attempt.
func (q *Queue) Done(k engine.Key) {
	r := q.running[k]
	if r == nil {
		return
	}
	if r.Long {
		q.longs--
	}
	delete(q.running, k)
}

// Cancel removes a queued attempt whose caller went away. It reports whether it
// was queued, and so will never start.
func (q *Queue) Cancel(k engine.Key) bool {
	held := len(q.short) + len(q.long)
	gone := func(r Request) bool { return r.Key == k }
	q.short = slices.DeleteFunc(q.short, gone)
	q.long = slices.DeleteFunc(q.long, gone)
	return len(q.short)+len(q.long) < held
}

// Expire removes and returns the queued attempts that can no longer finish in
// time.
func (q *Queue) Expire(now time.Time) []Refusal {
	late := func(r Request) bool { return !now.Before(q.latestStart(r)) }
	return q.remove(late, outcome.CodeDeadline, "no time is left to finish")
}

// NextExpiry returns when Expire will have work, the zero time for never.
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

// Drain refuses all work from now on and returns what was queued.
func (q *Queue) Drain() []Refusal {
	q.leaving = true
	all := func(Request) bool { return true }
	return q.remove(all, outcome.CodeLeaving, "the endpoint takes no new work")
}

func (q *Queue) remove(which func(Request) bool, code outcome.Code, message string) []Refusal {
	var refused []Refusal
	note := func(r Request) bool {
		if !which(r) {
			return false
		}
		refused = append(refused, Refusal{r, outcome.Refuse(code, step, "%s", message)})
		return true
	}
	q.short = slices.DeleteFunc(q.short, note)
	q.long = slices.DeleteFunc(q.long, note)
	return refused
}

// Leaving reports whether Drain was called.
func (q *Queue) Leaving() bool { return q.leaving }

// Running returns the number of attempts on the engine.
func (q *Queue) Running() int { return len(q.running) }

// Queued returns the number of attempts waiting.
func (q *Queue) Queued() int { return len(q.short) + len(q.long) }

func byEnd(a, b *run) int { return cmp.Compare(a.ends.UnixNano(), b.ends.UnixNano()) }
