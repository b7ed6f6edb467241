package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// BenchmarkIdleDaemon measures the cost of heartbeats, membership and engine
// monitoring for one idle daemon, by fleet size. Bytes are the sum of those sent and
// received.
func BenchmarkIdleDaemon(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 300} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { measureIdle(b, n) })
	}
}

func counterValue(name string) uint64 { return metrics.GetOrCreateCounter(name).Get() }

func measureIdle(b *testing.B, n int) {
	before := memoryInUse()
	start := time.Now()
	f := newTestFleet(b, n)
	f.awaitConvergence()
	convergence := time.Since(start)
	time.Sleep(settleTime)
	startMessages := counterValue("jacinthplank_gossip_message_bytes_total")
	startRecords, startExchanges := counterValue("jacinthplank_gossip_records_received_total"), counterValue("jacinthplank_gossip_exchanges_total")
	startBytes, startCPU, startTime := f.bytes.Load(), cpuTime(), time.Now()
	time.Sleep(measureTime)
	seconds := time.Since(startTime).Seconds()
	perDaemon := float64(n) * seconds
	b.ReportMetric(2*float64(f.bytes.Load()-startBytes)/perDaemon, "B/s/daemon")
	b.ReportMetric(100*(cpuTime()-startCPU).Seconds()/perDaemon, "%core/daemon")
	b.ReportMetric(float64(memoryInUse()-before)/float64(n)/(1<<20), "MiB/daemon")
	b.ReportMetric(float64(counterValue("jacinthplank_gossip_records_received_total")-startRecords)/perDaemon, "records/s/daemon")
	b.ReportMetric(float64(counterValue("jacinthplank_gossip_exchanges_total")-startExchanges)/perDaemon, "exchanges/s/daemon")
	b.ReportMetric(2*float64(counterValue("jacinthplank_gossip_message_bytes_total")-startMessages)/perDaemon, "message-B/s/daemon")
	b.ReportMetric(float64(f.conns.Load())/float64(n), "connections/daemon")
	b.ReportMetric(convergence.Seconds(), "s-to-complete")
	b.ReportMetric(0, "ns/op")
}
