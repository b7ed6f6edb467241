package blame

import (
	"maps"
	"time"
)

// blameRetried blames the requests whose retries ended enough endpoints, those with the most
// first. A sound request that was cut together with the cause may have been retried where
// that one was: of requests with equally many ends none is blamed.
func (s *Store) blameRetried(explained map[*end]bool, blamed map[Key]bool, now time.Time) {
	explained = maps.Clone(explained)
	for {
		key, c, isUnique := s.mostRetried(explained, blamed)
		if c.occasions < judgeAfter || !isUnique {
			return
		}
		blamed[key] = true
		until := c.last.Add(blameTimeOf(c, s.records[key].isProven()))
		s.set(Verdict{Key: key, Ends: c.occasions, LastEnd: c.last, Until: until, byRetries: true}, now)
		s.explain(key, explained)
	}
}

// mostRetried returns the request whose retries ended the most endpoints, and whether no other
// request has as many.
func (s *Store) mostRetried(explained map[*end]bool, blamed map[Key]bool) (best Key, most count, isUnique bool) {
	for k, r := range s.records {
		if !k.isRequest() || blamed[k] || len(r.ends) < max(judgeAfter, most.occasions) {
			continue
		}
		c := s.countRetries(k, explained)
		switch {
		case c.occasions < max(judgeAfter, most.occasions) || !s.isBeyondChance(c, explained):
		case c.occasions == most.occasions:
			isUnique = false
		default:
			best, most, isUnique = k, c, true
		}
	}
	return best, most, isUnique
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
