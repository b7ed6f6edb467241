package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/work"
)

const (
	// exhaustiveLimit is the number of members up to which every usable member
	// is a candidate.
	exhaustiveLimit = 32
	// winnersPerPrefix is how many winners of rendezvous hashing are candidates,
	// for each ranked prefix.
	winnersPerPrefix = 2
	// randomDraws is how many members are drawn at random: half of them from the
	// entry's own failure domain, half from the whole fleet.
	randomDraws = 4
	// affinityDiscount is the fraction of the prefill time of a shared prefix
	// that is deducted from the cost of a winner of rendezvous hashing, while
	// there is no hint for the prefix on that member.
	affinityDiscount = 0.05
)

// prefixLengths lists the prefix lengths, in blocks, by which candidates are
// ranked.
var prefixLengths = [...]int{1, 8, 64}

var decisions = metrics.NewCounter("jacinthplank_placement_decisions_total")

// Placer is the default Policy: it minimizes the expected time to the first
// token.
type Placer struct {
	hints *hints
}

// NewPlacer returns a Placer without cache hints.
func NewPlacer() *Placer { return &Placer{hints: &hints{}} }

// Learn implements Policy.
func (p *Placer) Learn(now time.Time, m *directory.Member, blocks []engine.Block, cached int) {
	forEachHintLength(len(blocks), func(n int) bool {
		if n*engine.BlockTokens <= cached {
			return false
		}
		p.hints.drop(blocks[n-1], m)
		return true
	})
	p.hints.record(now, m, blocks)
}

// Choose implements Policy. It does not allocate.
func (p *Placer) Choose(q *Query, members []*directory.Member) (Choice, bool) {
	decisions.Inc()
	var c candidates
	c.collect(q, members)

	var best Choice
	for _, m := range c.list[:c.n] {
		choice := p.estimate(q, m, c.affinityTokens(m))
		if best.Member == nil || choice.Cost < best.Cost {
			best = choice
		}
	}
	return best, best.Member != nil
}

// estimate returns m with its expected wait and time to the first token.
// affinityTokens is the length of the longest prefix for which m won the
// rendezvous hashing.
func (p *Placer) estimate(q *Query, m *directory.Member, affinityTokens int) Choice {
	cached := min(p.hints.cachedTokens(q.Now, m, q.Blocks), q.Tokens)
	prefill := PrefillTime(m, cached, q.Tokens)
	long := prefill >= work.LongPrefillThreshold
	wait := ExpectedWait(q.Now, m, long)
	cost := q.distance(m) + wait + prefill
	if !long {
		cost += Interference(m) + costJitter(q, m) + remotePenalty(q, m)
	}
	if cached == 0 {
		cost -= time.Duration(affinityDiscount * float64(PrefillTime(m, 0, min(affinityTokens, q.Tokens))))
	}
	return Choice{Member: m, Wait: wait, Cost: cost, Cached: cached, Long: long}
}

// maxCostJitter is the maximum random delay that is added to the cost of a short
// request, so that entries with reports of equal age don't all choose the same
// idle endpoint.
const maxCostJitter = 10 * time.Millisecond

// costJitter returns the random part of the cost of q on m.
func costJitter(q *Query, m *directory.Member) time.Duration {
	return time.Duration(mix(q.Random^m.Hash) % uint64(maxCostJitter))
}

// remoteDomainPenalty is added to the cost of a short request outside the entry's
// failure domain: an entry has the most current view of the endpoints in its own
// domain, as entries send those most of their work.
const remoteDomainPenalty = 50 * time.Millisecond

func remotePenalty(q *Query, m *directory.Member) time.Duration {
	if m.FailureDomain == q.Domain {
		return 0
	}
	return remoteDomainPenalty
}
