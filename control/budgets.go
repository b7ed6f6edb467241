package control

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/budget"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/limits"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// grantLifetime is how long an amount drawn from an account's budget may be
// spent, even while the control members are unreachable.
const grantLifetime = 10 * time.Second

// Budgets leases shares of the accounts' budgets to the limiter of an entry.
type Budgets struct {
	Client        *Client
	Configuration func() *fleet.Configuration
}

var _ limits.Leaser = Budgets{}

// Lease implements limits.Leaser.
func (b Budgets) Lease(ctx context.Context, account string, kind limits.Kind, tokens int) (int, time.Time, error) {
	sentAt := time.Now()
	rate, version := b.rate(account, kind)
	grants, err := b.Client.Draw(ctx, budget.Draw{
		Bucket: "account/" + account + "/" + kind.String(), Want: int64(tokens),
		Rate: rate, Revision: version.Revision, Duration: grantLifetime,
	})
	if err != nil {
		return 0, time.Time{}, err
	}
	if len(grants) != 1 {
		return 0, time.Time{}, outcome.Refuse(outcome.CodeInternal, "control.lease", "expected 1 grant for 1 draw, got %d", len(grants))
	}
	return int(grants[0].Amount), sentAt.Add(grants[0].Duration), nil
}

// rate returns an account's budget in tokens per second, and the version of the
// configuration that sets it.
func (b Budgets) rate(account string, kind limits.Kind) (int64, fleet.Version) {
	c := b.Configuration()
	for _, a := range c.Accounts {
		if a.Name != account {
			continue
		}
		if kind == limits.Long {
			return int64(a.LongTokenRate), c.Version
		}
		return int64(a.ShortTokenRate), c.Version
	}
	return 0, c.Version
}

// Budget name and lease duration for loads from the weight store.
const (
	weightStoreBudget = "weight store"
	loadLeaseTime     = 2 * time.Minute
)

// AcquireLoadToken leases one load from the weight store for holder, and reports
// whether one was available. The holder renews the lease before half of it has
// elapsed, and returns it with ReleaseLoadToken.
func (b Budgets) AcquireLoadToken(ctx context.Context, holder string) (bool, time.Time, error) {
	sentAt := time.Now()
	grants, err := b.Client.LeaseBudget(ctx, b.loadTokenRequest(holder, 1))
	if err != nil || len(grants) != 1 {
		return false, time.Time{}, err
	}
	return grants[0].Amount == 1, sentAt.Add(grants[0].Duration), nil
}

// ReleaseLoadToken returns a load to the budget. If the call fails, the lease
// expires by itself.
func (b Budgets) ReleaseLoadToken(ctx context.Context, holder string) error {
	_, err := b.Client.LeaseBudget(ctx, b.loadTokenRequest(holder, 0))
	return err
}

func (b Budgets) loadTokenRequest(holder string, want int64) budget.Request {
	c := b.Configuration()
	return budget.Request{
		Budget: weightStoreBudget, Holder: holder, Want: want, MinAmount: 1, Duration: loadLeaseTime,
		Sequence: uint64(time.Now().UnixNano()),
		Limit:    int64(c.Limits.WeightStoreLoad), Revision: c.Version.Revision,
	}
}
