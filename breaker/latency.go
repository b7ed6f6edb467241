package breaker

import (
	"slices"
	"time"
)

const (
	minSamples  = 4    // results of an endpoint before it is compared
	minPeers    = 3    // compared endpoints without which none is ejected
	slowFactor  = 3.0  // times the median of the peers at which an endpoint is slow
	ejectShare  = 0.2  // most endpoints of a model that are ejected for latency
	sampleShare = 0.25 // weight of a new result in the moving average
)

// latency is the moving average of how much longer an endpoint took to the
// first token than was expected of it.
type latency struct {
	average float64
	samples int
}

func (l *latency) add(ratio float64) {
	if l.samples == 0 {
		l.average = ratio
	} else {
		l.average += sampleShare * (ratio - l.average)
	}
	l.samples++
}

// Measured takes the time to the first token of one request and the time that
// was expected. A probe of a slow endpoint closes its breaker when it was about
// as fast as its peers.
func (s *Set) Measured(now time.Time, endpoint string, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.get(endpoint)
	if b.state != HalfOpen || !b.slow {
		b.latency.add(ratio)
		return
	}
	if median, peers := s.median(nil); peers >= minPeers && ratio > slowFactor*median {
		s.open(now, endpoint, b, "slow")
		return
	}
	s.close(endpoint, b)
}

// Eject opens the breakers of the slow among the given endpoints of one model
// and returns their names. Never more than a fifth of them are ejected.
func (s *Set) Eject(now time.Time, endpoints []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	median, peers := s.median(endpoints)
	if peers < minPeers {
		return nil
	}
	room := int(ejectShare*float64(len(endpoints))) - s.slowCount(endpoints)
	var out []string
	for _, name := range s.slowest(endpoints, slowFactor*median) {
		if room <= 0 {
			break
		}
		room--
		b := s.breakers[name]
		b.slow = true
		s.open(now, name, b, "slow")
		ejected.Inc()
		out = append(out, name)
	}
	return out
}

// slowest returns the closed endpoints above the limit, the slowest first.
func (s *Set) slowest(endpoints []string, limit float64) []string {
	var out []string
	for _, name := range endpoints {
		b := s.breakers[name]
		if b != nil && b.state == Closed && b.latency.samples >= minSamples && b.latency.average > limit {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(x, y string) int {
		if s.breakers[x].latency.average > s.breakers[y].latency.average {
			return -1
		}
		return 1
	})
	return out
}

func (s *Set) slowCount(endpoints []string) int {
	n := 0
	for _, name := range endpoints {
		if b := s.breakers[name]; b != nil && b.slow {
			n++
		}
	}
	return n
}

// median returns the median latency of the endpoints with enough results, and
// how many those are. Without endpoints it takes all of the set.
func (s *Set) median(endpoints []string) (float64, int) {
	var all []float64
	add := func(b *breaker) {
		if b != nil && b.latency.samples >= minSamples && !b.slow {
			all = append(all, b.latency.average)
		}
	}
	if endpoints == nil {
		for _, b := range s.breakers {
			add(b)
		}
	}
	for _, name := range endpoints {
		add(s.breakers[name])
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], len(all)
}
