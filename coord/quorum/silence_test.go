package quorum

import (
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// newSilentMember returns a settled cluster of five, its leader, a successor and a voter that has
// been cut off for the given ticks.
func newSilentMember(t *testing.T, ticks int) (g *WithT, s *simulation, leader, successor, lost int) {
	t.Helper()
	g = NewWithT(t)
	s = newSimulation(t, 3, 5)
	s.bootstrap()
	s.settle(60)
	leader, ok := s.leader()
	g.Expect(ok).To(BeTrue())
	successor, lost = (leader+1)%5, (leader+2)%5
	s.isolate(lost)
	s.run(ticks)
	return g, s, leader, successor, lost
}

// handOver transfers the leadership and expects that the successor leads.
func (s *simulation) handOver(g *WithT, from, to int) {
	s.transfer(from, to)
	s.deliverAll(true)
	g.Expect(s.members[to].core.Role()).To(Equal(Leader))
}

// TestSilenceOutlastsHandOvers guards against a lost voter that counts for as long as no leader lasts
// for the silence after which it is removed.
func TestSilenceOutlastsHandOvers(t *testing.T) {
	const lasts = 12
	g, s, leader, successor, lost := newSilentMember(t, lasts)
	disk := s.members[lost].core.config.Self
	for i := range 4 {
		s.handOver(g, leader, successor)
		leader, successor = successor, leader
		core := s.members[leader].core
		g.Expect(core.isFirstReplyOverdue(disk)).To(BeFalse(), "before its reply is due")
		s.run(lasts)
		g.Expect(core.silentTicks(disk)).To(BeNumerically("<=", lasts))
		g.Expect(core.totalSilence(disk)).To(BeNumerically(">=", (i+2)*lasts))
		g.Expect(core.totalSilence(disk)).To(BeNumerically("<=", (i+2)*lasts+s.members[leader].core.config.HeartbeatTicks))
		g.Expect(core.isFirstReplyOverdue(disk)).To(BeTrue())
	}
	for i := range s.members {
		other := s.members[i].core.config.Self
		if i != lost && i != leader {
			g.Expect(s.members[leader].core.isFirstReplyOverdue(other)).To(BeFalse())
			g.Expect(s.members[leader].core.totalSilence(other)).To(BeNumerically("<", lasts))
		}
	}
}

// TestInheritedSilenceEndsWithMessage guards against a voter that is taken for lost though it has replied
// to the new leader, or has voted for it.
func TestInheritedSilenceEndsWithMessage(t *testing.T) {
	t.Run("reply", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 40)
		core, disk := s.members[successor].core, s.members[lost].core.config.Self
		s.handOver(g, leader, successor)
		s.run(10)
		g.Expect(core.totalSilence(disk)).To(BeNumerically(">=", 50))
		g.Expect(core.isFirstReplyOverdue(disk)).To(BeTrue())
		clear(s.cutLinks)
		s.run(4)
		g.Expect(core.totalSilence(disk)).To(BeNumerically("<=", 4))
		g.Expect(core.isFirstReplyOverdue(disk)).To(BeFalse())
	})
	t.Run("late vote", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 40)
		core, disk := s.members[successor].core, s.members[lost].core.config.Self
		s.handOver(g, leader, successor)
		s.run(10)
		core.Step(s.newMessage(lost, successor, Message{Kind: VoteReply, Term: core.Term()}))
		g.Expect(core.totalSilence(disk)).To(BeNumerically("<=", 10))
		g.Expect(core.isFirstReplyOverdue(disk)).To(BeFalse())
	})
	t.Run("message before the election is won", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 0)
		core, disk := s.members[successor].core, s.members[lost].core.config.Self
		core.Step(s.newMessage(leader, successor, Message{Kind: TimeoutNow, Term: core.Term(), Silences: []memberSilence{{disk, 100, 1}}}))
		core.Step(s.newMessage(lost, successor, Message{Kind: VoteReply, Term: core.Term()}))
		core.becomeLeader()
		g.Expect(core.totalSilence(disk)).To(BeZero())
	})
	t.Run("vote", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 40)
		core, disk := s.members[successor].core, s.members[lost].core.config.Self
		clear(s.cutLinks)
		s.handOver(g, leader, successor)
		g.Expect(core.totalSilence(disk)).To(BeNumerically("<=", 1))
		g.Expect(core.isFirstReplyOverdue(disk)).To(BeFalse())
	})
}

// TestSilenceOfAnotherLeaderIsNotInherited guards against measurements that are out of date: those of
// an older term, those of a member that doesn't lead, and those from before another leader.
func TestSilenceOfAnotherLeaderIsNotInherited(t *testing.T) {
	silences := func(s *simulation, of int) []memberSilence {
		return []memberSilence{{s.members[of].core.config.Self, 100, 1}}
	}
	t.Run("older term", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 0)
		core := s.members[successor].core
		core.Step(s.newMessage(leader, successor, Message{Kind: TimeoutNow, Term: core.Term() - 1, Silences: silences(s, lost)}))
		g.Expect(core.Role()).To(Equal(Follower))
		g.Expect(core.inherited.members).To(BeEmpty())
	})
	t.Run("not the leader", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 0)
		core, other := s.members[successor].core, (lost+1)%5
		g.Expect(other).NotTo(Equal(leader))
		core.Step(s.newMessage(other, successor, Message{Kind: TimeoutNow, Term: core.Term(), Silences: silences(s, lost)}))
		g.Expect(core.inherited.members).To(BeEmpty())
	})
	t.Run("another leader since", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 0)
		core, disk := s.members[successor].core, s.members[lost].core.config.Self
		core.Step(s.newMessage(leader, successor, Message{Kind: TimeoutNow, Term: core.Term(), Silences: silences(s, lost)}))
		g.Expect(core.inherited.members).To(HaveLen(1))
		s.inFlight = nil
		core.becomeFollower(core.Term(), s.members[leader].core.config.Self)
		core.campaign(true)
		core.becomeLeader()
		g.Expect(core.totalSilence(disk)).To(BeZero())
	})
	t.Run("another leader's entries", func(t *testing.T) {
		g, s, leader, successor, lost := newSilentMember(t, 0)
		core, disk := s.members[successor].core, s.members[lost].core.config.Self
		core.Step(s.newMessage(leader, successor, Message{Kind: TimeoutNow, Term: core.Term(), Silences: silences(s, lost)}))
		core.inherited.term--
		core.becomeLeader()
		g.Expect(core.totalSilence(disk)).To(BeZero())
	})
}

// TestSilenceDuringElectionCounts guards against a silence that begins anew in each election on slow links.
func TestSilenceDuringElectionCounts(t *testing.T) {
	g, s, leader, successor, lost := newSilentMember(t, 0)
	core, disk := s.members[successor].core, s.members[lost].core.config.Self
	core.Step(s.newMessage(leader, successor, Message{Kind: TimeoutNow, Term: core.Term(), Silences: []memberSilence{{disk, 100, 1}}}))
	for range 3 {
		core.Tick()
	}
	core.becomeLeader()
	core.Tick()
	g.Expect(core.totalSilence(disk)).To(BeNumerically("==", 104))
}

// TestSilenceIsBoundedAndOfMembers guards against a message that makes sums overflow, and against
// measurements of disks that are no members.
func TestSilenceIsBoundedAndOfMembers(t *testing.T) {
	g, s, leader, successor, lost := newSilentMember(t, 0)
	core, disk := s.members[successor].core, s.members[lost].core.config.Self
	core.Step(s.newMessage(leader, successor, Message{Kind: TimeoutNow, Term: core.Term(), Silences: []memberSilence{
		{disk, math.MaxUint64, math.MaxUint64}, {"unknown", 100, 1},
	}}))
	core.becomeLeader()
	g.Expect(core.totalSilence(disk)).To(BeNumerically("==", maxReportedTicks))
	core.Tick()
	g.Expect(core.isFirstReplyOverdue(disk)).To(BeFalse())
	g.Expect(core.leaderState.progress).NotTo(HaveKey(DiskIdentity("unknown")))
}

// TestSilenceOfUnknownMemberIsNotHandedOver guards against the removal of a voter whose replies take longer
// than each leader lasts: how long isn't known, as it has replied to none of them.
func TestSilenceOfUnknownMemberIsNotHandedOver(t *testing.T) {
	g, s, leader, successor, lost := newSilentMember(t, 12)
	s.members[leader].core.leaderState.progress[s.members[lost].core.config.Self].replyTicks = 0
	for range 4 {
		s.handOver(g, leader, successor)
		leader, successor = successor, leader
		s.run(12)
		disk := s.members[lost].core.config.Self
		g.Expect(s.members[leader].core.totalSilence(disk)).To(BeZero())
		g.Expect(s.members[leader].core.isFirstReplyOverdue(disk)).To(BeFalse())
	}
}

// TestReplyOverSlowLinkIsAwaited guards against the removal of a voter that lives behind a slow link while
// each leader lasts for less than a reply takes.
func TestReplyOverSlowLinkIsAwaited(t *testing.T) {
	const late, lasts = 8, 13 // ticks of 50 ms each way; replies take longer than a leader lasts
	g, s, leader, successor, slow := newSilentMember(t, 0)
	clear(s.cutLinks)
	disk := s.members[slow].core.config.Self
	type delayed struct {
		due    int
		packet inFlightMessage
	}
	var held []delayed
	now := 0
	deliver := func() {
		for range 10 {
			s.inFlight = slices.DeleteFunc(s.inFlight, func(p inFlightMessage) bool {
				if p.to == slow || p.from == slow {
					held = append(held, delayed{now + late, p})
					return true
				}
				return false
			})
			for n := len(s.inFlight); n > 0; n-- {
				s.deliver(0)
			}
			s.syncAll()
		}
	}
	run := func(ticks int) {
		for range ticks {
			now++
			s.tickAll()
			for len(held) > 0 && held[0].due <= now {
				s.inFlight = append(s.inFlight, held[0].packet)
				s.deliver(len(s.inFlight) - 1)
				held = held[1:]
			}
			deliver()
		}
	}
	run(60)
	g.Expect(s.members[leader].core.leaderState.progress[disk].replyTicks).To(BeNumerically(">=", 2*late))
	for range 6 {
		s.transfer(leader, successor)
		deliver()
		leader, successor = successor, leader
		core := s.members[leader].core
		g.Expect(core.Role()).To(Equal(Leader))
		for range lasts {
			run(1)
			g.Expect(core.isFirstReplyOverdue(disk)).To(BeFalse())
		}
	}
}

// TestOutageIsNoSlowReply guards against a voter that returns, is lost again and counts for longer, as
// its outage was taken for the time that its replies take.
func TestOutageIsNoSlowReply(t *testing.T) {
	g, s, leader, _, lost := newSilentMember(t, 400)
	p := s.members[leader].core.leaderState.progress[s.members[lost].core.config.Self]
	g.Expect(p.replyTicks).To(BeNumerically("<=", 1))
	clear(s.cutLinks)
	s.run(4)
	g.Expect(p.hasReplied).To(BeTrue())
	g.Expect(p.replyTicks).To(BeNumerically("<=", maxReplyFactor*s.members[leader].core.config.ElectionTicks+s.members[leader].core.config.HeartbeatTicks))
	s.run(16)
	g.Expect(p.replyTicks).To(BeNumerically("<=", 1))
}

// TestSilencesAreEncoded guards against measurements that are lost on the way.
func TestSilencesAreEncoded(t *testing.T) {
	g := NewWithT(t)
	m := Message{Kind: TimeoutNow, Cluster: "c", From: "a", To: "b", Term: 3, Silences: []memberSilence{{"d", 40, 2}, {"e", 0, 1}}}
	data, err := EncodeMessage(m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DecodeMessage(data)).To(Equal(m))
}
