package mesh

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
	"github.com/jacinthplank/jacinthplank/coord/wal"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

// Intervals of quorum maintenance.
const (
	quorumTickInterval = 100 * time.Millisecond  // between two runs of the maintenance loop
	bootstrapDelay     = 2500 * time.Millisecond // entries start within a third of a second of each other; then two rounds of membership
	restartBackoff     = 500 * time.Millisecond  // after a disk failure
)

// logBytes are the bytes of log after which a member takes a snapshot. The platform's
// disks have 64 MB; they have to hold three and a half times as much and two snapshots.
const logBytes = 8 << 20

// quorumManager is the duty that manages this entry's part in the quorum that stores
// the document and the evacuated failure domains. An entry with a disk runs a member.
type quorumManager struct {
	mesh  *Mesh
	log   *slog.Logger
	state *quorumState

	openFolder func(path string) (wal.Folder, error)
	logBytes   int // bytes of log after which the member takes a snapshot

	// starting is held while the member is started or stopped, which may take as long
	// as the disk does. It is locked before mu.
	starting sync.Mutex

	mu       sync.Mutex
	node     *quorum.Node
	contacts []quorum.Member // members that the node was last given
	founders []quorum.Member
	// foundingWaits is set while the founders can't be named. It is used by Serve only.
	foundingWaits bool
	hint          leaderHint
	hints         hintReporter
	silent        map[string]bool // addresses of members that didn't answer their last call
	stopped       bool
	lastLeader    string
	disk          DiskHealth
	addresses     diskAddresses
	puts          putCalls
	diskSince     time.Time // when the disk entered its state
	startingSince time.Time // of the start of the member in progress, zero without one
	discarded     bool      // this process has emptied the disk, which therefore can't found a quorum
	refusals      recovery.Refusals
}

func newQuorumManager(m *Mesh) *quorumManager {
	setDiskGauges(DiskNone)
	return &quorumManager{
		mesh: m, log: m.log, state: newQuorumState(), openFolder: openDiskFolder, logBytes: logBytes,
		disk: DiskHealth{State: DiskNone}, diskSince: time.Now(),
	}
}

// Name implements supervise.Duty.
func (c *quorumManager) Name() string { return "core" }

// Serve implements supervise.Duty.
func (c *quorumManager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(quorumTickInterval)
	defer ticker.Stop()
	go c.mesh.confirmDocument(ctx)
	go c.reportState(ctx)
	reconciler := newMemberReconciler(c)
	var retryAt time.Time
	for {
		now := time.Now()
		c.bootstrap(now)
		if c.mesh.options.DataFolder != "" && now.After(retryAt) && !c.ensureNode() && !c.emptyRefusedDisk(ctx) {
			retryAt = now.Add(restartBackoff)
		}
		c.updateContacts()
		c.applyCommitted()
		c.updateLeader()
		reconciler.reconcile(ctx, now)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.state.register.Changed():
		case <-c.state.changed:
		case <-ticker.C:
		}
	}
}

// applyCommitted applies the state of the local replica. A restored log may be stale, so
// an entry that starts reads from the quorum before it applies a document.
func (c *quorumManager) applyCommitted() {
	d := c.state.register.Current()
	c.mesh.applyEvacuations(c.state.evacuated())
	if d.Number > c.mesh.Document().Number {
		c.mesh.applyUnconfirmed(d) // otherwise the next run tries again
	}
}

// reportBulk tells the member what became of the entries sent to another one.
func (c *quorumManager) reportBulk(disk quorum.DiskIdentity, isLost bool) {
	if node := c.currentNode(); node != nil {
		node.ReportBulk(disk, isLost)
	}
}

func (c *quorumManager) currentNode() *quorum.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node
}

// stop stops the member for good. It waits for one that is being started.
func (c *quorumManager) stop() {
	c.starting.Lock()
	defer c.starting.Unlock()
	c.mu.Lock()
	node := c.node
	c.node, c.stopped = nil, true
	c.mu.Unlock()
	if node != nil {
		node.Stop()
	}
}

// liveMembers returns the names of the quorum's members that are alive, sorted, and the
// index of this entry, -1 if it is none of them. The caller holds the mesh's lock.
func (c *quorumManager) liveMembers() (names []string, own int) {
	node := c.currentNode()
	if node == nil {
		return nil, -1
	}
	for _, v := range node.Status().Voters {
		p := c.mesh.peers[v.Name]
		if v.Name == c.mesh.options.Name || (p != nil && p.state == membership.Alive) {
			names = append(names, v.Name)
		}
	}
	slices.Sort(names)
	return names, slices.Index(names, c.mesh.options.Name)
}

// ensureNode starts the member on its disk if it is not running, also after a disk
// failure and unless stop was called. It returns false if the start failed.
func (c *quorumManager) ensureNode() bool {
	c.starting.Lock()
	defer c.starting.Unlock()
	c.mu.Lock()
	node, stopped := c.node, c.stopped
	c.mu.Unlock()
	if stopped {
		return true
	}
	if node != nil {
		err := node.Status().Err
		if err == nil {
			return true
		}
		c.setDiskHealth(DiskHealth{State: DiskFailing, Err: err})
		node.Stop()
		c.mu.Lock()
		c.node = nil
		c.mu.Unlock()
	}
	contacts := c.contactsNow()
	if len(contacts) == 1 && contacts[0].Name == placeholderFounder && !c.hasUsedDisk() {
		c.setDiskHealth(DiskHealth{State: DiskBlank})
		return true
	}
	c.setStartingSince(time.Now())
	defer c.setStartingSince(time.Time{})
	return c.startNode(contacts)
}

// contactsNow returns the members that a disk outside of the quorum announces itself to:
// the voters, or the founders while the quorum forms. Without either, and for a disk that
// was not present at the bootstrap, the first one is placeholderFounder, so that this disk
// can't found a quorum.
func (c *quorumManager) contactsNow() []quorum.Member {
	own := c.mesh.options.Name
	isOwn := func(m quorum.Member) bool { return m.Name == own }
	voters := slices.DeleteFunc(c.allReportedVoters(), isOwn)
	c.mu.Lock()
	founders, discarded := c.founders, c.discarded
	c.mu.Unlock()
	if len(voters) == 0 && c.mesh.options.FirstStart && !discarded && slices.ContainsFunc(founders, isOwn) {
		return founders
	}
	return append([]quorum.Member{{Name: placeholderFounder}}, voters...)
}

// placeholderFounder is a name that no member has and that sorts before every name: the
// member with the first name is the one that may found a quorum.
const placeholderFounder = ""

// updateContacts gives a node without a leader the members known now. They change after
// its start, when it may have known none.
func (c *quorumManager) updateContacts() {
	node := c.currentNode()
	if node == nil || node.Status().HasQuorum {
		return
	}
	contacts := c.contactsNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node != node || slices.Equal(contacts, c.contacts) {
		return
	}
	c.contacts = contacts
	node.SetMembers(contacts)
	c.log.Info("quorum member without a leader announces itself", "step", "mesh.core", "members", len(contacts))
}

// knownVoters returns the voters as seen by the local node, or else as last
// reported by another entry.
func (c *quorumManager) knownVoters() []quorum.Member {
	if node := c.currentNode(); node != nil {
		if voters := node.Status().Voters; len(voters) > 0 {
			return voters
		}
	}
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	var latest *peer
	for _, p := range c.mesh.peers {
		if len(p.facts.Voters) > 0 && (latest == nil || p.lastResponse.After(latest.lastResponse)) {
			latest = p
		}
	}
	if latest == nil {
		return nil
	}
	return latest.facts.Voters
}

// allReportedVoters returns the voters that any other entry has reported, sorted, without
// their disks, or else those on the local disk. Reports may differ: an entry that was cut off
// knows the voters of that time, and so may the local disk.
func (c *quorumManager) allReportedVoters() []quorum.Member {
	var voters []quorum.Member
	c.mesh.mu.Lock()
	for _, p := range c.mesh.peers {
		voters = append(voters, p.facts.Voters...)
	}
	c.mesh.mu.Unlock()
	if len(voters) == 0 {
		voters = slices.Clone(c.knownVoters())
	}
	for i, v := range voters {
		voters[i] = quorum.Member{Name: v.Name, Address: c.addresses.current(v).Address}
	}
	slices.SortFunc(voters, func(a, b quorum.Member) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Address, b.Address))
	})
	return slices.Compact(voters)
}

// facts returns the quorum state that this entry reports to others.
func (c *quorumManager) facts() facts {
	c.mu.Lock()
	node, f := c.node, facts{Founders: c.founders}
	c.mu.Unlock()
	if node != nil {
		s := c.addresses.currentStatus(node.Status())
		f.Disk, f.Voters = s.DiskIdentity, s.Voters
		if s.HasQuorum {
			f.Leader, f.LeaderTerm = s.LeaderAddress, s.Term
		}
	}
	return f
}

// mergeFacts takes the founders from another entry's facts if they are unknown here, and the
// leader that its member hears. Entries without a member of earlier versions report what
// others told them.
func (c *quorumManager) mergeFacts(f facts) {
	if f.Leader != "" && f.Disk != "" {
		c.updateHint(f.Name, func(h leaderHint, now time.Time, maxAge time.Duration) leaderHint {
			return h.report(f.Leader, f.LeaderTerm, now, maxAge)
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.founders) == 0 {
		c.founders = f.Founders
	}
}

func hasDisk(r membership.Record) bool {
	return slices.Contains(dutiesOf(r), dutyControl)
}

// quorumService receives messages of other quorum members.
type quorumService struct {
	jacinthplankv1connect.UnimplementedQuorumServiceHandler
	manager *quorumManager
}

// Send implements the quorum service.
func (s *quorumService) Send(_ context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	if node := s.manager.currentNode(); node != nil {
		for _, message := range r.Msg.GetMessages() {
			node.Step(r.Msg.GetFrom(), message)
		}
	}
	return connect.NewResponse(&pb.SendResponse{}), nil
}
