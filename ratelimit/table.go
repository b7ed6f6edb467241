// Package ratelimit keeps the request rates to which endpoints limit all entries
// together. An endpoint states its limit in its responses, and lifts it with a
// response that states none.
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

// Statement is what a response states about its endpoint's limit.
type Statement struct {
	Kind      StatementKind
	PerSecond float64 // requests a second; set if Kind is Limited
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
	limited   int                // records with a limit
	allotsAll bool               // this entry allots the whole rates
	entries   int                // entries among which rates are shared otherwise; 0 if unknown
}

// record is the statement of an endpoint and what this entry may send it.
type record struct {
	Record
	allotment  allotment
	reportedAt time.Time
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{records: map[string]*record{}} }

// Observe applies the statement of a response to a request that was sent at sentAt. It
// returns the record and whether the limit changed.
func (t *Table) Observe(endpoint string, s Statement, sentAt, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
	previous := t.records[r.Endpoint]
	if previous == nil {
		previous = &record{Record: Record{Endpoint: r.Endpoint}}
		t.records[r.Endpoint] = previous
	} else if r.At.Before(previous.At) {
		return previous.Record, false
	}
	changed := r.Limited != previous.Limited || r.PerSecond != previous.PerSecond
	if r.Limited && !previous.Limited {
		t.limited++
		previous.allotment = allotment{at: now} // its rate has been exceeded up to now
	} else if !r.Limited && previous.Limited {
		t.limited--
	}
	previous.Record = r
	return r, changed
}

// Limit returns the limit of an endpoint in requests a second, and false if it has none.
func (t *Table) Limit(endpoint string) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limitedRecord(endpoint)
	if r == nil {
		return 0, false
	}
	return r.PerSecond, true
}

// limitedRecord returns the record of an endpoint with a limit, or nil. The caller holds
// the lock.
func (t *Table) limitedRecord(endpoint string) *record {
	if r := t.records[endpoint]; r != nil && r.Limited {
		return r
	}
	return nil
}

// Record returns the record of an endpoint, and whether it states a limit.
func (t *Table) Record(endpoint string) (_ Record, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limitedRecord(endpoint)
	if r == nil {
		return Record{}, false
	}
	return r.Record, true
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
// limits after liftedRetention.
func (t *Table) Expire(now time.Time, inUse func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, r := range t.records {
		if !inUse(endpoint) || (!r.Limited && now.Sub(r.At) > liftedRetention) {
			t.remove(endpoint)
		}
	}
}

// TakeReport reports whether a limit is to be passed on to other entries.
func (t *Table) TakeReport(endpoint string, changed bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil || (!changed && (!r.Limited || now.Sub(r.reportedAt) < reportInterval)) {
		return false
	}
	r.reportedAt = now
	return true
}

func (t *Table) remove(endpoint string) {
	if r := t.records[endpoint]; r != nil && r.Limited {
		t.limited--
	}
	delete(t.records, endpoint)
}
