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

// recordPause is the time between tries to record an outcome.
const recordPause = 200 * time.Millisecond

// Claims are the once-records as the router of plain services uses them.
type Claims struct {
	Client        *Client
	Configuration func() *fleet.Configuration
}

var _ services.Claims = Claims{}

// Claim implements services.Claims. Its errors promise that this claim's call
// was not and will not be run, but for those that tell of an earlier claim.
func (c Claims) Claim(ctx context.Context, claim services.Claim) (services.Grant, error) {
	answer, err := c.Client.Claim(ctx, once.Claim{
		Key: keyOf(claim), Request: claim.Request, Body: claim.Digest,
		Remaining: claim.Remaining, Retention: c.Configuration().Limits.OnceRetention.D(),
	})
	if err != nil {
		return services.Grant{}, c.notClaimed(claim, err)
	}
	return grantOf(answer)
}

// notClaimed gives a claim back that may have been granted unheard. Nothing was
// dispatched, hence the state is NotRun in any case.
func (c Claims) notClaimed(claim services.Claim, err error) error {
	e := *outcome.From(err)
	if e.State == outcome.Unknown {
		c.Client.recordLate(once.Outcome{Key: keyOf(claim), Request: claim.Request, State: once.Released})
		e.Code = outcome.CodeNoQuorum
		e.Message = "the claim got no answer from a quorum"
		e.RetryAfter = electionTime
	}
	e.State = outcome.NotRun
	return &e
}

func grantOf(a once.Answer) (services.Grant, error) {
	const step = "control.claim"
	switch a.Verdict {
	case once.Granted:
		return services.Grant{Fence: a.Fence}, nil
	case once.IsDone:
		return recorded(a)
	case once.IsRunning:
		e := outcome.Refuse(outcome.CodeStillRunning, step, "the call of request %s with this key is still running", a.Request)
		e.State = outcome.Unknown
		e.RetryAfter = time.Second
		return services.Grant{}, e
	case once.IsReleased:
		return services.Grant{}, outcome.Refuse(outcome.CodeConflict, step, "the claim was given back before")
	case once.KeyReused:
		return services.Grant{}, outcome.Refuse(outcome.CodeConflict, step, "the key was used with another request, %s", a.Request)
	case once.TableFull:
		return services.Grant{}, outcome.Refuse(outcome.CodeOverloaded, step, "too many once-records are kept")
	default:
		e := outcome.Refuse(outcome.CodeOutcomeUnknown, step, "the call of request %s with this key may have run; it is not run again", a.Request)
		e.State = outcome.Unknown
		return services.Grant{}, e
	}
}

// recorded returns the outcome of the call that ran.
func recorded(a once.Answer) (services.Grant, error) {
	if a.Reply == nil {
		return services.Grant{Fence: a.Fence, Recorded: &submit.Reply{}}, nil
	}
	if a.Reply.Failure != "" {
		return services.Grant{}, failureOf(a.Reply.Failure)
	}
	if a.Reply.Truncated {
		e := outcome.Refuse(outcome.CodeTruncated, "control.claim",
			"the call of request %s ran with status %d; its reply was too large to keep, SHA-256 %s", a.Request, a.Reply.Status, a.Reply.Digest)
		e.State = outcome.Ran
		return services.Grant{}, e
	}
	return services.Grant{Fence: a.Fence, Recorded: &submit.Reply{
		Status: a.Reply.Status, Header: a.Reply.Header, Body: a.Reply.Body,
	}}, nil
}

// Record implements services.Claims. It tries until ctx ends; what is not
// recorded by then is recorded once a quorum is back.
func (c Claims) Record(ctx context.Context, claim services.Claim, g services.Grant, reply *submit.Reply, failure *outcome.Error) error {
	o := outcomeOf(claim, g, reply, failure)
	for {
		answer, err := c.Client.Record(ctx, o)
		if err == nil {
			return checkRecorded(answer)
		}
		select {
		case <-ctx.Done():
			c.Client.recordLate(o)
			return err
		case <-time.After(recordPause):
		}
	}
}

func checkRecorded(a once.Answer) error {
	if a.Verdict == once.WasRecorded {
		return nil
	}
	e := outcome.Refuse(outcome.CodeConflict, "control.record", "the record stands otherwise: %s", a.Verdict)
	e.State = outcome.Ran
	return e
}

func outcomeOf(claim services.Claim, g services.Grant, reply *submit.Reply, failure *outcome.Error) once.Outcome {
	o := once.Outcome{Key: keyOf(claim), Request: claim.Request, Fence: g.Fence, State: once.Done}
	switch {
	case failure == nil:
		sum := sha256.Sum256(reply.Body)
		o.Reply = &once.Reply{Status: reply.Status, Header: reply.Header, Body: reply.Body, Digest: hex.EncodeToString(sum[:])}
	case failure.State == outcome.NotRun:
		o.State = once.Released
	case failure.State == outcome.Ran:
		o.Reply = &once.Reply{Failure: failureText(failure)}
	default:
		o.State = once.Unknown
	}
	return o
}

// savedFailure is a failure in a once-record.
type savedFailure struct {
	Code    outcome.Code `json:"code"`
	Message string       `json:"message"`
	Step    string       `json:"step"`
	Peer    string       `json:"peer"`
}

func failureText(e *outcome.Error) string {
	text, err := json.Marshal(savedFailure{Code: e.Code, Message: e.Message, Step: e.Step, Peer: e.Peer})
	if err != nil {
		return e.Error()
	}
	return string(text)
}

func failureOf(text string) *outcome.Error {
	var f savedFailure
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		f = savedFailure{Code: outcome.CodeInternal, Message: text}
	}
	return &outcome.Error{Code: f.Code, State: outcome.Ran, Message: f.Message, Step: f.Step, Peer: f.Peer}
}

func keyOf(c services.Claim) once.Key {
	return once.Key{Account: c.Account, Service: c.Service, Key: c.Key}
}
