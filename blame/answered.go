package blame

import "time"

// answeredKeys are keys that have been answered, with the time. It keeps the latest
// maxAnswered keys at least, unless they are older than endRetention.
type answeredKeys struct {
	current, previous map[Key]time.Time
	since             time.Time // of current
}

func (a *answeredKeys) add(k Key, now time.Time) {
	if a.current == nil || len(a.current) >= maxAnswered || now.Sub(a.since) > endRetention {
		a.current, a.previous, a.since = map[Key]time.Time{}, a.current, now
	}
	a.current[k] = now
}

// at returns when a key was last answered, zero for never.
func (a *answeredKeys) at(k Key) time.Time {
	if at, found := a.current[k]; found {
		return at
	}
	return a.previous[k]
}
