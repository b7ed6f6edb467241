package quorum_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// register is a state machine that records commands. The result of a command is the
// number of commands so far.
type register struct {
	mu       sync.Mutex
	commands []string
	restores int
}

func (r *register) Apply(_ uint64, cmd []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(cmd))
	return binary.AppendUvarint(nil, uint64(len(r.commands)))
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []byte
	for _, c := range r.commands {
		out = binary.AppendUvarint(out, uint64(len(c)))
		out = append(out, c...)
	}
	return out, nil
}

func (r *register) Restore(snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restores++
	r.commands = nil
	for len(snapshot) > 0 {
		size, n := binary.Uvarint(snapshot)
		snapshot = snapshot[n:]
		r.commands = append(r.commands, string(snapshot[:size]))
		snapshot = snapshot[size:]
	}
	return nil
}

func (r *register) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.commands...)
}

// network delivers messages between the nodes of a test, except over links that are
// cut.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*quorum.Node
	cutLinks map[[2]string]bool
	frozen   map[string]bool

	messages atomic.Int64
	bytes    atomic.Int64
}

type link struct {
	network *network
	from    string
}

func (l link) Send(to quorum.Member, msgs [][]byte) {
	for l.network.isFrozen(l.from) {
		time.Sleep(freezePollInterval)
	}
	l.network.mu.Lock()
	node := l.network.nodes[to.Name]
	isCut := l.network.cutLinks[[2]string{l.from, to.Name}]
	l.network.mu.Unlock()
	if node == nil || isCut {
		return
	}
	for _, m := range msgs {
		l.network.messages.Add(1)
		l.network.bytes.Add(int64(len(m)))
		node.Step(l.from, m)
	}
}

const freezePollInterval = 5 * time.Millisecond

func (n *network) isFrozen(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[name]
}

// freeze blocks a member's goroutines when they send their next message, or resumes
// them.
func (n *network) freeze(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[name] = frozen
}

// isolate cuts all links of a member, or restores them.
func (n *network) isolate(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		n.cutLinks[[2]string{name, other}] = cut
		n.cutLinks[[2]string{other, name}] = cut
	}
}

// cluster is a group of nodes in one process, by default with in-memory disks.
type cluster struct {
	g        *WithT
	network  *network
	members  []quorum.Member
	disks    map[string]wal.Folder
	machines map[string]*register
	options  quorum.Options
}

func newCluster(g *WithT, size int, options quorum.Options) *cluster {
	c := &cluster{
		g:        g,
		network:  &network{nodes: map[string]*quorum.Node{}, cutLinks: map[[2]string]bool{}, frozen: map[string]bool{}},
		disks:    map[string]wal.Folder{},
		machines: map[string]*register{},
		options:  options,
	}
	for i := range size {
		name := fmt.Sprintf("m%d", i)
		c.members = append(c.members, quorum.Member{Name: name, Address: "addr-" + name})
		c.disks[name] = c.newSlowDisk()
	}
	for _, m := range c.members {
		c.start(m.Name)
	}
	return c
}

func (c *cluster) start(name string) { c.startWith(name, link{c.network, name}) }

func (c *cluster) startWith(name string, transport quorum.Transport) {
	machine := &register{}
	c.network.mu.Lock()
	c.machines[name] = machine
	c.network.mu.Unlock()
	o := c.options
	o.Name, o.Address, o.Members = name, "addr-"+name, c.members
	o.Disk, o.StateMachine, o.Transport = c.disks[name], machine, transport
	o.Seed = c.options.Seed + uint64(name[1])
	node, err := quorum.Start(o)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.network.mu.Lock()
	c.network.nodes[name] = node
	c.network.mu.Unlock()
}

func (c *cluster) node(name string) *quorum.Node {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.network.nodes[name]
}

// kill stops a node without a leadership transfer, by isolating it first.
func (c *cluster) kill(name string) {
	c.network.isolate(name, true)
	c.node(name).Stop()
	c.network.mu.Lock()
	delete(c.network.nodes, name)
	c.network.mu.Unlock()
	c.network.isolate(name, false)
}

func (c *cluster) stop() {
	for _, m := range c.members {
		if n := c.node(m.Name); n != nil {
			n.Stop()
		}
	}
}

// leader waits until one of the given members is the leader and returns its name.
func (c *cluster) leader(members ...string) string {
	var name string
	c.g.Eventually(func() bool {
		name = ""
		for _, n := range members {
			s := c.node(n).Status()
			if s.IsLeader {
				name = n
			}
		}
		return name != ""
	}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
	return name
}

func (c *cluster) propose(name, cmd string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := c.node(name).Propose(ctx, []byte(cmd))
	return err
}

func (c *cluster) eventually(actual any) AsyncAssertion {
	return c.g.Eventually(actual).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond)
}

func memberNames(c *cluster) []string {
	var out []string
	for _, m := range c.members {
		out = append(out, m.Name)
	}
	return out
}

func TestThreeNodesCommitAfterLeaderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 1})
		defer c.stop()
		firstLeader := c.leader(memberNames(c)...)
		g.Expect(c.propose(firstLeader, "a")).To(Succeed())
		c.kill(firstLeader)

		var survivors []string
		for _, n := range memberNames(c) {
			if n != firstLeader {
				survivors = append(survivors, n)
			}
		}
		secondLeader := c.leader(survivors...)
		g.Expect(c.propose(secondLeader, "b")).To(Succeed())
		c.start(firstLeader)
		c.eventually(c.machines[firstLeader].all).Should(Equal([]string{"a", "b"}))
	})
}
