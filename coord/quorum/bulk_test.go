package quorum

import (
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// sortedTransport records the kinds of messages that were sent each way.
type sortedTransport struct {
	mu          sync.Mutex
	small, bulk []Message
}

func decodeAll(g *WithT, messages [][]byte) (out []Message) {
	for _, data := range messages {
		m, err := DecodeMessage(data)
		g.Expect(err).NotTo(HaveOccurred())
		out = append(out, m)
	}
	return out
}

type recordingTransport struct {
	*sortedTransport
	g *WithT
}

func (t recordingTransport) Send(_ Member, messages [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.small = append(t.small, decodeAll(t.g, messages)...)
}

func (t recordingTransport) SendBulk(_ Member, messages [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bulk = append(t.bulk, decodeAll(t.g, messages)...)
}

// TestOnlyEntriesAndSnapshotsAreBulk guards against votes, heartbeats and replies that are sent the
// way of entries and snapshots, and wait behind them.
func TestOnlyEntriesAndSnapshotsAreBulk(t *testing.T) {
	g := NewWithT(t)
	transport := recordingTransport{&sortedTransport{}, g}
	n := &Node{options: Options{Transport: transport}}
	to := Member{Name: "b", Disk: "b"}
	var all []envelope
	for _, m := range []Message{
		{Kind: PreVote},
		{Kind: Append},
		{Kind: Append, Entries: []Entry{{Index: 1, Term: 1}}},
		{Kind: AppendReply},
		{Kind: InstallSnapshot, Snapshot: &Snapshot{Index: 1, Term: 1, Configuration: Configuration{Voters: []Member{to}}}},
		{Kind: VoteReply},
		{Kind: SnapshotReply},
		{Kind: TimeoutNow},
	} {
		m.From, m.To, m.Cluster = "a", "b", "c"
		all = append(all, n.encode(to, m)...)
	}
	n.send(all)
	kinds := func(messages []Message) (out []MessageKind) {
		for _, m := range messages {
			out = append(out, m.Kind)
		}
		return out
	}
	g.Expect(kinds(transport.small)).To(Equal([]MessageKind{PreVote, Append, AppendReply, VoteReply, SnapshotReply, TimeoutNow}))
	g.Expect(kinds(transport.bulk)).To(Equal([]MessageKind{Append, InstallSnapshot}))
	g.Expect(slices.ContainsFunc(transport.small, func(m Message) bool { return len(m.Entries) > 0 })).To(BeFalse())
}
