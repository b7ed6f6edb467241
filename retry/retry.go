// Package retry decides whether and when a failed request is retried. Retries are
// paid from budgets that only first attempts replenish, so that retries never
// multiply the load of an account or of the fleet.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Retry budget parameters.
const (
	// FleetRatio is the number of retries that each first attempt of any account
	// adds to the fleet's budget.
	FleetRatio = 0.1
	// AccountRatio is the number of retries that each first attempt of an account
	// adds to its own budget.
	AccountRatio = 0.2
	// FleetBurst is the capacity of the fleet's budget, in retries.
	FleetBurst = 50.0
	// AccountBurst is the capacity of an account's budget, in retries.
	AccountBurst = 10.0
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts = 4

	baseDelay = 10 * time.Millisecond
	maxDelay  = time.Second
)

var (
	retries   = metrics.NewCounter("jacinthplank_retries_total")
	exhausted = metrics.NewCounter("jacinthplank_retry_budget_exhausted_total")
)

// Budget is a retry budget. It is not safe for concurrent use.
type Budget struct {
	ratio     float64
	burst     float64
	remaining float64
}

// NewBudget returns a full budget with a capacity of burst retries. Each first
// attempt adds ratio retries.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, remaining: burst}
}

// Earn credits the budget for a first attempt.
func (b *Budget) Earn() { b.remaining = min(b.remaining+b.ratio, b.burst) }

// Available reports whether at least one retry is available.
func (b *Budget) Available() bool { return b.remaining >= 1 }

// Spend deducts one retry.
func (b *Budget) Spend() { b.remaining-- }

// Budgets holds the retry budgets of the fleet and of each account. It is safe for
// concurrent use.
type Budgets struct {
	mu       sync.Mutex
	fleet    *Budget
	accounts map[string]*Budget
}

// NewBudgets returns Budgets in which every budget starts full.
func NewBudgets() *Budgets {
	return &Budgets{fleet: NewBudget(FleetRatio, FleetBurst), accounts: map[string]*Budget{}}
}

// Earn credits both budgets for a first attempt of an account.
func (b *Budgets) Earn(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.Earn()
	b.account(account).Earn()
}

// Spend deducts one retry from both budgets. It returns false and deducts nothing
// when either is exhausted.
func (b *Budgets) Spend(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	accountBudget := b.account(account)
	if !b.fleet.Available() || !accountBudget.Available() {
		exhausted.Inc()
		return false
	}
	b.fleet.Spend()
	accountBudget.Spend()
	retries.Inc()
	return true
}

func (b *Budgets) account(name string) *Budget {
	budget := b.accounts[name]
	if budget == nil {
		budget = NewBudget(AccountRatio, AccountBurst)
		b.accounts[name] = budget
	}
	return budget
}

// Retryable reports whether another endpoint may succeed after err. Generation is
// idempotent, so a failure may be retried whether or not the attempt ran.
func Retryable(err *outcome.Error) bool {
	switch err.Code {
	case outcome.CodeInvalidRequest, outcome.CodeInvalidKey, outcome.CodeModelNotFound,
		outcome.CodePromptTooLong, outcome.CodeDeadlinePassed, outcome.CodeCanceled,
		outcome.CodeAccountLimit:
		return false
	default:
		return true
	}
}

// Delay returns the exponential backoff with full jitter after the given number of
// failed attempts. It is 0 after the first failure, as the next attempt goes to
// another endpoint.
func Delay(failed int, seed uint64) time.Duration {
	if failed <= 1 {
		return 0
	}
	limit := min(baseDelay<<min(failed, 16), maxDelay)
	return time.Duration(rand.New(rand.NewPCG(seed, seed)).Int64N(int64(limit)))
}
