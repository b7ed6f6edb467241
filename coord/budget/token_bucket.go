package budget

import "time"

// Burst is how long a Stream that nobody draws on collects its rate.
const Burst = 4 * time.Second

// Draw takes an amount out of a stream, to be spent within Time.
type Draw struct {
	Stream string        `json:"stream"`
	Want   int64         `json:"want"`
	Rate   int64         `json:"rate"` // amount per second that flows in
	Time   time.Duration `json:"time"` // how long the amount may be kept unspent
	// Revision of the configuration that Rate comes from: the highest wins.
	Revision uint64 `json:"revision"`
}

// Stream is a budget that fills at a steady rate. What is drawn in any time is
// at most its rate over that time and Burst.
type Stream struct {
	Rate     int64  `json:"rate"`
	Revision uint64 `json:"revision"`
	Level    int64  `json:"level"` // millionths of the unit
	Updated  int64  `json:"updated"`
}

// Draw decides on a draw at time now. At most half of the level is granted, so
// that whoever draws next finds something.
func (t *Table) Draw(now int64, d Draw) Grant {
	s := t.stream(now, d)
	s.fill(now)
	amount := min(d.Want, (s.Level/micro+1)/2)
	if amount <= 0 {
		return Grant{Budget: d.Stream}
	}
	s.Level -= amount * micro
	return Grant{Budget: d.Stream, Amount: amount, Time: min(max(d.Time, 0), MaxTime)}
}

// micro is the number of microseconds in a second and of millionths in a unit,
// so that a level gains its rate each microsecond.
const micro = 1_000_000

// MaxRate bounds the rate of a stream, so that its level cannot overflow.
const MaxRate = 1 << 39

func (t *Table) stream(now int64, d Draw) *Stream {
	s, known := t.Streams[d.Stream]
	if known && d.Revision <= s.Revision {
		return s
	}
	if !known {
		if t.Streams == nil {
			t.Streams = make(map[string]*Stream)
		}
		s = &Stream{Updated: now}
		t.Streams[d.Stream] = s
	}
	s.fill(now)
	s.Rate = min(max(d.Rate, 0), MaxRate)
	s.Revision = d.Revision
	if !known {
		s.Level = s.most()
	}
	return s
}

func (s *Stream) fill(now int64) {
	passed := min(max(now-s.Updated, 0), Burst.Microseconds())
	s.Level = min(s.Level+passed*s.Rate, s.most())
	s.Updated = max(now, s.Updated)
}

func (s *Stream) most() int64 { return s.Rate * Burst.Microseconds() }
