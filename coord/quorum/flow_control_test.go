package quorum

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSilentMemberIsSentLittle guards against a leader that fills its link and its memory with what
// it sends again and again to a member that is down, or that still receives the last of it: no
// other member is caught up meanwhile.
func TestSilentMemberIsSentLittle(t *testing.T) {
	for name, state := range map[string]progressState{"probing": probing, "replicating": replicating, "snapshotting": snapshotting} {
		t.Run(name, func(t *testing.T) { testSilentMember(t, state) })
	}
}

func testSilentMember(t *testing.T, state progressState) {
	const ticks = 200
	command := strings.Repeat("x", 40)
	g, s, leader := newSettledCluster(t)
	silent := (leader + 1) % 3
	core := s.members[leader].core
	p := core.leaderState.progress[s.members[silent].core.config.Self]
	if state == snapshotting {
		s.isolate(silent)
		for range 30 {
			s.propose(leader, command)
			s.deliverOthers(silent)
		}
		s.compact(leader)
		s.cutLinks = map[[2]int]bool{}
		p.next = 1
	}
	p.state = min(state, replicating) // a snapshot follows from next
	for range ticks {
		s.propose(leader, command)
		s.tick(leader)
		s.deliverOthers(silent)
	}
	g.Expect(p.state).To(Equal(state))
	g.Expect(s.bytesInFlight(t, silent)).To(BeNumerically("<=", 2*core.config.MaxMessageBytes))
	g.Expect(core.Commit()).To(BeNumerically(">=", ticks))
	s.settle(400)
	g.Expect(s.members[silent].applied).To(Equal(s.members[leader].applied))
}

// deliverOthers delivers all messages but those to one member, and syncs all disks.
func (s *simulation) deliverOthers(except int) {
	for range 4 {
		for position := 0; position < len(s.inFlight); {
			if s.inFlight[position].to == except {
				position++
				continue
			}
			s.deliver(position)
		}
		s.syncAll()
	}
}

// bytesInFlight returns the bytes of entries and snapshots on their way to a member.
func (s *simulation) bytesInFlight(t *testing.T, to int) int {
	size := 0
	for _, packet := range s.inFlight {
		if packet.to != to {
			continue
		}
		m, err := DecodeMessage(packet.data)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if m.Snapshot != nil {
			size += len(m.Snapshot.Data)
		}
	}
	return size
}

// TestLearnerThatLacksLargeEntriesIsNotPromoted guards against a voter that is busy for seconds
// with the entries that it lacks, while the disk that it replaces doesn't vote any more.
func TestLearnerThatLacksLargeEntriesIsNotPromoted(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	core := s.members[leader].core
	behind := (leader + 1) % 3
	s.isolate(behind)
	for range 4 {
		s.propose(leader, strings.Repeat("x", maxPromotionLagBytes/2))
		s.deliverOthers(behind)
	}
	disk := s.members[behind].core.config.Self
	p := core.leaderState.progress[disk]
	p.state = replicating
	g.Expect(core.Commit() - p.match).To(BeNumerically("<=", maxPromotionLag))
	g.Expect(core.isCaughtUp(disk)).To(BeFalse())
	p.match = core.Commit() - 2
	g.Expect(core.isCaughtUp(disk)).To(BeTrue())
}
