package quorum_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
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

// registerOp is an operation on the register: a write of value, or a read.
type registerOp struct {
	isWrite bool
	value   string
}

// registerModel is the porcupine model of a register: a read returns the last
// written value.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerOp)
		if in.isWrite {
			return true, in.value
		}
		return output == state, state
	},
}

// history records the operations of the clients of a cluster and their results.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	unknown    []porcupine.Operation
	rejected   []string
	reads      int
}

// runOperation runs one operation at a random member and records it. A write with an
// unknown outcome may take effect at any later time.
func (h *history) runOperation(c *cluster, random *rand.Rand, client, i int) {
	name := memberNames(c)[random.IntN(len(memberNames(c)))]
	node, machine := c.node(name), c.machine(name)
	if node == nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	input := registerOp{isWrite: random.IntN(2) == 0, value: fmt.Sprintf("%d-%d", client, i)}
	op := porcupine.Operation{ClientId: client, Input: input, Call: time.Now().UnixNano()}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	var err error
	if input.isWrite {
		_, err = node.Propose(ctx, []byte(input.value))
	} else if err = node.ReadIndex(ctx); err == nil {
		op.Output = machine.last()
	}
	op.Return = time.Now().UnixNano()
	h.record(op, err)
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
}

func (h *history) record(op porcupine.Operation, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	input := op.Input.(registerOp)
	switch {
	case err == nil:
		h.operations = append(h.operations, op)
		if !input.isWrite {
			h.reads++
		}
	case input.isWrite && quorum.IsNotAppended(err):
		h.rejected = append(h.rejected, input.value)
	case input.isWrite:
		op.Return = time.Now().Add(time.Hour).UnixNano()
		h.unknown = append(h.unknown, op)
	}
}

func (r *register) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.commands) == 0 {
		return ""
	}
	return r.commands[len(r.commands)-1]
}

func (c *cluster) machine(name string) *register {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.machines[name]
}

// injectFault injects a random fault, waits, and clears it.
func (c *cluster) injectFault(random *rand.Rand) {
	name := memberNames(c)[random.IntN(len(memberNames(c)))]
	pause := time.Duration(200+random.IntN(2000)) * time.Millisecond
	switch random.IntN(5) {
	case 4:
		c.network.freeze(name, true)
		time.Sleep(pause)
		c.network.freeze(name, false)
	case 0:
		c.network.isolate(name, true)
		time.Sleep(pause)
		c.network.isolate(name, false)
	case 1:
		c.network.cutOutgoing(name, true)
		time.Sleep(pause)
		c.network.cutOutgoing(name, false)
	case 2:
		c.kill(name)
		c.disk(name).Crash(func(atRisk int) int { return random.IntN(atRisk + 1) })
		time.Sleep(pause)
		c.start(name)
	case 3:
		c.kill(name)
		c.disks[name] = c.newSlowDisk()
		c.start(name)
		time.Sleep(10 * time.Second)
	}
	time.Sleep(pause)
}

// cutOutgoing cuts the outgoing links of a member, or restores them.
func (n *network) cutOutgoing(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		n.cutLinks[[2]string{name, other}] = cut
	}
}

// newSlowDisk returns a disk whose syncs take 3 ms.
func (c *cluster) newSlowDisk() *wal.MemoryFolder {
	folder := wal.NewMemoryFolder()
	folder.SetFault(func(op, _ string) error {
		if op == "sync" {
			time.Sleep(3 * time.Millisecond)
		}
		return nil
	})
	return folder
}

// TestLinearizableUnderFaults checks that client histories are linearizable while
// members are partitioned in one or both directions, freeze, crash and lose unsynced
// writes, or have their disks replaced and repaired. A write that was rejected as
// not appended must never be applied.
func TestLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var h *history
			synctest.Test(t, func(t *testing.T) { h = recordHistory(t, seed) })
			if t.Failed() {
				return
			}
			t.Logf("seed %d: %d operations, %d reads, %d unknown, %d rejected",
				seed, len(h.operations), h.reads, len(h.unknown), len(h.rejected))
			g := NewWithT(t)
			g.Expect(len(h.operations)).To(BeNumerically(">", 100))
			result := porcupine.CheckOperationsTimeout(registerModel, h.operations, 30*time.Second)
			g.Expect(result).To(Equal(porcupine.Ok))
		})
	}
}

func recordHistory(t *testing.T, seed uint64) *history {
	g := NewWithT(t)
	c := newCluster(g, 3, quorum.Options{Seed: 100 + seed, Repair: true, LogBytes: 3000})
	defer c.stop()
	c.leader(memberNames(c)...)
	h := &history{}
	faultsOver := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-faultsOver:
					return
				default:
					h.runOperation(c, random, client, i)
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for range 10 {
		c.injectFault(random)
	}
	close(faultsOver)
	clients.Wait()

	leader := c.leader(memberNames(c)...)
	c.eventually(func() error { return c.propose(leader, "end") }).Should(Succeed())
	applied := c.machines[leader].all()
	for _, value := range h.rejected {
		g.Expect(applied).NotTo(ContainElement(value), "write rejected as not appended was applied")
	}
	// A write that was not applied before the final command never will be: its
	// operation is left out of the history.
	for _, op := range h.unknown {
		if slices.Contains(applied, op.Input.(registerOp).value) {
			h.operations = append(h.operations, op)
		}
	}
	return h
}
