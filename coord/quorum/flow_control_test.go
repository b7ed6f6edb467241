package quorum

import (
	"slices"
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

// TestHeartbeatMayOvertakeEntries guards against a leader that takes entries for lost because a
// heartbeat, which is small, arrived before them, and sends them again.
func TestHeartbeatMayOvertakeEntries(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	slow := (leader + 1) % 3
	core := s.members[leader].core
	p := core.leaderState.progress[s.members[slow].core.config.Self]
	var late []inFlightMessage
	bytes := 0
	for tick := range 5 * core.config.HeartbeatTicks {
		if tick < 2 {
			s.propose(leader, "1234567890")
		}
		s.tick(leader)
		for len(s.inFlight) > 0 {
			packet := s.inFlight[0]
			m, err := DecodeMessage(packet.data)
			g.Expect(err).NotTo(HaveOccurred())
			if packet.to != slow || len(m.Entries) == 0 {
				s.deliver(0)
				s.syncAll()
				continue
			}
			bytes += dataBytes(m.Entries)
			late = append(late, packet)
			s.inFlight = s.inFlight[1:]
		}
	}
	g.Expect(p.state).To(Equal(replicating))
	g.Expect(bytes).To(Equal(20), "each entry is sent once")
	s.inFlight = append(s.inFlight, late...)
	s.deliverAll(true)
	g.Expect(p.match).To(Equal(core.LastIndex()))
}

// TestLostEntriesAreSentAgain guards against entries that are never sent again after they were
// lost on their way, as nothing that follows them is rejected.
func TestLostEntriesAreSentAgain(t *testing.T) {
	for name, isReported := range map[string]bool{"reported by the transport": true, "not reported": false} {
		t.Run(name, func(t *testing.T) {
			g, s, leader := newSettledCluster(t)
			other := (leader + 1) % 3
			core := s.members[leader].core
			disk := s.members[other].core.config.Self
			s.propose(leader, "lost")
			s.inFlight = slices.DeleteFunc(s.inFlight, func(packet inFlightMessage) bool { return packet.to == other })
			s.deliverAll(true)
			limit := 2 * core.config.ElectionTicks
			if isReported {
				core.ReportLost(disk)
				limit = 3 * core.config.HeartbeatTicks
			}
			for range limit {
				s.tick(leader)
				s.deliverAll(true)
			}
			g.Expect(core.leaderState.progress[disk].match).To(Equal(core.LastIndex()))
		})
	}
}

// TestSyncedEntriesAreKnownAfterALostReply guards against a commit that waits for the next change:
// the reply to a message with entries is lost, and the replies to heartbeats that follow tell
// nothing of the entries that the member had not synced before.
func TestSyncedEntriesAreKnownAfterALostReply(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	other := (leader + 1) % 3
	core, member := s.members[leader].core, s.members[other].core
	p := core.leaderState.progress[member.config.Self]
	s.propose(leader, "late")
	s.deliverAll(false) // no disk syncs
	s.tick(leader)
	p.probe() // as after an election
	p.next = core.LastIndex() + 1
	for range 2 * core.config.HeartbeatTicks {
		s.tick(leader)
		s.deliverAll(false)
	}
	g.Expect(p.match).To(BeNumerically("<", core.LastIndex()))
	s.members[other].unsynced[0].AfterSync = nil // the reply
	for range 2 * core.config.HeartbeatTicks {
		s.deliverAll(true)
		s.tick(leader)
	}
	g.Expect(p.match).To(Equal(core.LastIndex()))
}
