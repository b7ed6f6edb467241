package entry

import (
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/limits"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/submit"
)

const stepAdmit = "entry.admit"

const (
	shortWaitFloor = 250 * time.Millisecond // wait that any short request may have
	shortWaitShare = 1.0                    // further wait, as a part of its bare prefill
	longWaitShare  = 0.8                    // part of its slack that long work may wait
	defaultDecode  = 30.0                   // tokens per second of an endpoint that announced none
)

// admit decides, before anything is sent, whether the fleet can do the request
// in its time and whether its account may use it now.
func (r *Router) admit(req *submit.Request, choice placement.Choice) error {
	expected := r.lengths.Estimate(req.Model, req.Account, req.MaxTokens)
	slack := req.Remaining - bareTime(choice.Member, req, choice.Cached, expected)
	if slack <= 0 {
		return outcome.Refuse(outcome.CodeDeadline, stepAdmit,
			"the request needs %v on an idle endpoint and has %v",
			(req.Remaining - slack).Round(time.Millisecond), req.Remaining.Round(time.Millisecond))
	}
	kind := limits.KindOf(req.Class())
	pressure := limits.Pressure{Wait: choice.Wait, Most: mostWait(choice, req, slack)}
	configuration := r.configuration()
	now := time.Now()
	tokens := max(req.Prompt.Tokens-choice.Cached, 0) + expected
	if err := r.limiter.Admit(now, req.Account, sharesOf(configuration), kind, tokens, pressure); err != nil {
		return err
	}
	if account := accountOf(configuration, req.Account); account != nil {
		return r.limiter.Spend(now, account, kind, tokens)
	}
	return nil
}

// bareTime returns the time that the request takes on an idle endpoint with an
// answer of the expected tokens.
func bareTime(m *directory.Member, req *submit.Request, cached, expected int) time.Duration {
	speed := m.DecodePerSec
	if speed <= 0 {
		speed = defaultDecode
	}
	decode := time.Duration(float64(max(expected-req.Offset, 0)) / speed * float64(time.Second))
	return placement.PrefillTime(m, cached, req.Prompt.Tokens) + decode
}

// mostWait returns the longest wait at which a request is admitted.
func mostWait(c placement.Choice, req *submit.Request, slack time.Duration) time.Duration {
	if c.Long {
		return time.Duration(longWaitShare * float64(slack))
	}
	prefill := placement.PrefillTime(c.Member, 0, req.Prompt.Tokens)
	return min(shortWaitFloor+time.Duration(shortWaitShare*float64(prefill)), slack)
}

func accountOf(c *fleet.Configuration, name string) *fleet.Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// sharesOf returns the function that tells an account's weight.
func sharesOf(c *fleet.Configuration) func(string) float64 {
	return func(name string) float64 {
		if a := accountOf(c, name); a != nil {
			return max(float64(a.Share), 1)
		}
		return 1
	}
}
