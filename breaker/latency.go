package breaker

import (
	"slices"
	"time"
)

const (
	minSamples      = 4    // samples of an endpoint before it is compared
	minPeers        = 3    // minimum number of compared endpoints; with fewer, none is ejected
	slowFactor      = 3.0  // multiple of the median of the peers above which an endpoint is slow
	maxEjectShare   = 0.2  // maximum fraction of a model's endpoints that are ejected for latency
	smoothingFactor = 0.25 // weight of a new sample in the moving average
)

// latency is the moving average of the ratio of actual to expected time to the
// first token of an endpoint.
type latency struct {
	average float64
	samples int
}

func (l *latency) add(ratio float64) {
	if l.samples == 0 {
		l.average = ratio
	} else {
		l.average += smoothingFactor * (ratio - l.average)
	}
	l.samples++
}

// RecordLatency records the actual and expected time to the first token of one
// request. A probe of an endpoint that was ejected as slow closes the breaker,
// unless it is still slow compared with the peers.
func (s *Set) RecordLatency(now time.Time, endpoint string, actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(actual) / float64(expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.getOrCreate(endpoint)
	if !b.awaitsResult(now) || !b.ejectedSlow {
		b.latency.add(ratio)
		return
	}
	if median, peers := s.median(nil); peers >= minPeers && ratio > slowFactor*median {
		s.open(now, endpoint, b, "slow")
		return
	}
	s.close(endpoint, b)
}

// Eject opens the breakers of the slow ones among the endpoints of one model and
// returns their names. At most a fifth of the endpoints are ejected at a time.
func (s *Set) Eject(now time.Time, endpoints []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	median, peers := s.median(endpoints)
	if peers < minPeers {
		return nil
	}
	remaining := int(maxEjectShare*float64(len(endpoints))) - s.countSlow(endpoints)
	var names []string
	for _, name := range s.slowest(endpoints, slowFactor*median) {
		if remaining <= 0 {
			break
		}
		remaining--
		b := s.breakers[name]
		b.ejectedSlow = true
		s.open(now, name, b, "slow")
		ejected.Inc()
		names = append(names, name)
	}
	return names
}

// slowest returns the endpoints with a closed breaker and an average latency above
// limit, slowest first.
func (s *Set) slowest(endpoints []string, limit float64) []string {
	var names []string
	for _, name := range endpoints {
		b := s.breakers[name]
		if b != nil && b.state == Closed && b.latency.samples >= minSamples && b.latency.average > limit {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(x, y string) int {
		if s.breakers[x].latency.average > s.breakers[y].latency.average {
			return -1
		}
		return 1
	})
	return names
}

func (s *Set) countSlow(endpoints []string) int {
	n := 0
	for _, name := range endpoints {
		if b := s.breakers[name]; b != nil && b.ejectedSlow {
			n++
		}
	}
	return n
}

// median returns the median latency of the endpoints that have enough samples and
// are not ejected, and their number. If endpoints is nil, it considers the whole
// set.
func (s *Set) median(endpoints []string) (float64, int) {
	var averages []float64
	add := func(b *breaker) {
		if b != nil && b.latency.samples >= minSamples && !b.ejectedSlow {
			averages = append(averages, b.latency.average)
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
	if len(averages) == 0 {
		return 0, 0
	}
	slices.Sort(averages)
	return averages[len(averages)/2], len(averages)
}
