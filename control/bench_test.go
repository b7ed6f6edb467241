package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/transport"
)

// peer is the part of a daemon that takes part in distribution, with its own
// listener.
type peer struct {
	jacinthplankv1connect.UnimplementedPeerServiceHandler
	address string
	store   *distribution.Store
	gossip  *distribution.Gossip
}

func (p *peer) Configuration(ctx context.Context, r *connect.Request[pb.ConfigurationRequest]) (*connect.Response[pb.ConfigurationResponse], error) {
	return p.gossip.Configuration(ctx, r)
}

// peers is a set of peers in one process.
type peers struct {
	all      []*peer
	bytes    atomic.Int64 // read and written by listeners
	requests atomic.Int64
	stop     func()
}

// newPeers starts n peers. Each has its own transport, so that they connect to
// each other as separate processes would.
func newPeers(tb testing.TB, n int) *peers {
	g := NewWithT(tb)
	p := &peers{}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	var servers []*http.Server
	var listeners []net.Listener
	var networks []*transport.Transport
	var addresses []string
	for range n {
		network, err := transport.New(settings.TLS{}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		listener, err := network.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		networks = append(networks, network)
		listeners = append(listeners, &countingListener{listener, &p.bytes})
		addresses = append(addresses, listener.Addr().String())
	}
	for i, network := range networks {
		others := slices.Delete(slices.Clone(addresses), i, i+1)
		node := newPeer(network, addresses[i], others)
		mux := http.NewServeMux()
		mux.Handle(jacinthplankv1connect.NewPeerServiceHandler(node, connect.WithCompressMinBytes(4<<10)))
		server := network.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.requests.Add(1)
			mux.ServeHTTP(w, r)
		}))
		servers = append(servers, server)
		p.all = append(p.all, node)
		serving.Go(func() { _ = server.Serve(listeners[i]) })
		serving.Go(func() { _ = node.gossip.Serve(ctx) })
	}
	p.stop = func() {
		cancel()
		for _, s := range servers {
			_ = s.Close()
		}
		for _, network := range networks {
			network.Client().CloseIdleConnections()
		}
		serving.Wait()
	}
	return p
}

func newPeer(network *transport.Transport, address string, others []string) *peer {
	node := &peer{address: address, store: distribution.NewStore()}
	var clients sync.Map
	node.gossip = distribution.NewGossip(distribution.Options{
		Store: node.store, Address: address, Peers: func() []string { return others },
		Request: func(ctx context.Context, to string, q *pb.ConfigurationRequest) (*pb.ConfigurationResponse, error) {
			client, ok := clients.Load(to)
			if !ok {
				client = jacinthplankv1connect.NewPeerServiceClient(network.Client(), network.URL(to))
				clients.Store(to, client)
			}
			r, err := client.(jacinthplankv1connect.PeerServiceClient).Configuration(ctx, connect.NewRequest(q))
			if err != nil {
				return nil, err
			}
			return r.Msg, nil
		},
	})
	return node
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func configurationWithAccounts(accounts int) *fleet.Configuration {
	c := testConfiguration("fleet")
	for i := range accounts {
		c.Accounts = append(c.Accounts, fleet.Account{
			Name: fmt.Sprintf("account-%04d", i), Share: 1, ShortTokenRate: 100_000, LongTokenRate: 1_000_000,
			KeyDigests: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return c
}

// BenchmarkConfigurationPropagation measures the time from the call of Accept
// until the version is in force on every peer. Three of the peers are members of
// the quorum.
func BenchmarkConfigurationPropagation(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) { measurePropagation(b, n) })
	}
}

func measurePropagation(b *testing.B, n int) {
	g := NewWithT(b)
	p := newPeers(b, n)
	defer p.stop()
	c := newClusterOnPeers(b, p.all[:3])
	client := c.client()
	configuration := configurationWithAccounts(10)
	g.Eventually(func() error {
		_, err := client.Accept(b.Context(), control.Change{ID: "first", Configuration: configuration})
		return err
	}).WithTimeout(20 * time.Second).Should(Succeed())
	time.Sleep(2 * time.Second)

	var all, last []time.Duration
	i, refusals := 0, 0
	for b.Loop() {
		i++
		configuration.Accounts[0].Share = i + 1
		started := time.Now()
		refusals += acceptWithRetry(b, client, control.Change{
			ID: fmt.Sprint(i), Configuration: configuration, Base: fleet.Version{Epoch: 1, Revision: uint64(i)},
		})
		delays := p.awaitRevision(uint64(i+1), started)
		all = append(all, delays...)
		last = append(last, delays[len(delays)-1])
		b.StopTimer()
		time.Sleep(100 * time.Millisecond)
		b.StartTimer()
	}
	report(b, "a-peer", all)
	report(b, "everywhere", last)
	b.ReportMetric(float64(refusals), "refusals")
	b.ReportMetric(0, "ns/op")
}

// acceptWithRetry sends a change until a call succeeds, and returns the number of
// failed calls.
func acceptWithRetry(b *testing.B, client *control.Client, change control.Change) int {
	for refusals := 0; ; refusals++ {
		a, err := client.Accept(b.Context(), change)
		if err == nil {
			NewWithT(b).Expect(a.Verdict).To(Equal(revision.Accepted))
			return refusals
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitRevision waits until a revision is in force on every peer. It returns the
// delay of each peer since started, in ascending order.
func (p *peers) awaitRevision(revision uint64, started time.Time) []time.Duration {
	delays := make([]time.Duration, 0, len(p.all))
	waiting := slices.Clone(p.all)
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(node *peer) bool {
			if node.store.Version().Revision < revision {
				return false
			}
			delays = append(delays, time.Since(started))
			return true
		})
		time.Sleep(200 * time.Microsecond)
	}
	return delays
}

func report(b *testing.B, metric string, delays []time.Duration) {
	slices.Sort(delays)
	quantile := func(q float64) float64 {
		return float64(delays[min(int(q*float64(len(delays))), len(delays)-1)].Microseconds()) / 1e3
	}
	b.ReportMetric(quantile(0.5), metric+"-p50-ms")
	b.ReportMetric(quantile(0.99), metric+"-p99-ms")
}

// newClusterOnPeers starts a quorum with one member on each of the peers.
func newClusterOnPeers(tb testing.TB, hosts []*peer) *cluster {
	network, err := transport.New(settings.TLS{}, nil)
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	c := &cluster{t: tb, network: network, folder: tb.TempDir(), partition: map[string]int{}, running: map[string]*runningMember{}}
	for i := range hosts {
		c.members = append(c.members, settings.Member{Name: fmt.Sprintf("c%d", i+1), Address: freeAddress(tb)})
	}
	for i, m := range c.members {
		c.startOnPeer(m, c.members, hosts[i])
	}
	tb.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	return c
}

// BenchmarkCatchUpOverNetwork measures how long a daemon that starts 500 changes
// behind its peer takes to bring the peer's version into force.
func BenchmarkCatchUpOverNetwork(b *testing.B) {
	g := NewWithT(b)
	p := newPeers(b, 1)
	defer p.stop()
	var register revision.Register
	var cached revision.Update
	configuration := configurationWithAccounts(380)
	for i := range 510 {
		configuration.Accounts[i%380].Share = i + 2
		document, err := distribution.Document(configuration)
		g.Expect(err).NotTo(HaveOccurred())
		register.Accept(revision.Change{ID: fmt.Sprint(i), Base: register.Version, Document: document})
		if i == 9 {
			cached = register.After(revision.Version{})
		}
	}
	_, err := p.all[0].store.Apply(cached)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.all[0].store.Apply(register.After(cached.Version))
	g.Expect(err).NotTo(HaveOccurred())
	var delays []time.Duration
	for b.Loop() {
		delays = append(delays, catchUp(b, p.all[0], cached))
	}
	report(b, "in-force", delays)
}

func catchUp(b *testing.B, from *peer, cached revision.Update) time.Duration {
	g := NewWithT(b)
	network, err := transport.New(settings.TLS{}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	node := newPeer(network, "127.0.0.1:1", []string{from.address})
	_, err = node.store.Apply(cached)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(b.Context())
	var serving sync.WaitGroup
	started := time.Now()
	serving.Go(func() { _ = node.gossip.Serve(ctx) })
	for node.store.Version() != from.store.Version() {
		time.Sleep(100 * time.Microsecond)
	}
	delay := time.Since(started)
	cancel()
	serving.Wait()
	network.Client().CloseIdleConnections()
	return delay
}

// BenchmarkIdle measures the traffic and CPU time of distribution while the
// configuration does not change.
func BenchmarkIdle(b *testing.B) {
	const settle, length = 40 * time.Second, 10 * time.Second
	for _, n := range []int{3, 10, 30, 100, 200} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			p := newPeers(b, n)
			defer p.stop()
			for b.Loop() {
				time.Sleep(settle)
				bytes, requests, cpu := p.bytes.Load(), p.requests.Load(), cpuTime()
				time.Sleep(length)
				daemonSeconds := float64(n) * length.Seconds()
				b.ReportMetric(float64(p.bytes.Load()-bytes)/daemonSeconds, "B/s/daemon")
				b.ReportMetric(float64(p.requests.Load()-requests)/daemonSeconds, "requests/s/daemon")
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/daemonSeconds, "us-cpu/s/daemon")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkClaim measures claiming a call and recording its outcome, on a quorum
// of three members.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(b, 3)
	c.leader()
	records := newClaims(c.client())
	var claimed atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			claim := newClaim(fmt.Sprint(claimed.Add(1)), "r1")
			grant, err := records.Claim(b.Context(), claim)
			if err != nil {
				b.Fatal(err)
			}
			if err := records.Record(b.Context(), claim, grant, &submit.Reply{Status: 201}, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.ReportMetric(float64(claimed.Load())/b.Elapsed().Seconds(), "claims/s")
}

// cpuTime returns the CPU time of this process, which runs all peers.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
