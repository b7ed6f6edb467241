package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/work"
)

const (
	// exhaustive is the number of members up to which all are candidates.
	exhaustive = 32
	// ranked is how many winners of rendezvous hashing are candidates per prefix.
	ranked = 2
	// draws is how many members are drawn at random, by twos from the entry's
	// own failure domain and from all.
	draws = 4
	// affinity is the part of the prefill of a shared prefix by which a winner
	// of rendezvous hashing is favoured while no hint tells where the prefix is.
	affinity = 0.05
)

// prefixes lists, in blocks, the lengths of prefix by which candidates are
// ranked.
var prefixes = [...]int{1, 8, 64}

var decisions = metrics.NewCounter("jacinthplank_placement_decisions_total")

// Placer is the policy of this daemon.
type Placer struct {
	hints *hints
}

// NewPlacer returns a placer that knows of no cached prefix.
func NewPlacer() *Placer { return &Placer{hints: &hints{}} }

// Learn implements Policy.
func (p *Placer) Learn(now time.Time, m *directory.Member, blocks []engine.Block, cached int) {
	steps(len(blocks), func(n int) bool {
		if n*engine.BlockTokens <= cached {
			return false
		}
		p.hints.drop(blocks[n-1], m)
		return true
	})
	p.hints.learn(now, m, blocks)
}

// Choose implements Policy. It allocates nothing.
func (p *Placer) Choose(q *Query, members []*directory.Member) (Choice, bool) {
	decisions.Inc()
	var c candidates
	c.collect(q, members)

	var best Choice
	for _, m := range c.list[:c.n] {
		choice := p.judge(q, m, c.favoured(m))
		if best.Member == nil || choice.Cost < best.Cost {
			best = choice
		}
	}
	return best, best.Member != nil
}

// judge estimates the time to the first token on m. favoured is the number of
// prefix tokens for which m won the rendezvous.
func (p *Placer) judge(q *Query, m *directory.Member, favoured int) Choice {
	cached := min(p.hints.cached(q.Now, m, q.Blocks), q.Tokens)
	prefill := PrefillTime(m, cached, q.Tokens)
	long := prefill >= work.LongTime
	wait := ExpectedWait(q.Now, m, long)
	cost := q.distance(m) + wait + prefill
	if !long {
		cost += Interference(m) + spread(q, m) + foreign(q, m)
	}
	if cached == 0 {
		cost -= time.Duration(affinity * float64(PrefillTime(m, 0, min(favoured, q.Tokens))))
	}
	return Choice{Member: m, Wait: wait, Cost: cost, Cached: cached, Long: long}
}

// spreadDelay is the largest random delay that is added to a short request's
// cost, so that entries with reports of equal age don't all choose the same
// idle endpoint.
const spreadDelay = 10 * time.Millisecond

// spread returns the random part of the cost of m.
func spread(q *Query, m *directory.Member) time.Duration {
	return time.Duration(mix(q.Random^m.Hash) % uint64(spreadDelay))
}

// foreignDelay is added to the cost of a short request in another failure
// domain than the entry's: entries know best what their own domain's endpoints
// do at the moment, as they send most of their work.
const foreignDelay = 50 * time.Millisecond

func foreign(q *Query, m *directory.Member) time.Duration {
	if m.FailureDomain == q.Domain {
		return 0
	}
	return foreignDelay
}
