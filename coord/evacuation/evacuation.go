// Package evacuation holds the failure domains whose endpoints receive no requests by
// order of an operator. It is a pure state machine: a Set and the commands that change it.
package evacuation

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Set is the set of evacuated failure domains. The zero value is empty. A Set is not
// modified after its creation, so it may be shared.
type Set struct {
	Revision uint64   `json:"revision"`          // number of changes so far
	Domains  []string `json:"domains,omitempty"` // sorted
}

// Contains reports whether a failure domain is evacuated.
func (s Set) Contains(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Validate returns an error for a set of another writer that no command leaves.
func (s Set) Validate() error {
	if s.Revision == math.MaxUint64 {
		return errors.New("evacuation: no command can follow the revision of the set")
	}
	for i, d := range s.Domains {
		if d == "" || (i > 0 && d <= s.Domains[i-1]) {
			return fmt.Errorf("evacuation: domain %d of the set is empty or out of order", i)
		}
	}
	return nil
}

// Without returns the domains of s that are not in other.
func (s Set) Without(other Set) []string {
	var out []string
	for _, d := range s.Domains {
		if !other.Contains(d) {
			out = append(out, d)
		}
	}
	return out
}

// Action is what a command does to a domain.
type Action string

// Actions.
const (
	ActionBegin  Action = "begin"
	ActionFinish Action = "finish"
)

// Command is an operator's order about one failure domain.
type Command struct {
	Action Action `json:"action"`
	Domain string `json:"domain"`
	// Revision is the revision of the set that the sender knew. A command that would change
	// a later one is stale: a sender that was paused must not undo a later order. A sender
	// that knows a later revision than the log does learned it before the log was lost.
	Revision uint64 `json:"revision"`
}

// Begin returns the command that evacuates a domain.
func Begin(domain string) Command { return Command{Action: ActionBegin, Domain: domain} }

// Finish returns the command that ends the evacuation of a domain.
func Finish(domain string) Command { return Command{Action: ActionFinish, Domain: domain} }

// At returns the command of a sender that knows a set of the given revision.
func (c Command) At(revision uint64) Command {
	c.Revision = revision
	return c
}

// Verdict is the result of a command.
type Verdict string

// Verdicts.
const (
	Changed   Verdict = "changed"
	Unchanged Verdict = "unchanged" // the set was already as ordered
	Stale     Verdict = "stale"     // the sender did not know the current set; nothing changed
	Invalid   Verdict = "invalid"   // unknown action, no domain, or a revision that none can follow; nothing changed
)

// Apply returns the set after a command.
func (s Set) Apply(c Command) (Set, Verdict) {
	if c.Domain == "" || (c.Action != ActionBegin && c.Action != ActionFinish) || c.Revision == math.MaxUint64 {
		return s, Invalid
	}
	at, found := slices.BinarySearch(s.Domains, c.Domain)
	isAsOrdered := found == (c.Action == ActionBegin)
	switch {
	case isAsOrdered && c.Revision <= s.Revision:
		return s, Unchanged
	case c.Revision < s.Revision:
		return s, Stale
	}
	after := Set{Revision: c.Revision + 1, Domains: slices.Clone(s.Domains)}
	switch {
	case isAsOrdered:
	case found:
		after.Domains = slices.Delete(after.Domains, at, at+1)
	default:
		after.Domains = slices.Insert(after.Domains, at, c.Domain)
	}
	return after, Changed
}

// Answer is the result of a command in the log.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	Set     Set     `json:"set"` // after the command
}

// commandPrefix begins each encoded command. No command of package document begins with
// it, and that package ignores a command that does.
var commandPrefix = []byte(`{"evacuation":`)

type envelope struct {
	Evacuation Command `json:"evacuation"`
}

// IsCommand reports whether a command of the log is one of this package.
func IsCommand(encoded []byte) bool { return bytes.HasPrefix(encoded, commandPrefix) }

// Encode encodes a command for the log.
func (c Command) Encode() ([]byte, error) { return json.Marshal(envelope{c}) }

// DecodeCommand decodes a command of the log.
func DecodeCommand(encoded []byte) (Command, error) {
	var e envelope
	if err := json.Unmarshal(encoded, &e); err != nil {
		return Command{}, fmt.Errorf("evacuation: command: %w", err)
	}
	return e.Evacuation, nil
}

// DecodeAnswer decodes the result of a command.
func DecodeAnswer(result []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(result, &a); err != nil {
		return a, fmt.Errorf("evacuation: answer: %w", err)
	}
	return a, nil
}
