package plan

import (
	"fmt"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// describeInitial describes the first configuration of a fleet.
func describeInitial(c *fleet.Configuration) []string {
	sentences := []string{
		fmt.Sprintf("This is the first configuration of the fleet %s.", c.Name),
		fmt.Sprintf("Failure domains: %s.", strings.Join(c.FailureDomainNames(), ", ")),
	}
	for _, m := range c.Models {
		sentences = append(sentences, fmt.Sprintf("Callers may name the model %s, with prompts up to %d tokens; it should be served by %s.", m.Name, m.MaxPrompt, endpointCount(m.Endpoints)))
	}
	for _, s := range c.Services {
		sentences = append(sentences, fmt.Sprintf("Callers may call the service %s; %s.", s.Name, describeOnceCalls(s)))
	}
	for _, a := range c.Accounts {
		sentences = append(sentences, fmt.Sprintf("Client account %s has weight %d, with %s.", a.Name, a.Share, keyCount(len(a.KeyDigests))))
	}
	return append(sentences, fmt.Sprintf("Short requests (prompts up to 32,000 tokens) may take %s and longer ones %s, unless an account has its own deadline.",
		formatDuration(c.Limits.ShortDeadline.D().String()), formatDuration(c.Limits.LongDeadline.D().String())))
}

func describeOnceCalls(s fleet.Service) string {
	if len(s.Once) == 0 {
		return "none of its calls is marked as non-idempotent"
	}
	calls := make([]string, len(s.Once))
	for i, route := range s.Once {
		calls[i] = route.Method + " " + route.Path
	}
	return "at most once each: " + strings.Join(calls, ", ")
}

func endpointCount(n int) string {
	if n == 1 {
		return "1 endpoint"
	}
	return fmt.Sprintf("%d endpoints", n)
}
