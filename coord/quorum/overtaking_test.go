package quorum

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestEntriesOvertakenByHeartbeatsAreSentOnce guards against entries that are sent again and
// again, as a heartbeat that overtakes them is rejected, on links where they take long.
func TestEntriesOvertakenByHeartbeatsAreSentOnce(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	slow := (leader + 1) % 3
	core := s.members[leader].core
	core.config.BytesPerTick = 1
	command := strings.Repeat("x", 30)
	s.propose(leader, command)
	for range 20 {
		s.tick(leader)
		s.deliverSmall(slow)
	}
	g.Expect(core.Commit()).To(Equal(core.LastIndex()))
	g.Expect(s.bytesInFlight(t, slow)).To(Equal(len(command)))
	s.settle(400)
	g.Expect(s.members[slow].applied).To(Equal(s.members[leader].applied))
}

// TestLostEntriesAreSentAgainSoon guards against a member that stays behind for good: entries are
// lost on links where heartbeats overtake them, with and without a report of the transport.
func TestLostEntriesAreSentAgainSoon(t *testing.T) {
	for name, isReported := range map[string]bool{"reported": true, "not reported": false} {
		t.Run(name, func(t *testing.T) {
			g, s, leader := newSettledCluster(t)
			lossy := (leader + 1) % 3
			core := s.members[leader].core
			core.config.BytesPerTick = 10
			s.propose(leader, "lost")
			s.dropBulk(lossy)
			if isReported {
				core.ReportLost(s.members[lossy].core.config.Self)
			}
			for range 2 * core.config.HeartbeatTicks {
				s.tick(leader)
				s.deliverAll(true)
			}
			caughtUp := s.members[lossy].core.LastIndex() == core.LastIndex()
			g.Expect(caughtUp).To(Equal(isReported))
			s.settle(400)
			g.Expect(s.members[lossy].applied).To(Equal(s.members[leader].applied))
		})
	}
}

// isBulk reports whether a message holds entries or a part of a snapshot.
func (s *simulation) isBulk(packet inFlightMessage) bool {
	m, err := DecodeMessage(packet.data)
	if err != nil {
		s.reporter.Fatalf("%v", err)
	}
	return len(m.Entries) > 0 || m.Kind == InstallSnapshot
}

// deliverSmall delivers the messages to a member without entries, and all of the others.
func (s *simulation) deliverSmall(slow int) {
	for range 4 {
		for position := 0; position < len(s.inFlight); {
			if packet := s.inFlight[position]; packet.to == slow && s.isBulk(packet) {
				position++
				continue
			}
			s.deliver(position)
		}
		s.syncAll()
	}
}

// dropBulk loses the messages with entries to a member.
func (s *simulation) dropBulk(to int) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(packet inFlightMessage) bool { return packet.to == to && s.isBulk(packet) })
}
