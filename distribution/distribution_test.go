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

// author accepts configurations that differ in one account's share.
type author struct {
	register      revision.Register
	configuration fleet.Configuration
	share         int
}

func (a *author) accept(accounts int) {
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

func apply(g *WithT, s *distribution.Store, u revision.Update) {
	changed, err := s.Apply(u)
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	g.ExpectWithOffset(1, changed).To(BeTrue())
}

func TestAnOldFullCopyThatArrivesLateIsIgnored(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	a.accept(3)
	old := a.register.After(revision.Version{})
	a.accept(3)
	s := distribution.NewStore()
	apply(g, s, a.register.After(revision.Version{}))

	changed, err := s.Apply(old)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeFalse())
	g.Expect(s.Version()).To(Equal(fleet.Version{Epoch: 1, Revision: 2}))
	g.Expect(s.Current().Accounts[2].Share).To(Equal(2))
}

func TestDeltasThatDoNotFitChangeNothing(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	a.accept(50)
	s := distribution.NewStore()
	first := a.register.After(revision.Version{})
	apply(g, s, first)
	a.accept(50)
	a.accept(50)
	u := a.register.After(first.Version)
	g.Expect(u.Deltas).To(HaveLen(2))
	u.Deltas = u.Deltas[1:]

	_, err := s.Apply(u)
	g.Expect(err).To(MatchError(distribution.ErrDigest))
	g.Expect(s.Version()).To(Equal(fleet.Version(first.Version)))
	apply(g, s, a.register.After(first.Version))
	g.Expect(s.Digest()).To(Equal(a.register.Digest))
}

func TestAnUpdateMadeForAnOlderVersionIsAppliedFromThere(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	a.accept(50)
	s := distribution.NewStore()
	first := a.register.After(revision.Version{})
	apply(g, s, first)
	a.accept(50)
	second := a.register.After(first.Version)
	a.accept(50)
	third := a.register.After(first.Version)

	apply(g, s, second)
	apply(g, s, third)
	g.Expect(s.Digest()).To(Equal(a.register.Digest))
}

func TestASubscriberSeesTheLatest(t *testing.T) {
	g := NewWithT(t)
	a := &author{}
	s := distribution.NewStore()
	updates, end := s.Subscribe()
	defer end()
	for range 3 {
		a.accept(3)
		apply(g, s, a.register.After(revision.Version{}))
	}
	g.Expect((<-updates).Version.Revision).To(BeEquivalentTo(3))
}

func TestTheCacheOutlivesARestartAndNeverRevives(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "configuration.json")
	a := &author{}
	a.accept(3)
	s := distribution.NewStore()
	g.Expect(s.Load(file)).To(Succeed())
	apply(g, s, a.register.After(revision.Version{}))
	g.Expect(s.Save(file)).To(Succeed())
	a.accept(3)
	apply(g, s, a.register.After(revision.Version{}))
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

func TestThePlannerLeavesSilentPeersAlone(t *testing.T) {
	g := NewWithT(t)
	p := distribution.NewPlanner(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	one, two := fleet.Version{Epoch: 1, Revision: 1}, fleet.Version{Epoch: 1, Revision: 2}
	p.Heard("a", two)
	p.Heard("b", one)
	next := func(have fleet.Version) string {
		address, _ := p.Next(now, have, nil)
		return address
	}
	g.Expect(next(fleet.Version{})).To(Equal("a"))
	p.Failed(now, "a")
	g.Expect(next(fleet.Version{})).To(Equal("b"))
	p.Answered("b", fleet.Version{})
	g.Expect(next(fleet.Version{})).To(BeEmpty())
	g.Expect(p.Sample(now, []string{"a"}, 1)).To(BeEmpty())
	now = now.Add(distribution.AvoidTime)
	g.Expect(p.Sample(now, []string{"a"}, 1)).To(Equal([]string{"a"}))
}

func TestNeighboursAreSwappedUntilEverybodyWasOne(t *testing.T) {
	g := NewWithT(t)
	p := distribution.NewPlanner(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	var peers []string
	for i := range 3 * distribution.Neighbours {
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

func TestADaemonThatStartsAsksAsSoonAsItKnowsAPeer(t *testing.T) {
	g := NewWithT(t)
	p := distribution.NewPlanner(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	address, wait := p.Next(now, fleet.Version{}, nil)
	g.Expect(address).To(BeEmpty())
	g.Expect(wait).To(BeNumerically("<=", distribution.HedgeAfter))
	address, _ = p.Next(now.Add(wait), fleet.Version{}, []string{"a"})
	g.Expect(address).To(Equal("a"))
	p.Answered("a", fleet.Version{})
	_, wait = p.Next(now.Add(wait), fleet.Version{}, []string{"a"})
	g.Expect(wait).To(BeNumerically(">=", distribution.ProbePeriod/2))
}

// network joins stores in one process. Messages take latency, are lost with the
// probability lost, and do not pass between the two sides of a cut.
type network struct {
	mu      sync.Mutex
	seed    uint64
	lost    float64
	sent    map[string]uint64 // messages by pair, so that losses don't depend on scheduling
	cut     map[string]bool
	members map[string]*distribution.Gossip
	stores  map[string]*distribution.Store
	serving sync.WaitGroup
}

const latency = 2 * time.Millisecond

var errLost = errors.New("message lost")

func newNetwork(ctx context.Context, n int, seed uint64) *network {
	w := &network{
		seed: seed, sent: map[string]uint64{}, cut: map[string]bool{},
		members: map[string]*distribution.Gossip{}, stores: map[string]*distribution.Store{},
	}
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("d%03d", i))
	}
	for i, address := range addresses {
		w.stores[address] = distribution.NewStore()
		w.members[address] = distribution.NewGossip(distribution.Options{
			Store: w.stores[address], Address: address, Ask: w.asker(address),
			Peers: func() []string { return append(addresses[:i:i], addresses[i+1:]...) },
			Rand:  rand.New(rand.NewPCG(seed, uint64(i))),
		})
	}
	for _, m := range w.members {
		w.serving.Go(func() { _ = m.Serve(ctx) })
	}
	return w
}

func (w *network) asker(from string) distribution.Ask {
	return func(ctx context.Context, to string, q *jacinthplankv1.ConfigurationRequest) (*jacinthplankv1.ConfigurationResponse, error) {
		if w.drops(from, to) {
			<-ctx.Done()
			return nil, errLost
		}
		time.Sleep(latency)
		reply := w.members[to].Answer(q)
		time.Sleep(latency)
		if w.drops(from, to) {
			<-ctx.Done()
			return nil, errLost
		}
		return reply, nil
	}
}

func (w *network) drops(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[from+to]++
	draw := rand.New(rand.NewPCG(w.seed+xxhash.Sum64String(from+to), w.sent[from+to])).Float64()
	return w.cut[from] != w.cut[to] || draw < w.lost
}

// behind returns how many stores lack the version.
func (w *network) behind(v revision.Version) int {
	n := 0
	for _, s := range w.stores {
		if s.Version() != fleet.Version(v) {
			n++
		}
	}
	return n
}

func TestAVersionIsEverywhereWithinASecond(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w := newNetwork(ctx, 120, seed)
			time.Sleep(5 * time.Second)
			a := &author{}
			a.accept(10)
			for _, control := range []string{"d000", "d001", "d002"} {
				w.members[control].Offer(a.register.After(revision.Version{}))
			}
			time.Sleep(time.Second)
			g.Expect(w.behind(a.register.Version)).To(BeZero(), "seed %d", seed)
			cancel()
			w.serving.Wait()
		})
	}
}

func TestLossAndACutOnlyDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newNetwork(ctx, 60, 4)
		w.mu.Lock()
		w.lost = 0.2
		for i := range 20 {
			w.cut[fmt.Sprintf("d%03d", 40+i)] = true
		}
		w.mu.Unlock()
		a := &author{}
		for range 600 {
			a.accept(10)
			w.members["d000"].Offer(a.register.After(revision.Version(w.stores["d000"].Version())))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		g.Expect(w.behind(a.register.Version)).To(Equal(20), "only the far side of the cut")

		w.mu.Lock()
		w.cut = map[string]bool{}
		w.mu.Unlock()
		time.Sleep(distribution.AvoidTime + 5*time.Second)
		g.Expect(w.behind(a.register.Version)).To(BeZero())
		for _, s := range w.stores {
			g.Expect(s.Digest()).To(Equal(a.register.Digest))
		}
		cancel()
		w.serving.Wait()
	})
}
