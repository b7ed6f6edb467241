package plan

import (
	"fmt"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// first tells what a fleet's first configuration means.
func first(c *fleet.Configuration) []string {
	said := []string{
		fmt.Sprintf("This is the first configuration of the fleet %s.", c.Name),
		fmt.Sprintf("Failure domains: %s.", strings.Join(c.FailureDomainNames(), ", ")),
	}
	for _, m := range c.Models {
		said = append(said, fmt.Sprintf("Callers may name the model %s, with prompts up to %d tokens; it should be served by %s.", m.Name, m.MaxPrompt, endpoints(m.Endpoints)))
	}
	for _, s := range c.Services {
		said = append(said, fmt.Sprintf("Callers may call the service %s; %s.", s.Name, onceCalls(s)))
	}
	for _, a := range c.Accounts {
		said = append(said, fmt.Sprintf("Client account %s weighs %d, with %s.", a.Name, a.Share, keys(len(a.KeyDigests))))
	}
	return append(said, fmt.Sprintf("Short requests (prompts up to 32,000 tokens) may take %s and longer ones %s, unless an account has a time of its own.",
		span(c.Limits.ShortDeadline.D().String()), span(c.Limits.LongDeadline.D().String())))
}

func onceCalls(s fleet.Service) string {
	if len(s.Once) == 0 {
		return "none of its calls is marked as non-idempotent"
	}
	calls := make([]string, len(s.Once))
	for i, route := range s.Once {
		calls[i] = route.Method + " " + route.Path
	}
	return "at most once each: " + strings.Join(calls, ", ")
}

func endpoints(n int) string {
	if n == 1 {
		return "1 endpoint"
	}
	return fmt.Sprintf("%d endpoints", n)
}
