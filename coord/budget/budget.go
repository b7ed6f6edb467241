// Package budget shares budgets among holders by leases. The sum of what live
// leases allow never exceeds the budget, also while holders are cut off: an
// amount that a holder may still be spending counts until its lease expires.
//
// Amounts are in the unit of the budget, such as tokens of work per second or
// loads at one time. Times are microseconds of the clock of the table's owner,
// which must never go back.
package budget

import (
	"slices"
	"time"
)

// MaxTime is the longest lease.
const MaxTime = 5 * time.Minute

// Request asks to make or renew one lease. A request for nothing gives the
// lease back: the holder has stopped spending it.
type Request struct {
	Budget string        `json:"budget"`
	Holder string        `json:"holder"`
	Want   int64         `json:"want"`
	Least  int64         `json:"least,omitempty"` // grant this much or nothing, first come first served
	Time   time.Duration `json:"time"`            // length of the lease
	// Sequence grows with each request of a holder, so that a copy that arrives
	// late is found.
	Sequence uint64 `json:"sequence"`
	Limit    int64  `json:"limit"` // size of the budget
	// Revision of the configuration that Limit comes from: the highest wins.
	Revision uint64 `json:"revision"`
}

// Grant is the answer to a Request: Amount may be spent for Time after the
// request was sent.
type Grant struct {
	Budget string        `json:"budget"`
	Amount int64         `json:"amount"`
	Time   time.Duration `json:"time"`
}

// Lease is what one holder may spend. Earlier and EarlierExpires are a larger
// amount of before, which a holder that missed the answer still spends.
type Lease struct {
	Amount         int64  `json:"amount"`
	Expires        int64  `json:"expires"`
	Earlier        int64  `json:"earlier,omitempty"`
	EarlierExpires int64  `json:"earlier_expires,omitempty"`
	Want           int64  `json:"want"`
	Sequence       uint64 `json:"sequence"`
}

// live returns the most that the holder may be spending.
func (l Lease) live(now int64) int64 {
	var amount int64
	if l.Expires > now {
		amount = l.Amount
	}
	if l.EarlierExpires > now {
		amount = max(amount, l.Earlier)
	}
	return amount
}

// gone reports whether nothing of the lease is left.
func (l Lease) gone(now int64) bool { return l.Expires <= now && l.EarlierExpires <= now }

// Budget is one budget with its leases by holder.
type Budget struct {
	Limit    int64            `json:"limit"`
	Revision uint64           `json:"revision"`
	Leases   map[string]Lease `json:"leases,omitempty"`
}

// Table is all budgets and streams by name. Its fields are exported for
// snapshots only.
type Table struct {
	Budgets map[string]*Budget `json:"budgets,omitempty"`
	Streams map[string]*Stream `json:"streams,omitempty"`
}

// Lease decides on a request at time now.
func (t *Table) Lease(now int64, r Request) Grant {
	b := t.budget(r)
	b.expire(now)
	if r.Sequence < b.Leases[r.Holder].Sequence {
		return Grant{Budget: r.Budget}
	}
	if r.Want <= 0 {
		delete(b.Leases, r.Holder)
		return Grant{Budget: r.Budget}
	}
	length := min(max(r.Time, 0), MaxTime)
	amount := b.amount(now, r)
	b.renew(now, r, amount, now+length.Microseconds())
	return Grant{Budget: r.Budget, Amount: amount, Time: length}
}

// Live returns the most that all holders of a budget may be spending.
func (t *Table) Live(now int64, name string) int64 {
	b, known := t.Budgets[name]
	if !known {
		return 0
	}
	return b.others(now, "")
}

func (t *Table) budget(r Request) *Budget {
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

func (b *Budget) expire(now int64) {
	for holder, l := range b.Leases {
		if l.gone(now) {
			delete(b.Leases, holder)
		}
	}
	if b.Leases == nil {
		b.Leases = make(map[string]Lease)
	}
}

// amount is what a request gets: its fair share, as far as the others leave it.
func (b *Budget) amount(now int64, r Request) int64 {
	free := max(b.Limit-b.others(now, r.Holder), 0)
	if r.Least > 0 {
		if free < r.Least {
			return 0
		}
		return min(r.Want, free)
	}
	return min(r.Want, free, b.fairShare(r))
}

func (b *Budget) others(now int64, holder string) int64 {
	var sum int64
	for name, l := range b.Leases {
		if name != holder {
			sum += l.live(now)
		}
	}
	return sum
}

// fairShare is the max-min fair share of the request's holder: the limit is
// divided evenly, and what a holder does not want goes to the others.
func (b *Budget) fairShare(r Request) int64 {
	wants := []int64{r.Want}
	for holder, l := range b.Leases {
		if holder != r.Holder {
			wants = append(wants, l.Want)
		}
	}
	slices.Sort(wants)
	left := b.Limit
	for i, want := range wants {
		even := left / int64(len(wants)-i)
		if want > even {
			return even
		}
		if want == r.Want {
			return want
		}
		left -= want
	}
	return r.Want
}

// renew keeps the larger amount of before until it expires.
func (b *Budget) renew(now int64, r Request, amount, expires int64) {
	old := b.Leases[r.Holder]
	next := Lease{Amount: amount, Expires: expires, Want: r.Want, Sequence: r.Sequence}
	if before := old.live(now); before > amount {
		next.Earlier = before
		next.EarlierExpires = max(old.Expires, old.EarlierExpires)
	}
	b.Leases[r.Holder] = next
}
