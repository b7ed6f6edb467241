package spill

import (
	"math"
	"slices"
	"time"
)

// Target is the part of a service in one failure domain, as far as it takes calls now.
type Target struct {
	Domain   string
	Capacity float64 // concurrent calls that its endpoints serve in time
	Running  float64 // calls in progress, of all entries
	Late     float64 // probability that the links to it make a call late
	IsSlow   bool    // its answers take clearly longer than those of its peers
}

// spare returns the calls that the target could take in time.
func (t *Target) spare() float64 { return max(t.Capacity-t.Running, 0) * (1 - t.Late) }

// Utilization of the home domain at which calls begin to leave it, and at which they stop.
// An endpoint that is three quarters full has little room for what other entries send before
// they know of each other's calls. The distance keeps noise from switching back and forth.
const (
	leaveFrom  = 0.75
	leaveUntil = 0.5
)

// shareMemory is the time constant with which the share that leaves follows the spare
// capacity, so that a shift of callers is followed within a second.
const shareMemory = 300 * time.Millisecond

// Shares decides which failure domain takes each call of a service: the home domain while it
// has spare capacity, and then a share that follows spare capacity. It is not safe for
// concurrent use.
type Shares struct {
	isLeaving bool
	leave     float64 // share of the calls that leave the home domain
	at        time.Time
	credit    map[string]float64 // calls by which each domain is behind its share
}

// SlowFrom is the slowness from which an endpoint counts as slow: goals leave about this margin.
const SlowFrom = 1.5

// Choose returns the domain for the next call of callers in a home domain; false if no target
// has capacity.
func (s *Shares) Choose(home string, targets []Target, now time.Time) (string, bool) {
	var at Target
	away, capacity := 0.0, 0.0
	for i := range targets {
		capacity += targets[i].Capacity
		if targets[i].Domain == home {
			at = targets[i]
		} else {
			away += targets[i].spare()
		}
	}
	if capacity <= 0 {
		return "", false
	}
	s.update(&at, away, now)
	return s.draw(home, targets, away), true
}

// recentCall is how long a service counts as in use after a call.
const recentCall = 2 * time.Second

// IsLeaving reports whether calls lately left the home domain.
func (s *Shares) IsLeaving(now time.Time) bool {
	return (s.isLeaving || s.leave > 0) && now.Sub(s.at) < recentCall
}

// update adapts the share that leaves the home domain.
func (s *Shares) update(home *Target, away float64, now time.Time) {
	utilization := 1.0
	if home.Capacity > 0 {
		utilization = home.Running / home.Capacity
	}
	switch {
	case utilization >= leaveFrom || home.IsSlow:
		s.isLeaving = true
	case utilization < leaveUntil:
		s.isLeaving = false
	}
	desired := 0.0
	if s.isLeaving && away > 0 {
		desired = away / (away + home.spare())
	}
	switch {
	case home.Capacity <= 0 || desired == 1:
		s.leave = 1 // no call has to wait for the share to rise
	case away <= 0:
		s.leave = 0
	default:
		s.leave += (desired - s.leave) * (1 - math.Exp(-float64(max(now.Sub(s.at), 0))/float64(shareMemory)))
	}
	s.at = now
}

// draw returns the domain that is furthest behind its share.
func (s *Shares) draw(home string, targets []Target, away float64) string {
	credit := make(map[string]float64, len(targets))
	best, found := "", false
	for i := range targets {
		t := &targets[i]
		share := 1 - s.leave
		if t.Domain != home {
			share = s.leave * t.share(targets, home, away)
		}
		if share <= 0 || t.Capacity <= 0 {
			continue
		}
		credit[t.Domain] = s.credit[t.Domain] + share
		if !found || credit[t.Domain] > credit[best] || (credit[t.Domain] == credit[best] && t.Domain == home) {
			best, found = t.Domain, true
		}
	}
	if !found {
		// The home domain has no capacity, and the others have no spare one.
		return slices.MinFunc(targets, compareUtilization).Domain
	}
	credit[best]--
	s.credit = credit
	return best
}

// share returns the target's part of what leaves the home domain.
func (t *Target) share(targets []Target, home string, away float64) float64 {
	if away > 0 {
		return t.spare() / away
	}
	others := 0.0
	for i := range targets {
		if targets[i].Domain != home {
			others += targets[i].Capacity
		}
	}
	return t.Capacity / max(others, 1)
}

// compareUtilization orders targets by the calls that they have for their capacity.
func compareUtilization(a, b Target) int {
	if x, y := a.Running*b.Capacity, b.Running*a.Capacity; x != y {
		if x < y {
			return -1
		}
		return 1
	}
	return 0
}
