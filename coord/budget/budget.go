// Package budget divides budgets among holders by leases, and rate budgets by
// token buckets. The sum of the active leases never exceeds the budget, even
// while holders are partitioned: an amount that a holder may still be spending
// counts until its lease expires.
//
// Amounts are in the unit of the budget, such as tokens of work per second or
// concurrent loads. Times are in microseconds of the clock of the table's owner,
// which must be monotonic.
package budget

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// MaxLeaseDuration is the maximum duration of a lease.
	MaxLeaseDuration = 5 * time.Minute
	// MaxReturned is the maximum number of returned leases that a budget remembers.
	MaxReturned = 4096
)

// Request requests a new lease or renews one. A request with a Want of 0 or less
// returns the lease: the holder has stopped spending it.
type Request struct {
	Budget    string        `json:"budget"`
	Holder    string        `json:"holder"`
	Want      int64         `json:"want"`
	MinAmount int64         `json:"least,omitempty"` // grant at least this much or nothing, first come first served
	Duration  time.Duration `json:"time"`            // duration of the lease
	// Sequence increases with each request of a holder. It identifies delayed
	// duplicates.
	Sequence uint64 `json:"sequence"`
	Limit    int64  `json:"limit"` // size of the budget
	// Revision of the configuration that Limit is from. The highest one wins.
	Revision uint64 `json:"revision"`
}

// Grant is the result of a Request or a Draw: Amount may be spent for Duration
// after the request was sent.
type Grant struct {
	Budget   string        `json:"budget"`
	Amount   int64         `json:"amount"`
	Duration time.Duration `json:"time"`
}

// Lease is the amount that one holder may spend. Previous is a larger amount
// granted before, which a holder that missed the latest answer may still spend
// until PreviousExpires.
type Lease struct {
	Amount          int64  `json:"amount"`
	Expires         int64  `json:"expires"`
	Previous        int64  `json:"earlier,omitempty"`
	PreviousExpires int64  `json:"earlier_expires,omitempty"`
	Want            int64  `json:"want"`
	Sequence        uint64 `json:"sequence"`
}

// activeAmount returns the maximum amount that the holder may be spending.
func (l Lease) activeAmount(now int64) int64 {
	var amount int64
	if l.Expires > now {
		amount = l.Amount
	}
	if l.PreviousExpires > now {
		amount = max(amount, l.Previous)
	}
	return amount
}

// expired reports whether the holder may no longer spend anything.
func (l Lease) expired(now int64) bool { return l.Expires <= now && l.PreviousExpires <= now }

// Budget is a budget and its leases by holder.
type Budget struct {
	Limit    int64                    `json:"limit"`
	Revision uint64                   `json:"revision"`
	Leases   map[string]Lease         `json:"leases,omitempty"`
	Returned map[string]ReturnedLease `json:"returned,omitempty"`
}

// ReturnedLease remembers the return of a lease, so that a delayed request sent
// before it is not granted.
type ReturnedLease struct {
	Sequence uint64 `json:"sequence"`
	Expires  int64  `json:"expires"`
}

// Table holds all budgets and token buckets by name. Its fields are exported only
// for snapshots.
type Table struct {
	Budgets      map[string]*Budget      `json:"budgets,omitempty"`
	TokenBuckets map[string]*TokenBucket `json:"streams,omitempty"`
}

// Validate returns an error for a decoded table that has a name without its budget or bucket.
func (t *Table) Validate() error {
	for name, b := range t.Budgets {
		if b == nil {
			return fmt.Errorf("budget %q is null", name)
		}
	}
	for name, b := range t.TokenBuckets {
		if b == nil {
			return fmt.Errorf("token bucket %q is null", name)
		}
	}
	return nil
}

// Lease decides on a request at time now.
func (t *Table) Lease(now int64, r Request) Grant {
	b := t.findOrCreateBudget(r)
	b.removeExpired(now)
	if r.Sequence < max(b.Leases[r.Holder].Sequence, b.Returned[r.Holder].Sequence) {
		return Grant{Budget: r.Budget}
	}
	if r.Want <= 0 {
		b.returnLease(now, r)
		return Grant{Budget: r.Budget}
	}
	delete(b.Returned, r.Holder)
	duration := min(max(r.Duration, 0), MaxLeaseDuration)
	amount := b.grantAmount(now, r)
	b.replaceLease(now, r, amount, now+duration.Microseconds())
	return Grant{Budget: r.Budget, Amount: amount, Duration: duration}
}

// ActiveAmount returns the maximum amount that all holders of a budget together
// may be spending.
func (t *Table) ActiveAmount(now int64, name string) int64 {
	b, known := t.Budgets[name]
	if !known {
		return 0
	}
	return b.allocatedToOthers(now, "")
}

func (t *Table) findOrCreateBudget(r Request) *Budget {
	b, known := t.Budgets[r.Budget]
	if !known {
		if t.Budgets == nil {
			t.Budgets = make(map[string]*Budget)
		}
		b = &Budget{Leases: make(map[string]Lease)}
		t.Budgets[r.Budget] = b
	}
	if !known || r.Revision > b.Revision {
		b.Limit = r.Limit
		b.Revision = r.Revision
	}
	return b
}

func (b *Budget) removeExpired(now int64) {
	for holder, l := range b.Leases {
		if l.expired(now) {
			delete(b.Leases, holder)
		}
	}
	if b.Leases == nil {
		b.Leases = make(map[string]Lease)
	}
	for holder, l := range b.Returned {
		if l.Expires <= now {
			delete(b.Returned, holder)
		}
	}
}

// returnLease removes the lease of a holder. The return is remembered even if
// there is no lease, because the request for one may still be on its way.
func (b *Budget) returnLease(now int64, r Request) {
	delete(b.Leases, r.Holder)
	if b.Returned == nil {
		b.Returned = make(map[string]ReturnedLease)
	}
	b.Returned[r.Holder] = ReturnedLease{Sequence: r.Sequence, Expires: now + MaxLeaseDuration.Microseconds()}
	if len(b.Returned) > MaxReturned {
		delete(b.Returned, b.oldestReturned())
	}
}

// oldestReturned returns the holder that returned its lease first. Ties are broken
// by name: all replicas must forget the same one.
func (b *Budget) oldestReturned() string {
	var oldest string
	var expires int64 = math.MaxInt64
	for holder, l := range b.Returned {
		if l.Expires < expires || (l.Expires == expires && holder < oldest) {
			oldest, expires = holder, l.Expires
		}
	}
	return oldest
}

// grantAmount returns the amount granted to a request: the holder's fair share,
// limited to what the other holders leave free. A request with a MinAmount is
// not limited to its fair share.
func (b *Budget) grantAmount(now int64, r Request) int64 {
	free := max(b.Limit-b.allocatedToOthers(now, r.Holder), 0)
	if r.MinAmount > 0 {
		if free < r.MinAmount {
			return 0
		}
		return min(r.Want, free)
	}
	return min(r.Want, free, b.fairShare(r))
}

func (b *Budget) allocatedToOthers(now int64, holder string) int64 {
	var sum int64
	for name, l := range b.Leases {
		if name != holder {
			sum += l.activeAmount(now)
		}
	}
	return sum
}

// fairShare returns the max-min fair share of the request's holder: the limit is
// divided evenly, and what a holder does not want goes to the others.
func (b *Budget) fairShare(r Request) int64 {
	wants := []int64{r.Want}
	for holder, l := range b.Leases {
		if holder != r.Holder {
			wants = append(wants, l.Want)
		}
	}
	slices.Sort(wants)
	remaining := b.Limit
	for i, want := range wants {
		equalShare := remaining / int64(len(wants)-i)
		if want > equalShare {
			return equalShare
		}
		if want == r.Want {
			return want
		}
		remaining -= want
	}
	return r.Want
}

// replaceLease stores the new lease of a holder. If the previous amount was
// larger, it still counts until it expires.
func (b *Budget) replaceLease(now int64, r Request, amount, expires int64) {
	old := b.Leases[r.Holder]
	next := Lease{Amount: amount, Expires: expires, Want: r.Want, Sequence: r.Sequence}
	if previousAmount := old.activeAmount(now); previousAmount > amount {
		next.Previous = previousAmount
		next.PreviousExpires = max(old.Expires, old.PreviousExpires)
	}
	b.Leases[r.Holder] = next
}
