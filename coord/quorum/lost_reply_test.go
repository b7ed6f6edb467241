package quorum

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestLostReplyIsRevealedByHeartbeat guards against a change that waits for most of a second, and
// entries that are sent again, as the reply to them was lost: the next heartbeat tells that the
// member has them.
func TestLostReplyIsRevealedByHeartbeat(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	core := s.members[leader].core
	other, down := (leader+1)%3, (leader+2)%3
	s.isolate(down)
	s.propose(leader, strings.Repeat("x", 40))
	for len(s.inFlight) > 0 && s.inFlight[0].to == other {
		s.deliver(0)
	}
	s.syncAll()
	s.inFlight = nil // the reply
	for range 2 * core.config.HeartbeatTicks {
		s.tick(leader)
		s.deliverAll(true)
	}
	g.Expect(core.Commit()).To(Equal(core.LastIndex()))
}
