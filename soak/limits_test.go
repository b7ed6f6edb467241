package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// The platform's bound for the requests to a replica that states a rate limit: within
// limitWindow at most limitShare times the limit and limitBurst more, from limitSettled
// after it was first stated and from entries told for limitNotice.
const (
	limitWindow  = 4 * time.Second
	limitSettled = 3 * time.Second
	limitNotice  = 500 * time.Millisecond
	limitShare   = 1.5
	limitBurst   = 5
)

// origin is the entry that a caller sent a request to.
type origin struct {
	entry       *process
	disturbedAt time.Time // latest begin or end of a disturbance of the entry before the request
}

// rateLimit is the limit that a replica states, and the requests that count against it.
type rateLimit struct {
	text     string // as stated; empty for none
	value    float64
	isStated bool
	since    time.Time
	told     map[*process]time.Time
	arrivals []time.Time
}

// record counts a request and returns the value to state in its response.
func (l *rateLimit) record(o origin, now time.Time) (text string, stated bool) {
	if !l.isStated {
		return "", false
	}
	told, known := l.told[o.entry]
	if known && o.disturbedAt.After(told) {
		known = false // it was restarted or paused since
	}
	if known && now.Sub(told) >= limitNotice && now.Sub(l.since) >= limitSettled && now.Sub(o.disturbedAt) >= limitSettled {
		l.arrivals = append(l.arrivals, now)
	}
	if !known && o.entry != nil {
		l.told[o.entry] = now
	}
	return l.text, true
}

// excess returns the most requests within limitWindow if they are more than allowed.
func (l *rateLimit) excess() int {
	most, first := 0, 0
	for i, at := range l.arrivals {
		for at.Sub(l.arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if float64(most) > limitShare*l.value*limitWindow.Seconds()+limitBurst {
		return most
	}
	return 0
}

// limitReplicas makes one replica after the other state a rate limit.
func (s *soak) limitReplicas(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(between(random, 0, 500*time.Millisecond))
		s.mu.Lock()
		r := s.replicas[random.IntN(len(s.replicas))]
		s.mu.Unlock()
		text := []string{"0", "0.3", "1", "2.5", "8", "60", "", "NaN"}[random.IntN(8)]
		duration := between(random, 5*time.Second, 8*time.Second)
		r.stateLimit(text)
		time.Sleep(duration)
		if excess := r.endLimit(); excess > 0 {
			s.reportViolation("replica %s stated a rate limit of %q and got %d requests in %v", r.run, text, excess, limitWindow)
		}
	}
}

func (r *replica) stateLimit(text string) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value != value {
		value = 1e9 // not a limit that can be kept
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = rateLimit{text: text, value: value, isStated: true, since: time.Now(), told: map[*process]time.Time{}}
}

func (r *replica) endLimit() (excess int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.limit.arrivals, time.Time.Compare)
	excess = r.limit.excess()
	r.limit = rateLimit{}
	return excess
}
