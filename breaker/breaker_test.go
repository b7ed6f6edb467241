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
