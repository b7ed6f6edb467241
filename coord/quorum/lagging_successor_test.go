package quorum

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestLaggingSuccessorVotes guards against a member without a vote while large changes go on: its old
// disk has been removed, and its new one lacks the last few of them. Then the loss of two of four
// voters leaves no leader for good.
func TestLaggingSuccessorVotes(t *testing.T) {
	const replaced, late = 0, 20 // ticks by which the changes are late at the new disk
	for seed := range uint64(3) {
		g := NewWithT(t)
		s := newSimulation(t, seed, 5)
		s.bootstrap()
		s.settle(60)
		s.replaceDisk(replaced, nil)
		newDisk := s.members[replaced].core.config.Self
		configuration := func() Configuration {
			if leader, ok := s.leader(); ok {
				return s.members[leader].core.Configuration()
			}
			return Configuration{}
		}
		for range 400 {
			if s.run(1); len(configuration().Voters) == 4 {
				break
			}
		}
		g.Expect(configuration().Voters).To(HaveLen(4))
		leader, _ := s.leader()
		for range 3 {
			s.propose(leader, strings.Repeat("x", maxPromotionLagBytes))
		}
		for range late {
			s.tickAll()
			for range 6 {
				s.inFlight = slices.DeleteFunc(s.inFlight, func(m inFlightMessage) bool {
					return m.to == replaced && len(m.data) >= maxPromotionLagBytes
				})
				for n := len(s.inFlight); n > 0; n-- {
					s.deliver(0)
				}
				s.syncAll()
			}
			s.repair()
		}
		_, votes := configuration().Voter(newDisk)
		g.Expect(votes).To(BeTrue(), "seed %d: %d voters", seed, len(configuration().Voters))

		s.inFlight = nil
		for i := range s.members {
			s.compact(i) // the checks of the simulation read each log after each event
		}
		s.replaceDisk(1, nil)
		s.replaceDisk(2, nil)
		s.settle(300)
		leader, ok := s.leader()
		g.Expect(ok).To(BeTrue(), "seed %d: no leader", seed)
		s.propose(leader, "after")
		s.settle(60)
		g.Expect(configuration().Voters).To(HaveLen(5))
	}
}
