package experiment

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/placement"
)

// Names of the placement policies that an experiment compares.
const (
	PolicyCurrent          = "current"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyPrefixAffinity   = "prefix-affinity"
)

// Policies lists all policies, the production policy first.
var Policies = []string{PolicyCurrent, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPrefixAffinity}

// newPolicy returns the policy with the given name, or nil to use the router's
// default policy.
func newPolicy(name string) placement.Policy {
	switch name {
	case PolicyRoundRobin:
		return &roundRobin{}
	case PolicyLeastOutstanding:
		return &leastOutstanding{}
	case PolicyPrefixAffinity:
		return prefixAffinity{}
	default:
		return nil
	}
}

// eligible reports whether a baseline policy may choose m.
func eligible(q *placement.Query, m *directory.Member) bool {
	return !m.Leaving() && q.Tokens+q.Output <= m.MaxPrompt && !q.Blocked(m)
}

func alreadyTried(q *placement.Query, m *directory.Member) bool {
	for _, name := range q.Avoid {
		if name == m.Name {
			return true
		}
	}
	return false
}

// noLearning is embedded by baseline policies that do not track prefix caches.
type noLearning struct{}

// Learn implements placement.Policy.
func (noLearning) Learn(time.Time, *directory.Member, []engine.Block, int) {}

// roundRobin chooses the members in rotation.
type roundRobin struct {
	noLearning
	next atomic.Uint64
}

// Choose implements placement.Policy.
func (p *roundRobin) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	for range members {
		m := members[p.next.Add(1)%uint64(len(members))]
		if eligible(q, m) && !alreadyTried(q, m) {
			return placement.Choice{Member: m}, true
		}
	}
	return placement.Choice{}, false
}

// leastOutstanding chooses the member with the fewest running attempts: those in
// its latest report plus those sent since that report.
type leastOutstanding struct {
	noLearning
	mu   sync.Mutex
	sent map[string]sentSinceReport
}

type sentSinceReport struct {
	report *directory.Report
	count  int
}

// Choose implements placement.Policy.
func (p *leastOutstanding) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil {
		p.sent = map[string]sentSinceReport{}
	}
	var best *directory.Member
	minLoad := 0
	for _, m := range members {
		if !eligible(q, m) || alreadyTried(q, m) {
			continue
		}
		load := m.Report().Running
		if s := p.sent[m.Name]; s.report == m.Report() {
			load += s.count
		}
		if best == nil || load < minLoad {
			best, minLoad = m, load
		}
	}
	if best == nil {
		return placement.Choice{}, false
	}
	s := p.sent[best.Name]
	if s.report != best.Report() {
		s = sentSinceReport{report: best.Report()}
	}
	s.count++
	p.sent[best.Name] = s
	return placement.Choice{Member: best}, true
}

// prefixAffinity chooses a member by rendezvous hashing of the prompt's first
// blocks.
type prefixAffinity struct{ noLearning }

// affinityBlocks is the length of the prefix that prefixAffinity hashes, in blocks.
const affinityBlocks = 8

// Choose implements placement.Policy.
func (prefixAffinity) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	key := q.Key
	if n := min(len(q.Blocks), affinityBlocks); n > 0 {
		key = uint64(q.Blocks[n-1])
	}
	var best *directory.Member
	var bestScore uint64
	for _, m := range members {
		if !eligible(q, m) || alreadyTried(q, m) {
			continue
		}
		score := uint64(blockHash(key, m.Hash, 0))
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return placement.Choice{Member: best}, best != nil
}
