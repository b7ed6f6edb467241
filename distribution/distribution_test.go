package distribution_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
	jacinthplankv1 "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// author publishes configurations, each of which changes one account's share.
type author struct {
	register      revision.Register
	configuration fleet.Configuration
	share         int
}

func (a *author) publish(accounts int) {
	a.share++
	c := &a.configuration
	for i := len(c.Accounts); i < accounts; i++ {
		c.Accounts = append(c.Accounts, fleet.Account{Name: fmt.Sprintf("account-%05d", i), Share: 1})
	}
	c.Accounts[a.share%accounts].Share = a.share
	document, err := distribution.Document(c)
	if err != nil {
		panic(err)
	}
	answer := a.register.Accept(revision.Change{ID: fmt.Sprint(a.share), Base: a.register.Version, Document: document})
	if answer.Verdict != revision.Accepted {
		panic(answer.Reason)
	}
}

func mustApply(g *WithT, s *distribution.Store, u revision.Update) {
	changed, err := s.Apply(u)
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	g.ExpectWithOffset(1, changed).To(BeTrue())
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	a.publish(3)
	old := a.register.After(revision.Version{})
	a.publish(3)
	s := distribution.NewStore()
	mustApply(g, s, a.register.After(revision.Version{}))

	changed, err := s.Apply(old)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeFalse())
	g.Expect(s.Version()).To(Equal(fleet.Version{Epoch: 1, Revision: 2}))
	g.Expect(s.Current().Accounts[2].Share).To(Equal(2))
}

func TestMismatchedDeltasAreRejected(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	a.publish(50)
	s := distribution.NewStore()
	first := a.register.After(revision.Version{})
	mustApply(g, s, first)
	a.publish(50)
	a.publish(50)
	u := a.register.After(first.Version)
	g.Expect(u.Deltas).To(HaveLen(2))
	u.Deltas = u.Deltas[1:]

	_, err := s.Apply(u)
	g.Expect(err).To(MatchError(distribution.ErrDigest))
	g.Expect(s.Version()).To(Equal(fleet.Version(first.Version)))
	mustApply(g, s, a.register.After(first.Version))
	g.Expect(s.Digest()).To(Equal(a.register.Digest))
}

func TestUpdateForOlderBaseIsApplied(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	a.publish(50)
	s := distribution.NewStore()
	first := a.register.After(revision.Version{})
	mustApply(g, s, first)
	a.publish(50)
	second := a.register.After(first.Version)
	a.publish(50)
	third := a.register.After(first.Version)

	mustApply(g, s, second)
	mustApply(g, s, third)
	g.Expect(s.Digest()).To(Equal(a.register.Digest))
}

func TestSubscriberReceivesLatestConfiguration(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	s := distribution.NewStore()
	updates, end := s.Subscribe()
	defer end()
	for range 3 {
		a.publish(3)
		mustApply(g, s, a.register.After(revision.Version{}))
	}
	g.Expect((<-updates).Version.Revision).To(BeEquivalentTo(3))
}

func TestCacheSurvivesRestartAndNeverRollsBack(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "configuration.json")
	a := &author{}
	a.publish(3)
	s := distribution.NewStore()
	g.Expect(s.Load(file)).To(Succeed())
	mustApply(g, s, a.register.After(revision.Version{}))
	g.Expect(s.Save(file)).To(Succeed())
	a.publish(3)
	mustApply(g, s, a.register.After(revision.Version{}))
	g.Expect(s.Load(file)).To(Succeed())
	g.Expect(s.Version().Revision).To(BeEquivalentTo(2))

	restarted := distribution.NewStore()
	g.Expect(restarted.Load(file)).To(Succeed())
	g.Expect(restarted.Version().Revision).To(BeEquivalentTo(1))

	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	text[len(text)/2] ^= 1
	g.Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	damaged := distribution.NewStore()
	g.Expect(damaged.Load(file)).NotTo(Succeed())
	g.Expect(damaged.Version()).To(Equal(fleet.Version{}))
}

func TestPlannerAvoidsUnresponsivePeers(t *testing.T) {
	g := NewWithT(t)
	p := distribution.NewPlanner(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	one, two := fleet.Version{Epoch: 1, Revision: 1}, fleet.Version{Epoch: 1, Revision: 2}
	p.ObserveVersion("a", two)
	p.ObserveVersion("b", one)
	next := func(have fleet.Version) string {
		address, _ := p.Next(now, have, nil)
		return address
	}
	g.Expect(next(fleet.Version{})).To(Equal("a"))
	p.RecordFailure(now, "a")
	g.Expect(next(fleet.Version{})).To(Equal("b"))
	p.RecordResponse("b", fleet.Version{})
	g.Expect(next(fleet.Version{})).To(BeEmpty())
	g.Expect(p.Sample(now, []string{"a"}, 1)).To(BeEmpty())
	now = now.Add(distribution.AvoidPeriod)
	g.Expect(p.Sample(now, []string{"a"}, 1)).To(Equal([]string{"a"}))
}

func TestEveryPeerBecomesNeighbourOverTime(t *testing.T) {
	g := NewWithT(t)
	p := distribution.NewPlanner(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	var peers []string
	for i := range 3 * distribution.MaxNeighbours {
		peers = append(peers, fmt.Sprint(i))
	}
	seen := map[string]bool{}
	for range 200 {
		for _, address := range p.Sample(now, peers, distribution.FanOut) {
			seen[address] = true
		}
		now = now.Add(distribution.SwapPeriod)
	}
	g.Expect(seen).To(HaveLen(len(peers)))
}

func TestNewDaemonRequestsFromFirstKnownPeer(t *testing.T) {
	g := NewWithT(t)
	p := distribution.NewPlanner(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	address, wait := p.Next(now, fleet.Version{}, nil)
	g.Expect(address).To(BeEmpty())
	g.Expect(wait).To(BeNumerically("<=", distribution.HedgeDelay))
	address, _ = p.Next(now.Add(wait), fleet.Version{}, []string{"a"})
	g.Expect(address).To(Equal("a"))
	p.RecordResponse("a", fleet.Version{})
	_, wait = p.Next(now.Add(wait), fleet.Version{}, []string{"a"})
	g.Expect(wait).To(BeNumerically(">=", distribution.ProbePeriod/2))
}

// network connects Gossip instances in one process. Each message takes latency, is
// lost with probability lossRate, and is dropped between isolated and other members.
type network struct {
	mu            sync.Mutex
	seed          uint64
	lossRate      float64
	messageCounts map[string]uint64 // messages by pair, so that losses do not depend on scheduling
	isolated      map[string]bool
	members       map[string]*distribution.Gossip
	stores        map[string]*distribution.Store
	running       sync.WaitGroup
}

const latency = 2 * time.Millisecond

var errLost = errors.New("message lost")

func newNetwork(ctx context.Context, n int, seed uint64) *network {
	w := &network{
		seed: seed, messageCounts: map[string]uint64{}, isolated: map[string]bool{},
		members: map[string]*distribution.Gossip{}, stores: map[string]*distribution.Store{},
	}
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("d%03d", i))
	}
	for i, address := range addresses {
		w.stores[address] = distribution.NewStore()
		w.members[address] = distribution.NewGossip(distribution.Options{
			Store: w.stores[address], Address: address, Request: w.requester(address),
			Peers: func() []string { return append(addresses[:i:i], addresses[i+1:]...) },
			Rand:  rand.New(rand.NewPCG(seed, uint64(i))),
		})
	}
	for _, m := range w.members {
		w.running.Go(func() { _ = m.Serve(ctx) })
	}
	return w
}

func (w *network) requester(from string) distribution.RequestFunc {
	return func(ctx context.Context, to string, request *jacinthplankv1.ConfigurationRequest) (*jacinthplankv1.ConfigurationResponse, error) {
		if w.drops(from, to) {
			<-ctx.Done()
			return nil, errLost
		}
		time.Sleep(latency)
		response := w.members[to].Respond(request)
		time.Sleep(latency)
		if w.drops(from, to) {
			<-ctx.Done()
			return nil, errLost
		}
		return response, nil
	}
}

func (w *network) drops(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messageCounts[from+to]++
	random := rand.New(rand.NewPCG(w.seed+xxhash.Sum64String(from+to), w.messageCounts[from+to])).Float64()
	return w.isolated[from] != w.isolated[to] || random < w.lossRate
}

// countOutdated returns the number of stores at a version other than v.
func (w *network) countOutdated(v revision.Version) int {
	n := 0
	for _, s := range w.stores {
		if s.Version() != fleet.Version(v) {
			n++
		}
	}
	return n
}

func TestVersionReachesAllPeersWithinOneSecond(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w := newNetwork(ctx, 120, seed)
			time.Sleep(5 * time.Second)
			a := &author{}
			a.publish(10)
			for _, control := range []string{"d000", "d001", "d002"} {
				w.members[control].Offer(a.register.After(revision.Version{}))
			}
			time.Sleep(time.Second)
			g.Expect(w.countOutdated(a.register.Version)).To(BeZero(), "seed %d", seed)
			cancel()
			w.running.Wait()
		})
	}
}

func TestDistributionRecoversFromLossAndPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newNetwork(ctx, 60, 4)
		w.mu.Lock()
		w.lossRate = 0.2
		for i := range 20 {
			w.isolated[fmt.Sprintf("d%03d", 40+i)] = true
		}
		w.mu.Unlock()
		a := &author{}
		for range 600 {
			a.publish(10)
			w.members["d000"].Offer(a.register.After(revision.Version(w.stores["d000"].Version())))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		g.Expect(w.countOutdated(a.register.Version)).To(Equal(20), "exactly the 20 isolated daemons should be outdated")

		w.mu.Lock()
		w.isolated = map[string]bool{}
		w.mu.Unlock()
		time.Sleep(distribution.AvoidPeriod + 5*time.Second)
		g.Expect(w.countOutdated(a.register.Version)).To(BeZero())
		for _, s := range w.stores {
			g.Expect(s.Digest()).To(Equal(a.register.Digest))
		}
		cancel()
		w.running.Wait()
	})
}
