// Package memory accounts for the memory that an entry holds for callers and endpoints.
package memory

import "sync/atomic"

// Budget counts reserved bytes against a limit. Budgets that Share returned count the same
// bytes against lower limits, so that less important uses give way first. It is safe for
// concurrent use.
type Budget struct {
	limit int64 // bytes; 0 for none
	used  *atomic.Int64
}

// NewBudget returns a budget of limit bytes; 0 is no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, used: &atomic.Int64{}} }

// Share returns a budget that counts the same bytes and allows the given part of the limit,
// from 0 to 1, for all uses together.
func (b *Budget) Share(part float64) *Budget {
	if b.limit == 0 {
		return b
	}
	return &Budget{limit: max(int64(part*float64(b.limit)), 1), used: b.used}
}

// Reserve reserves n bytes and reports whether the limit allows it.
func (b *Budget) Reserve(n int64) bool {
	if used := b.used.Add(n); b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release gives back n bytes that were reserved with this or another share of the budget.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes that are reserved, with all shares.
func (b *Budget) Used() int64 { return b.used.Load() }

// Free returns the bytes that can still be reserved. Without a limit it is Unlimited.
func (b *Budget) Free() int64 {
	if b.limit == 0 {
		return Unlimited
	}
	return max(b.limit-b.used.Load(), 0)
}

// Unlimited is more bytes than any use needs.
const Unlimited = 1 << 62
