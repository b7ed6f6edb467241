package plan

import (
	"fmt"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// change is a fleet.Change with its key split into parts. The comments show the parts of
// accounts[council].models[m].
type change struct {
	fleet.Change
	section string // accounts
	element string // council; empty if the section is not a list
	field   string // models
	item    string // m; empty if the field is not a list or table
}

// DescribeChanges describes in plain sentences the effects of replacing before by after,
// without repeating a sentence. before is nil for the first configuration of a fleet.
func DescribeChanges(before, after *fleet.Configuration) []string {
	if before == nil {
		return describeInitial(after)
	}
	m := &changeDescriber{before: before, after: after, seen: map[string]bool{}}
	for _, c := range fleet.Diff(before, after) {
		m.describe(parseChange(c))
	}
	return m.sentences
}

type changeDescriber struct {
	before, after *fleet.Configuration
	sentences     []string
	seen          map[string]bool
}

// addSentence adds a sentence unless another change has already added it.
func (m *changeDescriber) addSentence(format string, args ...any) {
	sentence := fmt.Sprintf(format, args...)
	if !m.seen[sentence] {
		m.seen[sentence] = true
		m.sentences = append(m.sentences, sentence)
	}
}

func (m *changeDescriber) describe(c change) {
	switch c.section {
	case "name":
		m.addSentence("The fleet is now called %s.", unquote(c.New))
	case "limits":
		m.describeLimit(c)
	case "failure_domains":
		m.describeFailureDomain(c)
	case "models":
		m.describeModel(c)
	case "accounts":
		m.describeAccount(c)
	case "services":
		m.describeService(c)
	case "endpoint_kinds":
		m.describeEndpointKind(c)
	default:
		m.addSentence("%s.", c.Change)
	}
}

func parseChange(c fleet.Change) change {
	parsed := change{Change: c}
	head, rest, isElement := strings.Cut(c.Key, "[")
	if !isElement || strings.Contains(head, ".") {
		parsed.section, parsed.field, _ = strings.Cut(c.Key, ".")
		return parsed
	}
	parsed.section = head
	parsed.element, rest, _ = strings.Cut(rest, "]")
	rest = strings.TrimPrefix(rest, ".")
	if at := strings.IndexAny(rest, "[."); at >= 0 {
		parsed.field = rest[:at]
		parsed.item, _, _ = strings.Cut(strings.TrimPrefix(rest[at:], "["), "]")
		parsed.item = strings.TrimPrefix(parsed.item, ".")
		return parsed
	}
	parsed.field = rest
	return parsed
}

// unquote formats a JSON value for display.
func unquote(value string) string {
	if value == "" {
		return "nothing"
	}
	return strings.Trim(value, `"`)
}

// formatDuration formats a JSON duration for display.
func formatDuration(value string) string {
	s := unquote(value)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
