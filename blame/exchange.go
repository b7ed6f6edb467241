package blame

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/announce"
)

// EndReport is the end of a run of an endpoint, as entries tell each other.
type EndReport struct {
	Endpoint    string        `json:"endpoint"`
	StartedAtMs int64         `json:"born"` // as in announce.Run
	Age         time.Duration `json:"age"`
	Lasted      time.Duration `json:"lasted,omitempty"` // of the request; 0 if unknown
	Suspects    []Key         `json:"suspects"`
}

// sentAt returns when the request was sent to the endpoint that ended at a time.
func (r *EndReport) sentAt(at time.Time) time.Time {
	if r.Lasted <= 0 {
		return time.Time{}
	}
	return at.Add(-r.Lasted)
}

// SurvivalReport is the latest answer to a request with a key.
type SurvivalReport struct {
	Key Key           `json:"key"`
	Age time.Duration `json:"age,omitempty"`
}

// VerdictReport is a verdict, as entries tell each other.
type VerdictReport struct {
	Key  Key           `json:"key"`
	Ends int           `json:"ends"`
	Age  time.Duration `json:"age"`            // of the last end
	Left time.Duration `json:"left,omitempty"` // for which the key is blamed; 0 if it is only watched
}

// Report is what an entry tells the one that judges.
type Report struct {
	Ends      []EndReport      `json:"ends,omitempty"`
	Survivals []SurvivalReport `json:"survivals,omitempty"`
	Verdicts  []VerdictReport  `json:"verdicts,omitempty"` // that it was told by the one that judged before
	Sender    uint64           `json:"sender,omitempty"`   // identifies the store; 0 if the clock is not told
	Clock     time.Duration    `json:"clock,omitempty"`    // steady clock of the sender, at which the ages were taken

	agedAt time.Time // to which the ages are
}

// NewSurvivalReport returns a report of an answer to a request with the keys.
func NewSurvivalReport(keys []Key, now time.Time) Report {
	out := Report{agedAt: now}
	for _, k := range keys {
		out.Survivals = append(out.Survivals, SurvivalReport{Key: k})
	}
	return out
}

// Append adds another report. Either may have been made first.
func (r *Report) Append(o Report) {
	now := later(r.agedAt, o.agedAt)
	r.Refresh(now)
	o.Refresh(now)
	r.Ends = append(r.Ends, o.Ends...)
	r.Survivals = append(r.Survivals, o.Survivals...)
}

// Refresh brings the ages up to date, so that the time for which a report waited to be sent
// doesn't change the order of what several entries report.
func (r *Report) Refresh(now time.Time) {
	waited := now.Sub(r.agedAt)
	if !r.agedAt.IsZero() && waited > 0 {
		for i := range r.Ends {
			r.Ends[i].Age += waited
		}
		for i := range r.Survivals {
			r.Survivals[i].Age += waited
		}
	}
	r.agedAt = now
}

// IsEmpty reports whether there is nothing to tell.
func (r *Report) IsEmpty() bool { return len(r.Ends)+len(r.Survivals)+len(r.Verdicts) == 0 }

// Verdicts are all verdicts of the entry that judges.
type Verdicts struct {
	Judge  uint64          `json:"judge"` // identifies its store, which is lost when it restarts
	Digest uint64          `json:"digest"`
	All    []VerdictReport `json:"all,omitempty"`
}

// Report returns all that this entry knows, for one that begins to judge.
func (s *Store) Report(now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Report{agedAt: now}
	for _, e := range s.ends {
		out.Ends = append(out.Ends, e.reports(now)...)
	}
	for k, r := range s.records {
		if !r.survivedAt.IsZero() {
			out.Survivals = append(out.Survivals, SurvivalReport{Key: k, Age: now.Sub(r.survivedAt)})
		}
	}
	for _, v := range s.verdicts {
		if v.blames(now) {
			out.Verdicts = append(out.Verdicts, newVerdictReport(v, now))
		}
	}
	return out
}

// reports returns the end as entries tell each other, with the keys of one time of sending each.
func (e *end) reports(now time.Time) []EndReport {
	keys := map[time.Time][]Key{}
	for k, sentAt := range e.suspects {
		keys[sentAt] = append(keys[sentAt], k)
	}
	var out []EndReport
	for sentAt, suspects := range keys {
		report := EndReport{Endpoint: e.run.ID, StartedAtMs: e.run.StartedAtMs, Age: now.Sub(e.at), Suspects: suspects}
		if !sentAt.IsZero() {
			report.Lasted = max(e.at.Sub(sentAt), 1) // the end may have been told by another entry, earlier
		}
		out = append(out, report)
	}
	return out
}

// Merge adds what another entry tells the one that judges. A report that tells nothing is
// merged as well, see Stamp.
func (s *Store) Merge(r *Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sentAt := s.sentAt(r, now)
	if r.IsEmpty() {
		return
	}
	for _, e := range r.Ends {
		at := sentAt.Add(-e.Age)
		s.addEnd(announce.Run{ID: e.Endpoint, StartedAtMs: e.StartedAtMs}, e.Suspects, e.sentAt(at), at, now)
	}
	for _, report := range r.Verdicts {
		v := report.verdict(now)
		if record := s.records[v.Key]; record != nil && record.survivedAt.After(v.LastEnd) {
			continue
		}
		if v.blames(now) && !s.verdicts[v.Key].blames(now) {
			s.set(v, now)
		}
	}
	for _, survival := range r.Survivals {
		s.survive(survival.Key, sentAt.Add(-max(survival.Age, 0)))
	}
	s.judge(now)
}

// Tell returns the verdicts of this entry for one that has those with a digest; nil if
// they are the same.
func (s *Store) Tell(known uint64, now time.Time) *Verdicts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &Verdicts{Judge: s.id}
	digest := xxhash.NewWithSeed(s.id)
	for _, v := range s.sortedVerdicts(now) {
		report := newVerdictReport(v, now)
		out.All = append(out.All, report)
		_, _ = digest.WriteString(string(v.Key) + " " + strconv.Itoa(v.Ends) + strconv.FormatBool(report.Left > 0) + "\n") // never fails
	}
	if out.Digest = digest.Sum64(); out.Digest == known {
		return nil
	}
	return out
}

// Digest returns the digest of the verdicts that this entry was told.
func (s *Store) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Follow replaces the verdicts by those of the entry that judges; nil for no change.
// hasReported is set if that was told all that is known here. If it was not, and is another
// one than before, its verdicts are only added and Follow reports true: it has to be told.
func (s *Store) Follow(told *Verdicts, hasReported bool, now time.Time) (mustReport bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toldAt = now
	if told == nil {
		return false
	}
	isNew := told.Judge != s.judgeID && !hasReported
	s.judgeID, s.digest = told.Judge, told.Digest
	if isNew {
		s.digest = 0 // its verdicts are taken over once it has been told
	}
	current := make(map[Key]bool, len(told.All))
	for _, report := range told.All {
		v := report.verdict(now)
		current[v.Key] = true
		s.set(v, now)
	}
	for k, v := range s.verdicts {
		if !current[k] && !isNew {
			s.drop(v, now)
		}
	}
	return isNew
}

func newVerdictReport(v Verdict, now time.Time) VerdictReport {
	return VerdictReport{Key: v.Key, Ends: v.Ends, Age: now.Sub(v.LastEnd), Left: max(v.Until.Sub(now), 0)}
}

// verdict decodes a verdict that another entry told at now.
func (r VerdictReport) verdict(now time.Time) Verdict {
	v := Verdict{Key: r.Key, Ends: r.Ends, LastEnd: now.Add(-max(r.Age, 0))}
	if r.Left > 0 {
		v.Until = now.Add(min(r.Left, blameTime))
	}
	return v
}
