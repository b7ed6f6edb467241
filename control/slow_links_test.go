package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

// slowLinks connects the members of a quorum. What a member sends to another one passes a link of
// limited rate, but small messages pass at once.
type slowLinks struct {
	bytesPerSecond int

	mu         sync.Mutex
	slowSender string // whose link passes 50 KB/s; empty for none
	nodes      map[string]*quorum.Node
	down       map[string]bool
	sent       map[string]int // bytes of large calls by receiver, those that were given up included
	calls      map[string]int // large calls that arrived, by receiver
	lost       map[string]int // large calls that were given up, by receiver
	disks      map[string]*wal.MemoryFolder
}

type slowLink struct {
	links    *slowLinks
	from, to string
}

const smallCall = 4 << 10

func (l slowLink) Send(ctx context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	size := 0
	for _, m := range r.Msg.GetMessages() {
		size += len(m)
	}
	time.Sleep(time.Millisecond)
	if size > smallCall {
		if err := l.links.pass(ctx, l, size); err != nil {
			return nil, err
		}
	}
	l.links.mu.Lock()
	node, isDown := l.links.nodes[l.to], l.links.down[l.to] || l.links.down[l.from]
	l.links.mu.Unlock()
	if node == nil || isDown {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	for _, m := range r.Msg.GetMessages() {
		node.Step(l.from, m)
	}
	return connect.NewResponse(&pb.SendResponse{}), nil
}

func (s *slowLinks) pass(ctx context.Context, l slowLink, size int) error {
	s.mu.Lock()
	s.sent[l.to] += size
	rate := s.bytesPerSecond
	if s.slowSender == l.from {
		rate = 50_000
	}
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(size) * time.Second / time.Duration(rate)):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls[l.to]++
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lost[l.to]++
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// largeState is a state machine whose snapshots have a size.
type largeState struct{ bytes int }

func (largeState) Apply(uint64, []byte) []byte { return nil }
func (l largeState) Snapshot() ([]byte, error) { return make([]byte, l.bytes), nil }
func (largeState) Restore([]byte) error        { return nil }

// startSlowQuorum starts three members, of which "c" is behind by so many commands once it is
// reachable again.
func startSlowQuorum(t *testing.T, bytesPerSecond, commands, size, logBytes int, state quorum.StateMachine) *slowLinks {
	g := NewWithT(t)
	s := &slowLinks{
		bytesPerSecond: 100 << 20, nodes: map[string]*quorum.Node{}, down: map[string]bool{},
		sent: map[string]int{}, calls: map[string]int{}, lost: map[string]int{}, disks: map[string]*wal.MemoryFolder{},
	}
	var members []quorum.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, quorum.Member{Name: name, Address: name})
	}
	for i, m := range members {
		mesh := NewMesh(m.Name, func(address string) jacinthplankv1connect.QuorumServiceClient {
			return slowLink{s, m.Name, address}
		}, nil)
		mesh.OnBulk = func(disk quorum.DiskIdentity, isLost bool) {
			s.mu.Lock()
			node := s.nodes[m.Name]
			s.mu.Unlock()
			if node != nil {
				node.ReportBulk(disk, isLost)
			}
		}
		disk := wal.NewMemoryFolder()
		s.disks[m.Name] = disk
		node, err := quorum.Start(quorum.Options{
			Name: m.Name, Address: m.Address, Members: members, Disk: disk,
			StateMachine: state, Transport: mesh, Seed: uint64(i + 1), LogBytes: logBytes,
		})
		g.Expect(err).NotTo(HaveOccurred())
		s.mu.Lock()
		s.nodes[m.Name] = node
		s.mu.Unlock()
		t.Cleanup(func() { node.Stop(); mesh.Close() })
	}
	leader := s.leader(t)
	for leader == "c" {
		s.nodes["c"].TransferLeadership()
		time.Sleep(time.Second)
		leader = s.leader(t)
	}
	s.setDown("c", true)
	for i := range commands {
		command := append([]byte(fmt.Sprint(i)), make([]byte, size)...)
		_, err := s.nodes[leader].Propose(t.Context(), command)
		g.Expect(err).NotTo(HaveOccurred())
	}
	time.Sleep(5 * time.Second) // calls in progress end
	s.mu.Lock()
	s.bytesPerSecond, s.sent["c"], s.calls["c"], s.lost["c"] = bytesPerSecond, 0, 0, 0
	s.mu.Unlock()
	s.setDown("c", false)
	return s
}

func (s *slowLinks) setDown(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[name] = down
}

func (s *slowLinks) leader(t *testing.T) string {
	for range 1000 {
		for name, node := range s.nodes {
			if status := node.Status(); status.IsLeader && status.HasQuorum {
				return name
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader")
	return ""
}

// TestMemberCatchesUpOverSlowLink guards against entries that are sent again while they are on
// their way: on a slow link the copies fill the queue, and the member stays behind for good.
func TestMemberCatchesUpOverSlowLink(t *testing.T) {
	for _, c := range []struct{ bytesPerSecond, commands, size int }{
		{1 << 20, 20, 200_000},
		{512 << 10, 20, 200_000},
		{400_000, 20, 200_000},
		{250_000, 20, 200_000},
		{400_000, 40, 48_000},
		{250_000, 40, 48_000},
		{500_000, 4, 1_000_000},
		{500_000, 2, 2_000_000},
		{1 << 20, 2, 4_000_000},
		{2_500_000, 7, 1_183_348}, // configurations of the target size, a fifth of 100 Mbit/s
		{1_000_000, 7, 1_183_348},
		{800_000, 7, 1_183_348},
	} {
		t.Run(fmt.Sprintf("%d_commands_of_%d_bytes_at_%d_per_second", c.commands, c.size, c.bytesPerSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := startSlowQuorum(t, c.bytesPerSecond, c.commands, c.size, 64<<20, largeState{})
				shortest := time.Duration(c.commands*c.size) * time.Second / time.Duration(c.bytesPerSecond)
				started := time.Now()
				isBehind := func() bool { return s.nodes["c"].Status().Commit < s.nodes[s.leader(t)].Status().Commit }
				for isBehind() && time.Since(started) < 4*shortest+5*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				took := time.Since(started)
				s.mu.Lock()
				defer s.mu.Unlock()
				t.Logf("took %v, shortest %v; bytes sent %d of %d, calls arrived %d, given up %d", took, shortest, s.sent["c"], c.commands*c.size, s.calls["c"], s.lost["c"])
				g.Expect(took).To(BeNumerically("<=", 2*shortest+2*time.Second))
				g.Expect(s.sent["c"]).To(BeNumerically("<=", 2*c.commands*c.size))
			})
		})
	}
}

// TestLeaderWithSlowLinkIsReplaced guards against a leader that stays because its heartbeats pass,
// while none of its entries do: no change is committed though other members could lead.
func TestLeaderWithSlowLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := startSlowQuorum(t, 100<<20, 1, 1000, 64<<20, largeState{})
		leader := s.leader(t)
		s.mu.Lock()
		s.slowSender = leader
		s.mu.Unlock()
		var last error
		started := time.Now()
		for time.Since(started) < time.Minute {
			now := s.leader(t)
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			_, last = s.nodes[now].Propose(ctx, make([]byte, 300_000))
			cancel()
			if last == nil {
				break
			}
		}
		t.Logf("leader %s, after %v %s", leader, time.Since(started), s.leader(t))
		g.Expect(last).NotTo(HaveOccurred())
		g.Expect(time.Since(started)).To(BeNumerically("<=", 10*time.Second))
	})
}

// TestSnapshotArrivesOverSlowLink guards against chunks of a snapshot that are sent again while
// they are on their way.
func TestSnapshotArrivesOverSlowLink(t *testing.T) {
	const size = 4 << 20
	for _, bytesPerSecond := range []int{1 << 20, 512 << 10, 400_000, 250_000} {
		t.Run(fmt.Sprint(bytesPerSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := startSlowQuorum(t, bytesPerSecond, 60, 48_000, 1<<20, largeState{size})
				shortest := time.Duration(size+(1<<20)) * time.Second / time.Duration(bytesPerSecond)
				started := time.Now()
				isBehind := func() bool { return s.nodes["c"].Status().Commit < s.nodes[s.leader(t)].Status().Commit }
				for isBehind() && time.Since(started) < 4*shortest+5*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				took := time.Since(started)
				s.mu.Lock()
				defer s.mu.Unlock()
				t.Logf("took %v, shortest about %v; bytes sent %d, calls arrived %d, given up %d", took, shortest, s.sent["c"], s.calls["c"], s.lost["c"])
				g.Expect(took).To(BeNumerically("<=", 2*shortest+2*time.Second))
				g.Expect(s.sent["c"]).To(BeNumerically("<=", 2*(size+(1<<20))))
			})
		})
	}
}

// TestReturningMemberGetsNewestSnapshot guards against a member that is sent, after it was down, a
// snapshot of the time at which it went down, and then the newest one as the log between them is
// gone: it takes twice as long until the member is caught up.
func TestReturningMemberGetsNewestSnapshot(t *testing.T) {
	const size = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := startSlowQuorum(t, 10<<20, 60, 48_000, 1<<20, largeState{size})
		g.Eventually(func() bool { return s.nodes["c"].Status().Commit >= s.nodes[s.leader(t)].Status().Commit }, "20s", "10ms").Should(BeTrue())
		s.mu.Lock()
		defer s.mu.Unlock()
		t.Logf("bytes sent %d", s.sent["c"])
		g.Expect(s.sent["c"]).To(BeNumerically("<=", size+(2<<20)))
	})
}

// TestMemberWithSlowDiskIsSentEntriesOnce guards against entries that are sent again and again to
// a member that has received them and still writes them.
func TestMemberWithSlowDiskIsSentEntriesOnce(t *testing.T) {
	const size, commands = 100_000, 60
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := startSlowQuorum(t, 10<<20, 1, 1000, 64<<20, largeState{})
		time.Sleep(2 * time.Second)
		s.disks["c"].SetFault(func(op, _ string) error {
			if op == "sync" {
				time.Sleep(5 * time.Second)
			}
			return nil
		})
		s.mu.Lock()
		s.sent["c"] = 0
		s.mu.Unlock()
		started := time.Now()
		for range commands {
			_, err := s.nodes[s.leader(t)].Propose(t.Context(), make([]byte, size))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		t.Logf("sent %d in %v, commands of %d", s.sent["c"], time.Since(started), commands*size)
		g.Expect(s.sent["c"]).To(BeNumerically("<=", 2*commands*size))
	})
}
