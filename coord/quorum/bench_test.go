package quorum_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

const benchCommandBytes = 256

// newFileCluster starts three members with disks on the file system.
func newFileCluster(b *testing.B) *cluster {
	g := NewWithT(b)
	c := &cluster{
		g:        g,
		network:  &network{nodes: map[string]*quorum.Node{}, cutLinks: map[[2]string]bool{}, frozen: map[string]bool{}},
		disks:    map[string]wal.Folder{},
		machines: map[string]*register{},
	}
	for i := range 3 {
		name := fmt.Sprintf("m%d", i)
		c.members = append(c.members, quorum.Member{Name: name, Address: "addr-" + name})
		folder, err := wal.OpenFolder(b.TempDir())
		g.Expect(err).NotTo(HaveOccurred())
		c.disks[name] = folder
	}
	for _, m := range c.members {
		c.start(m.Name)
	}
	return c
}

// percentile returns the given quantile of sorted latencies.
func percentile(sorted []time.Duration, quantile float64) time.Duration {
	return sorted[int(quantile*float64(len(sorted)-1))]
}

func report(b *testing.B, elapsed time.Duration, latencies []time.Duration) {
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/elapsed.Seconds(), "commits/s")
	b.ReportMetric(percentile(latencies, 0.5).Seconds()*1000, "p50-ms")
	b.ReportMetric(percentile(latencies, 0.99).Seconds()*1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLocalSync measures the baseline: one synced write to one local file.
func BenchmarkLocalSync(b *testing.B) {
	g := NewWithT(b)
	folder, err := wal.OpenFolder(b.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	log, err := wal.Create(folder, "salt", nil)
	g.Expect(err).NotTo(HaveOccurred())
	cmd := make([]byte, benchCommandBytes)
	latencies := make([]time.Duration, b.N)
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		opStart := time.Now()
		g.Expect(log.Append(cmd)).To(Succeed())
		latencies[i] = time.Since(opStart)
	}
	report(b, time.Since(start), latencies)
}

// BenchmarkPropose measures commits with three synced disks and direct calls between
// the members.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newFileCluster(b)
			defer c.stop()
			node := c.node(c.leader(memberNames(c)...))
			b.ResetTimer()
			elapsed, latencies := proposeAll(b, node, proposers)
			report(b, elapsed, latencies)
		})
	}
}

func proposeAll(b *testing.B, node *quorum.Node, proposers int) (time.Duration, []time.Duration) {
	cmd := make([]byte, benchCommandBytes)
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var workers sync.WaitGroup
	start := time.Now()
	for range proposers {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				opStart := time.Now()
				if _, err := node.Propose(context.Background(), cmd); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(opStart)
			}
		})
	}
	workers.Wait()
	return time.Since(start), latencies
}

// BenchmarkReadIndex measures reads at the leader with two concurrent readers per
// CPU, 16 on 8 CPUs.
func BenchmarkReadIndex(b *testing.B) {
	c := newFileCluster(b)
	defer c.stop()
	node := c.node(c.leader(memberNames(c)...))
	b.ResetTimer()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := node.ReadIndex(context.Background()); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkFailover isolates the leader of three members and measures the time until
// another member has committed a command. Each iteration is one failover.
func BenchmarkFailover(b *testing.B) {
	var latencies []time.Duration
	for i := range b.N {
		c := newFileCluster(b)
		leader := c.leader(memberNames(c)...)
		for c.propose(leader, "before") != nil {
			time.Sleep(time.Millisecond)
		}
		// Spread the failures over the heartbeat interval.
		time.Sleep(time.Duration(i%10) * quorum.HeartbeatInterval / 10)
		start := time.Now()
		c.network.isolate(leader, true)
		c.commitAnywhere(c.others(leader))
		latencies = append(latencies, time.Since(start))
		c.stop()
	}
	slices.Sort(latencies)
	b.ReportMetric(percentile(latencies, 0.5).Seconds()*1000, "p50-ms")
	b.ReportMetric(percentile(latencies, 0.99).Seconds()*1000, "p99-ms")
	b.ReportMetric(latencies[len(latencies)-1].Seconds()*1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// commitAnywhere returns once any of the members has committed a command.
func (c *cluster) commitAnywhere(members []string) {
	for {
		for _, name := range members {
			if c.node(name).Status().IsLeader && c.propose(name, "after") == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkIdle measures the traffic and CPU time of three idle members. Each
// iteration takes one second.
func BenchmarkIdle(b *testing.B) {
	c := newFileCluster(b)
	defer c.stop()
	c.leader(memberNames(c)...)
	time.Sleep(time.Second)
	c.network.bytes.Store(0)
	c.network.messages.Store(0)
	cpuBefore := cpuTime()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	members := float64(3 * b.N)
	b.ReportMetric(float64(c.network.bytes.Load())/members, "bytes/member/s")
	b.ReportMetric(float64(c.network.messages.Load())/members, "messages/member/s")
	b.ReportMetric((cpuTime()-cpuBefore).Seconds()*1000/members, "cpu-ms/member/s")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
