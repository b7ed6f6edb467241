package ratelimit

import "time"

// Cold is the statement that an endpoint takes only some requests for a time, as it has
// started a short while ago.
type Cold struct {
	PerSecond float64   // requests a second that it takes meanwhile
	Until     time.Time // not after At if the endpoint is warm
	At        time.Time // when it was stated; orders the statements of an endpoint
}

// ColdBounds state what a cold endpoint must not exceed in any one second, over all entries:
// its rate x Excess + Slack requests.
type ColdBounds struct {
	Excess float64 // 1 or more
	Slack  float64 // requests
}

// Division of what a cold endpoint may receive in a second. The entry that allots has the
// rate, at most, and half of what the bounds allow beyond it; the entries that act alone
// share the other half, as they can't know whether there is one that allots.
const (
	coldLoneShare = 0.5
	// ColdLifetime is the time within which a request to a cold endpoint is sent after it was
	// allotted. Requests allotted in one second and ColdLifetime may arrive in one second.
	ColdLifetime = 250 * time.Millisecond
	// forcedCalls is the number of calls in a second that are sent whatever is left, such as
	// a load probe.
	forcedCalls = 1.0
	// confirmationTime is how long an entry allots after it was last confirmed as the one
	// that does. It is shorter than the time after which the others elect another one, so
	// an entry that was paused for longer begins anew.
	confirmationTime = 400 * time.Millisecond
	// takeoverTime is how long an entry that begins to allot holds back. The one before it
	// has noticed by then.
	takeoverTime = time.Second
	// maxColdTime bounds the time for which an endpoint counts as cold after a statement.
	maxColdTime = 10 * time.Minute
	// coldTolerance is the difference between two statements of the same end that is due to
	// their ways.
	coldTolerance = 500 * time.Millisecond
)

// SetColdBounds sets the bounds on the requests to cold endpoints. Without them, their rates
// are the bounds.
func (t *Table) SetColdBounds(b ColdBounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldBounds = ColdBounds{Excess: max(b.Excess, 1), Slack: max(b.Slack, 0)}
}

// SetCold applies a statement that an endpoint is cold, or warm, unless a later one is known.
// It returns the record and whether the endpoint became cold or warm, or stays cold for
// longer. Statements with a time to come outweigh those until then.
func (t *Table) SetCold(endpoint string, c Cold, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setCold(endpoint, c, now)
}

func (t *Table) setCold(endpoint string, c Cold, now time.Time) (Record, bool) {
	if latest := now.Add(maxColdTime); c.Until.After(latest) {
		c.Until = latest
	}
	isCold := c.PerSecond > 0 && c.Until.After(now)
	r := t.records[endpoint]
	if r == nil {
		if !isCold {
			return Record{Endpoint: endpoint}, false
		}
		r = t.record(endpoint)
	}
	t.expireCold(r, now)
	previous := r.Cold
	if c == previous || c.At.Before(previous.At) {
		return r.Record, false
	}
	wasCold := r.isCold
	t.update(r, now, func() { r.Cold, r.isCold = c, isCold })
	if isCold && !wasCold {
		r.allotment = allotment{at: now} // of a stated limit it may be more
	}
	return r.Record, isCold != wasCold || (isCold && c.Until.Sub(previous.Until) > coldTolerance)
}

// mergeCold applies what another entry knows of the cold time of an endpoint. Nothing that
// it states was stated later than now. The caller holds the lock.
func (t *Table) mergeCold(r Record, now time.Time) {
	if r.Cold.At.IsZero() {
		return
	}
	if r.Cold.At.After(now) {
		r.Cold.At = now
	}
	if s := LimitTo(r.Cold.PerSecond); s.Kind == Limited {
		r.Cold.PerSecond = s.PerSecond
		t.setCold(r.Endpoint, r.Cold, now)
	}
}

// IsCold reports whether an endpoint is cold.
func (t *Table) IsCold(endpoint string, now time.Time) bool { return t.ColdLeft(endpoint, now) > 0 }

// ColdLeft returns how long an endpoint is still cold, 0 if it is warm.
func (t *Table) ColdLeft(endpoint string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil || !r.isCold {
		return 0
	}
	return max(r.Cold.Until.Sub(now), 0)
}

// ColdCount returns the number of cold endpoints.
func (t *Table) ColdCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.isCold && r.Cold.Until.After(now) {
			n++
		}
	}
	return n
}

// expireCold ends the cold time of an endpoint that is over. The caller holds the lock.
func (t *Table) expireCold(r *record, now time.Time) {
	if r.isCold && !r.Cold.Until.After(now) {
		t.update(r, now, func() { r.isCold = false })
	}
}

// confirmAllots records that this entry still is the one that allots. If it had not been
// confirmed for a while, another one may have allotted meanwhile. The caller holds the lock.
func (t *Table) confirmAllots(now time.Time) {
	if !t.isConfirmed(now) {
		t.allotsColdFrom = now.Add(takeoverTime)
		for _, r := range t.records {
			if r.isCold {
				r.allotment = allotment{at: now}
			}
		}
	}
	t.confirmedAt = now
}

// isConfirmed reports whether this entry may go on allotting requests to cold endpoints. The
// caller holds the lock.
func (t *Table) isConfirmed(now time.Time) bool {
	return now.Sub(t.confirmedAt) <= confirmationTime
}

// coldWait returns how long this entry still holds back at cold endpoints. The caller holds
// the lock.
func (t *Table) coldWait(now time.Time) time.Duration {
	if !t.allotsAll {
		return 0
	}
	return max(t.allotsColdFrom.Sub(now), 0)
}

// coldRate returns the requests a second that this entry may send or allot to a cold
// endpoint, but for coldWait. The caller holds the lock.
func (t *Table) coldRate(r *record, now time.Time) float64 {
	excess := (t.coldBounds.Excess-1)*r.Cold.PerSecond + t.coldBounds.Slack
	inFlight := 1 + ColdLifetime.Seconds() // time in which requests were allotted that arrive in one second
	switch {
	case t.allotsAll && !t.isConfirmed(now):
		return 0
	case t.allotsAll:
		within := r.Cold.PerSecond + (1-coldLoneShare)*excess - t.coldBurst(r) - forcedCalls
		return min(max(within/inFlight, 0), r.Cold.PerSecond)
	case t.entries == 0:
		return 0
	default:
		return max((coldLoneShare*excess/float64(t.entries)-t.coldBurst(r))/inFlight, 0)
	}
}

// coldBurst returns the requests to a cold endpoint that may be saved up. The caller holds
// the lock.
func (t *Table) coldBurst(r *record) float64 {
	if !t.allotsAll {
		return 1
	}
	return max(1, (1-coldLoneShare)*t.coldBounds.Slack-forcedCalls, r.Cold.PerSecond*grantTime.Seconds())
}
