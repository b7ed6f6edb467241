package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLateRequestsAreRefusedUnlessTheyFit checks who is refused while callers leave an entry that shuts down.
func TestLateRequestsAreRefusedUnlessTheyFit(t *testing.T) {
	g := NewWithT(t)
	begun := time.Unix(1000, 0)
	const timeout = 8 * time.Second
	s := newShutdown()
	g.Expect(s.isTooLate(begun, begun.Add(time.Hour))).To(BeFalse(), "no shutdown has begun")
	d := s.begin(begun, timeout)
	g.Expect(d.killed).To(Equal(begun.Add(timeout)))
	g.Expect(d.requests.After(d.admission)).To(BeTrue())
	for name, c := range map[string]struct {
		arrived, deadline time.Time
		refused           bool
	}{
		"while the balancer still sends":      {d.admission, d.killed.Add(time.Minute), false},
		"late, and ends before the process":   {d.admission.Add(1), d.requests, false},
		"late, and may outlast the process":   {d.admission.Add(1), d.requests.Add(1), true},
		"after the end of all other requests": {d.requests.Add(1), d.requests.Add(time.Second), true},
	} {
		g.Expect(s.isTooLate(c.arrived, c.deadline)).To(Equal(c.refused), name)
	}
}
