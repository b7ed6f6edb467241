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
	shortMaxWaitBase    = 250 * time.Millisecond // part of a short request's maximum wait that does not depend on its length
	shortMaxWaitFactor  = 1.0                    // further wait, as a multiple of its uncached prefill time
	longMaxWaitFraction = 0.8                    // maximum wait of a long request, as a fraction of its slack
	defaultDecodeRate   = 30.0                   // tokens per second assumed for an endpoint that announced no rate
)

// admit decides, before anything is sent, whether the request can finish by its
// deadline and whether the account's limits allow it now.
func (r *Router) admit(req *submit.Request, choice placement.Choice) error {
	expected := r.lengths.Estimate(req.Model, req.Account, req.MaxTokens)
	slack := req.Remaining - idleServiceTime(choice.Member, req, choice.Cached, expected)
	if slack <= 0 {
		return outcome.Refuse(outcome.CodeDeadlineInfeasible, stepAdmit,
			"request takes %v on an idle endpoint, but its deadline is in %v",
			(req.Remaining - slack).Round(time.Millisecond), req.Remaining.Round(time.Millisecond))
	}
	kind := limits.KindOf(req.Class())
	pressure := limits.Pressure{Wait: choice.Wait, MaxWait: maxWait(choice, req, slack)}
	configuration := r.configuration()
	now := time.Now()
	tokens := max(req.Prompt.Tokens-choice.Cached, 0) + expected
	if err := r.limiter.Admit(now, req.Account, accountWeights(configuration), kind, tokens, pressure); err != nil {
		return err
	}
	if account := findAccount(configuration, req.Account); account != nil {
		return r.limiter.Spend(now, account, kind, tokens)
	}
	return nil
}

// idleServiceTime returns the time that the request takes on an idle endpoint if
// the answer has the expected number of tokens.
func idleServiceTime(m *directory.Member, req *submit.Request, cached, expected int) time.Duration {
	decodeRate := m.DecodePerSec
	if decodeRate <= 0 {
		decodeRate = defaultDecodeRate
	}
	decodeTime := time.Duration(float64(max(expected-req.Offset, 0)) / decodeRate * float64(time.Second))
	return placement.PrefillTime(m, cached, req.Prompt.Tokens) + decodeTime
}

// maxWait returns the maximum expected wait at which a request is admitted.
func maxWait(c placement.Choice, req *submit.Request, slack time.Duration) time.Duration {
	if c.Long {
		return time.Duration(longMaxWaitFraction * float64(slack))
	}
	prefill := placement.PrefillTime(c.Member, 0, req.Prompt.Tokens)
	return min(shortMaxWaitBase+time.Duration(shortMaxWaitFactor*float64(prefill)), slack)
}

func findAccount(c *fleet.Configuration, name string) *fleet.Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// accountWeights returns a function that maps an account's name to its weight.
func accountWeights(c *fleet.Configuration) func(string) float64 {
	return func(name string) float64 {
		if a := findAccount(c, name); a != nil {
			return max(float64(a.Share), 1)
		}
		return 1
	}
}
