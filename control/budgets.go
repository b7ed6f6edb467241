package control

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/budget"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/limits"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// shareTime is how long a drawn share of an account's budget may be spent,
// also while cut off from control.
const shareTime = 10 * time.Second

// Budgets are the accounts' budgets as the limiter of an entry uses them.
type Budgets struct {
	Client        *Client
	Configuration func() *fleet.Configuration
}

var _ limits.Leaser = Budgets{}

// Lease implements limits.Leaser.
func (b Budgets) Lease(ctx context.Context, account string, kind limits.Kind, tokens int) (int, time.Time, error) {
	asked := time.Now()
	rate, version := b.rate(account, kind)
	grants, err := b.Client.Draw(ctx, budget.Draw{
		Bucket: "account/" + account + "/" + kind.String(), Want: int64(tokens),
		Rate: rate, Revision: version.Revision, Duration: shareTime,
	})
	if err != nil {
		return 0, time.Time{}, err
	}
	if len(grants) != 1 {
		return 0, time.Time{}, outcome.Refuse(outcome.CodeInternal, "control.lease", "%d grants for one draw", len(grants))
	}
	return int(grants[0].Amount), asked.Add(grants[0].Duration), nil
}

// rate returns an account's tokens per second.
func (b Budgets) rate(account string, kind limits.Kind) (int64, fleet.Version) {
	c := b.Configuration()
	for _, a := range c.Accounts {
		if a.Name != account {
			continue
		}
		if kind == limits.Long {
			return int64(a.LongTokens), c.Version
		}
		return int64(a.ShortTokens), c.Version
	}
	return 0, c.Version
}

// Names and times of the weight store's loads.
const (
	weightStore = "weight store"
	loadTime    = 2 * time.Minute
)

// LoadToken leases one load from the weight store for holder, and reports
// whether there was one. The holder renews it before half of its time is over,
// and gives it back with ReturnLoadToken.
func (b Budgets) LoadToken(ctx context.Context, holder string) (bool, time.Time, error) {
	asked := time.Now()
	grants, err := b.Client.LeaseBudget(ctx, b.loadRequest(holder, 1))
	if err != nil || len(grants) != 1 {
		return false, time.Time{}, err
	}
	return grants[0].Amount == 1, asked.Add(grants[0].Duration), nil
}

// ReturnLoadToken gives a load back. When it fails, the lease expires.
func (b Budgets) ReturnLoadToken(ctx context.Context, holder string) error {
	_, err := b.Client.LeaseBudget(ctx, b.loadRequest(holder, 0))
	return err
}

func (b Budgets) loadRequest(holder string, want int64) budget.Request {
	c := b.Configuration()
	return budget.Request{
		Budget: weightStore, Holder: holder, Want: want, MinAmount: 1, Duration: loadTime,
		Sequence: uint64(time.Now().UnixNano()),
		Limit:    int64(c.Limits.WeightStoreLoad), Revision: c.Version.Revision,
	}
}
