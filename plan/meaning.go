package plan

import (
	"fmt"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// change is a fleet.Change with its key in parts: accounts[council].models[m].
type change struct {
	fleet.Change
	section string // accounts
	element string // council; empty when the section is no list
	field   string // models
	item    string // m; empty when the field is no list or table
}

// Meaning tells in plain words what happens when after follows before, one
// sentence for each change. before may be nil for a fleet's first
// configuration.
func Meaning(before, after *fleet.Configuration) []string {
	if before == nil {
		return first(after)
	}
	m := &meaning{before: before, after: after, said: map[string]bool{}}
	for _, c := range fleet.Diff(before, after) {
		m.add(parse(c))
	}
	return m.sentences
}

type meaning struct {
	before, after *fleet.Configuration
	sentences     []string
	said          map[string]bool
}

// say adds a sentence unless it was said for another change.
func (m *meaning) say(format string, args ...any) {
	sentence := fmt.Sprintf(format, args...)
	if !m.said[sentence] {
		m.said[sentence] = true
		m.sentences = append(m.sentences, sentence)
	}
}

func (m *meaning) add(c change) {
	switch c.section {
	case "name":
		m.say("The fleet is now called %s.", plain(c.New))
	case "limits":
		m.limit(c)
	case "failure_domains":
		m.failureDomain(c)
	case "models":
		m.model(c)
	case "accounts":
		m.account(c)
	case "services":
		m.service(c)
	case "endpoint_kinds":
		m.endpointKind(c)
	default:
		m.say("%s.", c.Change)
	}
}

func parse(c fleet.Change) change {
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

// plain writes a JSON value for people.
func plain(value string) string {
	if value == "" {
		return "nothing"
	}
	return strings.Trim(value, `"`)
}

// span writes a duration in JSON for people.
func span(value string) string {
	s := plain(value)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
