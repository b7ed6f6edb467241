package schedule

import (
	"math"
	"time"
)

// arrivalRate estimates the value of jobs that arrive per second, as an average that
// decays within about a second.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

func (r *arrivalRate) add(value float64, now time.Time) {
	r.perSecond = r.get(now) + value
	r.at = now
}

func (r *arrivalRate) get(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds())
}
