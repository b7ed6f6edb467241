package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	usageWindow          = 10 * time.Second       // time constant of the averaged rates
	usageRefreshInterval = 250 * time.Millisecond // interval at which averages and their order are refreshed
	minUsageShare        = 1e-6                   // fraction of all offered work below which an account is dropped
)

// usage tracks the recent work of all accounts for one kind, in tokens per second.
// It is not safe for concurrent use.
type usage struct {
	accounts  map[string]*accountRates
	updatedAt time.Time
	demands   []demand // ascending by offered rate per weight
	total     float64  // offered by all accounts
}

// accountRates holds the exponentially decayed rates of one account.
type accountRates struct {
	offered  float64
	admitted float64
}

// demand is the offered rate of one account and its fair-share weight.
type demand struct {
	rate, weight float64
}

func newUsage() *usage { return &usage{accounts: map[string]*accountRates{}} }

// recordOffered counts offered work and returns the account's rates.
func (u *usage) recordOffered(account string, tokens float64) *accountRates {
	w := u.accounts[account]
	if w == nil {
		w = &accountRates{}
		u.accounts[account] = w
	}
	w.offered += tokens / usageWindow.Seconds()
	return w
}

// recordAdmitted counts admitted work.
func (w *accountRates) recordAdmitted(tokens float64) { w.admitted += tokens / usageWindow.Seconds() }

// refresh decays the rates and sorts the accounts by offered rate per weight. It
// does nothing within usageRefreshInterval of the last refresh.
func (u *usage) refresh(now time.Time, share func(string) float64) {
	if !u.updatedAt.IsZero() && now.Sub(u.updatedAt) < usageRefreshInterval {
		return
	}
	decay := 1.0
	if !u.updatedAt.IsZero() {
		decay = math.Exp(-now.Sub(u.updatedAt).Seconds() / usageWindow.Seconds())
	}
	u.updatedAt = now
	u.total = 0
	u.demands = u.demands[:0]
	for account, w := range u.accounts {
		w.offered *= decay
		w.admitted *= decay
		if w.offered < minUsageShare*u.total {
			delete(u.accounts, account)
			continue
		}
		u.total += w.offered
		u.demands = append(u.demands, demand{w.offered, share(account)})
	}
	slices.SortFunc(u.demands, func(a, b demand) int {
		return cmp.Compare(a.rate*b.weight, b.rate*a.weight)
	})
}

// fairRate returns the rate per unit of weight to which the largest accounts are
// limited when only a fraction of the offered work is admitted (max-min fairness).
// Accounts below it are not limited.
func (u *usage) fairRate(fraction float64) float64 {
	remaining := fraction * u.total
	weights := 0.0
	for _, d := range u.demands {
		weights += d.weight
	}
	for _, d := range u.demands {
		if rate := remaining / weights; d.rate > rate*d.weight {
			return rate
		}
		remaining -= d.rate
		weights -= d.weight
	}
	return math.Inf(1)
}
