package blame

import "time"

// Saved is what a store knows, to be kept over a restart of its process.
type Saved struct {
	At     time.Time `json:"at"` // time of day
	Report Report    `json:"report"`
}

// Version increases with each change of what Save returns, other than the passing of time.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Save returns what the store knows.
func (s *Store) Save(now time.Time) Saved {
	return Saved{At: now.Round(0), Report: s.Report(now)} // without the steady clock, which a restart resets
}

// Restore adds what an earlier process has saved. The time of day may have been set back
// since; then no time has passed.
func (s *Store) Restore(saved Saved, now time.Time) {
	r := saved.Report
	r.agedAt = saved.At.Round(0)
	passed := max(now.Round(0).Sub(r.agedAt), 0)
	r.Refresh(r.agedAt.Add(passed))
	kept := r.Verdicts[:0]
	for _, v := range r.Verdicts {
		v.Age += passed
		if v.Left -= passed; v.Left > 0 {
			kept = append(kept, v)
		}
	}
	r.Verdicts = kept[:min(len(kept), maxVerdicts)]
	s.Merge(&r, now)
}
