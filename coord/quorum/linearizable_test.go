package quorum_test

import (
	"context"
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
