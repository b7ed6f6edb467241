package limits

import "time"

// lease is a share of an account's budget that this entry may spend until it
// expires, even while disconnected from the control duty.
type lease struct {
	tokens float64
	expiry time.Time
}

// bucket holds the leases of one account and kind, spent oldest first.
type bucket struct {
	leases       []lease
	debt         float64   // tokens spent beyond the leases; repaid from the next leases
	leasePending bool      // a lease was requested and the reply is outstanding
	deniedUntil  time.Time // no lease is requested before this time
	accruedAt    time.Time // end of the last accrual; only used without a leaser
}

// available returns the tokens that may still be spent. A negative value is debt.
func (b *bucket) available(now time.Time) float64 {
	b.expire(now)
	total := -b.debt
	for _, l := range b.leases {
		total += l.tokens
	}
	return total
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

// spend deducts tokens from the leases. It returns false and deducts nothing when
// none are available. A request larger than the available tokens passes once and
// leaves a debt; later requests are refused until the debt is repaid.
func (b *bucket) spend(now time.Time, tokens float64) bool {
	if b.available(now) <= 0 {
		return false
	}
	for i := range b.leases {
		taken := min(b.leases[i].tokens, tokens)
		b.leases[i].tokens -= taken
		tokens -= taken
	}
	b.debt += tokens
	return true
}

// grant adds a lease, after repaying any debt from it.
func (b *bucket) grant(tokens float64, expiry time.Time) {
	repaid := min(b.debt, tokens)
	b.debt -= repaid
	if tokens -= repaid; tokens > 0 {
		b.leases = append(b.leases, lease{tokens: tokens, expiry: expiry})
	}
}

// accrue grants the tokens earned at rate since the last call, up to capacity. It
// replaces leases on an entry without a leaser.
func (b *bucket) accrue(now time.Time, rate, capacity float64) {
	if b.accruedAt.IsZero() {
		b.accruedAt = now
		return
	}
	tokens := min(rate*now.Sub(b.accruedAt).Seconds(), capacity-b.available(now))
	b.accruedAt = now
	if tokens > 0 {
		b.grant(tokens, now.Add(noExpiry))
	}
}

// noExpiry exceeds the lifetime of any entry.
const noExpiry = 100 * 365 * 24 * time.Hour
