package plan

import (
	"strconv"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

func (m *meaning) limit(c change) {
	switch c.field {
	case "short_deadline":
		m.say("Short requests (prompts up to 32,000 tokens) may now take %s; before, %s. Accounts with a time of their own keep it.", span(c.New), span(c.Old))
	case "long_deadline":
		m.say("Long requests (prompts over 32,000 tokens) may now take %s; before, %s. Accounts with a time of their own keep it.", span(c.New), span(c.Old))
	case "once_retention":
		m.say("Calls that run at most once are now remembered for %s; before, %s. A resend after that time could run again.", span(c.New), span(c.Old))
	case "max_body":
		m.say("The body of a request may now have %s bytes; before, %s. Larger ones are refused.", plain(c.New), plain(c.Old))
	case "max_answer":
		m.say("An answer may now have %s tokens; before, %s.", plain(c.New), plain(c.Old))
	case "weight_store_load":
		m.say("Up to %s endpoints may now load weights from the store at one time; before, %s.", plain(c.New), plain(c.Old))
	default:
		m.say("%s.", c.Change)
	}
}

func (m *meaning) failureDomain(c change) {
	switch {
	case !contains(m.before.FailureDomainNames(), c.element):
		m.say("Failure domain %s is new.", c.element)
	case !contains(m.after.FailureDomainNames(), c.element):
		m.say("Failure domain %s is gone: no instance may stand in it any more.", c.element)
	case c.field == "region":
		m.say("Failure domain %s is now in region %s; before, %s.", c.element, plain(c.New), plain(c.Old))
	case c.field == "distance" && contains(m.before.FailureDomainNames(), c.item) && contains(m.after.FailureDomainNames(), c.item):
		m.say("The round trip from %s to %s now counts as %s microseconds; before, %s. Requests leave their failure domain the more readily the nearer the others are.", c.element, c.item, plain(c.New), plain(c.Old))
	case c.field == "distance":
		// The other failure domain is new or gone, which is said once.
	default:
		m.say("%s.", c.Change)
	}
}

func (m *meaning) model(c change) {
	switch {
	case !contains(m.before.ModelNames(), c.element):
		m.say("Callers may now name the model %s.", c.element)
	case !contains(m.after.ModelNames(), c.element):
		m.say("The model %s is gone: requests that name it are refused with model_not_found.", c.element)
	case c.field == "engine_name":
		m.say("Requests for the model %s now go to what the engines call %s; before, %s.", c.element, engineName(c.element, c.New), engineName(c.element, c.Old))
	case c.field == "max_prompt":
		m.say("Prompts to the model %s may now have %s tokens; before, %s. Longer ones are refused with prompt_too_long.", c.element, plain(c.New), plain(c.Old))
	case c.field == "endpoints":
		m.say("The model %s should now be served by %s endpoints; before, by %s.", c.element, plain(c.New), plain(c.Old))
	case c.field == "adapters" && c.New != "":
		m.say("Callers may now use the adapter %s of the model %s.", c.item, c.element)
	case c.field == "adapters":
		m.say("The adapter %s of the model %s is gone: requests that name it are refused.", c.item, c.element)
	default:
		m.say("%s.", c.Change)
	}
}

func (m *meaning) account(c change) {
	before, after := findAccount(m.before, c.element), findAccount(m.after, c.element)
	switch {
	case before == nil:
		m.say("Client account %s is new, with %s.", c.element, keys(len(after.KeyDigests)))
	case after == nil:
		m.say("Client account %s is gone: its keys are refused with invalid_api_key. What it has running is finished.", c.element)
	case c.field == "share":
		m.say("When the fleet is busy, account %s now weighs %s against the others; before, %s.", c.element, plain(c.New), plain(c.Old))
	case c.field == "default_deadline":
		m.say("Short requests (prompts up to 32,000 tokens) of account %s may now take %s; before, %s.", c.element, ownTime(c.New), ownTime(c.Old))
	case c.field == "long_deadline":
		m.say("Long requests (prompts over 32,000 tokens) of account %s may now take %s; before, %s.", c.element, ownTime(c.New), ownTime(c.Old))
	case c.field == "short_tokens":
		m.say("Short requests of account %s may now use %s; before, %s.", c.element, rate(c.New), rate(c.Old))
	case c.field == "long_tokens":
		m.say("Long requests of account %s may now use %s; before, %s.", c.element, rate(c.New), rate(c.Old))
	case c.field == "models":
		m.say("Account %s may now use %s; before, %s.", c.element, modelList(after.Models), modelList(before.Models))
	case c.field == "key_digests" && c.New != "":
		m.say("Account %s has a new key, whose digest begins with %s.", c.element, begin(c.New))
	case c.field == "key_digests":
		m.say("A key of account %s is no longer good: the one whose digest begins with %s.", c.element, begin(c.Old))
	default:
		m.say("%s.", c.Change)
	}
}

func (m *meaning) service(c change) {
	switch {
	case c.field == "once" && c.New != "":
		m.say("%s on the service %s now runs at most once: callers must send an Idempotency-Key with it.", c.item, c.element)
	case c.field == "once" && !contains(m.after.ServiceNames(), c.element):
		m.say("The service %s is gone: calls to it are refused.", c.element)
	case c.field == "once":
		m.say("%s on the service %s is no longer guarded: it may run more than once when a call is repeated.", c.item, c.element)
	case !contains(m.before.ServiceNames(), c.element):
		m.say("Callers may now call the service %s.", c.element)
	case !contains(m.after.ServiceNames(), c.element):
		m.say("The service %s is gone: calls to it are refused.", c.element)
	default:
		m.say("%s.", c.Change)
	}
}

func (m *meaning) endpointKind(c change) {
	switch {
	case c.field == "checks_fencing" && c.New == "true":
		m.say("Endpoints of kind %s are now taken to refuse orders with an old fencing number themselves.", c.element)
	case c.field == "checks_fencing" && c.New == "false":
		m.say("Endpoints of kind %s are now taken to ignore fencing numbers: the daemon beside each holds back old orders.", c.element)
	case c.New == "":
		m.say("The endpoint kind %s is gone.", c.element)
	case c.field == "name":
		m.say("The endpoint kind %s is new.", c.element)
	default:
		m.say("%s.", c.Change)
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

func keys(n int) string {
	switch n {
	case 0:
		return "no key yet: `jacinthplank keys account` makes one"
	case 1:
		return "one key"
	default:
		return strconv.Itoa(n) + " keys"
	}
}

func ownTime(value string) string {
	if plain(value) == "0s" {
		return "the fleet's time"
	}
	return span(value)
}

func rate(value string) string {
	if plain(value) == "0" {
		return "as much as there is"
	}
	return plain(value) + " tokens of work a second"
}

func modelList(names []string) string {
	if len(names) == 0 {
		return "every model"
	}
	if len(names) == 1 {
		return "the model " + names[0] + " only"
	}
	return "the models " + strings.Join(names, ", ")
}

// engineName returns the engines' name of a model, which is the model's own
// when none is given.
func engineName(model, value string) string {
	if name := plain(value); name != "" {
		return name
	}
	return model
}

// begin returns the first digits of a digest.
func begin(value string) string {
	digest := plain(value)
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
