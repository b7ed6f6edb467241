// Package breaker keeps requests away from endpoints that fail or are slow
// against their peers. It does no I/O: time is an argument.
//
// A refusal is a sign of life, not a failure. Failures in a row open an
// endpoint's breaker; after a pause one probe is let through, and its result
// closes the breaker or opens it for twice as long.
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
	Closed   State = iota // requests pass
	Open                  // none pass until the pause is over
	HalfOpen              // one probe is on its way
)

// String returns the name used in events and status.
func (s State) String() string { return [...]string{"closed", "open", "half_open"}[s] }

const (
	failuresToOpen = 3 // failures in a row
	firstPause     = time.Second
	longestPause   = 30 * time.Second
	probeTimeout   = 30 * time.Second // a probe without a result counts as lost
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
	// OnChange, when set before use, is told of each change of state.
	OnChange func(endpoint string, s State, reason string)
}

type breaker struct {
	state    State
	failures int // in a row
	pause    time.Duration
	until    time.Time // end of the pause, or of the wait for a probe
	latency  latency
	slow     bool // open because of latency
}

// NewSet returns a set in which every breaker is closed.
func NewSet() *Set { return &Set{breakers: map[string]*breaker{}} }

// Blocked reports whether an endpoint takes no request now.
func (s *Set) Blocked(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[endpoint]
	return b != nil && b.state != Closed && now.Before(b.until)
}

// Acquire is called when a request goes to an endpoint. It returns false when
// another request took the probe meanwhile.
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

// Refused counts a refusal: the endpoint lives.
func (s *Set) Refused(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[endpoint]
	if b == nil {
		return
	}
	b.failures = 0
	if b.state == HalfOpen && !b.slow {
		s.close(endpoint, b)
	}
}

// Succeeded counts a success.
func (s *Set) Succeeded(now time.Time, endpoint string) { s.Refused(now, endpoint) }

// Failed counts a failure.
func (s *Set) Failed(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.get(endpoint)
	b.failures++
	switch {
	case b.state == HalfOpen:
		s.open(now, endpoint, b, "probe failed")
	case b.state == Closed && b.failures >= failuresToOpen:
		s.open(now, endpoint, b, "failing")
	}
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

// Forget drops what is known of an endpoint, after it left or started anew.
func (s *Set) Forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.breakers, endpoint)
}

func (s *Set) get(endpoint string) *breaker {
	b := s.breakers[endpoint]
	if b == nil {
		b = &breaker{}
		s.breakers[endpoint] = b
	}
	return b
}

func (s *Set) open(now time.Time, endpoint string, b *breaker, reason string) {
	b.pause = min(max(2*b.pause, firstPause), longestPause)
	b.until = now.Add(b.pause)
	b.state = Open
	opened.Inc()
	s.changed(endpoint, Open, reason)
}

func (s *Set) close(endpoint string, b *breaker) {
	*b = breaker{}
	closed.Inc()
	s.changed(endpoint, Closed, "")
}

func (s *Set) changed(endpoint string, state State, reason string) {
	if s.OnChange != nil {
		s.OnChange(endpoint, state, reason)
	}
}
