package quorum

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestRepairOutlastsChangesOfLeader guards against a lost disk that stays a voter as each new leader
// waits anew for it to be silent, though its entry's new disk has announced itself or is caught up:
// then two more losses leave two of five voters, and no leader for good. The leader changes every
// 0.75 s, as after connections that went silent, and 4 s later another disk may be lost.
func TestRepairOutlastsChangesOfLeader(t *testing.T) {
	const replaced, changeTicks, within = 0, 15, 80 // 50 ms each
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newSimulation(t, seed, 5)
		s.bootstrap()
		s.settle(60)
		s.replaceDisk(replaced, nil)
		newDisk := s.members[replaced].core.config.Self
		for tick := range within {
			if leader, ok := s.leader(); ok && tick%changeTicks == changeTicks-1 {
				s.transfer(leader, 1+leader%4)
				s.handleReady(leader)
			}
			s.run(1)
		}
		leader, ok := s.leader()
		g.Expect(ok).To(BeTrue())
		_, votes := s.members[leader].core.Configuration().Voter(newDisk)
		g.Expect(votes).To(BeTrue(), "seed %d: %v", seed, s.members[leader].core.Configuration())
	}
}
