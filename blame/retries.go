package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// retried is a request with what its retries ended.
type retried struct {
	key Key
	count
}

// blameRetried blames the requests whose retries ended enough endpoints, those with the most
// first. A sound request that was cut together with the cause may have been retried where
// that one was: of requests with equally many ends, some of them the same, none is blamed.
func (s *Store) blameRetried(explained map[*end]bool, blamed map[Key]bool, now time.Time) {
	explained, settled := maps.Clone(explained), maps.Clone(blamed)
	for {
		most := s.mostRetried(explained, settled)
		if len(most) == 0 {
			return
		}
		for _, r := range most {
			settled[r.key] = true
			if slices.ContainsFunc(most, func(o retried) bool { return o.key != r.key && s.shareEnds(r.key, o.key, explained) }) {
				continue
			}
			blamed[r.key] = true
			until := r.last.Add(blameTimeOf(r.count, s.records[r.key].isProven()))
			s.set(Verdict{Key: r.key, Ends: r.occasions, LastEnd: r.last, Until: until, byRetries: true}, now)
		}
		for _, r := range most {
			s.explain(r.key, explained) // also where it is not known which of them it was
		}
	}
}

// mostRetried returns the requests whose retries ended the most endpoints, but enough, in order
// of their keys.
func (s *Store) mostRetried(explained map[*end]bool, settled map[Key]bool) []retried {
	var most []retried
	enough := judgeAfter
	for k, r := range s.records {
		if !k.isRequest() || settled[k] || len(r.ends) < enough {
			continue
		}
		c := s.countRetries(k, explained)
		if c.occasions < enough || !s.isBeyondChance(c, explained) {
			continue
		}
		if c.occasions > enough {
			most, enough = nil, c.occasions
		}
		most = append(most, retried{key: k, count: c})
	}
	slices.SortFunc(most, func(a, b retried) int { return cmp.Compare(a.key, b.key) })
	return most
}

// shareEnds reports whether two keys are suspected of the same end, which nothing explains.
func (s *Store) shareEnds(a, b Key, explained map[*end]bool) bool {
	r := s.records[a]
	return slices.ContainsFunc(r.ends, func(e *end) bool {
		_, isSuspect := e.suspects[b]
		return isSuspect && !explained[e] && e.at.After(r.survivedAt) && e.at.After(s.records[b].survivedAt)
	})
}

// countRetries returns how many ends under a request are evidence against it: one for each
// occasion, and one for each retry on it. An attempt is a retry if it was sent after the end that
// was counted last: what cuts several attempts at once has found all of them under way. The
// retries of an occasion don't count if other endpoints ended without the request then, as one
// that is lost with a failure domain may be retried at endpoints that are about to be lost.
func (s *Store) countRetries(k Key, explained map[*end]bool) count {
	r := s.records[k]
	var c count
	var occasion time.Time // its first end
	for _, e := range r.ends {
		if !e.at.After(r.survivedAt) || explained[e] {
			continue
		}
		switch {
		case c.occasions == 0:
			c.first = e.at
			fallthrough
		case e.at.Sub(occasion) > occasionGap:
			occasion = e.at
		case e.suspects[k].Before(c.last) || !s.explainsAll(k, occasion, e.at, explained):
			continue
		}
		c.occasions++
		c.last = e.at
	}
	return c
}

// explainsAll reports whether a key is suspected of all ends around an occasion.
func (s *Store) explainsAll(k Key, first, last time.Time, explained map[*end]bool) bool {
	for _, e := range s.ends {
		isNear := !e.at.Before(first.Add(-occasionGap)) && !e.at.After(last.Add(occasionGap))
		if _, isSuspect := e.suspects[k]; isNear && !isSuspect && !explained[e] {
			return false
		}
	}
	return true
}
