package blame

import "time"

const (
	// transitWindow is the time over which the fastest message of an entry is looked for. Entries
	// send one a second at least, and steady clocks differ by less than a millisecond in it.
	transitWindow = 10 * time.Second
	// maxTransit is longer than any message of an entry takes before it times out. A clock
	// that seems to be further behind was suspended with its machine.
	maxTransit = 3 * time.Second
)

// senderClock relates the steady clock of another entry to that of this one. A message takes
// some time, so the clock of its sender seems to have started too late by that time: the
// earliest start that was seen is that of the fastest message.
type senderClock struct {
	since             time.Time // of the current window
	current, previous time.Time // earliest start of the clock in each window; zero for none
}

// transit returns how much longer a message took that carries a reading of the clock and
// arrives now than the fastest one.
func (c *senderClock) transit(reading time.Duration, now time.Time) time.Duration {
	if passed := now.Sub(c.since); passed > transitWindow {
		c.previous = c.current
		if passed > 2*transitWindow {
			c.previous = time.Time{}
		}
		c.current, c.since = time.Time{}, now
	}
	start := now.Add(-reading)
	if c.current.IsZero() || start.Before(c.current) {
		c.current = start
	}
	earliest := c.current
	if !c.previous.IsZero() && c.previous.Before(earliest) {
		earliest = c.previous
	}
	took := start.Sub(earliest)
	if took > maxTransit {
		*c = senderClock{since: now, current: start}
		return 0
	}
	return took
}

// Stamp brings the ages of a report up to date that is sent now, and adds a reading of the
// steady clock of this entry. Reports without ends carry one as well: the entry that judges
// learns from them how long reports take.
func (s *Store) Stamp(r *Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockStart.IsZero() {
		s.clockStart = now
	}
	r.Refresh(now)
	r.Sender, r.Clock = s.id, now.Sub(s.clockStart)
}

// sentAt returns when a report was sent that arrives now, so that the delays on the way of
// several reports don't change the order of what they tell. It is late by the time that the
// fastest message of its sender took. The caller holds the lock.
func (s *Store) sentAt(r *Report, now time.Time) time.Time {
	if r.Sender == 0 || r.Sender == s.id {
		return now
	}
	c := s.senders[r.Sender]
	if c == nil {
		for id, known := range s.senders {
			if now.Sub(known.since) > 2*transitWindow {
				delete(s.senders, id)
			}
		}
		c = &senderClock{since: now}
		s.senders[r.Sender] = c
	}
	return now.Add(-c.transit(r.Clock, now))
}
