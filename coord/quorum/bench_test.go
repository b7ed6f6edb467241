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

// onDisk starts three members on the file system.
func onDisk(b *testing.B) *cluster {
	g := NewWithT(b)
	c := &cluster{
		g:        g,
		network:  &network{nodes: map[string]*quorum.Node{}, cut: map[[2]string]bool{}, frozen: map[string]bool{}},
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

// percentile returns the latency below which a share of the sorted ones lies.
func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))]
}

func report(b *testing.B, took time.Duration, latencies []time.Duration) {
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/took.Seconds(), "commits/s")
	b.ReportMetric(percentile(latencies, 0.5).Seconds()*1000, "p50-ms")
	b.ReportMetric(percentile(latencies, 0.99).Seconds()*1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLocalSync is the baseline: one synced write to one local file.
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
		began := time.Now()
		g.Expect(log.Append(cmd)).To(Succeed())
		latencies[i] = time.Since(began)
	}
	report(b, time.Since(start), latencies)
}

// BenchmarkPropose commits on three synced disks with direct calls between the
// members.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := onDisk(b)
			defer c.stop()
			node := c.node(c.leader(names(c)...))
			b.ResetTimer()
			took, latencies := proposeAll(b, node, proposers)
			report(b, took, latencies)
		})
	}
}

func proposeAll(b *testing.B, node *quorum.Node, proposers int) (time.Duration, []time.Duration) {
	cmd := make([]byte, benchCommandBytes)
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var all sync.WaitGroup
	start := time.Now()
	for range proposers {
		all.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				began := time.Now()
				if _, err := node.Propose(context.Background(), cmd); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(began)
			}
		})
	}
	all.Wait()
	return time.Since(start), latencies
}

// BenchmarkReadIndex reads at the leader with 16 readers.
func BenchmarkReadIndex(b *testing.B) {
	c := onDisk(b)
	defer c.stop()
	node := c.node(c.leader(names(c)...))
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

// BenchmarkFailover kills the leader of three members: the time until another
// one has committed a command. One trial is one kill.
func BenchmarkFailover(b *testing.B) {
	var without []time.Duration
	for i := range b.N {
		c := onDisk(b)
		leader := c.leader(names(c)...)
		for c.propose(leader, "before") != nil {
			time.Sleep(time.Millisecond)
		}
		// Kills fall at any place of the heartbeat interval.
		time.Sleep(time.Duration(i%10) * quorum.Heartbeat / 10)
		start := time.Now()
		c.network.isolate(leader, true)
		c.commitAnywhere(c.others(leader))
		without = append(without, time.Since(start))
		c.stop()
	}
	slices.Sort(without)
	b.ReportMetric(percentile(without, 0.5).Seconds()*1000, "p50-ms")
	b.ReportMetric(percentile(without, 0.99).Seconds()*1000, "p99-ms")
	b.ReportMetric(without[len(without)-1].Seconds()*1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// commitAnywhere returns once some member has committed a command.
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

// BenchmarkIdle runs three members without work for one second each time.
func BenchmarkIdle(b *testing.B) {
	c := onDisk(b)
	defer c.stop()
	c.leader(names(c)...)
	time.Sleep(time.Second)
	c.network.bytes.Store(0)
	c.network.messages.Store(0)
	before := processorTime()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	members := float64(3 * b.N)
	b.ReportMetric(float64(c.network.bytes.Load())/members, "bytes/member/s")
	b.ReportMetric(float64(c.network.messages.Load())/members, "messages/member/s")
	b.ReportMetric((processorTime()-before).Seconds()*1000/members, "cpu-ms/member/s")
	b.ReportMetric(0, "ns/op")
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
