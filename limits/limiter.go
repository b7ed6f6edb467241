// Package limits keeps accounts to their limits at the entry, in tokens of work
// and not in requests. Short and long work have separate budgets, so that an
// account's archives never hold up its queries. Budgets are leased from the
// control duty: an entry that is cut off spends what it has until it expires,
// and then a small part of the account's rate.
//
// When the fleet is overloaded, the accounts above their fair share are refused
// first, and everyone when the wait is too long.
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

// Kind tells short from long work.
type Kind uint8

// Kinds.
const (
	Short Kind = iota // prompts up to 32,000 tokens
	Long
)

// String returns the name used in counters.
func (k Kind) String() string { return [...]string{"short", "long"}[k] }

// KindOf returns the kind of work of a class.
func KindOf(c submit.Class) Kind {
	if c >= submit.ClassLong {
		return Long
	}
	return Short
}

// Leaser is the port to the control duty that holds the accounts' budgets.
type Leaser interface {
	// Lease asks for tokens of an account's budget and returns how many were
	// granted, which may be none, and when they expire.
	Lease(ctx context.Context, account string, kind Kind, tokens int) (granted int, expiry time.Time, err error)
}

// Bounds of leases.
const (
	leaseTime  = 2 * time.Second // worth of an account's rate that one lease asks for
	askBelow   = 0.5             // part of a lease left at which the next is asked for
	deniedTime = time.Second     // pause after a lease was denied or could not be asked for
	askTimeout = time.Second
	askRing    = 256 // leases waiting to be asked for

	// cutOffShare is the part of an account's rate that an entry gives on its
	// own while it can't reach control and has no lease left.
	cutOffShare = 0.25
)

var (
	leasesAsked  = metrics.NewCounter("jacinthplank_limits_leases_asked_total")
	leasesDenied = metrics.NewCounter("jacinthplank_limits_leases_denied_total")
	leasesFailed = metrics.NewCounter("jacinthplank_limits_leases_failed_total")
)

type bucketKey struct {
	account string
	kind    Kind
}

type ask struct {
	key    bucketKey
	tokens int
	rate   float64 // the account's limit, in tokens per second
}

// Limiter is safe for concurrent use.
type Limiter struct {
	leaser Leaser // nil: every account's rate holds at this entry alone
	asks   *ring.Ring[ask]

	mu      sync.Mutex
	buckets map[bucketKey]*bucket
	usage   [2]*usage
}

// New returns a limiter. With a leaser, Serve must run beside it.
func New(leaser Leaser) *Limiter {
	return &Limiter{
		leaser:  leaser,
		asks:    ring.New[ask](askRing, ring.Reject),
		buckets: map[bucketKey]*bucket{},
		usage:   [2]*usage{newUsage(), newUsage()},
	}
}

// Spend takes the work of one request off its account's budget. It returns an
// error in state NotRun when the budget is used up. An account without a limit
// always passes.
func (l *Limiter) Spend(now time.Time, account *fleet.Account, kind Kind, tokens int) error {
	rate := limitOf(account, kind)
	if rate <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := bucketKey{account.Name, kind}
	b := l.bucket(now, key, rate)
	if l.leaser == nil {
		b.earn(now, rate, rate*leaseTime.Seconds())
	}
	defer l.refill(now, key, b, rate)
	if b.spend(now, float64(tokens)) {
		return nil
	}
	debt := max(-b.left(now), 0)
	err := outcome.Refuse(outcome.CodeAccountLimit, step,
		"account %s has used up its budget of %.0f tokens per second for %s work", account.Name, rate, kind)
	err.RetryAfter = time.Duration((debt + float64(tokens)/2) / rate * float64(time.Second))
	err.RetryAfter = max(err.RetryAfter, deniedTime)
	return err
}

// bucket returns the bucket of an account. A new one starts with a short local
// lease, so that the first request does not wait for control.
func (l *Limiter) bucket(now time.Time, key bucketKey, rate float64) *bucket {
	b := l.buckets[key]
	if b == nil {
		b = &bucket{earned: now}
		b.grant(rate*leaseTime.Seconds(), now.Add(leaseTime))
		l.buckets[key] = b
	}
	return b
}

// refill asks for the next lease when the present ones run low.
func (l *Limiter) refill(now time.Time, key bucketKey, b *bucket, rate float64) {
	whole := rate * leaseTime.Seconds()
	left := b.left(now)
	if l.leaser == nil || left > askBelow*whole || b.asking || now.Before(b.denied) {
		return
	}
	b.asking = l.asks.Put(ask{key: key, tokens: int(whole + b.debt), rate: rate})
}

// Serve asks for leases until ctx ends.
func (l *Limiter) Serve(ctx context.Context) error {
	for {
		a, ok := l.asks.Get(ctx)
		if !ok {
			return ctx.Err()
		}
		l.lease(ctx, a)
	}
}

// Name implements supervise.Duty.
func (l *Limiter) Name() string { return "entry limits" }

func (l *Limiter) lease(ctx context.Context, a ask) {
	leasesAsked.Inc()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	granted, expiry, err := l.leaser.Lease(ctx, a.key.account, a.key.kind, a.tokens)

	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.key]
	b.asking = false
	switch {
	case err != nil:
		leasesFailed.Inc()
		now := time.Now()
		b.denied = now.Add(deniedTime)
		if b.left(now) <= 0 {
			b.grant(a.rate*cutOffShare*deniedTime.Seconds(), b.denied)
		}
	case granted <= 0:
		leasesDenied.Inc()
		b.denied = time.Now().Add(deniedTime)
	default:
		b.grant(float64(granted), expiry)
	}
}

// Pressure tells how the fleet stands for one request.
type Pressure struct {
	Wait time.Duration // expected wait at the best endpoint
	Most time.Duration // longest wait at which the request is still admitted
}

// fairFrom is the part of the longest wait from which accounts above their fair
// share are refused.
const fairFrom = 0.5

// Admit decides on one request when the fleet is busy, and counts its work when
// it is admitted. The error is in state NotRun and tells when to come back.
func (l *Limiter) Admit(now time.Time, account string, share func(string) float64, kind Kind, tokens int, p Pressure) error {
	load := 0.0
	if p.Most > 0 {
		load = float64(p.Wait) / float64(p.Most)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[kind]
	u.renew(now, share)
	w := u.offer(account, float64(tokens))
	if load >= 1 {
		return overloaded(kind, p, "the fleet is overloaded")
	}
	if load > fairFrom {
		// The busier the fleet, the less of the offered work is admitted.
		part := (1 - load) / (1 - fairFrom)
		if w.admitted > u.level(part)*share(account) {
			return overloaded(kind, p, fmt.Sprintf("account %s is above its fair share of a busy fleet", account))
		}
	}
	w.admit(float64(tokens))
	return nil
}

func overloaded(kind Kind, p Pressure, message string) error {
	refusals(kind).Inc()
	err := outcome.Refuse(outcome.CodeOverloaded, step, "%s", message)
	err.RetryAfter = max(p.Wait-time.Duration(fairFrom*float64(p.Most)), time.Second)
	err.RetryAfter = time.Duration(math.Ceil(err.RetryAfter.Seconds())) * time.Second
	return err
}

func refusals(kind Kind) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jacinthplank_limits_overloaded_total{kind=%q}", kind))
}

func limitOf(a *fleet.Account, kind Kind) float64 {
	if kind == Long {
		return float64(a.LongTokens)
	}
	return float64(a.ShortTokens)
}
