package soak

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// The platform's bounds for requests to a replica that asked an entry to wait, or said
// that it leaves.
const (
	waitNotice    = 500 * time.Millisecond
	maxWhileWaits = 2
	leavingNotice = 2 * time.Second // the shortest drain of the deployments
)

// statement is something that a replica says of itself to entries, and the requests that
// disregard it.
type statement struct {
	until       time.Time // the replica says it to requests before this time
	told        map[*process]time.Time
	disregarded map[*process]int // requests later than notice after their entry was told
}

func newStatement(until time.Time) statement {
	return statement{until: until, told: map[*process]time.Time{}, disregarded: map[*process]int{}}
}

// record counts a request and reports whether the statement is made in its response. An
// entry that was restarted or paused since it was told, or that the proxy kept from being
// told, counts as not told.
func (s *statement) record(o origin, p *proxy, notice time.Duration, now time.Time) bool {
	if !now.Before(s.until) {
		return false
	}
	told, known := s.told[o.entry]
	if known && (o.disturbedAt.After(told) || p.mayHold(told)) {
		known = false
		s.disregarded[o.entry] = 0
	}
	switch {
	case o.entry == nil:
	case !known:
		s.told[o.entry] = now
	case now.Sub(told) >= notice:
		s.disregarded[o.entry]++
	}
	return true
}

// most returns the most requests from one entry that disregarded the statement.
func (s *statement) most() int {
	most := 0
	for _, n := range s.disregarded {
		most = max(most, n)
	}
	return most
}

// pauseReplicas makes one replica after the other refuse requests and ask to wait.
func (s *soak) pauseReplicas(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(between(random, 500*time.Millisecond, 1500*time.Millisecond))
		s.mu.Lock()
		r := s.replicas[random.IntN(len(s.replicas))]
		s.mu.Unlock()
		duration := between(random, time.Second, 3*time.Second)
		r.mu.Lock()
		r.wait = newStatement(time.Now().Add(duration))
		r.mu.Unlock()
		time.Sleep(duration)
		r.mu.Lock()
		most := r.wait.most()
		r.wait = statement{}
		r.mu.Unlock()
		if most > maxWhileWaits {
			s.reportViolation("replica %s asked to wait and got %d requests from an entry that it had told so", r.run, most)
		}
	}
}

// seconds formats a time as the platform does.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// stateLeaving makes a replica say that it leaves until it ends.
func (r *replica) stateLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = newStatement(time.Now().Add(time.Hour))
}

// leavingDisregarded returns the most requests from one entry after it was told that the
// replica leaves.
func (r *replica) leavingDisregarded() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving.most()
}
