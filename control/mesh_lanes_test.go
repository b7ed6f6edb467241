package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

// slowMember takes bulk messages at a rate, and others at once.
type slowMember struct {
	bytesPerSecond int

	mu       sync.Mutex
	received []string // first byte of each message
}

func (s *slowMember) Send(ctx context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	size := 0
	for _, m := range r.Msg.GetMessages() {
		size += len(m)
	}
	if size > 1000 {
		select {
		case <-time.After(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range r.Msg.GetMessages() {
		s.received = append(s.received, string(m[:1]))
	}
	return connect.NewResponse(&pb.SendResponse{}), nil
}

func (s *slowMember) messages() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

// TestVotesDontWaitBehindEntries guards against a member that loses its leader, and whose votes
// are late, as heartbeats, votes and replies wait behind entries that take long on a slow link.
func TestVotesDontWaitBehindEntries(t *testing.T) {
	g := NewWithT(t)
	member := &slowMember{bytesPerSecond: 1 << 20}
	m := NewMesh("a", func(string) jacinthplankv1connect.QuorumServiceClient { return member }, nil)
	defer m.Close()
	to := quorum.Member{Name: "b", Address: "b", Disk: "1"}
	m.SendBulk(to, [][]byte{append([]byte("E"), make([]byte, 2<<20)...)})
	time.Sleep(20 * time.Millisecond)
	m.Send(to, [][]byte{[]byte("V")})
	g.Eventually(member.messages).WithTimeout(quorum.ElectionTimeout / 2).Should(Equal([]string{"V"}))
	g.Eventually(member.messages).WithTimeout(4 * time.Second).Should(Equal([]string{"V", "E"}))
}

// TestLargeMessagesArriveOnSlowLinks guards against entries that are given up and sent again
// for good, as a call that ends after a second takes longer on a slow link.
func TestLargeMessagesArriveOnSlowLinks(t *testing.T) {
	g := NewWithT(t)
	member := &slowMember{bytesPerSecond: 3 << 19}
	m := NewMesh("a", func(string) jacinthplankv1connect.QuorumServiceClient { return member }, nil)
	defer m.Close()
	var lost atomic.Int64
	m.OnBulk = func(_ quorum.DiskIdentity, isLost bool) {
		if isLost {
			lost.Add(1)
		}
	}
	to := quorum.Member{Name: "b", Address: "b", Disk: "1"}
	var messages [][]byte
	for range 6 {
		messages = append(messages, append([]byte("E"), make([]byte, 1<<20)...))
	}
	m.SendBulk(to, messages)
	g.Eventually(member.messages).WithTimeout(8 * time.Second).Should(HaveLen(6))
	g.Expect(lost.Load()).To(BeZero())
}

// TestLossOfEntriesIsReported guards against entries that are sent again only when the time in
// which they should have been acknowledged has passed.
func TestLossOfEntriesIsReported(t *testing.T) {
	g := NewWithT(t)
	m := NewMesh("a", func(string) jacinthplankv1connect.QuorumServiceClient { return failingMember{} }, nil)
	defer m.Close()
	lost := make(chan quorum.DiskIdentity, 8)
	m.OnBulk = func(disk quorum.DiskIdentity, isLost bool) {
		if isLost {
			lost <- disk
		}
	}
	to := quorum.Member{Name: "b", Address: "b", Disk: "1"}
	m.Send(to, [][]byte{[]byte("V")})
	m.SendBulk(to, [][]byte{[]byte("E")})
	g.Eventually(lost).Should(Receive(Equal(to.Disk)))
	g.Consistently(lost).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
}

type failingMember struct{}

func (failingMember) Send(context.Context, *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	return nil, connect.NewError(connect.CodeUnavailable, nil)
}

// TestBatchIsReportedOnce guards against a burst of reports, one for each message of a batch of small
// entries: the core takes them one by one while it sends to other members.
func TestBatchIsReportedOnce(t *testing.T) {
	for name, err := range map[string]error{"lost": context.DeadlineExceeded, "delivered": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var calls, messages, reports atomic.Int64
			m := newStubMesh(t, nil, func(_ context.Context, r *pb.SendRequest) error {
				calls.Add(1)
				time.Sleep(10 * time.Millisecond) // the others are queued meanwhile
				messages.Add(int64(len(r.GetMessages())))
				return err
			})
			m.OnBulk = func(quorum.DiskIdentity, bool) { reports.Add(1) }
			to := quorum.Member{Name: "b", Address: "b", Disk: "1"}
			const all = 100
			for range all {
				m.SendBulk(to, [][]byte{[]byte("E")})
			}
			g.Eventually(messages.Load).Should(BeEquivalentTo(all))
			m.Close()
			g.Expect(reports.Load()).To(BeNumerically(">", 0))
			g.Expect(reports.Load()).To(BeNumerically("<=", calls.Load()))
		})
	}
}
