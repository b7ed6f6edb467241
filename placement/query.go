// Package placement chooses the endpoint for a request. It does no I/O: time,
// randomness and the members are arguments.
//
// Candidates come from rendezvous hashing on the prompt's prefix blocks, so
// that all entries send equal prefixes to equal endpoints without talking to
// one another, and from a few members drawn at random. The candidate with the
// least expected time to the first token wins.
package placement

import (
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Query is what a policy needs to know of one request.
type Query struct {
	Now      time.Time
	Adapter  string // adapter that the endpoint must have; empty for none
	Class    submit.Class
	Tokens   int            // prompt tokens
	Output   int            // most tokens of the answer; they need memory too
	Blocks   []engine.Block // prefix blocks of the prompt
	Key      uint64         // stands for the prefix of a prompt without a full block
	Random   uint64         // fresh random bits
	Domain   string         // failure domain of the entry
	Distance func(domain string) time.Duration
	Avoid    []string                     // endpoints that were tried already
	Blocked  func(*directory.Member) bool // endpoints that take nothing now; nil for none
}

// usable reports whether m may get the request.
func (q *Query) usable(m *directory.Member) bool {
	if m.Leaving() || (m.MaxPrompt > 0 && q.Tokens+q.Output > m.MaxPrompt) {
		return false
	}
	if q.Adapter != "" && !contains(m.Adapters, q.Adapter) {
		return false
	}
	return q.Blocked == nil || !q.Blocked(m)
}

// avoided reports whether m was tried already.
func (q *Query) avoided(m *directory.Member) bool { return contains(q.Avoid, m.Name) }

func (q *Query) distance(m *directory.Member) time.Duration {
	if m.FailureDomain == q.Domain || q.Distance == nil {
		return 0
	}
	return q.Distance(m.FailureDomain)
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// Choice is the endpoint for a request with what is expected there.
type Choice struct {
	Member *directory.Member
	Wait   time.Duration // expected wait before prefill
	Cost   time.Duration // expected time to the first token
	Cached int           // prompt tokens expected in the endpoint's prefix cache
	Long   bool          // the endpoint will send the prefill in chunks, after other long work
}

// Policy chooses endpoints. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the endpoint for q, and false when no member is usable.
	Choose(q *Query, members []*directory.Member) (Choice, bool)
	// Learn takes what an answer told about the prefix cache of m: cached
	// tokens of the prompt were found there, and the whole prompt is now.
	Learn(now time.Time, m *directory.Member, blocks []engine.Block, cached int)
}
