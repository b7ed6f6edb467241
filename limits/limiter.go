// Package limits enforces account limits at the entry, in tokens instead of
// requests. Short and long work have separate budgets, so that an account's long
// prompts never delay its short ones. Budgets are leased from the control duty:
// a disconnected entry spends its leases until they expire, and then a small
// share of the account's rate.
//
// When the fleet is overloaded, accounts above their fair share are refused
// first, and all accounts once the wait is too long.
package limits

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/ring"
	"github.com/jacinthplank/jacinthplank/submit"
)

const step = "entry.limits"

// Kind separates short from long work.
type Kind uint8

// Kinds.
const (
	Short Kind = iota // prompts up to 32,000 tokens
	Long
)

// String returns the name used in metric labels and error messages.
func (k Kind) String() string { return [...]string{"short", "long"}[k] }

// KindOf returns the kind of work to which a class belongs.
func KindOf(c submit.Class) Kind {
	if c >= submit.ClassLong {
		return Long
	}
	return Short
}

// Leaser leases budget from the control duty, which holds the budgets of all
// accounts.
type Leaser interface {
	// Lease requests tokens of an account's budget. It returns how many were
	// granted, possibly none, and when they expire.
	Lease(ctx context.Context, account string, kind Kind, tokens int) (granted int, expiry time.Time, err error)
}

// Lease parameters.
const (
	leaseSpan      = 2 * time.Second // span of the account's rate that one lease covers
	renewThreshold = 0.5             // remaining fraction of a lease at which the next is requested
	deniedBackoff  = time.Second     // backoff after a lease was denied or its request failed
	leaseTimeout   = time.Second
	leaseQueueSize = 256 // maximum queued lease requests

	// disconnectedShare is the fraction of an account's rate that an entry admits
	// while it can't reach the control duty and has no lease left.
	disconnectedShare = 0.25
)

var (
	leasesRequested = metrics.NewCounter("jacinthplank_limits_leases_asked_total")
	leasesDenied    = metrics.NewCounter("jacinthplank_limits_leases_denied_total")
	leasesFailed    = metrics.NewCounter("jacinthplank_limits_leases_failed_total")
)

type bucketKey struct {
	account string
	kind    Kind
}

type leaseRequest struct {
	key    bucketKey
	tokens int
	rate   float64 // the account's limit, in tokens per second
}

// Limiter enforces the limits of all accounts at one entry. It is safe for
// concurrent use.
type Limiter struct {
	leaser        Leaser // nil: the full rate of each account applies at this entry alone
	leaseRequests *ring.Ring[leaseRequest]

	mu      sync.Mutex
	buckets map[bucketKey]*bucket
	usage   [2]*usage
}

// New returns a limiter. With a leaser, Serve must run concurrently.
func New(leaser Leaser) *Limiter {
	return &Limiter{
		leaser:        leaser,
		leaseRequests: ring.New[leaseRequest](leaseQueueSize, ring.Reject),
		buckets:       map[bucketKey]*bucket{},
		usage:         [2]*usage{newUsage(), newUsage()},
	}
}

// Spend deducts the work of one request from its account's budget. It returns an
// error in state NotRun when the budget is used up. Accounts without a limit
// always pass.
func (l *Limiter) Spend(now time.Time, account *fleet.Account, kind Kind, tokens int) error {
	rate := rateLimit(account, kind)
	if rate <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := bucketKey{account.Name, kind}
	b := l.bucket(now, key, rate)
	if l.leaser == nil {
		b.accrue(now, rate, rate*leaseSpan.Seconds())
	}
	defer l.requestLease(now, key, b, rate)
	if b.spend(now, float64(tokens)) {
		return nil
	}
	debt := max(-b.available(now), 0)
	err := outcome.Refuse(outcome.CodeAccountLimit, step,
		"account %s has used up its budget of %.0f tokens per second for %s work", account.Name, rate, kind)
	err.RetryAfter = time.Duration((debt + float64(tokens)/2) / rate * float64(time.Second))
	err.RetryAfter = max(err.RetryAfter, deniedBackoff)
	return err
}

// bucket returns the bucket of an account and kind. A new bucket starts with a
// short local lease, so that the first request does not wait for the control
// duty.
func (l *Limiter) bucket(now time.Time, key bucketKey, rate float64) *bucket {
	b := l.buckets[key]
	if b == nil {
		b = &bucket{accruedAt: now}
		b.grant(rate*leaseSpan.Seconds(), now.Add(leaseSpan))
		l.buckets[key] = b
	}
	return b
}

// requestLease queues a request for the next lease when the current ones run low.
func (l *Limiter) requestLease(now time.Time, key bucketKey, b *bucket, rate float64) {
	capacity := rate * leaseSpan.Seconds()
	available := b.available(now)
	if l.leaser == nil || available > renewThreshold*capacity || b.leasePending || now.Before(b.deniedUntil) {
		return
	}
	b.leasePending = l.leaseRequests.Put(leaseRequest{key: key, tokens: int(capacity + b.debt), rate: rate})
}

// Serve processes queued lease requests until ctx is done.
func (l *Limiter) Serve(ctx context.Context) error {
	for {
		request, ok := l.leaseRequests.Get(ctx)
		if !ok {
			return ctx.Err()
		}
		l.processLeaseRequest(ctx, request)
	}
}

// Name implements supervise.Duty.
func (l *Limiter) Name() string { return "entry limits" }

func (l *Limiter) processLeaseRequest(ctx context.Context, request leaseRequest) {
	leasesRequested.Inc()
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	granted, expiry, err := l.leaser.Lease(ctx, request.key.account, request.key.kind, request.tokens)

	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[request.key]
	b.leasePending = false
	switch {
	case err != nil:
		leasesFailed.Inc()
		now := time.Now()
		b.deniedUntil = now.Add(deniedBackoff)
		if b.available(now) <= 0 {
			b.grant(request.rate*disconnectedShare*deniedBackoff.Seconds(), b.deniedUntil)
		}
	case granted <= 0:
		leasesDenied.Inc()
		b.deniedUntil = time.Now().Add(deniedBackoff)
	default:
		b.grant(float64(granted), expiry)
	}
}

// Pressure is the load of the fleet as seen by one request.
type Pressure struct {
	Wait    time.Duration // expected wait at the best endpoint
	MaxWait time.Duration // maximum wait at which the request is still admitted
}

// fairShareThreshold is the fraction of the maximum wait above which accounts over
// their fair share are refused.
const fairShareThreshold = 0.5

// Admit admits or refuses one request depending on the load of the fleet, and
// counts its work when it is admitted. The error is in state NotRun and carries a
// retry delay.
func (l *Limiter) Admit(now time.Time, account string, share func(string) float64, kind Kind, tokens int, p Pressure) error {
	load := 0.0
	if p.MaxWait > 0 {
		load = float64(p.Wait) / float64(p.MaxWait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[kind]
	u.refresh(now, share)
	w := u.recordOffered(account, float64(tokens))
	if load >= 1 {
		return overloaded(kind, p, "the fleet is overloaded")
	}
	if load > fairShareThreshold {
		// The admitted fraction of the offered work falls linearly with the load.
		admittedFraction := (1 - load) / (1 - fairShareThreshold)
		if w.admitted > u.fairRate(admittedFraction)*share(account) {
			return overloaded(kind, p, fmt.Sprintf("account %s is above its fair share of a busy fleet", account))
		}
	}
	w.recordAdmitted(float64(tokens))
	return nil
}

func overloaded(kind Kind, p Pressure, message string) error {
	overloadedCounter(kind).Inc()
	err := outcome.Refuse(outcome.CodeOverloaded, step, "%s", message)
	err.RetryAfter = max(p.Wait-time.Duration(fairShareThreshold*float64(p.MaxWait)), time.Second)
	err.RetryAfter = time.Duration(math.Ceil(err.RetryAfter.Seconds())) * time.Second
	return err
}

func overloadedCounter(kind Kind) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jacinthplank_limits_overloaded_total{kind=%q}", kind))
}

func rateLimit(a *fleet.Account, kind Kind) float64 {
	if kind == Long {
		return float64(a.LongTokenRate)
	}
	return float64(a.ShortTokenRate)
}
