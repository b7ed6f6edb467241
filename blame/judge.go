package blame

import (
	"cmp"
	"time"
)

// judge brings the verdicts up to date with the ends, unless another entry judges for this
// one. The caller holds the lock.
//
// Of the keys under which endpoints ended on enough occasions, the one with the most is
// blamed first and explains its ends, which no longer count against the others: sound
// requests that were on the same endpoints are cleared by that.
//
// Keys that have never been answered come before those that have: a part that most
// requests have is at every end, too, and may find no endpoint that lasts to clear it.
//
// While many endpoints end, sound requests are cut on several of them by chance. The
// occasions of a key must be more than that, see isBeyondChance.
//
// A request may be blamed for what its retries end on one occasion, see countRetries. That says
// nothing of the parts that it shares with others: those are still suspected of these ends.
func (s *Store) judge(now time.Time) {
	if !s.toldAt.IsZero() && now.Sub(s.toldAt) < toldLifetime {
		return
	}
	explained := s.explainedElsewhere(now)
	blamed := map[Key]bool{}
	candidates := s.candidates()
	for _, isProven := range []bool{false, true} {
		for {
			key, c := s.mostSuspect(candidates, isProven, explained, blamed)
			if c.occasions < judgeAfter {
				break
			}
			blamed[key] = true
			s.set(Verdict{Key: key, Ends: c.occasions, LastEnd: c.last, Until: c.last.Add(blameTimeOf(c, isProven))}, now)
			s.explain(key, explained)
		}
	}
	s.blameRetried(explained, blamed, now)
	for k, v := range s.verdicts {
		if !blamed[k] && (v.Until.IsZero() || v.byRetries || s.hasEvidence(k)) {
			s.drop(v, now) // its ends have another cause
		}
	}
	s.watch(candidates, explained, blamed, now)
	s.limitVerdicts(now)
}

// explainedElsewhere returns the ends under keys that another entry has blamed, with ends
// that this one doesn't know.
func (s *Store) explainedElsewhere(now time.Time) map[*end]bool {
	explained := map[*end]bool{}
	for k, v := range s.verdicts {
		if s.records[k] != nil && v.blames(now) && !v.byRetries && !s.hasEvidence(k) {
			s.explain(k, explained)
		}
	}
	return explained
}

func (s *Store) explain(k Key, explained map[*end]bool) {
	r := s.records[k]
	for _, e := range r.ends {
		if e.at.After(r.survivedAt) {
			explained[e] = true
		}
	}
}

// candidates returns the keys that may be watched or blamed.
func (s *Store) candidates() []Key {
	var out []Key
	for k, r := range s.records {
		if len(r.ends) >= watchAfter && r.count(nil).occasions >= watchAfter {
			out = append(out, k)
		}
	}
	return out
}

// blameTimeOf returns for how long after the last end a key is blamed.
func blameTimeOf(c count, isProven bool) time.Duration {
	if !isProven {
		return blameTime
	}
	return min(provenTime<<min(c.occasions-judgeAfter, maxDoublings), blameTime)
}

const maxDoublings = 6 // of provenTime, beyond which blameTime is shorter

// mostSuspect returns the key with the most occasions that nothing explains, of those
// whose occasions are not by chance. It looks at keys that have been answered, or at the
// others.
func (s *Store) mostSuspect(candidates []Key, isProven bool, explained map[*end]bool, blamed map[Key]bool) (best Key, most count) {
	for _, k := range candidates {
		if blamed[k] || s.records[k].isProven() != isProven {
			continue
		}
		c := s.records[k].count(explained)
		if c.occasions < max(judgeAfter, most.occasions) || (c.occasions == most.occasions && compareKeys(k, best) > 0) {
			continue
		}
		if s.isBeyondChance(c, explained) {
			best, most = k, c
		}
	}
	return best, most
}

// compareKeys orders keys with the same ends: whole requests come before the parts that
// they share with others.
func compareKeys(a, b Key) int {
	if a.isRequest() != b.isRequest() {
		if a.isRequest() {
			return -1
		}
		return 1
	}
	return cmp.Compare(a, b)
}

// chanceFactor is the least ratio between the square of a key's occasions and all
// occasions in its time. Two causes that end equally many endpoints are told from chance
// after four ends each, one alone after judgeAfter.
const chanceFactor = 2

// isBeyondChance reports whether a key explains enough of what ended in its time.
func (s *Store) isBeyondChance(c count, explained map[*end]bool) bool {
	all := countOccasions(s.ends, func(e *end) bool {
		return !explained[e] && !e.at.Before(c.first) && !e.at.After(c.last)
	})
	return c.occasions*c.occasions >= chanceFactor*all.occasions
}

// count is a number of occasions and the time of the first and last end.
type count struct {
	occasions   int
	first, last time.Time
}

func countOccasions(ends []*end, counts func(*end) bool) count {
	var c count
	var occasion time.Time // its first end
	for _, e := range ends {
		if !counts(e) {
			continue
		}
		if c.occasions == 0 {
			c.first = e.at
		}
		if c.occasions == 0 || e.at.Sub(occasion) > occasionGap {
			c.occasions++
			occasion = e.at
		}
		c.last = e.at
	}
	return c
}

// count returns on how many occasions endpoints have ended under a key since a request
// with it was answered, without those that are explained.
func (r *record) count(explained map[*end]bool) count {
	return countOccasions(r.ends, func(e *end) bool { return e.at.After(r.survivedAt) && !explained[e] })
}

// hasEvidence reports whether enough ends are known to blame a key, explained or not.
func (s *Store) hasEvidence(k Key) bool {
	r := s.records[k]
	return r != nil && (r.count(nil).occasions >= judgeAfter || s.countRetries(k, nil).occasions >= judgeAfter)
}

// watch adds the keys that may be blamed next, so that other entries tell when a request
// with one of them is answered.
func (s *Store) watch(candidates []Key, explained map[*end]bool, blamed map[Key]bool, now time.Time) {
	watched := 0
	for _, k := range candidates {
		if watched >= maxWatched {
			return
		}
		if blamed[k] || s.verdicts[k].blames(now) {
			continue
		}
		if c := s.records[k].count(explained); c.occasions >= watchAfter {
			s.set(Verdict{Key: k, Ends: c.occasions, LastEnd: c.last}, now)
			watched++
		}
	}
}

// limitVerdicts drops the verdicts beyond maxVerdicts, and those that have expired
// together with the ends that they rest on.
func (s *Store) limitVerdicts(now time.Time) {
	for i, v := range s.sortedVerdicts(now) {
		if i >= maxVerdicts || now.Sub(v.LastEnd) > endRetention {
			s.drop(v, now)
		}
	}
}
