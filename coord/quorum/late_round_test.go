package quorum

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestLateHeartbeatOfEarlierTermConfirmsNoRead guards against a stale read: a heartbeat of the leader's
// earlier term, delayed until it leads again, is answered with its round, which is higher than those of the
// new term.
func TestLateHeartbeatOfEarlierTermConfirmsNoRead(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	follower, other := (leader+1)%3, (leader+2)%3
	s.settle(100)
	s.inFlight = nil
	for s.tick(leader); len(s.inFlight) == 0; s.tick(leader) {
	}
	var late []inFlightMessage
	for _, p := range s.inFlight {
		if p.to == follower {
			late = append(late, p)
		}
	}
	g.Expect(late).NotTo(BeEmpty())
	s.inFlight = nil
	s.handOver(g, leader, other)
	s.handOver(g, other, leader)
	s.settle(3)

	s.inFlight = append(s.inFlight, late...)
	s.deliverAll(true)
	core := s.members[leader].core
	g.Expect(core.leaderState.progress[s.members[follower].core.config.Self].round).To(BeNumerically("<=", core.leaderState.round))

	// The leader is cut off, and the others elect one and commit.
	next, _ := s.electWithout(leader)
	s.propose(next, "newer")
	for range 5 {
		s.deliverAll(true)
		s.tick(next)
	}
	g.Expect(core.Role()).To(Equal(Leader))
	s.read(leader)
	g.Expect(s.answeredReads).To(BeZero())
}
