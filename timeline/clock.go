package timeline

import "time"

// Stamp is a reading of a hybrid logical clock: a wall clock that never goes
// back and a counter for events within one microsecond. A stamp made after
// another was observed is greater, however the wall clocks differ.
type Stamp struct {
	WallMicros int64 // microseconds since 1970
	Logical    uint32
}

// Next returns the stamp of a local event after s at the given wall clock time.
func (s Stamp) Next(nowMicros int64) Stamp {
	if nowMicros > s.WallMicros {
		return Stamp{WallMicros: nowMicros}
	}
	return s.increment()
}

// Observe returns a stamp after both s and a stamp received with a message, at
// the given wall clock time.
func (s Stamp) Observe(remote Stamp, nowMicros int64) Stamp {
	if s.Less(remote) {
		s = remote
	}
	return s.Next(nowMicros)
}

// Less reports whether s is before o.
func (s Stamp) Less(o Stamp) bool {
	if s.WallMicros != o.WallMicros {
		return s.WallMicros < o.WallMicros
	}
	return s.Logical < o.Logical
}

// Time returns the wall clock part.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.WallMicros).UTC() }

func (s Stamp) increment() Stamp {
	if s.Logical == ^uint32(0) {
		return Stamp{WallMicros: s.WallMicros + 1}
	}
	return Stamp{WallMicros: s.WallMicros, Logical: s.Logical + 1}
}
