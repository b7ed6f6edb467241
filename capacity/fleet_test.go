package capacity_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/daemon"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/settings"
)

// Durations of one measurement. settleTime covers the first probes of the seeds,
// which transfer the full membership once and would distort the steady state.
const (
	settleTime  = 45 * time.Second
	measureTime = 10 * time.Second
)

// entryInterval makes one daemon in every entryInterval an entry.
const entryInterval = 5

// countingListener counts the bytes and open connections that it accepts. Each
// connection between two daemons is accepted once, so the sum over all daemons is
// the traffic of the fleet.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
	conns *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.Add(1)
	return &countingConn{Conn: c, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener countingListener
	closed   atomic.Bool
}

func (c *countingConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.conns.Add(-1)
	}
	return c.Conn.Close()
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// idleEngine is an engine that receives no requests.
type idleEngine struct{ engine.Engine }

func (idleEngine) Describe(context.Context) (engine.Description, error) {
	return engine.Description{
		Models: []string{"drafts"}, MemoryBlocks: 3200, MemoryTokens: 128,
		MaxPrompt: 400_000, PrefillPerSec: 20_000, DecodePerSec: 60,
	}, nil
}
func (idleEngine) Holdings(context.Context) ([]engine.Holding, error) { return nil, nil }
func (idleEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

// testFleet runs daemons in this process; one in entryInterval is an entry.
type testFleet struct {
	b       *testing.B
	g       *WithT
	bytes   atomic.Int64
	conns   atomic.Int64
	daemons []*daemon.Daemon
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newTestFleet(b *testing.B, n int) *testFleet {
	f := &testFleet{b: b, g: NewWithT(b)}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	var seeds []string
	for i := range n {
		d := f.startDaemon(ctx, i, seeds)
		if len(seeds) < 3 && i%entryInterval == 0 {
			seeds = append(seeds, d.Address())
		}
	}
	b.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	return f
}

func (f *testFleet) startDaemon(ctx context.Context, i int, seeds []string) *daemon.Daemon {
	s := settings.Defaults()
	s.Instance = settings.Instance{
		Name:          fmt.Sprintf("instance-%04d", i),
		FailureDomain: fmt.Sprintf("domain-%d", i%14),
		Duties:        []settings.Duty{settings.DutyEndpoint},
		Seeds:         seeds,
	}
	if i%entryInterval == 0 {
		s.Instance.Duties = []settings.Duty{settings.DutyEntry}
		s.Entry.BalancerDelay = 0
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	d, err := daemon.New(s, daemon.Options{
		Log:            slog.New(slog.NewTextHandler(io.Discard, nil)),
		Engine:         idleEngine{},
		Configuration:  &fleet.Configuration{Name: "capacity"},
		Listener:       countingListener{l, &f.bytes, &f.conns},
		CallerListener: callers,
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.daemons = append(f.daemons, d)
	f.running.Go(func() { _ = d.Run(ctx) })
	return d
}

// awaitConvergence waits until every entry knows every endpoint.
func (f *testFleet) awaitConvergence() {
	endpoints := len(f.daemons) - (len(f.daemons)+entryInterval-1)/entryInterval
	for i := 0; i < len(f.daemons); i += entryInterval {
		d := f.daemons[i]
		f.g.Eventually(d.EndpointCount, time.Minute, 50*time.Millisecond).Should(Equal(endpoints))
	}
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
