package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
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

// stubClient is a member that send stands for.
type stubClient struct {
	jacinthplankv1connect.QuorumServiceClient
	send func(ctx context.Context, r *pb.SendRequest) error
}

// Send implements the client of the quorum service.
func (c stubClient) Send(ctx context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	return connect.NewResponse(&pb.SendResponse{}), c.send(ctx, r.Msg)
}

func newStubMesh(t *testing.T, log *slog.Logger, send func(ctx context.Context, r *pb.SendRequest) error) *Mesh {
	m := NewMesh("a", func(string) jacinthplankv1connect.QuorumServiceClient { return stubClient{send: send} }, log)
	t.Cleanup(m.Close)
	return m
}

func electionMessage(g *WithT, kind quorum.MessageKind) []byte {
	data, err := quorum.EncodeMessage(quorum.Message{Kind: kind, From: "a", To: "b", Cluster: "c", Term: 2})
	g.Expect(err).NotTo(HaveOccurred())
	return data
}

// TestVotesDontWaitForEntries guards against an election that fails as its messages wait behind
// entries or a snapshot, which take seconds over a slow link or to a member that hangs.
func TestVotesDontWaitForEntries(t *testing.T) {
	g := NewWithT(t)
	const slowMessage = 10 << 10
	var mu sync.Mutex
	received := 0
	m := newStubMesh(t, nil, func(ctx context.Context, r *pb.SendRequest) error {
		for _, message := range r.GetMessages() {
			if len(message) >= slowMessage {
				<-ctx.Done()
				return ctx.Err()
			}
		}
		mu.Lock()
		defer mu.Unlock()
		received += len(r.GetMessages())
		return nil
	})
	to := quorum.Member{Name: "b", Address: "b:1"}
	for range 10 {
		m.SendBulk(to, [][]byte{make([]byte, slowMessage)})
	}
	time.Sleep(50 * time.Millisecond)
	kinds := []quorum.MessageKind{quorum.PreVote, quorum.PreVoteReply, quorum.Vote, quorum.VoteReply, quorum.TimeoutNow}
	for _, kind := range kinds {
		m.Send(to, [][]byte{electionMessage(g, kind)})
	}
	g.Eventually(func() int { mu.Lock(); defer mu.Unlock(); return received }).
		WithTimeout(quorum.ElectionTimeout).WithPolling(5 * time.Millisecond).Should(Equal(len(kinds)))
}

// TestLargeMessagesGetTheirTime guards against a message that is sent again and again, as it takes
// longer than the time limit of a call: the largest command over a link of 20 Mbit/s.
func TestLargeMessagesGetTheirTime(t *testing.T) {
	g := NewWithT(t)
	const bytesPerSecond = 20_000_000 / 8
	limits := make(chan time.Duration, 3)
	m := newStubMesh(t, nil, func(ctx context.Context, _ *pb.SendRequest) error {
		deadline, _ := ctx.Deadline()
		limits <- time.Until(deadline)
		return nil
	})
	to := quorum.Member{Name: "b", Address: "b:1"}
	m.SendBulk(to, [][]byte{make([]byte, quorum.MaxCommandBytes)})
	needed := time.Duration(quorum.MaxCommandBytes) * time.Second / bytesPerSecond
	g.Eventually(limits).Should(Receive(BeNumerically(">", needed+500*time.Millisecond)))
	m.Send(to, [][]byte{[]byte("heartbeat")})
	g.Eventually(limits).Should(Receive(BeNumerically("<=", sendTimeout+time.Millisecond)))

	// One call takes no longer than the election timeout for the messages of the core.
	batches := make(chan int, 100)
	m = newStubMesh(t, nil, func(_ context.Context, r *pb.SendRequest) error {
		size := 0
		for _, message := range r.GetMessages() {
			size += len(message)
		}
		batches <- size
		return nil
	})
	var messages [][]byte
	for range 20 {
		messages = append(messages, make([]byte, quorum.MaxMessageBytes), make([]byte, 100<<10))
	}
	m.SendBulk(to, messages)
	for sum := 0; sum < 20*(quorum.MaxMessageBytes+100<<10); {
		var size int
		g.Eventually(batches).Should(Receive(&size))
		g.Expect(time.Duration(size) * time.Second / bytesPerSecond).To(BeNumerically("<", 2*quorum.ElectionTimeout))
		sum += size
	}
}

// TestSendersOfFormerMembersEnd guards against a queue and a goroutine for each disk and address
// that a member ever had.
func TestSendersOfFormerMembersEnd(t *testing.T) {
	g := NewWithT(t)
	m := newStubMesh(t, nil, func(context.Context, *pb.SendRequest) error { return errors.New("gone") })
	m.idleTime = 50 * time.Millisecond
	queues := func() int { m.mu.Lock(); defer m.mu.Unlock(); return len(m.queues) }
	for i := range 200 {
		m.Send(quorum.Member{Name: "b", Address: fmt.Sprintf("b:%d", i)}, [][]byte{[]byte("hello")})
		m.Send(quorum.Member{Name: "c", Address: "c:1", Disk: quorum.DiskIdentity(fmt.Sprint(i))}, [][]byte{[]byte("hello")})
	}
	g.Expect(queues()).To(BeNumerically("<=", 201))
	g.Eventually(queues).WithTimeout(5 * time.Second).Should(BeZero())
	ended := make(chan struct{})
	go func() { m.senders.Wait(); close(ended) }()
	g.Eventually(ended).WithTimeout(5 * time.Second).Should(BeClosed())
	g.Expect(m.failures.failing).To(BeEmpty())
}

// TestMessagesWithoutAddressAreNoCalls guards against calls to the member that stands for an
// unknown founder: they fail for as long as the process runs, and raise the alert of an unreachable member.
func TestMessagesWithoutAddressAreNoCalls(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	m := newStubMesh(t, nil, func(context.Context, *pb.SendRequest) error { calls.Add(1); return errors.New("no host") })
	lost := make(chan quorum.DiskIdentity, 1)
	m.OnBulk = func(disk quorum.DiskIdentity, isLost bool) {
		if isLost {
			lost <- disk
		}
	}
	m.Send(quorum.Member{}, [][]byte{electionMessage(g, quorum.Hello)})
	m.SendBulk(quorum.Member{Name: "b", Disk: "d"}, [][]byte{[]byte("entries")})
	g.Eventually(lost).Should(Receive(Equal(quorum.DiskIdentity("d"))))
	g.Consistently(calls.Load, 200*time.Millisecond).Should(BeZero())
	g.Expect(callsFailing.Get()).To(BeZero())
}

// TestFailingCallsAreReported guards against a member that can't be reached while no line names it.
func TestFailingCallsAreReported(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	fullTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.String(a.Key, "2026-12-07T07:07:32.123456789Z")
		}
		return a
	}
	log := slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{ReplaceAttr: fullTime})).With("instance", "front-zone-three-1")
	f := newCallFailures(log)
	l := lane{name: "front-zone-one-2", address: "127.0.0.1:40001"}
	lines := func() []string {
		var cut []string
		for line := range strings.Lines(out.String()) {
			cut = append(cut, line[:min(len(line), 200)])
		}
		out.Reset()
		return cut
	}
	now := time.Unix(1000, 0)
	timedOut := connect.NewError(connect.CodeDeadlineExceeded, errors.New("dial tcp: i/o timeout"))
	const seconds = 20
	for range seconds * 10 {
		f.note(l, now, timedOut)
		now = now.Add(100 * time.Millisecond)
	}
	text := lines()
	g.Expect(text).To(HaveLen(seconds / 2))
	g.Expect(text).To(HaveEach(MatchRegexp(
		`"msg":"member calls fail","instance":"front-zone-three-1","member":"front-zone-one-2","for_ms":\d+,"address":"127.0.0.1:40001","code":"deadl`)))
	g.Expect(callsFailing.Get()).To(BeNumerically("~", seconds, 0.2))
	f.note(l, now, nil)
	g.Expect(lines()).To(ConsistOf(ContainSubstring(`"member calls succeed again"`)))
	g.Expect(callsFailing.Get()).To(BeZero())

	// A short failure is none, and the lines of many members are bounded.
	f.note(l, now, timedOut)
	f.note(l, now.Add(900*time.Millisecond), timedOut)
	f.note(l, now.Add(950*time.Millisecond), nil)
	g.Expect(lines()).To(BeEmpty())
	for tick := range seconds * 10 {
		for i := range 100 {
			f.note(lane{name: "b", address: fmt.Sprint(i)}, now.Add(time.Duration(tick)*100*time.Millisecond), timedOut)
		}
	}
	g.Expect(len(lines())).To(BeNumerically("<=", (seconds/2+1)*maxFailureLines))
	f.close()
	g.Expect(callsFailing.Get()).To(BeZero())
}
