package mesh

import (
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// leaderHint is what an entry knows of the leader's address from reports of members. It holds
// no clock: times and the maximum age of a report are arguments.
type leaderHint struct {
	address string // empty if none was reported
	term    uint64 // 0 if the report came from an earlier version, which doesn't tell it
	// at is when a member that hears the leader last confirmed it, or when it denied.
	at     time.Time
	denied bool // the address has denied to lead in this term
}

// believed returns the leader's address, empty if it was denied or not confirmed within maxAge.
func (h leaderHint) believed(now time.Time, maxAge time.Duration) string {
	if h.denied || h.isExpired(now, maxAge) {
		return ""
	}
	return h.address
}

func (h leaderHint) isExpired(now time.Time, maxAge time.Duration) bool {
	return h.address == "" || now.Sub(h.at) > maxAge
}

// isLostBy reports whether a member no longer hears the leader. It knows that sooner than what
// other entries reported of that term.
func (h leaderHint) isLostBy(s quorum.Status) bool { return !s.HasQuorum && h.term <= s.Term }

// report returns the hint after a member reported a leader that it hears. Within maxAge, a
// report of an older term replaces nothing, and one of what was denied confirms nothing: a
// member hears a leader that stepped down until its election timeout has passed. After a
// denial, an address from an earlier version, which tells no term, is better than none.
func (h leaderHint) report(address string, term uint64, now time.Time, maxAge time.Duration) leaderHint {
	return h.reportAt(address, term, now, now, maxAge)
}

// reportAt is report for what another entry knows itself from a report at a time: entries that
// tell each other don't keep a belief alive that no member confirms.
func (h leaderHint) reportAt(address string, term uint64, at, now time.Time, maxAge time.Duration) leaderHint {
	switch {
	case address == "" || now.Sub(at) > maxAge:
		return h
	case address == h.address && term == h.term && at.Before(h.at):
		return h
	case h.isExpired(now, maxAge):
	case h.denied && term == 0 && address != h.address:
	case term < h.term, h.denied && term == h.term && address == h.address:
		return h
	}
	return leaderHint{address: address, term: term, at: at}
}

// deny returns the hint after an address stated that it leads in no term up to one; 0 if it
// didn't tell the term. A statement about older terms only was overtaken by an election.
func (h leaderHint) deny(address string, upTo uint64, now time.Time) leaderHint {
	if address != h.address || (upTo != 0 && upTo < h.term) {
		return h
	}
	h.denied, h.at = true, now
	return h
}

// answered returns the hint after an address acted as the leader of a term; 0 if it didn't tell
// the term.
func (h leaderHint) answered(address string, term uint64, now time.Time) leaderHint {
	switch {
	case term == 0 && address == h.address:
		term = h.term
	case term != 0 && term < h.term:
		return h
	}
	return leaderHint{address: address, term: term, at: now}
}
