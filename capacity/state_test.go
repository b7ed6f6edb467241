package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/directory"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// endpointFacts describe an endpoint that serves three models.
var endpointFacts = gossip.EncodeFacts(&pb.MemberFacts{
	Duties: []string{"endpoint"}, Kind: "accelerator-8", Models: []string{"drafts-v2", "letters-v1", "digest-v4"},
	Adapters: []string{"swahili"}, MemoryBlocks: 3200, MemoryTokens: 128, MaxPrompt: 400_000, ExportsKv: true,
	PrefillPerSecond: 20_000, DecodePerSecond: 60, AttentionScale: 131_072,
})

func memberRecord(i int, watchers int) membership.Record {
	return membership.Record{
		Name: fmt.Sprintf("instance-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%14), Watcher: i < watchers, Incarnation: 1, Facts: endpointFacts,
	}
}

// populatedTable returns a table of n members, the first of which are watchers.
func populatedTable(n, watchers int, now time.Time) *membership.Table {
	t := membership.New(membership.Options{Self: memberRecord(0, watchers)})
	message := membership.Message{From: memberRecord(1, watchers), Table: 1, Head: uint64(n)}
	for i := 2; i < n; i++ {
		message.Records = append(message.Records, memberRecord(i, watchers))
	}
	t.Receive(message, now)
	return t
}

// BenchmarkMembershipTable measures the cost of a table of n members: its memory,
// the time of Expire, and the time of the first Expire after the set of watchers
// changed.
func BenchmarkMembershipTable(b *testing.B) {
	for _, n := range []int{420, 840, 1680, 3540} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := memoryInUse()
			t := populatedTable(n, n/4, now)
			memory := float64(memoryInUse()-before) / float64(n)
			start := time.Now()
			t.Expire(now)
			afterChange := time.Since(start)
			for b.Loop() {
				t.Expire(now)
			}
			b.ReportMetric(memory, "B/member")
			b.ReportMetric(float64(afterChange.Microseconds()), "us-after-change")
		})
	}
}

// BenchmarkDirectory measures the memory of an entry's directory of n endpoints and
// the time of one announcement with a new incarnation.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range []int{300, 900, 1800, 2700} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := memoryInUse()
			d := directory.New(time.Hour)
			for i := range n {
				d.Announce(now, announcement(i, 1))
			}
			memory := float64(memoryInUse()-before) / float64(n)
			incarnation := uint64(1)
			for b.Loop() {
				incarnation++
				d.Announce(now, announcement(0, incarnation))
			}
			b.ReportMetric(memory, "B/endpoint")
		})
	}
}

func announcement(i int, incarnation uint64) directory.Endpoint {
	return directory.Endpoint{
		Name: fmt.Sprintf("endpoint-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%14), Models: []string{"drafts-v2", "letters-v1", "digest-v4"},
		Incarnation: incarnation, Sequence: 1, Backlog: submit.Backlog{Endpoint: fmt.Sprintf("endpoint-%04d", i)},
	}
}

// BenchmarkOnceTable measures the memory of n records of completed calls with
// replies of 200 bytes.
func BenchmarkOnceTable(b *testing.B) {
	for _, n := range []int{10_000, 30_000, 100_000, 300_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			before := memoryInUse()
			t := once.NewTable(0)
			for i := range n {
				fillRecord(t, i)
			}
			memory := float64(memoryInUse()-before) / float64(n)
			for b.Loop() {
				fillRecord(t, n)
				n++
			}
			b.ReportMetric(memory, "B/record")
		})
	}
}

// BenchmarkTimelineMemory measures the memory of a full ring buffer of events.
func BenchmarkTimelineMemory(b *testing.B) {
	before := memoryInUse()
	l := timeline.NewLog("instance-0001", timeline.DefaultCapacity, time.Now)
	for i := range timeline.DefaultCapacity {
		l.Record(timeline.Event{
			Kind: timeline.KindAdmitted, Request: fmt.Sprintf("req-%032d", i), Account: "account",
			Endpoint: "endpoint-0001", Step: "endpoint.admit", Detail: "in the queue behind 3 others",
		})
	}
	b.ReportMetric(float64(memoryInUse()-before)/(1<<20), "MiB")
	l.Record(timeline.Event{})
}

func fillRecord(t *once.Table, i int) {
	key := once.Key{Account: "account-17", Service: "registry", Key: fmt.Sprintf("certificate-%012d", i)}
	request := fmt.Sprintf("req-%032d", i)
	granted := t.Claim(1, once.Claim{Key: key, Request: request, Body: "digest", Remaining: time.Minute, Retention: time.Hour})
	t.Record(2, once.Outcome{Key: key, Request: request, Fence: granted.Fence, State: once.Done, Reply: &once.Reply{Status: 200, Body: make([]byte, 200)}})
}
