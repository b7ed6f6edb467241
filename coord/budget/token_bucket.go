package budget

import "time"

// BurstDuration is the time in which an empty TokenBucket fills up. It determines
// the capacity of the bucket.
const BurstDuration = 4 * time.Second

// Draw requests an amount from a token bucket, to be spent within Duration.
type Draw struct {
	Bucket   string        `json:"stream"`
	Want     int64         `json:"want"`
	Rate     int64         `json:"rate"` // refill rate, amount per second
	Duration time.Duration `json:"time"` // how long the amount may be kept unspent
	// Revision of the configuration that Rate is from. The highest one wins.
	Revision uint64 `json:"revision"`
}

// TokenBucket is a token bucket with a constant refill rate. The amount drawn in
// any interval is at most the rate times the interval plus BurstDuration.
type TokenBucket struct {
	Rate     int64  `json:"rate"`
	Revision uint64 `json:"revision"`
	Level    int64  `json:"level"` // millionths of the unit
	Updated  int64  `json:"updated"`
}

// Draw decides on a draw at time now. It grants at most half of the level, so
// that something is left for the next draw.
func (t *Table) Draw(now int64, d Draw) Grant {
	s := t.findOrCreateBucket(now, d)
	s.refill(now)
	amount := min(d.Want, (s.Level/micro+1)/2)
	if amount <= 0 {
		return Grant{Budget: d.Bucket}
	}
	s.Level -= amount * micro
	return Grant{Budget: d.Bucket, Amount: amount, Duration: min(max(d.Duration, 0), MaxLeaseDuration)}
}

// micro is both the number of microseconds in a second and the number of
// millionths in a unit. A level in millionths thus increases by Rate each
// microsecond.
const micro = 1_000_000

// MaxRate is the maximum rate of a token bucket. It prevents an overflow of the
// level.
const MaxRate = 1 << 39

func (t *Table) findOrCreateBucket(now int64, d Draw) *TokenBucket {
	s, known := t.TokenBuckets[d.Bucket]
	if known && d.Revision <= s.Revision {
		return s
	}
	if !known {
		if t.TokenBuckets == nil {
			t.TokenBuckets = make(map[string]*TokenBucket)
		}
		s = &TokenBucket{Updated: now}
		t.TokenBuckets[d.Bucket] = s
	}
	s.refill(now)
	s.Rate = min(max(d.Rate, 0), MaxRate)
	s.Revision = d.Revision
	if !known {
		s.Level = s.capacity()
	}
	return s
}

func (s *TokenBucket) refill(now int64) {
	elapsed := min(max(now-s.Updated, 0), BurstDuration.Microseconds())
	s.Level = min(s.Level+elapsed*s.Rate, s.capacity())
	s.Updated = max(now, s.Updated)
}

func (s *TokenBucket) capacity() int64 { return s.Rate * BurstDuration.Microseconds() }
