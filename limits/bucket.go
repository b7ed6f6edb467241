package limits

import "time"

// lease is a part of an account's budget that this entry may spend until it
// expires, also while it is cut off from control.
type lease struct {
	tokens float64
	expiry time.Time
}

// bucket holds the leases of one account and kind. The oldest is spent first.
type bucket struct {
	leases []lease
	debt   float64   // tokens spent beyond the leases; the next ones pay it
	asking bool      // a lease was asked for and has not come yet
	denied time.Time // no lease was to be had until then
	earned time.Time // until when tokens were earned without a leaser
}

// left returns the tokens that may still be spent; less than 0 is debt.
func (b *bucket) left(now time.Time) float64 {
	b.expire(now)
	sum := -b.debt
	for _, l := range b.leases {
		sum += l.tokens
	}
	return sum
}

func (b *bucket) expire(now time.Time) {
	kept := b.leases[:0]
	for _, l := range b.leases {
		if now.Before(l.expiry) && l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	b.leases = kept
}

// spend takes tokens off the leases, or returns false and takes nothing. A
// request larger than what is left passes once: later ones wait until its debt
// is paid.
func (b *bucket) spend(now time.Time, tokens float64) bool {
	if b.left(now) <= 0 {
		return false
	}
	for i := range b.leases {
		part := min(b.leases[i].tokens, tokens)
		b.leases[i].tokens -= part
		tokens -= part
	}
	b.debt += tokens
	return true
}

// grant adds a lease. A debt is paid from it first.
func (b *bucket) grant(tokens float64, expiry time.Time) {
	paid := min(b.debt, tokens)
	b.debt -= paid
	if tokens -= paid; tokens > 0 {
		b.leases = append(b.leases, lease{tokens: tokens, expiry: expiry})
	}
}

// earn grants tokens at a steady rate, up to whole, for an entry without a
// leaser.
func (b *bucket) earn(now time.Time, rate, whole float64) {
	if b.earned.IsZero() {
		b.earned = now
		return
	}
	tokens := min(rate*now.Sub(b.earned).Seconds(), whole-b.left(now))
	b.earned = now
	if tokens > 0 {
		b.grant(tokens, now.Add(forever))
	}
}

// forever is longer than any entry runs.
const forever = 100 * 365 * 24 * time.Hour
