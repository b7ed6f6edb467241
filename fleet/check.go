package fleet

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// OnceMethods are the HTTP methods allowed in a OnceRoute.
var OnceMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet}

func (c *Configuration) check(r *tomlcheck.Report) {
	if c.Name == "" {
		r.Add("name", "missing", "a name for the fleet")
	}
	c.checkFailureDomains(r)
	c.checkModels(r)
	c.checkAccounts(r)
	c.checkServices(r)
	c.checkEndpointKinds(r)
	c.Limits.check(r)
}

func (c *Configuration) checkFailureDomains(r *tomlcheck.Report) {
	if len(c.FailureDomains) == 0 {
		r.Add("failure_domains", "missing", "at least one failure domain")
	}
	names := c.FailureDomainNames()
	r.CheckNames("failure_domains", ".name", names)
	for i, d := range c.FailureDomains {
		key := tomlcheck.Element("failure_domains", i)
		for other, micros := range d.Distance {
			distance := key + ".distance." + other
			r.CheckKnown(distance, other, "failure domain", names)
			if micros < 0 {
				r.Add(distance, fmt.Sprintf("found %d", micros), "a round trip in microseconds, 0 or more")
			}
		}
	}
}

func (c *Configuration) checkModels(r *tomlcheck.Report) {
	if len(c.Models) == 0 && len(c.Services) == 0 {
		r.Add("models", "missing", "at least one model or service")
	}
	r.CheckNames("models", ".name", c.ModelNames())
	for i, m := range c.Models {
		key := tomlcheck.Element("models", i)
		r.CheckNames(key+".adapters", "", m.Adapters)
		if m.Endpoints < 1 {
			r.Add(key+".endpoints", fmt.Sprintf("found %d", m.Endpoints), "1 or more")
		}
		if m.MaxPrompt < 1 || m.MaxPrompt > MaxPromptTokens {
			r.Add(key+".max_prompt", fmt.Sprintf("found %d", m.MaxPrompt), fmt.Sprintf("1 to %d tokens", MaxPromptTokens))
		}
	}
}

func (c *Configuration) checkAccounts(r *tomlcheck.Report) {
	models := c.ModelNames()
	digests := tomlcheck.Digests{}
	names := make([]string, len(c.Accounts))
	for i, a := range c.Accounts {
		names[i] = a.Name
	}
	r.CheckNames("accounts", ".name", names)
	for i, a := range c.Accounts {
		key := tomlcheck.Element("accounts", i)
		for j, m := range a.Models {
			r.CheckKnown(tomlcheck.Element(key+".models", j), m, "model", models)
		}
		for j, digest := range a.KeyDigests {
			digests.Check(r, tomlcheck.Element(key+".key_digests", j), digest, a.Name)
		}
		if a.Share < 1 {
			r.Add(key+".share", fmt.Sprintf("found %d", a.Share), "1 or more")
		}
		tomlcheck.CheckNotNegative(r, key+".short_tokens", a.ShortTokenRate, "tokens per second, 0 for no limit")
		tomlcheck.CheckNotNegative(r, key+".long_tokens", a.LongTokenRate, "tokens per second, 0 for no limit")
		tomlcheck.CheckNotNegative(r, key+".default_deadline", a.ShortDeadline, "a time, 0s for the fleet's")
		tomlcheck.CheckNotNegative(r, key+".long_deadline", a.LongDeadline, "a time, 0s for the fleet's")
	}
}

func (c *Configuration) checkServices(r *tomlcheck.Report) {
	r.CheckNames("services", ".name", c.ServiceNames())
	for i, s := range c.Services {
		key := tomlcheck.Element("services", i)
		seen := map[OnceRoute]bool{}
		for j, route := range s.Once {
			once := tomlcheck.Element(key+".once", j)
			r.CheckKnown(once+".method", route.Method, "method", OnceMethods)
			if !strings.HasPrefix(route.Path, "/") {
				r.Add(once+".path", fmt.Sprintf("found %q", route.Path), `a path that starts with "/"`)
			}
			if seen[route] {
				r.Add(once, "listed more than once", "each call once")
			}
			seen[route] = true
		}
	}
}

func (c *Configuration) checkEndpointKinds(r *tomlcheck.Report) {
	names := make([]string, len(c.EndpointKinds))
	for i, k := range c.EndpointKinds {
		names[i] = k.Name
	}
	r.CheckNames("endpoint_kinds", ".name", names)
}

func (l Limits) check(r *tomlcheck.Report) {
	tomlcheck.CheckPositive(r, "limits.max_body", l.MaxBody, "bytes, more than 0")
	tomlcheck.CheckPositive(r, "limits.max_answer", l.MaxAnswer, "tokens, more than 0")
	tomlcheck.CheckPositive(r, "limits.short_deadline", l.ShortDeadline, "a time, more than 0")
	tomlcheck.CheckPositive(r, "limits.long_deadline", l.LongDeadline, "a time, more than 0")
	tomlcheck.CheckPositive(r, "limits.weight_store_load", l.WeightStoreLoad, "loads at one time, more than 0")
	if l.OnceRetention < l.LongDeadline {
		r.Add("limits.once_retention", "shorter than the long deadline, so that a resend could run twice", "at least limits.long_deadline")
	}
}
