package placement

import (
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
)

const maxCandidates = exhaustiveLimit + 2*len(prefixLengths)*winnersPerPrefix + randomDraws

// candidates is a bounded set of members whose cost is estimated.
type candidates struct {
	list     [maxCandidates]*directory.Member
	n        int
	local    [len(prefixLengths)]topRanked // highest ranked in the entry's failure domain
	remote   [len(prefixLengths)]topRanked // highest ranked in all other failure domains
	fallback *directory.Member             // tried already; used only when there is no other candidate
}

// topRanked holds the two members with the highest rendezvous scores for one
// prefix.
type topRanked struct {
	member [winnersPerPrefix]*directory.Member
	score  [winnersPerPrefix]uint64
}

func (t *topRanked) offer(m *directory.Member, score uint64) {
	if t.member[0] == nil || score > t.score[0] {
		t.member[1], t.score[1] = t.member[0], t.score[0]
		t.member[0], t.score[0] = m, score
		return
	}
	if t.member[1] == nil || score > t.score[1] {
		t.member[1], t.score[1] = m, score
	}
}

// collect selects the candidates among members.
func (c *candidates) collect(q *Query, members []*directory.Member) {
	keys, levels := prefixKeys(q)
	includeAll := len(members) <= exhaustiveLimit
	for _, m := range members {
		if !q.usable(m) {
			continue
		}
		if q.avoided(m) {
			c.fallback = m
			continue
		}
		ranking := &c.remote
		if m.FailureDomain == q.Domain {
			ranking = &c.local
		}
		for level := range levels {
			ranking[level].offer(m, mix(keys[level]^m.Hash))
		}
		if includeAll {
			c.add(m)
		}
	}
	if !includeAll {
		c.addTop(c.local[:levels])
		c.addTop(c.remote[:levels])
		c.addRandom(q, members)
	}
	if c.n == 0 && c.fallback != nil {
		c.add(c.fallback)
	}
}

// prefixKeys returns one hash per ranked prefix length that the prompt reaches,
// and their number. A prompt without a full block is ranked by its key.
func prefixKeys(q *Query) (keys [len(prefixLengths)]uint64, levels int) {
	for _, length := range prefixLengths {
		if length > len(q.Blocks) {
			break
		}
		keys[levels] = mix(uint64(q.Blocks[length-1]))
		levels++
	}
	if levels == 0 {
		keys[0] = mix(q.Key)
		levels = 1
	}
	return keys, levels
}

func (c *candidates) addTop(rankings []topRanked) {
	for _, t := range rankings {
		for _, m := range t.member {
			if m != nil {
				c.add(m)
			}
		}
	}
}

// addRandom adds randomly drawn members, the first half of them from the entry's
// own failure domain.
func (c *candidates) addRandom(q *Query, members []*directory.Member) {
	const attempts = 8 // per draw, to find a usable member
	random := q.Random
	for i := range randomDraws {
		localOnly := i < randomDraws/2
		for range attempts {
			random = mix(random + 0x9e3779b97f4a7c15)
			m := members[random%uint64(len(members))]
			if localOnly && m.FailureDomain != q.Domain {
				continue
			}
			if q.usable(m) && !q.avoided(m) {
				c.add(m)
				break
			}
		}
	}
}

func (c *candidates) add(m *directory.Member) {
	for _, existing := range c.list[:c.n] {
		if existing == m {
			return
		}
	}
	if c.n < len(c.list) {
		c.list[c.n] = m
		c.n++
	}
}

// affinityTokens returns the length, in tokens, of the longest ranked prefix for
// which m has the highest score, either in the entry's failure domain or in the
// others.
func (c *candidates) affinityTokens(m *directory.Member) int {
	for level := len(prefixLengths) - 1; level >= 0; level-- {
		if c.local[level].member[0] == m || c.remote[level].member[0] == m {
			return prefixLengths[level] * engine.BlockTokens
		}
	}
	return 0
}
