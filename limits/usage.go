package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	usageWindow = 10 * time.Second       // time over which the use of accounts is averaged
	usageLife   = 250 * time.Millisecond // age at which averages and their order are renewed
	idleUsage   = 1e-6                   // part of all use below which an account is forgotten
)

// usage is the recent work of the accounts of one kind, in tokens per second. It
// is not safe for concurrent use.
type usage struct {
	accounts map[string]*work
	renewed  time.Time
	order    []demand // by offered rate and weight, the smallest first
	total    float64  // offered by all
}

// work is the decayed rates of one account.
type work struct {
	offered  float64
	admitted float64
}

// demand is what one account offers and its weight against others.
type demand struct {
	rate, weight float64
}

func newUsage() *usage { return &usage{accounts: map[string]*work{}} }

// offer counts offered work and returns the account's rates.
func (u *usage) offer(account string, tokens float64) *work {
	w := u.accounts[account]
	if w == nil {
		w = &work{}
		u.accounts[account] = w
	}
	w.offered += tokens / usageWindow.Seconds()
	return w
}

// admit counts admitted work.
func (w *work) admit(tokens float64) { w.admitted += tokens / usageWindow.Seconds() }

// renew lets old work fade and orders the accounts by what they offer.
func (u *usage) renew(now time.Time, share func(string) float64) {
	if !u.renewed.IsZero() && now.Sub(u.renewed) < usageLife {
		return
	}
	fade := 1.0
	if !u.renewed.IsZero() {
		fade = math.Exp(-now.Sub(u.renewed).Seconds() / usageWindow.Seconds())
	}
	u.renewed = now
	u.total = 0
	u.order = u.order[:0]
	for account, w := range u.accounts {
		w.offered *= fade
		w.admitted *= fade
		if w.offered < idleUsage*u.total {
			delete(u.accounts, account)
			continue
		}
		u.total += w.offered
		u.order = append(u.order, demand{w.offered, share(account)})
	}
	slices.SortFunc(u.order, func(a, b demand) int {
		return cmp.Compare(a.rate*b.weight, b.rate*a.weight)
	})
}

// level returns the rate per unit of weight to which the largest accounts are
// cut when only a part of the offered work is to be admitted. Accounts below the
// level keep all they use.
func (u *usage) level(part float64) float64 {
	left := part * u.total
	weights := 0.0
	for _, d := range u.order {
		weights += d.weight
	}
	for _, d := range u.order {
		if level := left / weights; d.rate > level*d.weight {
			return level
		}
		left -= d.rate
		weights -= d.weight
	}
	return math.Inf(1)
}
