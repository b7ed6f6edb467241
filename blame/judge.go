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
func (s *Store) judge(now time.Time) {
	if !s.toldAt.IsZero() && now.Sub(s.toldAt) < toldLifetime {
		return
	}
	explained := s.explainedElsewhere(now)
	blamed := map[Key]bool{}
	candidates := s.candidates()
	for {
		key, occasions, lastEnd := s.mostSuspect(candidates, explained, blamed)
		if occasions < judgeAfter {
			break
		}
		blamed[key] = true
		s.set(Verdict{Key: key, Ends: occasions, LastEnd: lastEnd, Until: lastEnd.Add(blameTime)}, now)
		s.explain(key, explained)
	}
	for k, v := range s.verdicts {
		if blamed[k] {
			continue
		}
		if r := s.records[k]; v.Until.IsZero() || (r != nil && r.hasEvidence()) {
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
		if r := s.records[k]; v.blames(now) && r != nil && !r.hasEvidence() {
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
		if len(r.ends) < watchAfter {
			continue
		}
		if n, _ := r.countOccasions(nil); n >= watchAfter {
			out = append(out, k)
		}
	}
	return out
}

// mostSuspect returns the key with the most occasions that nothing explains.
func (s *Store) mostSuspect(candidates []Key, explained map[*end]bool, blamed map[Key]bool) (best Key, occasions int, lastEnd time.Time) {
	for _, k := range candidates {
		if blamed[k] {
			continue
		}
		n, last := s.records[k].countOccasions(explained)
		if n > occasions || (n == occasions && n > 0 && compareKeys(k, best) < 0) {
			best, occasions, lastEnd = k, n, last
		}
	}
	return best, occasions, lastEnd
}

// compareKeys orders keys with the same ends.
func compareKeys(a, b Key) int { return cmp.Compare(a, b) }

// countOccasions returns on how many occasions endpoints have ended under a key since a
// request with it was answered, without those that are explained, and the last end of these.
func (r *record) countOccasions(explained map[*end]bool) (n int, lastEnd time.Time) {
	var occasion time.Time // its first end
	for _, e := range r.ends {
		if !e.at.After(r.survivedAt) || explained[e] {
			continue
		}
		if n == 0 || e.at.Sub(occasion) > occasionGap {
			n++
			occasion = e.at
		}
		lastEnd = e.at
	}
	return n, lastEnd
}

// hasEvidence reports whether enough ends are known to blame a key, explained or not.
func (r *record) hasEvidence() bool {
	n, _ := r.countOccasions(nil)
	return n >= judgeAfter
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
		if n, lastEnd := s.records[k].countOccasions(explained); n >= watchAfter {
			s.set(Verdict{Key: k, Ends: n, LastEnd: lastEnd}, now)
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
