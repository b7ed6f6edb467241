package quorum

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestLaggingFollowerReceivesSnapshot(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	behind := (leader + 1) % 3
	s.isolate(behind)
	for range 30 {
		s.propose(leader, "x")
		s.tick(leader)
		s.deliverAll(true)
	}
	s.compact(leader)
	base := s.members[leader].core.log.baseIndex
	g.Expect(base).To(BeNumerically(">", s.members[behind].core.LastIndex()))
	s.settle(40)
	g.Expect(s.members[behind].applied).To(Equal(s.members[leader].applied))
	s.crash(behind)
	g.Expect(s.members[behind].core.Commit()).To(BeNumerically(">=", base))
}

// TestSnapshotTransferWithLostAndDuplicatedChunks also restarts the receiver during
// the transfer. The simulation checks that a restored snapshot is one that was
// taken.
func TestSnapshotTransferWithLostAndDuplicatedChunks(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	behind := (leader + 1) % 3
	s.isolate(behind)
	for range 30 {
		s.propose(leader, "x")
		s.tick(leader)
		s.deliverAll(true)
	}
	s.compact(leader)
	s.cutLinks = map[[2]int]bool{}
	pieces, restarts := 0, 0
	for step := 0; s.members[behind].applied < s.members[leader].applied && step < 5000; step++ {
		if step%10 == 0 {
			s.tick(leader)
			s.syncAll()
		}
		if len(s.inFlight) == 0 {
			continue
		}
		m, err := DecodeMessage(s.inFlight[0].data)
		g.Expect(err).NotTo(HaveOccurred())
		if m.Kind == InstallSnapshot {
			pieces++
		}
		switch {
		case m.Kind == InstallSnapshot && pieces%4 == 1:
			s.inFlight = s.inFlight[1:]
		case m.Kind == InstallSnapshot && pieces%4 == 2:
			s.inFlight = append(s.inFlight, s.inFlight[0])
			s.deliver(0)
		case m.Kind == InstallSnapshot && pieces == 4 && restarts == 0:
			restarts++
			s.crash(behind)
		default:
			s.deliver(0)
		}
	}
	g.Expect(s.members[behind].applied).To(Equal(s.members[leader].applied))
	g.Expect(pieces).To(BeNumerically(">", 12))
	g.Expect(restarts).To(Equal(1))
}
