package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/services"
	"github.com/jacinthplank/jacinthplank/submit"
)

// recordRetryInterval is the time between attempts to record an outcome.
const recordRetryInterval = 200 * time.Millisecond

// Claims gives the router of plain services access to the once-records.
type Claims struct {
	Client        *Client
	Configuration func() *fleet.Configuration
}

var _ services.ClaimStore = Claims{}

// Claim implements services.ClaimStore. An error guarantees that the call of this
// claim has not run and will not run, unless the error is about an earlier claim.
func (c Claims) Claim(ctx context.Context, claim services.Claim) (services.Grant, error) {
	answer, err := c.Client.Claim(ctx, once.Claim{
		Key: onceKey(claim), Request: claim.Request, Body: claim.Digest,
		Remaining: claim.Remaining, Retention: c.Configuration().Limits.OnceRetention.D(),
	})
	if err != nil {
		return services.Grant{}, c.claimError(claim, err)
	}
	return grantFromAnswer(answer)
}

// claimError releases a claim that may have been granted although its answer was
// lost. Nothing has been dispatched, so the state is always NotRun.
func (c Claims) claimError(claim services.Claim, err error) error {
	e := *outcome.From(err)
	if e.State == outcome.Unknown {
		c.Client.deferOutcome(once.Outcome{Key: onceKey(claim), Request: claim.Request, State: once.Released})
		e.Code = outcome.CodeNoQuorum
		e.Message = "the claim was not confirmed by a quorum"
		e.RetryAfter = electionRetryAfter
	}
	e.State = outcome.NotRun
	return &e
}

func grantFromAnswer(a once.Answer) (services.Grant, error) {
	const step = "control.claim"
	switch a.Verdict {
	case once.Granted:
		return services.Grant{Fence: a.Fence}, nil
	case once.IsDone:
		return recordedGrant(a)
	case once.IsRunning:
		e := outcome.Refuse(outcome.CodeStillRunning, step, "the call of request %s with this key is still running", a.Request)
		e.State = outcome.Unknown
		e.RetryAfter = time.Second
		return services.Grant{}, e
	case once.IsReleased:
		return services.Grant{}, outcome.Refuse(outcome.CodeConflict, step, "the claim was already released")
	case once.KeyReused:
		return services.Grant{}, outcome.Refuse(outcome.CodeConflict, step, "the key was used with another request, %s", a.Request)
	case once.TableFull:
		return services.Grant{}, outcome.Refuse(outcome.CodeOverloaded, step, "the table of once-records is full")
	default:
		e := outcome.Refuse(outcome.CodeOutcomeUnknown, step, "the call of request %s with this key may have run; it is not retried", a.Request)
		e.State = outcome.Unknown
		return services.Grant{}, e
	}
}

// recordedGrant returns the recorded outcome of a call that has run.
func recordedGrant(a once.Answer) (services.Grant, error) {
	if a.Reply == nil {
		return services.Grant{Fence: a.Fence, Recorded: &submit.Reply{}}, nil
	}
	if a.Reply.Failure != "" {
		return services.Grant{}, decodeFailure(a.Reply.Failure)
	}
	if a.Reply.Truncated {
		e := outcome.Refuse(outcome.CodeTruncated, "control.claim",
			"the call of request %s ran with status %d; its reply was too large to store, SHA-256 %s", a.Request, a.Reply.Status, a.Reply.Digest)
		e.State = outcome.Ran
		return services.Grant{}, e
	}
	return services.Grant{Fence: a.Fence, Recorded: &submit.Reply{
		Status: a.Reply.Status, Header: a.Reply.Header, Body: a.Reply.Body,
	}}, nil
}

// Record implements services.ClaimStore. It retries until ctx is done, then defers
// the outcome until a quorum is available again.
func (c Claims) Record(ctx context.Context, claim services.Claim, g services.Grant, reply *submit.Reply, failure *outcome.Error) error {
	o := outcomeOf(claim, g, reply, failure)
	for {
		answer, err := c.Client.Record(ctx, o)
		if err == nil {
			return checkRecorded(answer)
		}
		select {
		case <-ctx.Done():
			c.Client.deferOutcome(o)
			return err
		case <-time.After(recordRetryInterval):
		}
	}
}

func checkRecorded(a once.Answer) error {
	if a.Verdict == once.WasRecorded {
		return nil
	}
	e := outcome.Refuse(outcome.CodeConflict, "control.record", "the outcome was not recorded: verdict %s", a.Verdict)
	e.State = outcome.Ran
	return e
}

func outcomeOf(claim services.Claim, g services.Grant, reply *submit.Reply, failure *outcome.Error) once.Outcome {
	o := once.Outcome{Key: onceKey(claim), Request: claim.Request, Fence: g.Fence, State: once.Done}
	switch {
	case failure == nil:
		sum := sha256.Sum256(reply.Body)
		o.Reply = &once.Reply{Status: reply.Status, Header: reply.Header, Body: reply.Body, Digest: hex.EncodeToString(sum[:])}
	case failure.State == outcome.NotRun:
		o.State = once.Released
	case failure.State == outcome.Ran:
		o.Reply = &once.Reply{Failure: encodeFailure(failure)}
	default:
		o.State = once.Unknown
	}
	return o
}

// recordedFailure is the encoding of a failure in a once-record.
type recordedFailure struct {
	Code    outcome.Code `json:"code"`
	Message string       `json:"message"`
	Step    string       `json:"step"`
	Peer    string       `json:"peer"`
}

func encodeFailure(e *outcome.Error) string {
	text, err := json.Marshal(recordedFailure{Code: e.Code, Message: e.Message, Step: e.Step, Peer: e.Peer})
	if err != nil {
		return e.Error()
	}
	return string(text)
}

func decodeFailure(text string) *outcome.Error {
	var f recordedFailure
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		f = recordedFailure{Code: outcome.CodeInternal, Message: text}
	}
	return &outcome.Error{Code: f.Code, State: outcome.Ran, Message: f.Message, Step: f.Step, Peer: f.Peer}
}

func onceKey(c services.Claim) once.Key {
	return once.Key{Account: c.Account, Service: c.Service, Key: c.Key}
}
