// Package placement chooses the endpoint for a request. It does no I/O: time,
// randomness and the members are arguments.
//
// Candidates come from rendezvous hashing on the prompt's prefix blocks, so that
// all entries send equal prefixes to the same endpoints without coordination, and
// from a few randomly drawn members. The candidate with the shortest expected
// time to the first token wins.
package placement

import (
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Query describes one request to a policy.
type Query struct {
	Now      time.Time
	Adapter  string // adapter that the endpoint must serve; empty for none
	Class    submit.Class
	Tokens   int            // prompt tokens
	Output   int            // maximum tokens of the answer; they take memory too
	Blocks   []engine.Block // prefix blocks of the prompt
	Key      uint64         // ranks members when the prompt has no full block
	Random   uint64         // random bits, new for each query
	Domain   string         // failure domain of the entry
	Distance func(domain string) time.Duration
	Avoid    []string                     // endpoints on which the request has already been tried
	Blocked  func(*directory.Member) bool // reports endpoints that take no request now; may be nil
}

// usable reports whether m can take the request.
func (q *Query) usable(m *directory.Member) bool {
	if m.Leaving() || (m.MaxPrompt > 0 && q.Tokens+q.Output > m.MaxPrompt) {
		return false
	}
	if q.Adapter != "" && !contains(m.Adapters, q.Adapter) {
		return false
	}
	return q.Blocked == nil || !q.Blocked(m)
}

// avoided reports whether the request has already been tried on m.
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

// Choice is the endpoint chosen for a request, with the estimates behind it.
type Choice struct {
	Member *directory.Member
	Wait   time.Duration // expected wait before prefill
	Cost   time.Duration // expected time to the first token
	Cached int           // prompt tokens expected in the endpoint's prefix cache
	Long   bool          // the endpoint will prefill in chunks, queued after other long work
}

// Policy chooses endpoints. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the endpoint for q, and false when no member is usable.
	Choose(q *Query, members []*directory.Member) (Choice, bool)
	// Learn updates the view of the prefix cache of m after an answer: cached
	// tokens of the prompt were found in it, and it holds the whole prompt now.
	Learn(now time.Time, m *directory.Member, blocks []engine.Block, cached int)
}
