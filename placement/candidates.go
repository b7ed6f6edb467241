package placement

import (
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
)

const maxCandidates = exhaustive + 2*len(prefixes)*ranked + draws

// candidates is a bounded set of members that are worth a closer look.
type candidates struct {
	list    [maxCandidates]*directory.Member
	n       int
	own     [len(prefixes)]top // in the entry's failure domain
	foreign [len(prefixes)]top // in the others
	avoided *directory.Member  // tried before; used only when there is no other
}

// top holds the two members with the highest scores for one prefix.
type top struct {
	member [ranked]*directory.Member
	score  [ranked]uint64
}

func (t *top) offer(m *directory.Member, score uint64) {
	if t.member[0] == nil || score > t.score[0] {
		t.member[1], t.score[1] = t.member[0], t.score[0]
		t.member[0], t.score[0] = m, score
		return
	}
	if t.member[1] == nil || score > t.score[1] {
		t.member[1], t.score[1] = m, score
	}
}

// collect fills c from members.
func (c *candidates) collect(q *Query, members []*directory.Member) {
	keys, levels := prefixKeys(q)
	all := len(members) <= exhaustive
	for _, m := range members {
		if !q.usable(m) {
			continue
		}
		if q.avoided(m) {
			c.avoided = m
			continue
		}
		winners := &c.foreign
		if m.FailureDomain == q.Domain {
			winners = &c.own
		}
		for level := range levels {
			winners[level].offer(m, mix(keys[level]^m.Hash))
		}
		if all {
			c.add(m)
		}
	}
	if !all {
		c.addWinners(c.own[:levels])
		c.addWinners(c.foreign[:levels])
		c.draw(q, members)
	}
	if c.n == 0 && c.avoided != nil {
		c.add(c.avoided)
	}
}

// prefixKeys returns the hashes of the prefixes by which members are ranked.
func prefixKeys(q *Query) (keys [len(prefixes)]uint64, levels int) {
	for _, length := range prefixes {
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

func (c *candidates) addWinners(winners []top) {
	for _, t := range winners {
		for _, m := range t.member {
			if m != nil {
				c.add(m)
			}
		}
	}
}

// draw adds members at random: first from the entry's own failure domain.
func (c *candidates) draw(q *Query, members []*directory.Member) {
	const attempts = 8 // looks per draw for a usable member
	random := q.Random
	for i := range draws {
		own := i < draws/2
		for range attempts {
			random = mix(random + 0x9e3779b97f4a7c15)
			m := members[random%uint64(len(members))]
			if own && m.FailureDomain != q.Domain {
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
	for _, have := range c.list[:c.n] {
		if have == m {
			return
		}
	}
	if c.n < len(c.list) {
		c.list[c.n] = m
		c.n++
	}
}

// favoured returns the length, in tokens, of the longest ranked prefix for
// which m has the highest score in its part of the fleet.
func (c *candidates) favoured(m *directory.Member) int {
	for level := len(prefixes) - 1; level >= 0; level-- {
		if c.own[level].member[0] == m || c.foreign[level].member[0] == m {
			return prefixes[level] * engine.BlockTokens
		}
	}
	return 0
}
