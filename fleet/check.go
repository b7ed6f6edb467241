package fleet

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// methods are the HTTP methods that a once-route may name.
var methods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet}

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
	checkNames(r, "failure_domains", ".name", names)
	for i, d := range c.FailureDomains {
		key := tomlcheck.Element("failure_domains", i)
		for other, micros := range d.Distance {
			distance := key + ".distance." + other
			checkKnown(r, distance, other, "failure domain", names)
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
	checkNames(r, "models", ".name", c.ModelNames())
	for i, m := range c.Models {
		key := tomlcheck.Element("models", i)
		checkNames(r, key+".adapters", "", m.Adapters)
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
	digestOf := map[string]string{}
	names := make([]string, len(c.Accounts))
	for i, a := range c.Accounts {
		names[i] = a.Name
	}
	checkNames(r, "accounts", ".name", names)
	for i, a := range c.Accounts {
		key := tomlcheck.Element("accounts", i)
		for j, m := range a.Models {
			checkKnown(r, tomlcheck.Element(key+".models", j), m, "model", models)
		}
		for j, digest := range a.KeyDigests {
			checkDigest(r, tomlcheck.Element(key+".key_digests", j), digest, a.Name, digestOf)
		}
		if a.Share < 1 {
			r.Add(key+".share", fmt.Sprintf("found %d", a.Share), "1 or more")
		}
		checkNotNegative(r, key+".short_tokens", a.ShortTokens, "tokens per second, 0 for no limit")
		checkNotNegative(r, key+".long_tokens", a.LongTokens, "tokens per second, 0 for no limit")
		checkNotNegative(r, key+".default_deadline", a.DefaultDeadline, "a time, 0s for the fleet's")
		checkNotNegative(r, key+".long_deadline", a.LongDeadline, "a time, 0s for the fleet's")
	}
}

func checkDigest(r *tomlcheck.Report, key, digest, account string, digestOf map[string]string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != digestBytes {
		r.Add(key, fmt.Sprintf("text of %d characters", len(digest)), "a SHA-256 digest, 64 hexadecimal digits; `jacinthplank keys` makes one")
		return
	}
	if other, taken := digestOf[strings.ToLower(digest)]; taken {
		r.Add(key, fmt.Sprintf("the key belongs to account %q already", other), "a key of this account alone")
	}
	digestOf[strings.ToLower(digest)] = account
}

func (c *Configuration) checkServices(r *tomlcheck.Report) {
	checkNames(r, "services", ".name", c.ServiceNames())
	for i, s := range c.Services {
		key := tomlcheck.Element("services", i)
		seen := map[OnceRoute]bool{}
		for j, route := range s.Once {
			once := tomlcheck.Element(key+".once", j)
			checkKnown(r, once+".method", route.Method, "method", methods)
			if !strings.HasPrefix(route.Path, "/") {
				r.Add(once+".path", fmt.Sprintf("found %q", route.Path), `a path that starts with "/"`)
			}
			if seen[route] {
				r.Add(once, "stands twice", "each call once")
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
	checkNames(r, "endpoint_kinds", ".name", names)
}

func (l Limits) check(r *tomlcheck.Report) {
	checkPositive(r, "limits.max_body", l.MaxBody, "bytes")
	checkPositive(r, "limits.max_answer", l.MaxAnswer, "tokens")
	checkPositive(r, "limits.short_deadline", l.ShortDeadline, "a time")
	checkPositive(r, "limits.long_deadline", l.LongDeadline, "a time")
	checkPositive(r, "limits.weight_store_load", l.WeightStoreLoad, "loads at one time")
	if l.OnceRetention < l.LongDeadline {
		r.Add("limits.once_retention", "shorter than the long deadline, so that a resend could run twice", "at least limits.long_deadline")
	}
}

// checkNames wants names that are present, well formed and all different. The
// field is the key of the name in each element, empty when the list is of names.
func checkNames(r *tomlcheck.Report, list, field string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		key := tomlcheck.Element(list, i) + field
		if !validName(name) {
			r.Add(key, fmt.Sprintf("found %q", name), "a name without spaces, quotes or brackets, up to 100 characters")
			continue
		}
		if at, taken := first[name]; taken {
			r.Add(key, fmt.Sprintf("%q is taken by %s", name, tomlcheck.Element(list, at)), "a name of its own")
			continue
		}
		first[name] = i
	}
}

// maxName is the longest name in bytes.
const maxName = 100

func validName(name string) bool {
	return name != "" && len(name) <= maxName && !strings.ContainsAny(name, " \t\r\n\"'[]")
}

func checkKnown(r *tomlcheck.Report, key, name, what string, valid []string) {
	for _, v := range valid {
		if v == name {
			return
		}
	}
	r.Unknown(key, name, what, valid)
}

func checkPositive[N ~int | ~int64](r *tomlcheck.Report, key string, n N, unit string) {
	if n <= 0 {
		r.Add(key, fmt.Sprintf("found %v", text(n)), unit+", more than 0")
	}
}

func checkNotNegative[N ~int | ~int64](r *tomlcheck.Report, key string, n N, expected string) {
	if n < 0 {
		r.Add(key, fmt.Sprintf("found %v", text(n)), expected)
	}
}

func text(n any) any {
	if d, ok := n.(Duration); ok {
		return d.D()
	}
	return n
}
