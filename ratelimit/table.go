// Package ratelimit keeps what endpoints state about the requests that they take: the rate
// to which they limit all entries together, a time for which they want none, and the rate
// that they take while they are cold. An endpoint lifts its limit with a response that
// states none. Of two rates the lower one applies.
//
// The package does no I/O; callers pass in the time.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// StatementKind tells what a response states about the endpoint's limit.
type StatementKind uint8

// Kinds of statements.
const (
	Unlimited  StatementKind = iota // no limit is in force
	Limited                         // a limit is in force
	Unreadable                      // a limit is stated whose value can't be used
)

// Statement is what a response states about its endpoint.
type Statement struct {
	Kind      StatementKind // of its limit
	PerSecond float64       // requests a second; set if Kind is Limited
	Wait      time.Duration // for which it wants no requests; 0 for none
	Leaving   bool          // it takes no new requests before it ends
	HasCold   bool          // it states ColdLeft
	ColdLeft  time.Duration // for which it is still cold; 0 if it is warm
}

// maxWait bounds the wait that a statement may impose, as an endpoint that mistakes the
// unit would get no request for years.
const maxWait = 10 * time.Minute

// WaitFor returns the wait for a number of seconds; 0 for one that is not positive and
// finite.
func WaitFor(seconds float64) time.Duration {
	if !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxPerSecond is more than any endpoint takes. Higher limits count as this one.
const maxPerSecond = 1e6

// LimitTo returns the statement of a limit. A limit that is not a finite number of at
// least 0 is unreadable.
func LimitTo(perSecond float64) Statement {
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return Statement{Kind: Unreadable}
	}
	return Statement{Kind: Limited, PerSecond: min(perSecond, maxPerSecond)}
}

// Record is the latest usable statement of an endpoint.
type Record struct {
	Endpoint  string
	Limited   bool
	PerSecond float64 // requests a second; 0 if not limited
	// At orders statements of an endpoint. That of a limit is as late as its response,
	// that of none only as late as the request that was answered: the response may have
	// been overtaken by one that states a limit.
	At time.Time
	// WaitUntil is the end of the time for which the endpoint wants no requests. It is
	// independent of At: the latest end that was stated applies.
	WaitUntil time.Time
	Cold      Cold // independent of At too
}

// liftedRetention is how long the record of a lifted limit is kept, to outweigh older
// statements that other entries pass on.
const liftedRetention = time.Minute

// reportInterval is how often a limit that is stated again is passed on. Its record may
// have been replaced at the receiver by one that was delivered late.
const reportInterval = 200 * time.Millisecond

// Table holds the limits of endpoints. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	records   map[string]*record // by endpoint
	limited   int                // records with a limit of either kind
	waitUntil time.Time          // latest WaitUntil of the records
	allotsAll bool               // this entry allots the whole rates
	entries   int                // entries among which rates are shared otherwise; 0 if unknown

	coldBounds     ColdBounds
	confirmedAt    time.Time // when this entry was last confirmed as the one that allots
	allotsColdFrom time.Time // no requests to cold endpoints are allotted before
}

// record is the statement of an endpoint and what this entry may send it.
type record struct {
	Record
	isCold     bool // the cold limit is in force
	allotment  allotment
	reportedAt time.Time
}

// isLimited reports whether a limit of either kind is in force.
func (r *record) isLimited() bool { return r.Limited || r.isCold }

// perSecond returns the limit in force, the lower one of two.
func (r *record) perSecond() float64 {
	switch {
	case !r.isCold:
		return r.PerSecond
	case !r.Limited:
		return r.Cold.PerSecond
	default:
		return min(r.PerSecond, r.Cold.PerSecond)
	}
}

// NewTable returns a table without limits.
func NewTable() *Table {
	return &Table{records: map[string]*record{}, coldBounds: ColdBounds{Excess: 1}}
}

// Observe applies the statement of a response to a request that was sent at sentAt. It
// returns the record and whether the limit changed.
func (t *Table) Observe(endpoint string, s Statement, sentAt, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Wait > 0 {
		t.extendWait(endpoint, now.Add(s.Wait), now)
	}
	switch {
	case s.Kind == Limited:
		return t.apply(Record{Endpoint: endpoint, Limited: true, PerSecond: s.PerSecond, At: now}, now)
	case s.Kind == Unlimited && t.records[endpoint] != nil:
		return t.apply(Record{Endpoint: endpoint, At: sentAt}, now)
	default:
		return Record{}, false
	}
}

// Merge applies the records of another entry and returns those that changed a limit. It
// passes over values that can't be used.
func (t *Table) Merge(records []Record, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	for _, r := range records {
		if r.WaitUntil.After(now) {
			t.extendWait(r.Endpoint, r.WaitUntil, now)
		}
		t.mergeCold(r, now)
		if r.Limited {
			s := LimitTo(r.PerSecond)
			if s.Kind != Limited {
				continue
			}
			r.PerSecond = s.PerSecond
		}
		if r, ok := t.apply(r, now); ok {
			changed = append(changed, r)
		}
	}
	return changed
}

// apply replaces the record of an endpoint by a later one. The caller holds the lock.
func (t *Table) apply(r Record, now time.Time) (Record, bool) {
	if r.At.After(now) {
		r.At = now
	}
	previous := t.record(r.Endpoint)
	if r.At.Before(previous.At) {
		return previous.Record, false
	}
	r.WaitUntil, r.Cold = previous.WaitUntil, previous.Cold
	changed := r.Limited != previous.Limited || r.PerSecond != previous.PerSecond
	t.update(previous, now, func() { previous.Record = r })
	return r, changed
}

// update changes the limits of a record. The caller holds the lock.
func (t *Table) update(r *record, now time.Time, change func()) {
	wasLimited := r.isLimited()
	change()
	switch {
	case r.isLimited() && !wasLimited:
		t.limited++
		r.allotment = allotment{at: now} // its rate has been exceeded up to now
	case !r.isLimited() && wasLimited:
		t.limited--
	}
}

// record returns the record of an endpoint, a new one if there is none. The caller holds
// the lock.
func (t *Table) record(endpoint string) *record {
	r := t.records[endpoint]
	if r == nil {
		r = &record{Record: Record{Endpoint: endpoint}}
		t.records[endpoint] = r
	}
	return r
}

// extendWait extends the wait of an endpoint. The caller holds the lock.
func (t *Table) extendWait(endpoint string, until, now time.Time) {
	r := t.record(endpoint)
	if limit := now.Add(maxWait); until.After(limit) {
		until = limit
	}
	if until.After(r.WaitUntil) {
		r.WaitUntil = until
	}
	if until.After(t.waitUntil) {
		t.waitUntil = until
	}
}

// AnyWaits reports whether an endpoint may want no requests now.
func (t *Table) AnyWaits(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitUntil.After(now)
}

// StatedWait returns how long an endpoint still wants no requests, 0 if it takes them.
func (t *Table) StatedWait(endpoint string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statedWait(endpoint, now)
}

func (t *Table) statedWait(endpoint string, now time.Time) time.Duration {
	r := t.records[endpoint]
	if r == nil {
		return 0
	}
	return max(r.WaitUntil.Sub(now), 0)
}

// Limit returns the limit of an endpoint in requests a second, and false if it has none.
func (t *Table) Limit(endpoint string) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limitedRecord(endpoint)
	if r == nil {
		return 0, false
	}
	return r.perSecond(), true
}

// limitedRecord returns the record of an endpoint with a limit, or nil. A cold time that is
// over counts until a call that is given the time. The caller holds the lock.
func (t *Table) limitedRecord(endpoint string) *record {
	if r := t.records[endpoint]; r != nil && r.isLimited() {
		return r
	}
	return nil
}

// limitedRecordAt returns the record of an endpoint with a limit at a time, or nil. The
// caller holds the lock.
func (t *Table) limitedRecordAt(endpoint string, now time.Time) *record {
	if r := t.records[endpoint]; r != nil {
		t.expireCold(r, now)
	}
	return t.limitedRecord(endpoint)
}

// Record returns the record of an endpoint, and whether it has a limit.
func (t *Table) Record(endpoint string) (_ Record, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limitedRecord(endpoint)
	if r == nil {
		return Record{}, false
	}
	return r.Record, true
}

// WaitRecord returns the record of an endpoint, whether or not it states a limit.
func (t *Table) WaitRecord(endpoint string) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[endpoint]; r != nil {
		return r.Record
	}
	return Record{Endpoint: endpoint}
}

// LimitedCount returns the number of endpoints with a limit.
func (t *Table) LimitedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited
}

// Records returns all records by endpoint.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.Record)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Forget drops the limit of an endpoint that left or started again.
func (t *Table) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(endpoint)
}

// Expire drops the limits of endpoints that are not in use, and the records of lifted
// limits after liftedRetention. Endpoints that are cold are kept, as they may come into use
// again meanwhile.
func (t *Table) Expire(now time.Time, inUse func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, r := range t.records {
		t.expireCold(r, now)
		if (!inUse(endpoint) && !r.isCold) || (!r.isLimited() && now.Sub(r.At) > liftedRetention && !r.WaitUntil.After(now)) {
			t.remove(endpoint)
		}
	}
}

// TakeReport reports whether a limit is to be passed on to other entries.
func (t *Table) TakeReport(endpoint string, changed bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil || (!changed && (!r.isLimited() || now.Sub(r.reportedAt) < reportInterval)) {
		return false
	}
	r.reportedAt = now
	return true
}

func (t *Table) remove(endpoint string) {
	if r := t.records[endpoint]; r != nil && r.isLimited() {
		t.limited--
	}
	delete(t.records, endpoint)
}
