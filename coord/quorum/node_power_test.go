package quorum_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

var (
	powerSeed   = flag.Uint64("quorum.power-seed", 1, "seed of TestPowerLossOfAllMembers")
	powerRounds = flag.Int("quorum.power-rounds", 6, "losses of power in TestPowerLossOfAllMembers")
)

var errNoPower = errors.New("no power")

// powerRun is a cluster whose goroutines run in parallel, on disks that lose power at any
// operation and keep any part of what was not synced.
type powerRun struct {
	g       *WithT
	random  *rand.Rand
	disks   []*wal.MemoryFolder
	network *network
	members []quorum.Member

	mu           sync.Mutex
	acknowledged []string
}

func newPowerRun(g *WithT, seed uint64, size int) *powerRun {
	p := &powerRun{
		g: g, random: rand.New(rand.NewPCG(seed, 1)),
		network: &network{nodes: map[string]*quorum.Node{}, cutLinks: map[[2]string]bool{}, frozen: map[string]bool{}},
	}
	for i := range size {
		name := fmt.Sprintf("m%d", i)
		p.members = append(p.members, quorum.Member{Name: name, Address: "addr-" + name})
		p.disks = append(p.disks, wal.NewMemoryFolder())
	}
	return p
}

// failAfter lets a disk fail each operation after the given number of them.
func failAfter(disk *wal.MemoryFolder, operations int64) {
	var left atomic.Int64
	left.Store(operations)
	disk.SetFault(func(string, string) error {
		n := left.Add(-1)
		if n < 0 {
			return errNoPower
		}
		if n%3 == 0 {
			time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
		}
		return nil
	})
}

func (p *powerRun) losePower(disk *wal.MemoryFolder) {
	disk.SetFault(nil)
	keep := func(size int) (from, to int) {
		switch p.random.IntN(4) {
		case 0:
			return 0, 0
		case 1:
			return 0, size
		}
		from = p.random.IntN(size + 1)
		return from, from + p.random.IntN(size-from+1)
	}
	isKept := func() bool { return p.random.IntN(2) == 1 }
	disk.PowerLoss(keep, isKept, isKept)
}

// start starts a member. Some starts lose power before they are done.
func (p *powerRun) start(i int, machine *register) *quorum.Node {
	for {
		interrupted := p.random.IntN(2) == 0
		if interrupted {
			failAfter(p.disks[i], p.random.Int64N(14))
		}
		m := p.members[i]
		node, err := quorum.Start(quorum.Options{
			Name: m.Name, Address: m.Address, Members: p.members, Disk: p.disks[i], StateMachine: machine,
			Transport: link{p.network, m.Name}, Seed: p.random.Uint64() | 1, LogBytes: 600,
		})
		if interrupted && errors.Is(err, errNoPower) {
			p.losePower(p.disks[i])
			continue
		}
		files, _ := p.disks[i].List()
		p.g.Expect(err).NotTo(HaveOccurred(), "start of %s, files %v", m.Name, files)
		p.disks[i].SetFault(nil)
		if node.Status().Err == nil {
			return node
		}
		node.Stop()
		p.losePower(p.disks[i])
	}
}

func (p *powerRun) startAll() []*register {
	machines := make([]*register, len(p.members))
	for i, m := range p.members {
		machines[i] = &register{}
		node := p.start(i, machines[i])
		p.network.mu.Lock()
		p.network.nodes[m.Name] = node
		p.network.mu.Unlock()
	}
	return machines
}

func (p *powerRun) nodes() []*quorum.Node {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	var out []*quorum.Node
	for _, m := range p.members {
		out = append(out, p.network.nodes[m.Name])
	}
	return out
}

// awaitState waits for a leader and returns the commands that it has applied.
func (p *powerRun) awaitState(machines []*register) []string {
	var commands []string
	nodes := p.nodes()
	p.g.Eventually(func() bool {
		for i, n := range nodes {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			err := n.ReadIndex(ctx)
			cancel()
			if err == nil {
				commands = machines[i].all()
				return true
			}
		}
		return false
	}).WithTimeout(15*time.Second).WithPolling(10*time.Millisecond).Should(BeTrue(), "a leader answers a read")
	return commands
}

// proposeUntil proposes commands of different sizes to all members until done is closed.
func (p *powerRun) proposeUntil(done <-chan struct{}, round int) *sync.WaitGroup {
	var workers sync.WaitGroup
	for w, n := range p.nodes() {
		random := rand.New(rand.NewPCG(uint64(w), p.random.Uint64()))
		workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				command := fmt.Sprintf("%d-%d-%d-%0*d", round, w, i, 1+random.IntN(300), 0)
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				_, err := n.Propose(ctx, []byte(command))
				cancel()
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				p.mu.Lock()
				p.acknowledged = append(p.acknowledged, command)
				p.mu.Unlock()
			}
		})
	}
	return &workers
}

// TestPowerLossOfAllMembers guards against a disk that is refused, a quorum without a leader
// and a lost command after all members lose power, again and again, at any operation of their
// disks: while snapshots are written by one goroutine and the log is replaced by another, and
// during the next starts.
func TestPowerLossOfAllMembers(t *testing.T) {
	g := NewWithT(t)
	p := newPowerRun(g, *powerSeed, 3)
	for round := range *powerRounds {
		machines := p.startAll()
		commands := p.awaitState(machines)
		for _, command := range p.acknowledged {
			g.Expect(slices.Contains(commands, command)).To(BeTrue(), "%s is in force in round %d", command, round)
		}
		for _, disk := range p.disks {
			failAfter(disk, 20+p.random.Int64N(400))
		}
		done := make(chan struct{})
		workers := p.proposeUntil(done, round)
		time.Sleep(time.Duration(200+p.random.IntN(400)) * time.Millisecond)
		for _, disk := range p.disks {
			failAfter(disk, 0)
		}
		for _, n := range p.nodes() {
			n.Stop()
		}
		close(done)
		workers.Wait()
		for _, disk := range p.disks {
			p.losePower(disk)
		}
	}
	t.Logf("%d commands acknowledged", len(p.acknowledged))
}
