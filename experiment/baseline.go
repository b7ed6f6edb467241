package experiment

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/placement"
)

// Names of the policies that an experiment compares.
const (
	PolicyCurrent          = "current"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyPrefixAffinity   = "prefix-affinity"
)

// Policies lists all policies, the current one first.
var Policies = []string{PolicyCurrent, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPrefixAffinity}

// newPolicy returns a policy by name; nil stands for the router's own.
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

// usable reports whether a baseline may choose m.
func usable(q *placement.Query, m *directory.Member) bool {
	return !m.Leaving() && q.Tokens+q.Output <= m.MaxPrompt && !q.Blocked(m)
}

func tried(q *placement.Query, m *directory.Member) bool {
	for _, name := range q.Avoid {
		if name == m.Name {
			return true
		}
	}
	return false
}

// noLearning is what baselines without a view of caches do with answers.
type noLearning struct{}

// Learn implements placement.Policy.
func (noLearning) Learn(time.Time, *directory.Member, []engine.Block, int) {}

// roundRobin takes the members in turn.
type roundRobin struct {
	noLearning
	next atomic.Uint64
}

// Choose implements placement.Policy.
func (p *roundRobin) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	for range members {
		m := members[p.next.Add(1)%uint64(len(members))]
		if usable(q, m) && !tried(q, m) {
			return placement.Choice{Member: m}, true
		}
	}
	return placement.Choice{}, false
}

// leastOutstanding takes the member with the fewest attempts running, by its
// newest report and what was sent since.
type leastOutstanding struct {
	noLearning
	mu   sync.Mutex
	sent map[string]sentSince
}

type sentSince struct {
	report *directory.Report
	count  int
}

// Choose implements placement.Policy.
func (p *leastOutstanding) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil {
		p.sent = map[string]sentSince{}
	}
	var best *directory.Member
	least := 0
	for _, m := range members {
		if !usable(q, m) || tried(q, m) {
			continue
		}
		load := m.Report().Running
		if s := p.sent[m.Name]; s.report == m.Report() {
			load += s.count
		}
		if best == nil || load < least {
			best, least = m, load
		}
	}
	if best == nil {
		return placement.Choice{}, false
	}
	s := p.sent[best.Name]
	if s.report != best.Report() {
		s = sentSince{report: best.Report()}
	}
	s.count++
	p.sent[best.Name] = s
	return placement.Choice{Member: best}, true
}

// prefixAffinity takes the winner of rendezvous hashing on the prompt's first
// blocks.
type prefixAffinity struct{ noLearning }

// affinityBlocks is the length of the prefix that prefixAffinity looks at.
const affinityBlocks = 8

// Choose implements placement.Policy.
func (prefixAffinity) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	key := q.Key
	if n := min(len(q.Blocks), affinityBlocks); n > 0 {
		key = uint64(q.Blocks[n-1])
	}
	var best *directory.Member
	var highest uint64
	for _, m := range members {
		if !usable(q, m) || tried(q, m) {
			continue
		}
		score := uint64(blockHash(key, m.Hash, 0))
		if best == nil || score > highest {
			best, highest = m, score
		}
	}
	return placement.Choice{Member: best}, best != nil
}
