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

// recordTimeout limits the recording of an outcome, which continues after the
// client disconnects.
const recordTimeout = 10 * time.Second

// Claim requests permission to run a call that is not idempotent.
type Claim struct {
	Account   string
	Service   string
	Key       string
	Digest    string // SHA-256 of method, path and body
	Request   string // ID of the claiming request
	Remaining time.Duration
}

// Grant permits the dispatch of a claimed call, or carries the recorded reply of
// a call that already ran.
type Grant struct {
	Fence    uint64
	Recorded *submit.Reply // set if the call already ran
}

// ClaimStore stores at-most-once records in the quorum log. Claim errors are
// *outcome.Error: still running, outcome unknown, key reused with another
// request, no quorum.
type ClaimStore interface {
	Claim(ctx context.Context, c Claim) (Grant, error)
	// Record stores the outcome of a granted call: either reply or failure.
	Record(ctx context.Context, c Claim, g Grant, reply *submit.Reply, failure *outcome.Error) error
}

// callOnce runs a call at most once across all entry instances: it claims the
// call, makes one attempt and records the outcome.
func (r *Router) callOnce(ctx context.Context, c submit.Call) (submit.Reply, error) {
	onceCalls.Inc()
	if r.options.Claims == nil {
		return submit.Reply{}, outcome.Refuse(outcome.CodeNoQuorum, "entry.claim", "no control instance is available")
	}
	// Pick the endpoint first so that no claim is made when none is available.
	m, err := r.pickEndpoint(c, nil)
	if err != nil {
		return submit.Reply{}, err
	}
	claim := newClaim(c)
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
	return r.recordOutcome(ctx, claim, grant, c, reply, err)
}

// recordOutcome records the outcome before it is returned to the client. If
// recording fails, the claim stays open: a resend gets "still running" and later
// "unknown", and the call is never run again.
func (r *Router) recordOutcome(ctx context.Context, claim Claim, g Grant, c submit.Call, reply submit.Reply, failure error) (submit.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if failure != nil {
		e := outcome.From(failure)
		err := r.options.Claims.Record(ctx, claim, g, nil, e)
		if err != nil && e.State == outcome.NotRun {
			// The claim stays open, so the key cannot be used again. The client
			// still gets the original error: the call was not run.
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

func newClaim(c submit.Call) Claim {
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
