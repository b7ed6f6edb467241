// Package breaker implements circuit breakers that keep requests away from
// endpoints that fail or are much slower than their peers. It does no I/O: time is
// an argument.
//
// Consecutive failures open an endpoint's breaker. After a pause one probe request
// passes; its result closes the breaker or opens it for twice as long. A probe that
// ends without a result opens it for the same pause again. A refusal shows that the
// endpoint is alive, so it does not count as a failure.
//
// A caller that can't hold requests back one by one asks Blocked and never calls
// Acquire. All its requests pass after the pause, and the first result decides.
package breaker

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// State is the state of one breaker.
type State uint8

// States.
const (
	Closed   State = iota // all requests pass
	Open                  // no request passes until the pause is over
	HalfOpen              // one probe is in flight
)

// String returns the name used in events and status reports.
func (s State) String() string { return [...]string{"closed", "open", "half_open"}[s] }

const (
	failuresToOpen = 3 // consecutive failures
	minPause       = time.Second
	maxPause       = 30 * time.Second
	probeTimeout   = 30 * time.Second // after this time without a result the next probe may pass
)

var (
	opened  = metrics.NewCounter("jacinthplank_breaker_opened_total")
	closed  = metrics.NewCounter("jacinthplank_breaker_closed_total")
	ejected = metrics.NewCounter("jacinthplank_breaker_ejected_total")
)

// Set holds the breakers of all endpoints. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	breakers map[string]*breaker
	// OnChange is called when a breaker opens or closes. It must be set before use,
	// and may be nil.
	OnChange func(endpoint string, s State, reason string)
}

type breaker struct {
	state       State
	failures    int // consecutive
	pause       time.Duration
	until       time.Time // end of the pause, or of the probe timeout
	latency     latency
	ejectedSlow bool // opened because of latency
}

// NewSet returns a Set in which every breaker is closed.
func NewSet() *Set { return &Set{breakers: map[string]*breaker{}} }

// Blocked reports whether the breaker of an endpoint lets no request pass now.
func (s *Set) Blocked(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[endpoint]
	return b != nil && b.state != Closed && now.Before(b.until)
}

// Acquire is called before a request is sent to an endpoint. It reports
// whether the request may pass: it may not when another request became the probe
// in the meantime. After a request that passed, Release must be called.
func (s *Set) Acquire(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[endpoint]
	if b == nil || b.state == Closed {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.state = HalfOpen
	b.until = now.Add(probeTimeout)
	return true
}

// Release must be called when a request has ended, after its result was recorded, if
// it has one. acquired is the time passed to Acquire. If the request was the probe and
// its result did not decide, for example because its caller left, the breaker opens for
// the same pause again.
func (s *Set) Release(now time.Time, endpoint string, acquired time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[endpoint]
	if b == nil || b.state != HalfOpen || !b.until.Equal(acquired.Add(probeTimeout)) {
		return
	}
	b.state = Open
	b.until = now.Add(b.pause)
}

// RecordRefusal records that an endpoint refused a request, which shows that it is
// alive.
func (s *Set) RecordRefusal(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[endpoint]
	if b == nil {
		return
	}
	b.failures = 0
	if b.awaitsResult(now) && !b.ejectedSlow {
		s.close(endpoint, b)
	}
}

// RecordSuccess records a success.
func (s *Set) RecordSuccess(now time.Time, endpoint string) { s.RecordRefusal(now, endpoint) }

// RecordFailure records a failure.
func (s *Set) RecordFailure(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.getOrCreate(endpoint)
	b.failures++
	switch {
	case b.awaitsResult(now):
		s.open(now, endpoint, b, "probe failed")
	case b.state == Closed && b.failures >= failuresToOpen:
		s.open(now, endpoint, b, "failing")
	}
}

// awaitsResult reports whether the next result closes the breaker or opens it again:
// a probe is in flight, or the pause is over and requests may pass without Acquire.
func (b *breaker) awaitsResult(now time.Time) bool {
	return b.state == HalfOpen || (b.state == Open && !now.Before(b.until))
}

// State returns the state of an endpoint's breaker.
func (s *Set) State(endpoint string) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.breakers[endpoint]; b != nil {
		return b.state
	}
	return Closed
}

// Remove discards the state of an endpoint that left or restarted.
func (s *Set) Remove(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.breakers, endpoint)
}

func (s *Set) getOrCreate(endpoint string) *breaker {
	b := s.breakers[endpoint]
	if b == nil {
		b = &breaker{}
		s.breakers[endpoint] = b
	}
	return b
}

func (s *Set) open(now time.Time, endpoint string, b *breaker, reason string) {
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.until = now.Add(b.pause)
	b.state = Open
	opened.Inc()
	s.notifyChange(endpoint, Open, reason)
}

func (s *Set) close(endpoint string, b *breaker) {
	*b = breaker{}
	closed.Inc()
	s.notifyChange(endpoint, Closed, "")
}

func (s *Set) notifyChange(endpoint string, state State, reason string) {
	if s.OnChange != nil {
		s.OnChange(endpoint, state, reason)
	}
}
