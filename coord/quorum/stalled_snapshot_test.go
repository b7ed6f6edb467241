package quorum

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// TestLeaderStaysWhileSnapshotArrives guards against a leader that steps down again and again while the
// voter that it needs for a majority receives a snapshot over a slow link: each time the
// snapshot is sent from its start, and no change is ever committed.
func TestLeaderStaysWhileSnapshotArrives(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	behind, lost := (leader+1)%3, (leader+2)%3
	s.isolate(behind)
	for range 30 {
		s.propose(leader, "1234567890")
		s.deliverAll(true)
	}
	s.compact(leader)
	s.cutLinks = map[[2]int]bool{}
	s.isolate(lost)
	for _, m := range s.members {
		m.core.config.MaxMessageBytes = 16 // the snapshot takes 30 messages
	}
	s.propose(leader, "waits for the voter that is behind")
	term := s.members[leader].core.Term()
	chunkTicks := s.members[leader].core.config.ElectionTicks - 3
	type lateChunk struct {
		tick   int
		packet inFlightMessage
	}
	var late []lateChunk
	for tick := range 60 * chunkTicks {
		s.tickAll()
		for range 10 {
			s.inFlight = slices.DeleteFunc(s.inFlight, func(packet inFlightMessage) bool {
				m, err := DecodeMessage(packet.data)
				g.Expect(err).NotTo(HaveOccurred())
				if m.Kind == InstallSnapshot {
					late = append(late, lateChunk{tick + chunkTicks, packet})
				}
				return m.Kind == InstallSnapshot
			})
			for n := len(s.inFlight); n > 0; n-- {
				s.deliver(0)
			}
			s.syncAll()
		}
		for len(late) > 0 && late[0].tick <= tick {
			s.inFlight = append(s.inFlight, late[0].packet)
			s.deliver(len(s.inFlight) - 1)
			late = late[1:]
		}
	}
	g.Expect(s.members[leader].core.Commit()).To(Equal(s.members[leader].core.LastIndex()))
	g.Expect(s.members[leader].core.Term()).To(Equal(term), "the leader stepped down")
	g.Expect(s.members[behind].applied).To(Equal(s.members[leader].core.LastIndex()))
}
