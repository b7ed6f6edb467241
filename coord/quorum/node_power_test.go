package quorum_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

var (
	powerSeed   = flag.Uint64("quorum.power-seed", 1, "seed of TestPowerLossOfAllMembers")
	powerRounds = flag.Int("quorum.power-rounds", 6, "losses of power in TestPowerLossOfAllMembers")
)

// powerRun is a cluster whose goroutines run in parallel, on disks that lose power at any
// operation and keep any part of what was not synced.
type powerRun struct {
	g       *WithT
	random  *rand.Rand
	disks   []*powerDisk
	network *network
	members []quorum.Member

	mu           sync.Mutex
	acknowledged []string
}

// newPowerRun returns a run on in-memory disks, or on those below a folder.
func newPowerRun(g *WithT, seed uint64, size int, folder string) *powerRun {
	p := &powerRun{
		g: g, random: rand.New(rand.NewPCG(seed, 1)),
		network: &network{nodes: map[string]*quorum.Node{}, cutLinks: map[[2]string]bool{}, frozen: map[string]bool{}},
	}
	for i := range size {
		name := fmt.Sprintf("m%d", i)
		p.members = append(p.members, quorum.Member{Name: name, Address: "addr-" + name})
		path := ""
		if folder != "" {
			path = filepath.Join(folder, name)
		}
		p.disks = append(p.disks, newPowerDisk(path))
	}
	return p
}

// start starts a member. Some starts lose power before they are done.
func (p *powerRun) start(i int, machine *register) *quorum.Node {
	for {
		interrupted := p.random.IntN(2) == 0
		if interrupted {
			p.disks[i].failAfter(p.random.Int64N(14))
		}
		m := p.members[i]
		node, err := quorum.Start(quorum.Options{
			Name: m.Name, Address: m.Address, Members: p.members, Disk: p.disks[i].open(p.g), StateMachine: machine,
			Transport: link{p.network, m.Name}, Seed: p.random.Uint64() | 1, LogBytes: 600,
		})
		if interrupted && errors.Is(err, errNoPower) {
			p.disks[i].losePower(p.g, p.random)
			continue
		}
		files, _ := p.disks[i].model.List()
		p.g.Expect(err).NotTo(HaveOccurred(), "start of %s, files %v", m.Name, files)
		p.disks[i].model.SetFault(nil)
		if node.Status().Err == nil {
			return node
		}
		node.Stop()
		p.disks[i].losePower(p.g, p.random)
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
	for name, folder := range map[string]string{"in-memory disks": "", "directories": t.TempDir()} {
		t.Run(name, func(t *testing.T) { losePowerRepeatedly(t, folder) })
	}
}

func losePowerRepeatedly(t *testing.T, folder string) {
	g := NewWithT(t)
	p := newPowerRun(g, *powerSeed, 3, folder)
	for round := range *powerRounds {
		machines := p.startAll()
		commands := p.awaitState(machines)
		for _, command := range p.acknowledged {
			g.Expect(slices.Contains(commands, command)).To(BeTrue(), "%s is in force in round %d", command, round)
		}
		for _, disk := range p.disks {
			disk.failAfter(20 + p.random.Int64N(400))
		}
		done := make(chan struct{})
		workers := p.proposeUntil(done, round)
		time.Sleep(time.Duration(200+p.random.IntN(400)) * time.Millisecond)
		for _, disk := range p.disks {
			disk.failAfter(0)
		}
		for _, n := range p.nodes() {
			n.Stop()
		}
		close(done)
		workers.Wait()
		for _, disk := range p.disks {
			disk.losePower(g, p.random)
		}
	}
	t.Logf("%d commands acknowledged", len(p.acknowledged))
}
