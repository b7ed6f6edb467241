package breaker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/breaker"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestBreakerOpensOnFailuresAndClosesAfterProbe(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	for range 3 {
		s.RecordFailure(start, "a")
	}
	g.Expect(s.Blocked(start, "a")).To(BeTrue())

	later := start.Add(2 * time.Second)
	g.Expect(s.Blocked(later, "a")).To(BeFalse())
	g.Expect(s.Acquire(later, "a")).To(BeTrue())
	g.Expect(s.Acquire(later, "a")).To(BeFalse(), "only one probe may be in flight")
	g.Expect(s.Blocked(later, "a")).To(BeTrue())

	s.RecordFailure(later, "a")
	g.Expect(s.Blocked(later.Add(1500*time.Millisecond), "a")).To(BeTrue(), "a failed probe doubles the pause")
	later = later.Add(3 * time.Second)
	g.Expect(s.Acquire(later, "a")).To(BeTrue())
	s.RecordSuccess(later, "a")
	g.Expect(s.State("a")).To(Equal(breaker.Closed))
}

func TestRefusalsDoNotOpenBreaker(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	for range 20 {
		s.RecordFailure(start, "a")
		s.RecordRefusal(start, "a")
	}
	g.Expect(s.Blocked(start, "a")).To(BeFalse())
}

func TestSlowEndpointsAreEjectedUpToMaxShare(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	var names []string
	for i := range 10 {
		name := fmt.Sprint("e", i)
		names = append(names, name)
		latency := time.Second
		if i < 4 {
			latency = 10 * time.Second
		}
		for range 5 {
			s.RecordLatency(start, name, latency, time.Second)
		}
	}
	g.Expect(s.Eject(start, names)).To(HaveLen(2))
	g.Expect(s.Eject(start, names)).To(BeEmpty(), "the maximum share is ejected already")

	later := start.Add(2 * time.Second)
	g.Expect(s.Acquire(later, "e0")).To(BeTrue())
	s.RecordLatency(later, "e0", time.Second, time.Second)
	g.Expect(s.State("e0")).To(Equal(breaker.Closed))
}

// A probe may end without a result, for example because its caller left. The breaker
// then opens for the same pause again and does not wait for the probe's timeout.
func TestReleasedProbeOpensBreakerForSamePause(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	for range 3 {
		s.RecordFailure(start, "a")
	}
	acquired := start.Add(2 * time.Second)
	g.Expect(s.Acquire(acquired, "a")).To(BeTrue())
	released := acquired.Add(time.Second)
	s.Release(released, "a", acquired)
	g.Expect(s.State("a")).To(Equal(breaker.Open))
	g.Expect(s.Blocked(released.Add(900*time.Millisecond), "a")).To(BeTrue())
	g.Expect(s.Acquire(released.Add(time.Second), "a")).To(BeTrue())
}

func TestReleaseOfOtherRequestKeepsProbe(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	s.Release(start, "a", start)
	g.Expect(s.Acquire(start, "a")).To(BeTrue(), "a request that is no probe")
	for range 3 {
		s.RecordFailure(start, "a")
	}
	later := start.Add(2 * time.Second)
	g.Expect(s.Acquire(later, "a")).To(BeTrue())
	s.Release(later.Add(time.Second), "a", start)
	g.Expect(s.State("a")).To(Equal(breaker.HalfOpen))
	g.Expect(s.Blocked(later.Add(10*time.Second), "a")).To(BeTrue())

	s.RecordSuccess(later.Add(10*time.Second), "a")
	s.Release(later.Add(10*time.Second), "a", later)
	g.Expect(s.State("a")).To(Equal(breaker.Closed))
}

// Callers that only ask Blocked let all requests pass after the pause. Their results
// decide as a probe's would.
func TestResultsWithoutAcquireAfterPause(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	for range 3 {
		s.RecordFailure(start, "a")
	}
	later := start.Add(1500 * time.Millisecond)
	g.Expect(s.Blocked(later, "a")).To(BeFalse())
	for range 3 {
		s.RecordFailure(later, "a")
	}
	g.Expect(s.Blocked(later.Add(1500*time.Millisecond), "a")).To(BeTrue(), "still failing: the pause doubles, once")
	later = later.Add(2 * time.Second)
	g.Expect(s.Blocked(later, "a")).To(BeFalse())
	s.RecordSuccess(later, "a")
	g.Expect(s.State("a")).To(Equal(breaker.Closed))
}

// The result of a request that was sent before the breaker opened is no probe's.
func TestResultsDuringPauseDoNotDecide(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet()
	for range 3 {
		s.RecordFailure(start, "a")
	}
	during := start.Add(500 * time.Millisecond)
	s.RecordSuccess(during, "a")
	s.RecordFailure(during, "a")
	g.Expect(s.State("a")).To(Equal(breaker.Open))
	g.Expect(s.Blocked(start.Add(time.Second), "a")).To(BeFalse())
}
