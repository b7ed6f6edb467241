package plan

import (
	"strconv"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

func (m *changeDescriber) describeLimit(c change) {
	switch c.field {
	case "short_deadline":
		m.addSentence("Short requests (prompts up to 32,000 tokens) may now take %s; before, %s. Accounts with their own deadline keep it.", formatDuration(c.New), formatDuration(c.Old))
	case "long_deadline":
		m.addSentence("Long requests (prompts over 32,000 tokens) may now take %s; before, %s. Accounts with their own deadline keep it.", formatDuration(c.New), formatDuration(c.Old))
	case "once_retention":
		m.addSentence("Calls that run at most once are now remembered for %s; before, %s. A resend after that time could run again.", formatDuration(c.New), formatDuration(c.Old))
	case "max_body":
		m.addSentence("The body of a request may now have %s bytes; before, %s. Larger ones are refused.", unquote(c.New), unquote(c.Old))
	case "max_answer":
		m.addSentence("An answer may now have %s tokens; before, %s.", unquote(c.New), unquote(c.Old))
	case "weight_store_load":
		m.addSentence("Up to %s endpoints may now load weights from the store at one time; before, %s.", unquote(c.New), unquote(c.Old))
	default:
		m.addSentence("%s.", c.Change)
	}
}

func (m *changeDescriber) describeFailureDomain(c change) {
	switch {
	case !contains(m.before.FailureDomainNames(), c.element):
		m.addSentence("Failure domain %s is new.", c.element)
	case !contains(m.after.FailureDomainNames(), c.element):
		m.addSentence("Failure domain %s is gone: no instance may belong to it any more.", c.element)
	case c.field == "region":
		m.addSentence("Failure domain %s is now in region %s; before, %s.", c.element, unquote(c.New), unquote(c.Old))
	case c.field == "distance" && contains(m.before.FailureDomainNames(), c.item) && contains(m.after.FailureDomainNames(), c.item):
		m.addSentence("The round trip from %s to %s now counts as %s microseconds; before, %s. Requests are routed to another failure domain more readily the nearer it is.", c.element, c.item, unquote(c.New), unquote(c.Old))
	case c.field == "distance":
		// The other failure domain was added or removed, which has its own sentence.
	default:
		m.addSentence("%s.", c.Change)
	}
}

func (m *changeDescriber) describeModel(c change) {
	switch {
	case !contains(m.before.ModelNames(), c.element):
		m.addSentence("Callers may now name the model %s.", c.element)
	case !contains(m.after.ModelNames(), c.element):
		m.addSentence("The model %s is gone: requests that name it are refused with model_not_found.", c.element)
	case c.field == "engine_name":
		m.addSentence("Requests for the model %s now go to what the engines call %s; before, %s.", c.element, engineName(c.element, c.New), engineName(c.element, c.Old))
	case c.field == "max_prompt":
		m.addSentence("Prompts to the model %s may now have %s tokens; before, %s. Longer ones are refused with prompt_too_long.", c.element, unquote(c.New), unquote(c.Old))
	case c.field == "endpoints":
		m.addSentence("The model %s should now be served by %s endpoints; before, by %s.", c.element, unquote(c.New), unquote(c.Old))
	case c.field == "adapters" && c.New != "":
		m.addSentence("Callers may now use the adapter %s of the model %s.", c.item, c.element)
	case c.field == "adapters":
		m.addSentence("The adapter %s of the model %s is gone: requests that name it are refused.", c.item, c.element)
	default:
		m.addSentence("%s.", c.Change)
	}
}

func (m *changeDescriber) describeAccount(c change) {
	before, after := findAccount(m.before, c.element), findAccount(m.after, c.element)
	switch {
	case before == nil:
		m.addSentence("Client account %s is new, with %s.", c.element, keyCount(len(after.KeyDigests)))
	case after == nil:
		m.addSentence("Client account %s is gone: its keys are refused with invalid_api_key. Its running requests are completed.", c.element)
	case c.field == "share":
		m.addSentence("When the fleet is busy, account %s now has weight %s relative to the others; before, %s.", c.element, unquote(c.New), unquote(c.Old))
	case c.field == "default_deadline":
		m.addSentence("Short requests (prompts up to 32,000 tokens) of account %s may now take %s; before, %s.", c.element, accountDeadline(c.New), accountDeadline(c.Old))
	case c.field == "long_deadline":
		m.addSentence("Long requests (prompts over 32,000 tokens) of account %s may now take %s; before, %s.", c.element, accountDeadline(c.New), accountDeadline(c.Old))
	case c.field == "short_tokens":
		m.addSentence("Short requests of account %s may now use %s; before, %s.", c.element, describeRate(c.New), describeRate(c.Old))
	case c.field == "long_tokens":
		m.addSentence("Long requests of account %s may now use %s; before, %s.", c.element, describeRate(c.New), describeRate(c.Old))
	case c.field == "models":
		m.addSentence("Account %s may now use %s; before, %s.", c.element, describeModels(after.Models), describeModels(before.Models))
	case c.field == "key_digests" && c.New != "":
		m.addSentence("Account %s has a new key, whose digest begins with %s.", c.element, digestPrefix(c.New))
	case c.field == "key_digests":
		m.addSentence("A key of account %s is no longer valid: the one whose digest begins with %s.", c.element, digestPrefix(c.Old))
	default:
		m.addSentence("%s.", c.Change)
	}
}

func (m *changeDescriber) describeService(c change) {
	switch {
	case c.field == "once" && c.New != "":
		m.addSentence("%s on the service %s now runs at most once: callers must send an Idempotency-Key with it.", c.item, c.element)
	case c.field == "once" && !contains(m.after.ServiceNames(), c.element):
		m.addSentence("The service %s is gone: calls to it are refused.", c.element)
	case c.field == "once":
		m.addSentence("%s on the service %s is no longer limited to one run: it may run more than once when a call is repeated.", c.item, c.element)
	case !contains(m.before.ServiceNames(), c.element):
		m.addSentence("Callers may now call the service %s.", c.element)
	case !contains(m.after.ServiceNames(), c.element):
		m.addSentence("The service %s is gone: calls to it are refused.", c.element)
	default:
		m.addSentence("%s.", c.Change)
	}
}

func (m *changeDescriber) describeEndpointKind(c change) {
	switch {
	case c.field == "checks_fencing" && c.New == "true":
		m.addSentence("Endpoints of kind %s are now assumed to refuse orders with an old fencing number themselves.", c.element)
	case c.field == "checks_fencing" && c.New == "false":
		m.addSentence("Endpoints of kind %s are now assumed to ignore fencing numbers: the daemon beside each holds back old orders.", c.element)
	case c.New == "":
		m.addSentence("The endpoint kind %s is gone.", c.element)
	case c.field == "name":
		m.addSentence("The endpoint kind %s is new.", c.element)
	default:
		m.addSentence("%s.", c.Change)
	}
}

func findAccount(c *fleet.Configuration, name string) *fleet.Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

func keyCount(n int) string {
	switch n {
	case 0:
		return "no key yet: `jacinthplank keys account` creates one"
	case 1:
		return "one key"
	default:
		return strconv.Itoa(n) + " keys"
	}
}

func accountDeadline(value string) string {
	if unquote(value) == "0s" {
		return "the fleet's deadline"
	}
	return formatDuration(value)
}

func describeRate(value string) string {
	if unquote(value) == "0" {
		return "an unlimited number of tokens of work"
	}
	return unquote(value) + " tokens of work a second"
}

func describeModels(names []string) string {
	if len(names) == 0 {
		return "every model"
	}
	if len(names) == 1 {
		return "the model " + names[0] + " only"
	}
	return "the models " + strings.Join(names, ", ")
}

// engineName returns the name of a model on the engines, which defaults to the name of
// the model.
func engineName(model, value string) string {
	if name := unquote(value); name != "" {
		return name
	}
	return model
}

// digestPrefix returns the first 8 digits of a digest.
func digestPrefix(value string) string {
	digest := unquote(value)
	return digest[:min(len(digest), 8)]
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
