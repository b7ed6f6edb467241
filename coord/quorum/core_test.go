package quorum

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// newSettledCluster returns a settled cluster of three members and the index of
// its leader.
func newSettledCluster(t *testing.T) (*WithT, *simulation, int) {
	t.Helper()
	g := NewWithT(t)
	s := newSimulation(t, 7, 3)
	s.bootstrap()
	s.settle(40)
	leader, ok := s.leader()
	g.Expect(ok).To(BeTrue())
	s.propose(leader, "first")
	s.settle(10)
	return g, s, leader
}

// newMessage returns m with the sender, receiver and cluster filled in.
func (s *simulation) newMessage(from, to int, m Message) Message {
	m.From, m.To = s.members[from].core.config.Self, s.members[to].core.config.Self
	m.Cluster = s.members[from].core.hardState.Cluster
	return m
}

// deliverAll delivers the messages in flight and those they cause, and syncs all
// disks in between if withSync is set.
func (s *simulation) deliverAll(withSync bool) {
	for range 20 {
		for n := len(s.inFlight); n > 0; n-- {
			s.deliver(0)
		}
		if withSync {
			s.syncAll()
		}
	}
}

// electWithout isolates the leader of three members and returns the next one, whose first entry
// no other member has, and the member that has voted for it.
func (s *simulation) electWithout(leader int) (next, voter int) {
	s.isolate(leader)
	others := [2]int{(leader + 1) % 3, (leader + 2) % 3}
	for range 1000 {
		for _, i := range others {
			s.tick(i)
		}
		s.deliverAll(false)
		s.syncAll()
		for k, i := range others {
			if s.members[i].core.Role() == Leader {
				return i, others[1-k]
			}
		}
	}
	s.reporter.Fatalf("no leader of two of three members")
	return 0, 0
}

func TestVoteRejectsStaleLog(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	voter, candidate := (leader+1)%3, (leader+2)%3
	term := s.members[voter].core.Term() + 1
	vote := s.newMessage(candidate, voter, Message{Kind: Vote, Term: term, Force: true, Index: 1, LogTerm: 1})
	s.members[voter].core.Step(vote)
	s.handleReady(voter)
	g.Expect(s.members[voter].core.hardState.Vote).To(BeEmpty())
}

func TestVoteAndPreVoteRejectedWhileLeaderActive(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	voter, candidate := (leader+1)%3, (leader+2)%3
	core := s.members[voter].core
	for _, kind := range []MessageKind{PreVote, Vote} {
		m := s.newMessage(candidate, voter, Message{Kind: kind, Term: core.Term() + 1, Index: 99, LogTerm: 99})
		core.Step(m)
		g.Expect(core.Leader()).To(Equal(s.members[leader].core.config.Self), kind.String())
	}
	for _, m := range core.Ready().Messages {
		g.Expect(m.Reject).To(BeTrue())
	}
}

func TestIsolatedMemberDoesNotIncrementTerm(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	term := s.members[leader].core.Term()
	other := (leader + 1) % 3
	s.isolate(other)
	for range 200 {
		s.tickAll()
		s.deliverAll(true)
	}
	g.Expect(s.members[other].core.Term()).To(Equal(term))
	s.settle(30)
	g.Expect(s.members[leader].core.Role()).To(Equal(Leader))
}

func TestPartitionedLeaderStepsDownWithoutAnswering(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	s.isolate(leader)
	before := s.members[leader].core.Commit()
	answered := s.answeredReads
	s.propose(leader, "lost")
	s.read(leader)
	s.deliverAll(true)
	for range s.members[leader].core.config.ElectionTicks + 1 {
		s.tick(leader)
	}
	g.Expect(s.members[leader].core.Role()).NotTo(Equal(Leader))
	g.Expect(s.members[leader].core.Commit()).To(Equal(before))
	g.Expect(s.answeredReads).To(Equal(answered))
	_, _, err := s.members[leader].core.Propose([]byte("more"))
	g.Expect(err).To(MatchError(ErrNoQuorum))
}

func TestReadWaitsForNewHeartbeatRound(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	s.inFlight = nil
	s.read(leader)
	g.Expect(s.answeredReads).To(Equal(0))
	s.deliverAll(true)
	g.Expect(s.answeredReads).To(Equal(1))
}

// TestReadWaitsForFirstCommitOfTerm guards against serving a read before the
// new leader's first commit: the old leader may have committed more entries than
// the new leader knows to be committed.
func TestReadWaitsForFirstCommitOfTerm(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	next, voter := s.electWithout(leader)
	s.inFlight = nil
	s.read(next)
	s.members[next].core.Step(s.newMessage(voter, next, Message{
		Kind: AppendReply, Term: s.members[next].core.Term(), Round: 1, Reject: true,
	}))
	s.handleReady(next)
	g.Expect(s.answeredReads).To(Equal(0))
	s.settle(5)
	g.Expect(s.answeredReads).To(Equal(1))
}

func TestCommitRequiresMajoritySync(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	before := s.members[leader].core.Commit()
	s.propose(leader, "x")
	s.deliverAll(false)
	g.Expect(s.members[leader].core.Commit()).To(Equal(before), "no member has synced")

	// Heartbeat replies are immediate, but must not acknowledge unsynced entries.
	for range s.members[leader].core.config.HeartbeatTicks {
		s.tick(leader)
	}
	s.deliverAll(false)
	g.Expect(s.members[leader].core.Commit()).To(Equal(before), "only heartbeats were acknowledged")

	s.sync((leader+1)%3, 1)
	s.deliverAll(false)
	g.Expect(s.members[leader].core.Commit()).To(Equal(before), "one of three has synced")
	s.sync(leader, 1)
	g.Expect(s.members[leader].core.Commit()).To(Equal(before+1), "two of three have synced")
}

func TestCommitWithSlowLeaderDisk(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	before := s.members[leader].core.Commit()
	s.propose(leader, "x")
	s.deliverAll(false)
	s.sync((leader+1)%3, 1)
	s.sync((leader+2)%3, 1)
	s.deliverAll(false)
	g.Expect(s.members[leader].core.Commit()).To(Equal(before + 1))
}

func TestMisaddressedAndUnknownSenderMessagesRejected(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	voter, candidate := (leader+1)%3, (leader+2)%3
	core := s.members[voter].core
	term := core.Term()
	good := s.newMessage(candidate, voter, Message{Kind: Vote, Term: term + 1, Force: true, Index: 99, LogTerm: 99})

	otherDisk, otherQuorum, stranger := good, good, good
	otherDisk.To = "other"
	otherQuorum.Cluster = "other"
	stranger.From = "other"
	for _, m := range []Message{otherDisk, otherQuorum, stranger} {
		core.Step(m)
		g.Expect(core.Term()).To(Equal(term))
	}
	core.Step(good)
	g.Expect(core.Term()).To(Equal(term + 1))
}

func TestMembershipChangesAreSerialized(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	core := s.members[leader].core
	add := func(disk DiskIdentity) error {
		_, _, err := core.ChangeMember(Change{Kind: AddLearner, Member: Member{Name: string(disk), Disk: disk}})
		return err
	}
	g.Expect(add("a")).To(Succeed())
	g.Expect(add("b")).To(MatchError(ErrChangePending))
	s.handleReady(leader)
	s.deliverAll(true)
	g.Expect(add("b")).To(Succeed())
	s.handleReady(leader)
	s.deliverAll(true)

	_, _, err := core.ChangeMember(Change{Kind: Promote, Member: Member{Disk: "a"}})
	g.Expect(err).To(MatchError(ErrNotCaughtUp), "a blank disk must not become a voter")
	_, _, err = core.ChangeMember(Change{Kind: Remove, Member: Member{Disk: "none"}})
	g.Expect(err).To(MatchError(ErrChangeInvalid))
}

// TestNewLeaderRejectsChangeBeforeFirstCommit guards against a known flaw of
// single-server membership changes: two leaders that have not committed in their
// terms could commit changes with majorities that do not overlap.
func TestNewLeaderRejectsChangeBeforeFirstCommit(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	next, _ := s.electWithout(leader)
	change := Change{Kind: AddLearner, Member: Member{Name: "a", Disk: "a"}}
	_, _, err := s.members[next].core.ChangeMember(change)
	g.Expect(err).To(MatchError(ErrChangePending))
}

// TestSecondDiskLossAfterRepairPreservesCommittedEntries replaces one disk, waits
// for the leader to repair the quorum, and immediately replaces another disk.
func TestSecondDiskLossAfterRepairPreservesCommittedEntries(t *testing.T) {
	for second := range 3 {
		g, s, leader := newSettledCluster(t)
		first := (leader + 1) % 3
		s.replaceDisk(first, nil)
		for range 200 {
			s.settle(1)
			voters := s.members[leader].core.Configuration()
			if _, ok := voters.Voter(s.members[first].core.config.Self); ok && s.canLoseDisk(second) {
				break
			}
		}
		committed := s.lastCommitted()
		s.replaceDisk(second, nil)
		s.settle(200)
		next, ok := s.leader()
		g.Expect(ok).To(BeTrue())
		g.Expect(s.members[next].core.Configuration().Voters).To(HaveLen(3))
		for _, m := range s.members {
			g.Expect(m.applied).To(BeNumerically(">=", committed))
			_, isVoter := s.members[next].core.Configuration().Voter(m.core.config.Self)
			g.Expect(isVoter).To(BeTrue())
		}
	}
}

// TestReplacedDiskDoesNotVote replaces the disk of a follower and isolates the
// leader: the new disk and the third member must not form a majority.
func TestReplacedDiskDoesNotVote(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	first := (leader + 1) % 3
	s.replaceDisk(first, nil)
	s.isolate(leader)
	for range 300 {
		s.tickAll()
		s.deliverAll(true)
	}
	for _, m := range s.members {
		g.Expect(m.core.Role()).NotTo(Equal(Leader))
	}
}

func TestLeadershipTransfer(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	next := (leader + 1) % 3
	s.transfer(leader, next)
	s.deliverAll(true)
	g.Expect(s.members[next].core.Role()).To(Equal(Leader))
}

// Guards against leadership that goes to a member that is itself about to stop.
func TestPreferredMemberSucceeds(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	core := s.members[leader].core
	for _, successor := range []int{(leader + 1) % 3, (leader + 2) % 3} {
		self := s.members[successor].bootstrap.self
		got, found := core.BestSuccessor(func(m Member) bool { return m.Name == self.Name })
		g.Expect(found).To(BeTrue())
		g.Expect(got).To(Equal(self.Disk))
	}
	_, found := core.BestSuccessor(func(Member) bool { return false })
	g.Expect(found).To(BeTrue(), "any member is better than none")
}

// TestSingleVoterSendsNothingBeforeTermSynced guards against a learner that
// receives two different entries with the same index and term after the voter
// crashes.
func TestSingleVoterSendsNothingBeforeTermSynced(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 3, 2)
	s.members[0].core.Bootstrap(Configuration{
		Voters:   []Member{s.members[0].bootstrap.self},
		Learners: []Member{s.members[1].bootstrap.self},
	})
	s.handleReady(0)
	s.sync(0, 1)
	for range 25 {
		s.tick(0)
	}
	g.Expect(s.members[0].core.Role()).To(Equal(Leader))
	g.Expect(s.inFlight).To(BeEmpty())
	s.settle(5)
	g.Expect(s.members[1].applied).To(Equal(s.members[0].applied))
}

func TestOpenStorageRejectsMissingFiles(t *testing.T) {
	for _, missing := range []string{identityFile, "log-0000000000000001", snapshotPrefix} {
		g := NewWithT(t)
		folder := wal.NewMemoryFolder()
		s, _, err := openStorage(folder, "d1", simulatedTail)
		g.Expect(err).NotTo(HaveOccurred())
		if missing == snapshotPrefix {
			missing = snapshotName(3)
			g.Expect(s.write([]Ready{{Snapshot: &Snapshot{Index: 3, Term: 1}}})).To(Succeed())
		}
		g.Expect(folder.Remove(missing)).To(Succeed())
		_, _, err = openStorage(folder, "d2", simulatedTail)
		var corrupt *wal.CorruptError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "without %s: %v", missing, err)
	}
}

// TestStaleSyncDoesNotCoverReplacedEntries completes a write after its entries were
// replaced by those of another leader and then by equal ones: it must not mark the
// latest entries as synced.
func TestStaleSyncDoesNotCoverReplacedEntries(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	follower := (leader + 1) % 3
	core := s.members[follower].core
	last := core.LastIndex()
	appendOf := func(term, entryTerm uint64) {
		m := s.newMessage(leader, follower, Message{Kind: Append, Term: term, Index: last, LogTerm: core.log.lastTerm()})
		m.LogTerm, _ = core.log.term(last)
		m.Entries = []Entry{{Index: last + 1, Term: entryTerm, Kind: EntryEmpty}}
		core.Step(m)
	}
	term := core.Term()
	appendOf(term, term)
	first := core.Ready().Sequence
	appendOf(term+1, term+1)
	core.Ready()
	appendOf(term+2, term)
	core.Ready()
	core.Synced(first)
	g.Expect(core.synced).To(Equal(last))
}

// After a restart of all members there is no leader to wait for. Callers wait for the
// configuration meanwhile, so most elections end well before a usual timeout.
func TestElectionAfterCommonRestartStartsEarly(t *testing.T) {
	const runs = 40
	early := 0
	for seed := range uint64(runs) {
		s := newSimulation(t, seed, 3)
		s.bootstrap()
		s.settle(40)
		for i := range s.members {
			s.crash(i)
		}
		s.settle(s.members[0].core.config.ElectionTicks / 2)
		if _, found := s.leader(); found {
			early++
		}
	}
	t.Logf("%d of %d elections ended early", early, runs)
	NewWithT(t).Expect(early).To(BeNumerically(">", runs*3/4))
}
