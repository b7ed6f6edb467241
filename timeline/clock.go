package timeline

import "time"

// Stamp is a hybrid logical clock's reading: a wall clock that never goes back
// and a counter for events within one microsecond. A stamp made after another
// was seen is greater, however the wall clocks differ.
type Stamp struct {
	WallMicros int64 // microseconds since 1970
	Logical    uint32
}

// Next returns the stamp of a local event after s, given the wall clock.
func (s Stamp) Next(nowMicros int64) Stamp {
	if nowMicros > s.WallMicros {
		return Stamp{WallMicros: nowMicros}
	}
	return s.bump()
}

// Seen returns the stamp after s and a stamp that came with a message, given
// the wall clock.
func (s Stamp) Seen(remote Stamp, nowMicros int64) Stamp {
	if s.Less(remote) {
		s = remote
	}
	return s.Next(nowMicros)
}

// Less reports whether s comes before o.
func (s Stamp) Less(o Stamp) bool {
	if s.WallMicros != o.WallMicros {
		return s.WallMicros < o.WallMicros
	}
	return s.Logical < o.Logical
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.WallMicros).UTC() }

func (s Stamp) bump() Stamp {
	if s.Logical == ^uint32(0) {
		return Stamp{WallMicros: s.WallMicros + 1}
	}
	return Stamp{WallMicros: s.WallMicros, Logical: s.Logical + 1}
}
