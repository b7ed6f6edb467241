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

// peer is what distribution needs of a daemon, with a listener of its own.
type peer struct {
	jacinthplankv1connect.UnimplementedPeerServiceHandler
	address string
	store   *distribution.Store
	gossip  *distribution.Gossip
}

func (p *peer) Configuration(ctx context.Context, r *connect.Request[pb.ConfigurationRequest]) (*connect.Response[pb.ConfigurationResponse], error) {
	return p.gossip.Configuration(ctx, r)
}

// peers is a fleet of peers in one process.
type peers struct {
	all      []*peer
	bytes    atomic.Int64 // read and written by listeners
	requests atomic.Int64
	stop     func()
}

// newPeers starts n peers. Each has a transport of its own, so that connections
// are as between processes.
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
		one := newPeer(network, addresses[i], others)
		mux := http.NewServeMux()
		mux.Handle(jacinthplankv1connect.NewPeerServiceHandler(one, connect.WithCompressMinBytes(4<<10)))
		server := network.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.requests.Add(1)
			mux.ServeHTTP(w, r)
		}))
		servers = append(servers, server)
		p.all = append(p.all, one)
		serving.Go(func() { _ = server.Serve(listeners[i]) })
		serving.Go(func() { _ = one.gossip.Serve(ctx) })
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
	one := &peer{address: address, store: distribution.NewStore()}
	var clients sync.Map
	one.gossip = distribution.NewGossip(distribution.Options{
		Store: one.store, Address: address, Peers: func() []string { return others },
		Request: func(ctx context.Context, to string, q *pb.ConfigurationRequest) (*pb.ConfigurationResponse, error) {
			client, known := clients.Load(to)
			if !known {
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
	return one
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

func fleetOf(accounts int) *fleet.Configuration {
	c := configuration("fleet")
	for i := range accounts {
		c.Accounts = append(c.Accounts, fleet.Account{
			Name: fmt.Sprintf("account-%04d", i), Share: 1, ShortTokens: 100_000, LongTokens: 1_000_000,
			KeyDigests: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return c
}

// BenchmarkInForce measures the time from the call of Accept until the version
// is in force on every peer, with three members of the quorum among the peers.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) { measureInForce(b, n) })
	}
}

func measureInForce(b *testing.B, n int) {
	g := NewWithT(b)
	p := newPeers(b, n)
	defer p.stop()
	c := newControl(b, p.all[:3])
	client := c.client()
	configuration := fleetOf(10)
	g.Eventually(func() error {
		_, err := client.Accept(b.Context(), control.Change{ID: "first", Configuration: configuration})
		return err
	}).WithTimeout(20 * time.Second).Should(Succeed())
	time.Sleep(2 * time.Second)

	var times, last []time.Duration
	i, refused := 0, 0
	for b.Loop() {
		i++
		configuration.Accounts[0].Share = i + 1
		started := time.Now()
		refused += acceptAgain(b, client, control.Change{
			ID: fmt.Sprint(i), Configuration: configuration, Base: fleet.Version{Epoch: 1, Revision: uint64(i)},
		})
		one := p.await(uint64(i+1), started)
		times = append(times, one...)
		last = append(last, one[len(one)-1])
		b.StopTimer()
		time.Sleep(100 * time.Millisecond)
		b.StartTimer()
	}
	report(b, "a-peer", times)
	report(b, "everywhere", last)
	b.ReportMetric(float64(refused), "refusals")
	b.ReportMetric(0, "ns/op")
}

// acceptAgain sends a change until it is answered, and returns how often it was
// refused or got no answer before.
func acceptAgain(b *testing.B, client *control.Client, change control.Change) int {
	for refused := 0; ; refused++ {
		a, err := client.Accept(b.Context(), change)
		if err == nil {
			NewWithT(b).Expect(a.Verdict).To(Equal(revision.Accepted))
			return refused
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// await returns how long each peer took to have a revision in force.
func (p *peers) await(revision uint64, started time.Time) []time.Duration {
	times := make([]time.Duration, 0, len(p.all))
	waiting := slices.Clone(p.all)
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(one *peer) bool {
			if one.store.Version().Revision < revision {
				return false
			}
			times = append(times, time.Since(started))
			return true
		})
		time.Sleep(200 * time.Microsecond)
	}
	return times
}

func report(b *testing.B, what string, times []time.Duration) {
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[min(int(q*float64(len(times))), len(times)-1)].Microseconds()) / 1e3
	}
	b.ReportMetric(at(0.5), what+"-p50-ms")
	b.ReportMetric(at(0.99), what+"-p99-ms")
}

// newControl starts a member of one quorum on each of the peers.
func newControl(tb testing.TB, on []*peer) *cluster {
	network, err := transport.New(settings.TLS{}, nil)
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	c := &cluster{t: tb, network: network, folder: tb.TempDir(), side: map[string]int{}, running: map[string]*running{}}
	for i := range on {
		c.members = append(c.members, settings.Member{Name: fmt.Sprintf("c%d", i+1), Address: freeAddress(tb)})
	}
	for i, m := range c.members {
		c.startOn(m, c.members, on[i])
	}
	tb.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	return c
}

// BenchmarkCatchUpOverTheWire measures the time from the start of a daemon that
// is 500 changes behind until the version of its peer is in force.
func BenchmarkCatchUpOverTheWire(b *testing.B) {
	g := NewWithT(b)
	p := newPeers(b, 1)
	defer p.stop()
	var register revision.Register
	var cached revision.Update
	configuration := fleetOf(380)
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
	var times []time.Duration
	for b.Loop() {
		times = append(times, catchUp(b, p.all[0], cached))
	}
	report(b, "in-force", times)
}

func catchUp(b *testing.B, from *peer, cached revision.Update) time.Duration {
	g := NewWithT(b)
	network, err := transport.New(settings.TLS{}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	one := newPeer(network, "127.0.0.1:1", []string{from.address})
	_, err = one.store.Apply(cached)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(b.Context())
	var serving sync.WaitGroup
	started := time.Now()
	serving.Go(func() { _ = one.gossip.Serve(ctx) })
	for one.store.Version() != from.store.Version() {
		time.Sleep(100 * time.Microsecond)
	}
	took := time.Since(started)
	cancel()
	serving.Wait()
	network.Client().CloseIdleConnections()
	return took
}

// BenchmarkIdle measures what distribution costs while nothing changes.
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
				each := float64(n) * length.Seconds()
				b.ReportMetric(float64(p.bytes.Load()-bytes)/each, "B/s/daemon")
				b.ReportMetric(float64(p.requests.Load()-requests)/each, "requests/s/daemon")
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/each, "us-cpu/s/daemon")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkClaim measures a claim with its outcome, through three members.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(b, 3)
	c.leader()
	records := claims(c.client())
	var taken atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			claim := claimOf(fmt.Sprint(taken.Add(1)), "r1")
			grant, err := records.Claim(b.Context(), claim)
			if err != nil {
				b.Fatal(err)
			}
			if err := records.Record(b.Context(), claim, grant, &submit.Reply{Status: 201}, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.ReportMetric(float64(taken.Load())/b.Elapsed().Seconds(), "claims/s")
}

// cpuTime is the processor time of this process, which runs every peer.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
