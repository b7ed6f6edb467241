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

// cluster is control members in one process, which talk over the loopback
// through a network that can be cut.
type cluster struct {
	t       testing.TB
	network *transport.Transport
	folder  string
	members []settings.Member

	mu      sync.Mutex
	side    map[string]int // addresses of different sides don't reach each other
	running map[string]*running
}

type running struct {
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
		side: map[string]int{}, running: map[string]*running{},
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

// freeAddress returns an address of the loopback that nobody listens on.
func freeAddress(t testing.TB) string {
	address, err := loopback.Free()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return address
}

func (c *cluster) start(m settings.Member, first []settings.Member) { c.startOn(m, first, nil) }

// startOn starts a member that hands accepted configurations to a peer.
func (c *cluster) startOn(m settings.Member, first []settings.Member, on *peer) {
	g := NewWithT(c.t)
	options := control.Options{
		Name: m.Name, Address: m.Address, Members: first, Folder: filepath.Join(c.folder, m.Name),
		HTTP: &http.Client{Transport: c.cutter(m.Address)}, URL: c.network.URL,
	}
	if on != nil {
		options.Store, options.Gossip = on.store, on.gossip
	}
	member, err := control.Start(options)
	g.Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	member.Register(mux)
	listener, err := c.network.Listen(m.Address)
	g.Expect(err).NotTo(HaveOccurred())
	r := &running{member: member, server: c.network.Server(mux)}
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

var errCut = errors.New("network is cut")

// cutter is the network as seen from an address. Calls over a cut get no answer.
func (c *cluster) cutter(from string) http.RoundTripper {
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		if c.isCut(from, r.URL.Host) {
			<-r.Context().Done()
			return nil, errCut
		}
		response, err := c.network.Client().Transport.RoundTrip(r)
		if err == nil && c.isCut(from, r.URL.Host) {
			_ = response.Body.Close()
			<-r.Context().Done()
			return nil, errCut
		}
		return response, err
	})
}

type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (c *cluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.side[a] != c.side[b]
}

// setCut cuts each of the members off from everybody, and no others.
func (c *cluster) setCut(members ...settings.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side = map[string]int{}
	for i, m := range members {
		c.side[m.Address] = i + 1
	}
}

// farClient is the source of calls that are cut off together with one member.
const farClient = "far client"

// setCutWith cuts a member and the far client off from everybody else.
func (c *cluster) setCutWith(m settings.Member) {
	c.setCut(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side[farClient] = c.side[m.Address]
}

func (c *cluster) client() *control.Client { return c.clientFrom("client") }

func (c *cluster) clientFrom(source string) *control.Client {
	return control.NewClient(control.ClientOptions{
		Members: func() []string {
			var addresses []string
			for _, m := range c.members {
				addresses = append(addresses, m.Address)
			}
			return addresses
		},
		HTTP: &http.Client{Transport: c.cutter(source)}, URL: c.network.URL,
	})
}

// leader waits for a leader that a majority follows, and returns it.
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
