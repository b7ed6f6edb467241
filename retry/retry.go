// Package retry decides when a request may be tried again. Retries draw on
// budgets that grow with first attempts only, so that they never multiply the
// load, neither an account's nor the fleet's.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Shares and bounds of retries.
const (
	// FleetRatio is the retries earned by each first attempt, over all accounts.
	FleetRatio = 0.1
	// AccountRatio is the retries earned by each first attempt of one account.
	AccountRatio = 0.2
	// FleetBurst is the most retries that the fleet's budget holds.
	FleetBurst = 50.0
	// AccountBurst is the most retries that an account's budget holds.
	AccountBurst = 10.0
	// MaxAttempts is the most attempts at one request.
	MaxAttempts = 4

	baseDelay = 10 * time.Millisecond
	maxDelay  = time.Second
)

var (
	retries   = metrics.NewCounter("jacinthplank_retries_total")
	exhausted = metrics.NewCounter("jacinthplank_retry_budget_exhausted_total")
)

// Budget is a bounded count of retries. It is not safe for concurrent use.
type Budget struct {
	ratio float64
	burst float64
	left  float64
}

// NewBudget returns a full budget of burst retries to which each first attempt
// adds ratio.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, left: burst}
}

// Earn counts a first attempt.
func (b *Budget) Earn() { b.left = min(b.left+b.ratio, b.burst) }

// Has reports whether one retry is left.
func (b *Budget) Has() bool { return b.left >= 1 }

// Spend takes one retry.
func (b *Budget) Spend() { b.left-- }

// Budgets holds the budget of the fleet and those of its accounts. It is safe
// for concurrent use.
type Budgets struct {
	mu       sync.Mutex
	fleet    *Budget
	accounts map[string]*Budget
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets {
	return &Budgets{fleet: NewBudget(FleetRatio, FleetBurst), accounts: map[string]*Budget{}}
}

// Earn counts a first attempt of an account.
func (b *Budgets) Earn(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.Earn()
	b.account(account).Earn()
}

// Spend takes one retry from both budgets, or returns false and takes none.
func (b *Budgets) Spend(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.account(account)
	if !b.fleet.Has() || !own.Has() {
		exhausted.Inc()
		return false
	}
	b.fleet.Spend()
	own.Spend()
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

// Sensible reports whether another endpoint may do better after a failure.
// Generation is idempotent, so that failures in every state may be retried.
func Sensible(err *outcome.Error) bool {
	switch err.Code {
	case outcome.CodeInvalidRequest, outcome.CodeInvalidKey, outcome.CodeModelNotFound,
		outcome.CodePromptTooLong, outcome.CodeDeadlinePassed, outcome.CodeCanceled,
		outcome.CodeAccountLimit:
		return false
	default:
		return true
	}
}

// Delay returns the pause before an attempt, with full jitter. failed is the
// number of attempts that failed. The pause after a first refusal is 0, as the
// next endpoint is another one.
func Delay(failed int, random uint64) time.Duration {
	if failed <= 1 {
		return 0
	}
	limit := min(baseDelay<<min(failed, 16), maxDelay)
	return time.Duration(rand.New(rand.NewPCG(random, random)).Int64N(int64(limit)))
}
