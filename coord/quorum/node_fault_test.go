package quorum_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

func (c *cluster) disk(name string) *wal.MemoryFolder { return c.disks[name].(*wal.MemoryFolder) }

// others returns all members except name.
func (c *cluster) others(name string) []string {
	var out []string
	for _, n := range memberNames(c) {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

func TestFollowerRejectsProposal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 2})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		follower := c.others(leader)[0]
		time.Sleep(time.Second)

		err := c.propose(follower, "x")
		var notLeader *quorum.ErrNotLeader
		g.Expect(errors.As(err, &notLeader)).To(BeTrue())
		g.Expect(*notLeader).To(Equal(quorum.ErrNotLeader{Leader: leader, Address: "addr-" + leader}))
		g.Expect(quorum.IsNotAppended(err)).To(BeTrue())

		c.network.isolate(follower, true)
		time.Sleep(2 * time.Second)
		err = c.propose(follower, "x")
		g.Expect(err).To(MatchError(quorum.ErrNoQuorum))
		g.Expect(c.node(follower).Status().HasQuorum).To(BeFalse())
		g.Expect(c.node(follower).ReadIndex(context.Background())).To(MatchError(quorum.ErrNoQuorum))
	})
}

func TestIsolatedLeaderReturnsUnknownThenNoQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 3})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		c.network.isolate(leader, true)
		isolatedAt := time.Now()

		err := c.propose(leader, "x")
		g.Expect(err).To(MatchError(quorum.ErrUnknown))
		g.Expect(quorum.IsNotAppended(err)).To(BeFalse())
		g.Expect(time.Since(isolatedAt)).To(BeNumerically("<=", quorum.ElectionTimeout+quorum.HeartbeatInterval))
		err = c.propose(leader, "y")
		g.Expect(err).To(MatchError(quorum.ErrNoQuorum))
		g.Expect(quorum.IsNotAppended(err)).To(BeTrue())
	})
}

func TestMemberStopsOnDiskFailure(t *testing.T) {
	for _, operation := range []string{"write", "sync"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(g, 3, quorum.Options{Seed: 4})
			defer c.stop()
			leader := c.leader(memberNames(c)...)
			c.disk(leader).SetFault(func(op, _ string) error {
				if op == operation {
					return errors.New("no space left on device")
				}
				return nil
			})
			_ = c.propose(leader, "x")
			c.eventually(func() error { return c.node(leader).Status().Err }).Should(MatchError(ContainSubstring("no space left")))
			g.Expect(c.node(leader).Status().Err).To(MatchError(ContainSubstring("log-")))
			next := c.leader(c.others(leader)...)
			g.Expect(c.propose(next, "y")).To(Succeed())
			g.Expect(c.propose(leader, "z")).To(MatchError(quorum.ErrStopped))
		})
	}
}

func TestStartFailsOnCorruptDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 5})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		for i := range 5 {
			g.Expect(c.propose(leader, fmt.Sprint(i))).To(Succeed())
		}
		c.kill(leader)
		c.disk(leader).Corrupt("log-0000000000000001", 60)
		_, err := quorum.Start(quorum.Options{
			Name: leader, Disk: c.disk(leader), StateMachine: &register{}, Transport: link{c.network, leader},
		})
		var corrupt *wal.CorruptError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue())
		g.Expect(corrupt.File).To(Equal("log-0000000000000001"))
		g.Expect(corrupt.Offset).To(BeNumerically("<=", 60))
	})
}

// TestRepairReplacesDisksInTurn replaces each disk in turn, as soon as the previous
// replacement is a voter, and checks that no command is lost.
func TestRepairReplacesDisksInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 6, Repair: true, LogBytes: 2000})
		defer c.stop()
		var want []string
		for round, name := range append(memberNames(c), memberNames(c)...) {
			leader := c.leader(memberNames(c)...)
			for i := range 20 {
				cmd := fmt.Sprintf("%d-%d", round, i)
				g.Expect(c.propose(leader, cmd)).To(Succeed())
				want = append(want, cmd)
			}
			c.kill(name)
			oldDisk := c.disks[name]
			c.disks[name] = wal.NewMemoryFolder()
			c.start(name)
			newIdentity := c.node(name).Status().DiskIdentity
			g.Expect(oldDisk).NotTo(BeIdenticalTo(c.disks[name]))
			c.eventually(func() []quorum.Member {
				return c.node(c.leader(memberNames(c)...)).Status().Voters
			}).Should(And(HaveLen(3), ContainElement(HaveField("Disk", newIdentity))))
		}
		for _, name := range memberNames(c) {
			c.eventually(c.machines[name].all).Should(Equal(want))
		}
	})
}

// TestQuorumIsFoundedWithoutLostMember guards against a quorum that never forms because an
// initial member was lost before its promise, and against one that leaves out a member
// although it may not.
func TestQuorumIsFoundedWithoutLostMember(t *testing.T) {
	for _, byMajority := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(g, 3, quorum.Options{Seed: 10, Repair: true, FoundByMajority: byMajority})
			defer c.stop()
			c.kill("m2")
			time.Sleep(quorum.FoundingTimeout - time.Second)
			g.Expect(c.node("m0").Status().Voters).To(BeEmpty())
			time.Sleep(10 * time.Second)
			if !byMajority {
				g.Expect(c.node("m0").Status().Voters).To(BeEmpty())
				return
			}
			leader := c.leader("m0", "m1")
			g.Expect(c.propose(leader, "a")).To(Succeed())
			g.Expect(c.node(leader).Status().Voters).To(HaveLen(2))
		})
	}
}

// TestMemberLearnsVotersAfterItsStart guards against a new disk that never joins because it
// knew no voter when it started.
func TestMemberLearnsVotersAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 8, Repair: true})
		defer c.stop()
		c.leader(memberNames(c)...)
		c.kill("m1")
		c.disks["m1"] = wal.NewMemoryFolder()
		all := c.members
		c.members = []quorum.Member{{Name: ""}}
		c.start("m1")
		c.members = all
		time.Sleep(5 * time.Second)
		g.Expect(c.node("m1").Status().Voters).To(BeEmpty())

		c.node("m1").SetMembers(append([]quorum.Member{{Name: ""}}, all...))
		c.eventually(func() []quorum.Member { return c.node("m1").Status().Voters }).
			Should(ContainElement(HaveField("Disk", c.node("m1").Status().DiskIdentity)))
	})
}

// TestLearnerRemovedWhileDownRejoins guards against a new disk that believes it is still a
// member: it was removed as a learner while its process was down, so it has to announce
// itself again.
func TestLearnerRemovedWhileDownRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 9, Repair: true})
		defer c.stop()
		c.leader(memberNames(c)...)
		c.kill("m1")
		c.disks["m1"] = wal.NewMemoryFolder()
		c.start("m1")
		disk := c.node("m1").Status().DiskIdentity
		hasDisk := ContainElement(HaveField("Disk", disk))
		c.eventually(func() []quorum.Member { return c.node("m1").Status().Learners }).
			WithPolling(time.Millisecond).Should(hasDisk)
		c.kill("m1")

		leader := c.node(c.leader(c.others("m1")...))
		remove := quorum.Change{Kind: quorum.Remove, Member: quorum.Member{Disk: disk}}
		c.eventually(func() error { return leader.ChangeMember(t.Context(), remove) }).WithPolling(time.Millisecond).Should(Succeed())
		g.Expect(leader.Status().Learners).NotTo(hasDisk)
		c.start("m1")
		c.eventually(func() []quorum.Member { return c.node(c.leader(memberNames(c)...)).Status().Voters }).Should(hasDisk)
	})
}

func TestSnapshotAndRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 7, LogBytes: 1000})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		var want []string
		for i := range 200 {
			g.Expect(c.propose(leader, fmt.Sprint(i))).To(Succeed())
			want = append(want, fmt.Sprint(i))
		}
		for _, name := range memberNames(c) {
			c.kill(name)
		}
		for _, name := range memberNames(c) {
			c.disk(name).Crash(func(int) int { return 0 })
			c.start(name)
		}
		for _, name := range memberNames(c) {
			c.eventually(c.machines[name].all).Should(Equal(want))
			g.Expect(c.disk(name).List()).To(ContainElement(HavePrefix("snapshot-")))
		}
	})
}

// TestLaggingMemberRestoresSnapshot cuts a member off until the others have dropped
// the entries that it lacks, because they are too many bytes.
func TestLaggingMemberRestoresSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 9, LogBytes: 4000})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		lagging := c.others(leader)[0]
		c.network.isolate(lagging, true)
		var want []string
		for i := range 50 {
			want = append(want, fmt.Sprintf("%0500d", i))
			g.Expect(c.propose(leader, want[i])).To(Succeed())
		}
		c.network.isolate(lagging, false)
		c.eventually(c.machines[lagging].all).Should(Equal(want))
		machine := c.machine(lagging)
		machine.mu.Lock()
		defer machine.mu.Unlock()
		g.Expect(machine.restores).To(BeNumerically(">", 0))
	})
}

func TestStopTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 8})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		time.Sleep(time.Second)
		c.node(leader).Stop()
		start := time.Now()
		c.leader(c.others(leader)...)
		g.Expect(time.Since(start)).To(BeNumerically("<", quorum.ElectionTimeout))
	})
}
