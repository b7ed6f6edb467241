package mesh

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

// Times of the quorum's upkeep.
const (
	corePeriod   = 100 * time.Millisecond  // between two looks
	foundAfter   = 2500 * time.Millisecond // all entries start within a third of a second; two rounds of membership follow
	restartPause = 500 * time.Millisecond  // after the disk failed
	identityFile = "identity"              // of package quorum: there once a disk was used
)

// core is this entry's part in the quorum that keeps the document: a member's,
// when it has a disk. It is a duty.
type core struct {
	mesh     *Mesh
	log      *slog.Logger
	register *document.Register

	mu       sync.Mutex
	node     *quorum.Node
	founders []quorum.Member
	leader   string // address, as last heard
	stopped  bool
	lastLead string
}

func newCore(m *Mesh) *core {
	return &core{mesh: m, log: m.log, register: document.New()}
}

// Name implements supervise.Duty.
func (c *core) Name() string { return "core" }

// Serve implements supervise.Duty.
func (c *core) Serve(ctx context.Context) error {
	ticker := time.NewTicker(corePeriod)
	defer ticker.Stop()
	go c.mesh.confirm(ctx)
	k := newKeeper(c)
	var retryAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.register.Changed():
		case <-ticker.C:
		}
		now := time.Now()
		c.found(now)
		if c.mesh.options.DataFolder != "" && now.After(retryAt) && !c.ensureNode() {
			retryAt = now.Add(restartPause)
		}
		c.offer()
		c.noteLeader()
		k.tend(ctx, now)
	}
}

// offer puts what the quorum has decided in force here. A restored log may be
// behind: an entry that starts asks the quorum first.
func (c *core) offer() {
	d := c.register.Current()
	c.mesh.mu.Lock()
	may := c.mesh.mayTakeUnconfirmed()
	c.mesh.mu.Unlock()
	if d.Number > 0 && may {
		c.mesh.offer(d, false)
	}
}

func (c *core) noteLeader() {
	node := c.current()
	if node == nil {
		return
	}
	s := node.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.LeaderAddress != "" {
		c.leader = s.LeaderAddress
	}
	if s.Leader != c.lastLead {
		c.log.Info("leader", "step", "mesh.leader", "name", s.Leader, "term", s.Term, "before", c.lastLead)
		c.lastLead = s.Leader
	}
}

// leading returns the leader's address, and whether this entry leads.
func (c *core) leading() (address string, isSelf bool) {
	if node := c.current(); node != nil {
		s := node.Status()
		if s.IsLeader && s.HasQuorum {
			return c.mesh.options.Address, true
		}
		if s.LeaderAddress != c.mesh.options.Address {
			return s.LeaderAddress, false
		}
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, false
}

func (c *core) current() *quorum.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node
}

func (c *core) stop() {
	c.mu.Lock()
	node := c.node
	c.node, c.stopped = nil, true
	c.mu.Unlock()
	if node != nil {
		node.Stop()
	}
}

// found makes the list of the first members, on the one entry that all take for
// this: the first by address of the seeds, which are the same everywhere when a
// fleet starts for the first time.
func (c *core) found(now time.Time) {
	o := c.mesh.options
	if !o.FirstStart || len(o.Seeds) == 0 || slices.Min(o.Seeds) != o.Address || now.Sub(c.mesh.started) < foundAfter {
		return
	}
	c.mu.Lock()
	known := len(c.founders) > 0
	c.mu.Unlock()
	if known {
		return
	}
	founders := c.disks()
	if len(founders) == 0 {
		return
	}
	c.mu.Lock()
	c.founders = founders
	c.mu.Unlock()
	c.log.Info("first members chosen", "step", "mesh.found", "members", len(founders))
	c.mesh.wake()
}

// disks returns the entries with a disk that are there.
func (c *core) disks() []quorum.Member {
	var out []quorum.Member
	for _, r := range c.mesh.gossip.Members() {
		if !r.State.Gone() && hasDisk(r) {
			out = append(out, quorum.Member{Name: r.Name, Address: r.Address})
		}
	}
	return out
}

// ensureNode starts the member on its disk when it can, and again after its
// disk has failed. It reports false when a try failed.
func (c *core) ensureNode() bool {
	node := c.current()
	if node != nil {
		err := node.Status().Err
		if err == nil {
			return true
		}
		c.log.Error("quorum member failed", "step", "mesh.core", "error", err.Error())
		node.Stop()
		c.mu.Lock()
		c.node = nil
		c.mu.Unlock()
	}
	members, ready := c.firstMembers()
	if !ready {
		return true
	}
	return c.startNode(members)
}

// firstMembers returns whom a member is to know at its start. A blank disk that
// was not there at the founding must not found: it waits to be added by those
// that vote.
func (c *core) firstMembers() (members []quorum.Member, ready bool) {
	o := c.mesh.options
	if _, err := os.Stat(filepath.Join(o.DataFolder, identityFile)); err == nil {
		return c.joinList(), true
	}
	c.mu.Lock()
	founders := c.founders
	c.mu.Unlock()
	isFounder := slices.ContainsFunc(founders, func(m quorum.Member) bool { return m.Name == o.Name })
	if o.FirstStart && isFounder {
		return founders, true
	}
	voters := c.joinList()
	return voters, len(voters) > 1
}

// joinList is the voters as the others know them, behind a name that no member
// has: the first by name is the one that may found a quorum.
func (c *core) joinList() []quorum.Member {
	list := []quorum.Member{{Name: noFounder}}
	for _, v := range c.knownVoters() {
		if v.Name != c.mesh.options.Name {
			list = append(list, quorum.Member{Name: v.Name, Address: v.Address})
		}
	}
	return list
}

// noFounder sorts before every name.
const noFounder = ""

// knownVoters are the voters as told by the entries.
func (c *core) knownVoters() []quorum.Member {
	if node := c.current(); node != nil {
		if voters := node.Status().Voters; len(voters) > 0 {
			return voters
		}
	}
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	var latest *peer
	for _, p := range c.mesh.peers {
		if len(p.facts.Voters) > 0 && (latest == nil || p.answered.After(latest.answered)) {
			latest = p
		}
	}
	if latest == nil {
		return nil
	}
	return latest.facts.Voters
}

func (c *core) startNode(members []quorum.Member) bool {
	o := c.mesh.options
	node, err := quorum.Start(quorum.Options{
		Name: o.Name, Address: o.Address, Members: members, Folder: o.DataFolder,
		Machine: c.register, Transport: c.mesh.transport, Logger: c.log, Repair: true,
	})
	if err != nil {
		c.log.Error("quorum member does not start", "step", "mesh.core", "error", err.Error())
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		go node.Stop()
		return true
	}
	c.node = node
	c.log.Info("quorum member started", "step", "mesh.core", "disk", node.Status().DiskIdentity, "members", len(members))
	return true
}

// facts are what this entry tells of the quorum.
func (c *core) facts() facts {
	c.mu.Lock()
	node, f := c.node, facts{Founders: c.founders, Leader: c.leader}
	c.mu.Unlock()
	if node != nil {
		s := node.Status()
		f.Disk, f.Voters = s.DiskIdentity, s.Voters
	}
	return f
}

// learn takes what another entry tells of the quorum.
func (c *core) learn(f facts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.founders) == 0 {
		c.founders = f.Founders
	}
	if c.node == nil && f.Leader != "" && f.Disk != "" {
		c.leader = f.Leader
	}
}

func hasDisk(r membership.Record) bool {
	return slices.Contains(factsOf(r), dutyControl)
}

// quorumService takes the messages of other members.
type quorumService struct {
	jacinthplankv1connect.UnimplementedQuorumServiceHandler
	core *core
}

// Send implements the service.
func (s *quorumService) Send(_ context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	if node := s.core.current(); node != nil {
		for _, message := range r.Msg.GetMessages() {
			node.Step(r.Msg.GetFrom(), message)
		}
	}
	return connect.NewResponse(&pb.SendResponse{}), nil
}
