package ratelimit

import (
	"math"
	"time"
)

// Allotment of the rates that endpoints state. One entry, which sees the requests of all,
// allots the whole rate; an entry that acts by itself has a share.
const (
	// recheckRate is the lowest rate allotted, in requests a second. An endpoint that
	// states 0 could not lift its limit without a request.
	recheckRate = 0.25
	burstTime   = 250 * time.Millisecond // of unused rate is kept
	maxDebtTime = time.Second            // of the rate that calls which had to be sent may use in advance
	// loneShare is the part of a rate that entries without a coordinator use together. A
	// coordinator that they can't reach may allot all of it.
	loneShare = 0.5
	// minLoneRate is the lowest share of an entry that acts by itself, in requests a
	// second. Shares below it would add up to bursts beyond the limit.
	minLoneRate = 1.0
	// grantTime is the rate that the allotting entry grants at once to another one.
	grantTime     = 20 * time.Millisecond
	grantLifetime = 250 * time.Millisecond
	maxGrant      = 100 // requests granted at once
	// maxDenialTime limits how long an entry doesn't ask again.
	maxDenialTime = 250 * time.Millisecond
)

// Never is the wait for a request that this entry may not send at all.
const Never = time.Duration(math.MaxInt64)

// allotment is what may be sent to one endpoint with a limit.
type allotment struct {
	tokens float64 // requests that may be sent now; negative for debt
	at     time.Time

	// Of an entry for which another one allots.
	granted      int // requests granted by it
	grantedUntil time.Time
	deniedUntil  time.Time
}

// SetAllotsAll sets whether this entry allots the whole rates. An entry that begins to
// starts with none, as others may have used what was allotted before. It is to be called
// again and again, as requests to cold endpoints are allotted only for a time.
func (t *Table) SetAllotsAll(all bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if all {
		t.confirmAllots(now)
	}
	if t.allotsAll == all {
		return
	}
	t.allotsColdFrom = now.Add(takeoverTime)
	t.allotsAll = all
	for _, r := range t.records {
		r.allotment = allotment{at: now}
	}
}

// SetEntries sets the number of entries among which the rates are shared while each acts
// by itself; 0 if it is unknown, which leaves this entry no share.
func (t *Table) SetEntries(entries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = entries
}

// rate returns the requests a second that this entry may send or allot. The caller holds the
// lock.
func (t *Table) rate(r *record, now time.Time) float64 {
	switch {
	case !r.isCold:
		return t.statedRate(r)
	case !r.Limited:
		return t.coldRate(r, now)
	default:
		return min(t.statedRate(r), t.coldRate(r, now))
	}
}

// statedRate returns the part of a stated limit that this entry may use.
func (t *Table) statedRate(r *record) float64 {
	if t.allotsAll {
		return max(r.PerSecond, recheckRate)
	}
	share := r.PerSecond * loneShare / float64(max(t.entries, 1))
	if t.entries == 0 || share < minLoneRate {
		return 0
	}
	return share
}

// refill adds the tokens since the last call. The caller holds the lock.
func (t *Table) refill(r *record, now time.Time) {
	rate, from := t.rate(r, now), r.allotment.at
	if r.isCold && t.allotsAll && t.allotsColdFrom.After(from) {
		from = t.allotsColdFrom
	}
	if elapsed := now.Sub(from); elapsed > 0 {
		r.allotment.tokens += rate * elapsed.Seconds()
		r.allotment.at = now
	}
	burst := max(1, rate*burstTime.Seconds())
	switch {
	case r.isCold && t.allotsAll && !t.isConfirmed(now):
		burst = 0
	case r.isCold:
		burst = min(burst, t.coldBurst(r))
	}
	r.allotment.tokens = min(r.allotment.tokens, burst)
}

// Rate returns the requests a second that this entry may send to an endpoint with a limit,
// or allot; 0 if it has no share or the endpoint has no limit.
func (t *Table) Rate(endpoint string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limitedRecord(endpoint)
	if r == nil {
		return 0
	}
	return t.rate(r, t.confirmedAt)
}

// IsAvailable reports whether a request may be sent to an endpoint now.
func (t *Table) IsAvailable(endpoint string, now time.Time) bool {
	return t.Wait(endpoint, now) <= 0
}

// Wait returns the time until the next request may be sent to an endpoint: 0 if it may be
// sent now, Never if this entry has no share of the rate.
func (t *Table) Wait(endpoint string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	stated := t.statedWait(endpoint, now)
	r := t.limitedRecordAt(endpoint, now)
	if r == nil {
		return stated
	}
	t.refill(r, now)
	rate := t.rate(r, now)
	switch {
	case r.allotment.tokens >= 1:
		return stated
	case rate <= 0:
		return Never
	default:
		wait := time.Duration((1 - r.allotment.tokens) / rate * float64(time.Second))
		if r.isCold {
			wait += t.coldWait(now)
		}
		return max(stated, wait)
	}
}

// Take takes a request out of the allotment of an endpoint and reports whether it may be
// sent. It always may if the endpoint has no limit and takes requests.
func (t *Table) Take(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statedWait(endpoint, now) > 0 {
		return false
	}
	r := t.limitedRecordAt(endpoint, now)
	if r == nil {
		return true
	}
	t.refill(r, now)
	if r.allotment.tokens < 1 {
		return false
	}
	r.allotment.tokens--
	return true
}

// Charge takes calls that have to be sent, whatever is left, out of the allotment.
func (t *Table) Charge(endpoint string, calls int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limitedRecordAt(endpoint, now)
	if r == nil {
		return
	}
	t.refill(r, now)
	r.allotment.tokens = max(r.allotment.tokens-float64(max(calls, 0)), -max(1, t.rate(r, now)*maxDebtTime.Seconds()))
}

// Grant takes requests for another entry out of the allotment of an endpoint. It returns
// how many, and if there are none the time until there is one. Those for a cold endpoint are
// granted one by one, as none may be kept.
func (t *Table) Grant(endpoint string, now time.Time) (requests int, wait time.Duration) {
	if !t.Take(endpoint, now) {
		return 0, t.Wait(endpoint, now)
	}
	requests = 1
	if t.IsCold(endpoint, now) {
		return requests, 0
	}
	perSecond, _ := t.Limit(endpoint)
	for requests < min(1+int(perSecond*grantTime.Seconds()), maxGrant) {
		if !t.Take(endpoint, now) {
			break
		}
		requests++
	}
	return requests, 0
}

// Receive adds requests that another entry granted.
func (t *Table) Receive(endpoint string, requests int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.limitedRecordAt(endpoint, now); r != nil {
		r.allotment.dropExpiredGrant(now)
		r.allotment.granted += requests
		r.allotment.grantedUntil = now.Add(grantLifetime)
	}
}

// Deny records that no request is granted before a time.
func (t *Table) Deny(endpoint string, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.limitedRecordAt(endpoint, now); r != nil {
		r.allotment.deniedUntil = now.Add(min(wait, maxDenialTime))
	}
}

// TakeGranted takes a request that another entry granted. If there is none, wait is the
// time for which none will be granted.
func (t *Table) TakeGranted(endpoint string, now time.Time) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stated := t.statedWait(endpoint, now); stated > 0 {
		return false, stated
	}
	r := t.limitedRecordAt(endpoint, now)
	if r == nil {
		return true, 0
	}
	r.allotment.dropExpiredGrant(now)
	if r.allotment.granted > 0 {
		r.allotment.granted--
		return true, 0
	}
	return false, max(r.allotment.deniedUntil.Sub(now), 0)
}

func (a *allotment) dropExpiredGrant(now time.Time) {
	if !now.Before(a.grantedUntil) {
		a.granted = 0
	}
}
