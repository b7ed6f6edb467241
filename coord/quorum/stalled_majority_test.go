package quorum

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestLeaderWhoseEntriesReachMinorityStepsDown guards against a leader that stays though nothing is
// committed, as one voter acknowledges each new change and its heartbeats pass to all.
func TestLeaderWhoseEntriesReachMinorityStepsDown(t *testing.T) {
	const size, seconds = 5, 10
	g := NewWithT(t)
	s := newSimulation(t, 7, size)
	s.bootstrap()
	s.settle(60)
	leader, ok := s.leader()
	g.Expect(ok).To(BeTrue())
	core := s.members[leader].core
	reached := (leader + 1) % size
	term, commit := core.Term(), core.Commit()
	perSecond := 2 * core.config.ElectionTicks
	for tick := range seconds * perSecond {
		if tick%perSecond == 0 {
			s.propose(leader, "change")
		}
		s.tickAll()
		for range 4 {
			for other := range size {
				if other != reached {
					s.dropBulk(other)
				}
			}
			for n := len(s.inFlight); n > 0; n-- {
				s.deliver(0)
			}
			s.syncAll()
		}
		if core.Term() != term || core.Role() != Leader {
			return
		}
	}
	g.Expect(core.Commit()).To(Equal(commit))
	t.Errorf("the leader of term %d stays", term)
}
