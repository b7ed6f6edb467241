package gateway

import (
	"sync"
	"time"
)

// deadlineHistory keeps the longest time that callers of each route lately gave for an
// answer. A caller that has clearly less time left has spent it on earlier attempts,
// also when these were made at entries that no longer run. It is safe for concurrent use.
type deadlineHistory struct {
	mu     sync.Mutex
	routes map[string]*longestDeadline
}

// longestDeadline is the maximum over the current and the previous period.
type longestDeadline struct {
	since             time.Time
	current, previous time.Duration
}

const (
	deadlinePeriod = 30 * time.Second
	// deadlineSpread is the share by which the deadlines of first attempts may differ.
	deadlineSpread = 0.2
)

func newDeadlineHistory() *deadlineHistory {
	return &deadlineHistory{routes: map[string]*longestDeadline{}}
}

// spentEarlier records the time that a caller has left and returns the time that it
// certainly spent on earlier attempts; 0 for a caller without a deadline.
func (d *deadlineHistory) spentEarlier(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		l = &longestDeadline{since: now}
		d.routes[route] = l
	}
	if age := now.Sub(l.since); age >= deadlinePeriod {
		l.previous, l.current, l.since = l.current, 0, now
		if age >= 2*deadlinePeriod {
			l.previous = 0
		}
	}
	l.current = max(l.current, left)
	shortest := time.Duration((1 - deadlineSpread) * float64(max(l.current, l.previous)))
	return max(shortest-left, 0)
}
