package services

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// recordTimeout bounds the recording of an outcome, which goes on when the
// caller has left.
const recordTimeout = 10 * time.Second

// Claim asks for the grant to run a call that is not idempotent.
type Claim struct {
	Account   string
	Service   string
	Key       string
	Digest    string // of method, path and body
	Request   string // id of the request that asks
	Remaining time.Duration
}

// Grant is the answer to a claim that may be dispatched, or the recorded answer
// of the call that was.
type Grant struct {
	Fence    uint64
	Recorded *submit.Reply // set when the call ran before
}

// Claims is the once-records of the quorum. Claim errors are *outcome.Error:
// still running, outcome unknown, key used with another body, no quorum.
type Claims interface {
	Claim(ctx context.Context, c Claim) (Grant, error)
	// Record stores the outcome of a grant: the reply, or the failure.
	Record(ctx context.Context, c Claim, g Grant, reply *submit.Reply, failure *outcome.Error) error
}

// once runs a call at most once over all entries: claim, one attempt, record.
func (r *Router) once(ctx context.Context, c submit.Call) (submit.Reply, error) {
	onceCalls.Inc()
	if r.options.Claims == nil {
		return submit.Reply{}, outcome.Refuse(outcome.CodeNoQuorum, "entry.claim", "no control instance is known")
	}
	// Without an endpoint nothing is claimed.
	m, err := r.pick(c, nil)
	if err != nil {
		return submit.Reply{}, err
	}
	claim := claimOf(c)
	grant, err := r.options.Claims.Claim(ctx, claim)
	if err != nil {
		return submit.Reply{}, err
	}
	if grant.Recorded != nil {
		onceRepeats.Inc()
		r.record(timeline.KindRecorded, c, "", nil)
		return *grant.Recorded, nil
	}
	r.record(timeline.KindClaimed, c, m.Name, nil)
	c.Fence = grant.Fence
	reply, err := r.dispatch(ctx, m, c)
	return r.settle(ctx, claim, grant, c, reply, err)
}

// settle records the outcome before the caller hears of it. A recording that
// fails leaves the claim open: a resend hears "still running" and later
// "unknown", and the call is never run again.
func (r *Router) settle(ctx context.Context, claim Claim, g Grant, c submit.Call, reply submit.Reply, failure error) (submit.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if failure != nil {
		e := outcome.From(failure)
		err := r.options.Claims.Record(ctx, claim, g, nil, e)
		if err != nil && e.State == outcome.NotRun {
			// The claim still stands, so the same key can't run. The call did
			// not, and that is what the caller is told.
			r.record(timeline.KindFailed, c, "", outcome.From(err))
		}
		return submit.Reply{}, failure
	}
	if err := r.options.Claims.Record(ctx, claim, g, &reply, nil); err != nil {
		r.record(timeline.KindFailed, c, "", outcome.From(err))
		return reply, nil
	}
	r.record(timeline.KindRecorded, c, "", nil)
	return reply, nil
}

func claimOf(c submit.Call) Claim {
	sum := sha256.New()
	for _, part := range []string{c.Method, c.Path} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(c.Body)
	return Claim{
		Account:   c.Account,
		Service:   c.Service,
		Key:       c.Key,
		Digest:    hex.EncodeToString(sum.Sum(nil)),
		Request:   c.ID,
		Remaining: c.Remaining,
	}
}
