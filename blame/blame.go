// Package blame finds out what ends the endpoints that run it. When an endpoint's process
// ends, everything that it was answering is suspected; what the requests under which
// endpoint after endpoint ended have in common, and no answered request has, is blamed.
//
// One entry, which hears of the ends at all entries, judges for all of them. The others
// follow its verdicts, and judge by what they have seen themselves while they hear none.
// All of them keep what they know, so that the next one to judge can be told.
//
// The package does no I/O; callers pass in the time.
package blame

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/announce"
)

// Key names something that requests have in common, such as a part of their prompts.
type Key string

const (
	partPrefix    = "part "
	requestPrefix = "request "
)

// maxPartID is the longest id, in bytes, that a key holds as it is. Callers choose ids.
const maxPartID = 64

// PartKey returns the key of a part of prompts.
func PartKey(id string) Key {
	if len(id) > maxPartID {
		id = "hash " + strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	return Key(partPrefix + id)
}

// RequestKey returns the key of the requests of a caller with the same method, target and
// body.
func RequestKey(caller, method, target string, body []byte) Key {
	digest := xxhash.New()
	for _, text := range []string{caller, method, target} {
		_, _ = digest.WriteString(strconv.Itoa(len(text)) + ":" + text) // never fails
	}
	_, _ = digest.Write(body) // never fails
	return Key(requestPrefix + strconv.FormatUint(digest.Sum64(), 16))
}

// isRequest reports whether the key is that of whole requests.
func (k Key) isRequest() bool { return strings.HasPrefix(string(k), requestPrefix) }

// Bounds of what is kept.
const (
	maxEnds      = 128 // latest ends of endpoints
	maxSuspects  = 256 // keys of one end
	maxVerdicts  = 256 // keys that are blamed
	maxWatched   = 64  // keys that are told to other entries without being blamed
	endRetention = 30 * time.Minute
	blameTime    = 10 * time.Minute // from the last end until requests with the key are tried again
	// provenTime is the same of a key that has been answered before. It is doubled with each
	// further end.
	provenTime   = 10 * time.Second
	maxAnswered  = 4096 // keys that are known to have been answered, in each half of the time
	judgeAfter   = 3    // occasions on which endpoints ended, at least
	watchAfter   = 2
	toldLifetime = 3 * time.Second // without word from the judging entry, an entry judges itself
)

// occasionGap separates two occasions. Endpoints that end closer together may have
// ended for a common reason of their own, such as the loss of a failure domain. Retries that
// follow one another within the gap are told from that by their order, see countRetries.
const occasionGap = 100 * time.Millisecond

// end is the end of a run of an endpoint, with the keys of what it was answering.
type end struct {
	run      announce.Run
	at       time.Time
	suspects map[Key]time.Time // when the first request with the key was sent to it; zero if unknown
}

// record is what is known of a key.
type record struct {
	ends       []*end    // in order of time
	survivedAt time.Time // latest answer to a request with the key, also before the ends; zero for none
}

// isProven reports whether requests with the key have been answered. It may still end
// endpoints, such as those of a new version.
func (r *record) isProven() bool { return !r.survivedAt.IsZero() }

// Verdict is what an entry believes of a key.
type Verdict struct {
	Key     Key
	Ends    int       // occasions on which endpoints ended
	LastEnd time.Time // latest of them
	Until   time.Time // no request with the key is sent before; zero if the key is only watched

	byRetries bool // found here by retries; an end that is reported later may show another cause
}

// blames reports whether requests with the key are not sent.
func (v Verdict) blames(now time.Time) bool { return v.Until.After(now) }

// Store keeps the ends of endpoints and the verdicts. It is safe for concurrent use.
type Store struct {
	// OnChange is called when a key is blamed or no longer is. It must not call the Store.
	OnChange func(v Verdict, isBlamed bool)

	mu       sync.Mutex
	ends     []*end // in order of time
	records  map[Key]*record
	answered answeredKeys
	verdicts map[Key]Verdict
	version  uint64 // increased by each change that is worth keeping over a restart
	id       uint64
	judgeID  uint64    // id of the store of the judging entry; 0 if it is not known
	digest   uint64    // of the verdicts of the judging entry
	toldAt   time.Time // when the verdicts were last told or confirmed; zero on the judging entry

	clockStart time.Time               // of the clock in reports of this entry; zero before the first
	senders    map[uint64]*senderClock // by id of the store
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{id: rand.Uint64(), records: map[Key]*record{}, verdicts: map[Key]Verdict{}, senders: map[uint64]*senderClock{}}
}

// Judge makes this entry judge for all, from what it knows.
func (s *Store) Judge(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.toldAt.IsZero() {
		return
	}
	s.toldAt = time.Time{}
	s.judge(now)
}

// Blamed returns the verdict on the first of the keys that is blamed.
func (s *Store) Blamed(keys []Key, now time.Time) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.verdicts) == 0 {
		return Verdict{}, false
	}
	for _, k := range keys {
		if v, known := s.verdicts[k]; known && v.blames(now) {
			return v, true
		}
	}
	return Verdict{}, false
}

// RecordEnd records that a run of an endpoint ended at a time while it was answering a request
// with the keys that was sent to it at sentAt, and returns what to tell the entry that judges.
// The same end may be recorded several times, with different keys.
func (s *Store) RecordEnd(run announce.Run, keys []Key, sentAt, at, now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addEnd(run, keys, sentAt, at, now)
	report := Report{agedAt: now, Ends: []EndReport{{
		Endpoint: run.ID, StartedAtMs: run.StartedAtMs, Age: now.Sub(at), Lasted: at.Sub(sentAt), Suspects: keys,
	}}}
	for _, k := range keys {
		if k.isRequest() {
			report.Ends = append(report.Ends, s.earlierEnds(k, run, at, now)...)
		}
		if r := s.records[k]; r != nil && r.isProven() {
			report.Survivals = append(report.Survivals, SurvivalReport{Key: k, Age: now.Sub(r.survivedAt)})
		}
	}
	s.judge(now)
	return report
}

// earlierEnds returns the ends under a request on the occasion of another one. They are told once
// more with it: in one report, the times of a retry and of the end that it follows keep their
// order. The caller holds the lock.
func (s *Store) earlierEnds(k Key, run announce.Run, at, now time.Time) []EndReport {
	r := s.records[k]
	if r == nil {
		return nil
	}
	var out []EndReport
	for _, e := range r.ends {
		if e.run == run || at.Sub(e.at) > occasionGap || e.at.Sub(at) > occasionGap {
			continue
		}
		report := EndReport{Endpoint: e.run.ID, StartedAtMs: e.run.StartedAtMs, Age: now.Sub(e.at), Suspects: []Key{k}}
		if sentAt := e.suspects[k]; !sentAt.IsZero() {
			report.Lasted = max(e.at.Sub(sentAt), 1)
		}
		out = append(out, report)
	}
	return out
}

// RecordSurvival records that a request with the keys was answered, or for long enough to
// show that it doesn't end its endpoint. It returns the keys under which endpoints have
// ended since the last such answer that is known.
func (s *Store) RecordSurvival(keys []Key, now time.Time) (cleared []Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.answered.add(k, now)
		if s.survive(k, now) {
			cleared = append(cleared, k)
		}
	}
	if len(cleared) > 0 {
		s.judge(now)
	}
	return cleared
}

// survive records an answer to a request with a key. The caller holds the lock.
func (s *Store) survive(k Key, at time.Time) bool {
	v, isKnown := s.verdicts[k]
	r := s.records[k]
	matters := isKnown && v.LastEnd.Before(at)
	if r != nil {
		if r.hasEndBetween(r.survivedAt, at) {
			matters = true
		}
		r.survivedAt = later(r.survivedAt, at)
	}
	if isKnown && v.LastEnd.Before(at) {
		s.drop(v, at)
	}
	if matters {
		s.version++
	}
	return matters
}

func (r *record) hasEndBetween(from, to time.Time) bool {
	return slices.ContainsFunc(r.ends, func(e *end) bool { return e.at.After(from) && e.at.Before(to) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addEnd adds an end, or the keys to one that is known. Of several times of an end, which entries
// see and tell with different delays, the earliest is kept. The caller holds the lock.
func (s *Store) addEnd(run announce.Run, keys []Key, sentAt, at, now time.Time) {
	if at.After(now) {
		at = now
	}
	if len(keys) == 0 || now.Sub(at) > endRetention {
		return
	}
	s.version++
	i := slices.IndexFunc(s.ends, func(e *end) bool { return e.run == run })
	if i < 0 {
		e := &end{run: run, at: at, suspects: map[Key]time.Time{}}
		i, _ = slices.BinarySearchFunc(s.ends, e, byTime)
		s.ends = slices.Insert(s.ends, i, e)
	}
	e := s.ends[i]
	if at.Before(e.at) && e.at.Sub(at) <= maxTransit {
		s.moveEnd(e, at)
	}
	for _, k := range keys {
		first, isKnown := e.suspects[k]
		if isKnown && sentAt.Before(first) {
			e.suspects[k] = sentAt
		}
		if isKnown || len(e.suspects) >= maxSuspects {
			continue
		}
		e.suspects[k] = sentAt
		r := s.records[k]
		if r == nil {
			r = &record{survivedAt: s.answered.at(k)}
			s.records[k] = r
		}
		position, _ := slices.BinarySearchFunc(r.ends, e, byTime)
		r.ends = slices.Insert(r.ends, position, e)
	}
	for len(s.ends) > maxEnds || now.Sub(s.ends[0].at) > endRetention {
		s.forgetOldest()
	}
}

// moveEnd sets an earlier time of an end. The caller holds the lock.
func (s *Store) moveEnd(e *end, at time.Time) {
	e.at = at
	slices.SortStableFunc(s.ends, byTime)
	for k := range e.suspects {
		slices.SortStableFunc(s.records[k].ends, byTime)
	}
}

func byTime(a, b *end) int { return a.at.Compare(b.at) }

// forgetOldest forgets the oldest end. Verdicts that rest on it can't be judged again: they hold for
// their time.
func (s *Store) forgetOldest() {
	oldest := s.ends[0]
	s.ends = s.ends[1:]
	for k := range oldest.suspects {
		if v, isKnown := s.verdicts[k]; isKnown && v.byRetries {
			v.byRetries = false
			s.verdicts[k] = v
		}
		r := s.records[k]
		if r.ends = slices.DeleteFunc(r.ends, func(e *end) bool { return e == oldest }); len(r.ends) == 0 {
			delete(s.records, k)
		}
	}
}

// drop removes a verdict. The caller holds the lock.
func (s *Store) drop(v Verdict, now time.Time) {
	delete(s.verdicts, v.Key)
	s.version++
	if v.blames(now) && s.OnChange != nil {
		s.OnChange(v, false)
	}
}

// set replaces a verdict. The caller holds the lock.
func (s *Store) set(v Verdict, now time.Time) {
	before, known := s.verdicts[v.Key]
	wasBlamed := before.blames(now)
	s.verdicts[v.Key] = v
	if !known || before.Ends != v.Ends || v.blames(now) != wasBlamed {
		s.version++
	}
	if v.blames(now) != wasBlamed && s.OnChange != nil {
		s.OnChange(v, !wasBlamed)
	}
}

// sortedVerdicts returns the verdicts, blamed keys and late ends first. The caller holds
// the lock.
func (s *Store) sortedVerdicts(now time.Time) []Verdict {
	out := make([]Verdict, 0, len(s.verdicts))
	for _, v := range s.verdicts {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		if a.blames(now) != b.blames(now) {
			if a.blames(now) {
				return -1
			}
			return 1
		}
		return cmp.Or(b.LastEnd.Compare(a.LastEnd), cmp.Compare(a.Key, b.Key))
	})
	return out
}
