package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/internal/loopback"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/transport"
)

// cluster runs control members in one process, connected over the loopback
// through a network that can be partitioned.
type cluster struct {
	t       testing.TB
	network *transport.Transport
	folder  string
	members []settings.Member

	mu        sync.Mutex
	partition map[string]int // by address; addresses in different partitions don't reach each other
	running   map[string]*runningMember
}

type runningMember struct {
	member *control.Member
	server *http.Server
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newCluster(t testing.TB, n int) *cluster {
	network, err := transport.New(settings.TLS{}, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	c := &cluster{
		t: t, network: network, folder: t.TempDir(),
		partition: map[string]int{}, running: map[string]*runningMember{},
	}
	for i := range n {
		c.members = append(c.members, settings.Member{Name: fmt.Sprintf("c%d", i+1), Address: freeAddress(t)})
	}
	for _, m := range c.members {
		c.start(m, c.members)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	return c
}

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) string {
	address, err := loopback.FreeAddress()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return address
}

func (c *cluster) start(m settings.Member, initial []settings.Member) { c.startOnPeer(m, initial, nil) }

// startOnPeer starts a member that passes accepted configurations to host, which
// may be nil.
func (c *cluster) startOnPeer(m settings.Member, initial []settings.Member, host *peer) {
	g := NewWithT(c.t)
	options := control.Options{
		Name: m.Name, Address: m.Address, Members: initial, Folder: filepath.Join(c.folder, m.Name),
		HTTP: &http.Client{Transport: c.partitionedTransport(m.Address)}, URL: c.network.URL,
	}
	if host != nil {
		options.Store, options.Gossip = host.store, host.gossip
	}
	member, err := control.Start(options)
	g.Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	member.Register(mux)
	listener, err := c.network.Listen(m.Address)
	g.Expect(err).NotTo(HaveOccurred())
	r := &runningMember{member: member, server: c.network.Server(mux)}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { _ = r.server.Serve(listener) })
	r.done.Go(func() { _ = member.Serve(ctx) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[m.Name] = r
}

func (c *cluster) stop(m settings.Member) {
	c.mu.Lock()
	r := c.running[m.Name]
	delete(c.running, m.Name)
	c.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	_ = r.server.Close()
	r.member.Stop()
	r.done.Wait()
}

var errPartitioned = errors.New("network is partitioned")

// partitionedTransport returns the network as seen from an address. Calls to
// another partition get no answer.
func (c *cluster) partitionedTransport(from string) http.RoundTripper {
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		if c.isPartitioned(from, r.URL.Host) {
			<-r.Context().Done()
			return nil, errPartitioned
		}
		response, err := c.network.Client().Transport.RoundTrip(r)
		if err == nil && c.isPartitioned(from, r.URL.Host) {
			_ = response.Body.Close()
			<-r.Context().Done()
			return nil, errPartitioned
		}
		return response, err
	})
}

type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (c *cluster) isPartitioned(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partition[a] != c.partition[b]
}

// isolate puts each of the members into a partition of its own, and everything
// else into one common partition.
func (c *cluster) isolate(members ...settings.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partition = map[string]int{}
	for i, m := range members {
		c.partition[m.Address] = i + 1
	}
}

// farClient is the source address of a client that can be isolated together with
// one member.
const farClient = "far client"

// isolateWithFarClient isolates a member and the far client, in one partition,
// from everything else.
func (c *cluster) isolateWithFarClient(m settings.Member) {
	c.isolate(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partition[farClient] = c.partition[m.Address]
}

func (c *cluster) client() *control.Client { return c.clientFrom("client") }

func (c *cluster) clientFrom(source string) *control.Client {
	return control.NewClient(control.ClientOptions{
		Members: c.addresses,
		HTTP:    &http.Client{Transport: c.partitionedTransport(source)}, URL: c.network.URL,
	})
}

// addresses returns the addresses of the members.
func (c *cluster) addresses() []string {
	var all []string
	for _, m := range c.members {
		all = append(all, m.Address)
	}
	return all
}

// leader waits until a majority agrees on a leader, and returns it.
func (c *cluster) leader() settings.Member {
	var found settings.Member
	NewWithT(c.t).Eventually(func() bool {
		votes := map[string]int{}
		c.mu.Lock()
		for _, r := range c.running {
			votes[r.member.Status().GetLeader()]++
		}
		c.mu.Unlock()
		for _, m := range c.members {
			if votes[m.Name] > len(c.members)/2 {
				found = m
				return true
			}
		}
		return false
	}).WithTimeout(20 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
	return found
}
